package ledger

import "time"

// maxMargin bounds the part of a call's time that is kept for giving the key back.
const maxMargin = time.Second

// Step is what the owner of an attempt does next.
type Step int

// The steps.
const (
	// StepWait waits for more records or time.
	StepWait Step = iota
	// StepIntent appends the intent.
	StepIntent
	// StepDispatch sends the call to the target.
	StepDispatch
	// StepAbandon appends the abandon.
	StepAbandon
	// StepRespond answers with the attempt's verdict.
	StepRespond
)

// Outcome is what a caller is told.
type Outcome int

// The verdicts.
const (
	// Responded: the response of the target, to this try or to an earlier one of the same key.
	Responded Outcome = iota + 1
	// NotRun: this try has started no run and never will.
	NotRun
	// Unknown: the call may have been run.
	Unknown
	// BodyMismatch: the key belongs to a request with another body.
	BodyMismatch
	// InvalidKey: the key is missing, malformed or outside the window.
	InvalidKey
)

// String names the verdict.
func (v Outcome) String() string {
	return [...]string{"none", "responded", "notRun", "outcomeUnknown", "otherBody", "badKey"}[v]
}

// Attempt is one owner's way through one try of a call. It is a value without clock or sockets: the owner asks Next
// what to do, does it and reports what came of it.
type Attempt struct {
	ID       AttemptID
	KeyHash  Hash
	BodyHash Hash
	Deadline time.Time
	// AbandonAt is when the owner stops trying to hold the key and gives it back, to be able to say "not run".
	AbandonAt time.Time

	intents    int   // intents that may be on the log
	unanswered bool  // an append of the intent is in progress
	intentAt   int64 // offset of the newest intent, if its append was answered
	abandoning bool
	dispatched bool
	notSent    bool  // a dispatch failed before the first byte
	found      Entry // the finished key, if an earlier try's outcome is the answer
	verdict    Outcome
	reason     string
}

// NewAttempt returns an attempt that begins now.
func NewAttempt(id AttemptID, key, body Hash, now, deadline time.Time) *Attempt {
	margin := min(maxMargin, deadline.Sub(now)/4)
	return &Attempt{ID: id, KeyHash: key, BodyHash: body, Deadline: deadline, AbandonAt: deadline.Add(-margin), intentAt: -1}
}

// before reports whether now is before t by the monotonic clock and by the wall clock: while a machine is suspended
// only the wall clock goes on.
func before(now, t time.Time) bool { return now.Before(t) && now.Round(0).Before(t.Round(0)) }

// Next returns what to do in the key's present state.
func (a *Attempt) Next(e Entry, now time.Time) Step {
	switch {
	case a.verdict != 0:
		return StepRespond
	case e.Abandoned:
		return a.answer(NotRun, "the attempt was abandoned before anything was sent")
	case e.State != Free && e.Holder != a.ID && e.BodyHash != a.BodyHash:
		return a.answer(BodyMismatch, "the key belongs to a request with another body")
	case e.State == Finished && e.Status == 0:
		return a.answer(Unknown, "the call was sent and its outcome is not known")
	case e.State == Finished:
		a.found = e
		return a.answer(Responded, "the outcome is on the log")
	case e.State == Held && e.Holder == a.ID:
		return a.nextAsHolder(now)
	case e.State == Held:
		return a.wait(now, "another attempt holds the key and has not finished")
	}
	return a.nextFree(e, now)
}

func (a *Attempt) nextAsHolder(now time.Time) Step {
	if a.dispatched {
		return StepWait // the owner is sending
	}
	if !a.abandoning && !a.notSent && before(now, a.AbandonAt) {
		return StepDispatch
	}
	return a.giveUp(now)
}

func (a *Attempt) nextFree(e Entry, now time.Time) Step {
	if a.abandoning {
		return a.giveUp(now)
	}
	if !before(now, a.AbandonAt) {
		if a.intents == 0 && !a.unanswered && before(now, a.Deadline) {
			return a.answer(NotRun, "the time was over before anything was written")
		}
		if a.intents == 0 && !a.unanswered {
			// The owner may have been paused for longer than the log keeps records, and a free key then says nothing.
			return a.answer(Unknown, "the owner was paused past the deadline")
		}
		return a.giveUp(now)
	}
	if a.unanswered || a.intentAt >= e.NextOffset {
		return StepWait
	}
	// Nothing was appended yet, or the intent was read and lost against one that was abandoned since.
	return StepIntent
}

// giveUp appends the abandon once and then waits until it is read back or the deadline passes.
func (a *Attempt) giveUp(now time.Time) Step {
	if !a.abandoning {
		return StepAbandon
	}
	return a.wait(now, "the intent may be on the log and the abandon was not read back")
}

func (a *Attempt) wait(now time.Time, reason string) Step {
	if before(now, a.Deadline) {
		return StepWait
	}
	return a.answer(Unknown, reason)
}

func (a *Attempt) answer(v Outcome, reason string) Step {
	a.verdict, a.reason = v, reason
	return StepRespond
}

// ResolveWithoutLog ends an attempt before its first append, while the log cannot be read: what the fold knows of the key
// decides. A key that it does not know was not run by this try, but an earlier try at another instance may have run it
// and its records may not have been read, so "not run" would not be true for the key.
func (a *Attempt) ResolveWithoutLog(e Entry, reason string) {
	if e.State == Free {
		a.answer(Unknown, "this try has run nothing, but whether an earlier one with the key did cannot be read: "+reason)
		return
	}
	a.Next(e, a.Deadline)
}

// IntentAppendStarted reports that an append of the intent begins.
func (a *Attempt) IntentAppendStarted() { a.unanswered = true }

// IntentAppendEnded reports the end of an append of the intent; maybe says that it may have taken effect although it failed.
func (a *Attempt) IntentAppendEnded(offset int64, failed, maybe bool) {
	a.unanswered = false
	if !failed {
		a.intentAt = offset
	}
	if !failed || maybe {
		a.intents++
	}
}

// AbandonStarted reports that the abandon is being appended; from now on the attempt never dispatches.
func (a *Attempt) AbandonStarted() { a.abandoning = true }

// StartDispatch reports that the call is being sent and returns false if the attempt may not send it.
func (a *Attempt) StartDispatch() bool {
	ok := !a.dispatched && !a.abandoning && !a.notSent
	a.dispatched = true
	return ok
}

// NotSent reports that the dispatch failed before the first byte; the key is given back.
func (a *Attempt) NotSent() { a.dispatched, a.notSent = false, true }

// End ends the attempt with what came of the dispatch.
func (a *Attempt) End(v Outcome, reason string) { a.answer(v, reason) }

// Outcome returns what the caller is told, and why.
func (a *Attempt) Outcome() (Outcome, string) { return a.verdict, a.reason }

// RecordedEntry returns the finished key whose outcome is the answer. The fold may have dropped it since.
func (a *Attempt) RecordedEntry() Entry { return a.found }

// MustAbandon reports whether an attempt that ends without dispatch has to be abandoned still, because its intent may
// be on the log or arrive there, and the key would stay held by nobody.
func (a *Attempt) MustAbandon(e Entry) bool {
	return (a.intents > 0 || a.unanswered) && !a.dispatched && !a.abandoning && !e.Abandoned && e.State != Finished
}
