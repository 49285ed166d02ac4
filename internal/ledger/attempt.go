package ledger

import "time"

// maxAbandonMargin bounds the part of a request's time that is reserved for releasing the key.
const maxAbandonMargin = time.Second

// Step is the next action of an attempt's owner.
type Step int

// The steps.
const (
	// StepWait waits for more records or a time limit.
	StepWait Step = iota
	// StepIntent appends the intent record.
	StepIntent
	// StepDispatch sends the request to the target.
	StepDispatch
	// StepAbandon appends the abandon record.
	StepAbandon
	// StepRespond returns the attempt's outcome to the caller.
	StepRespond
)

// Outcome is the outcome of an attempt as returned to its caller.
type Outcome int

// The outcomes.
const (
	// Responded means that the target responded to this attempt or to an earlier one with the same key.
	Responded Outcome = iota + 1
	// NotRun means that this attempt has not started a run and never will.
	NotRun
	// Unknown means that the request may have been run.
	Unknown
	// BodyMismatch means that the key belongs to a request with another body.
	BodyMismatch
	// InvalidKey means that the key is missing, malformed, too old or too far in the future.
	InvalidKey
)

// String returns the outcome's name in events and in responses.
func (o Outcome) String() string {
	return [...]string{"none", "responded", "notRun", "outcomeUnknown", "otherBody", "badKey"}[o]
}

// Attempt is the state machine of one attempt to execute a request. It uses no clock and no sockets: its owner calls
// Next, performs the returned step and records the result. It is not safe for concurrent use.
type Attempt struct {
	ID       AttemptID
	KeyHash  Hash
	BodyHash Hash
	Deadline time.Time
	// AbandonAt is when the owner releases the key if it has not dispatched, so that NotRun can be returned before
	// Deadline.
	AbandonAt time.Time

	possibleIntents int   // number of intents that may be on the log
	intentPending   bool  // an append of the intent is in progress
	intentOffset    int64 // offset of the newest intent whose append succeeded, else -1
	abandoning      bool
	dispatched      bool
	notSent         bool  // the dispatch failed before the first byte was sent
	recordedEntry   Entry // the entry of a finished key, if an earlier attempt's response is returned
	outcome         Outcome
	reason          string
}

// NewAttempt returns an attempt that starts now. AbandonAt precedes the deadline by a quarter of the remaining time, at
// most 1 s.
func NewAttempt(id AttemptID, key, body Hash, now, deadline time.Time) *Attempt {
	margin := min(maxAbandonMargin, deadline.Sub(now)/4)
	return &Attempt{ID: id, KeyHash: key, BodyHash: body, Deadline: deadline, AbandonAt: deadline.Add(-margin), intentOffset: -1}
}

// before reports whether now is before t by both the monotonic and the wall clock, since only the wall clock advances
// while a machine is suspended.
func before(now, t time.Time) bool { return now.Before(t) && now.Round(0).Before(t.Round(0)) }

// Next returns the next step, given the key's current state.
func (a *Attempt) Next(e Entry, now time.Time) Step {
	switch {
	case a.outcome != 0:
		return StepRespond
	case e.Abandoned:
		return a.respond(NotRun, "the attempt was abandoned before anything was sent")
	case e.State != Free && e.Holder != a.ID && e.BodyHash != a.BodyHash:
		return a.respond(BodyMismatch, "the key belongs to a request with another body")
	case e.State == Finished && e.Status == 0:
		return a.respond(Unknown, "the call was sent and its outcome is not known")
	case e.State == Finished:
		a.recordedEntry = e
		return a.respond(Responded, "the outcome is on the log")
	case e.State == Held && e.Holder == a.ID:
		return a.nextAsHolder(now)
	case e.State == Held:
		return a.waitUntilDeadline(now, "another attempt holds the key and has not finished")
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
	return a.abandonOrWait(now)
}

func (a *Attempt) nextFree(e Entry, now time.Time) Step {
	if a.abandoning {
		return a.abandonOrWait(now)
	}
	if !before(now, a.AbandonAt) {
		if a.possibleIntents == 0 && !a.intentPending && before(now, a.Deadline) {
			return a.respond(NotRun, "the time was over before anything was written")
		}
		if a.possibleIntents == 0 && !a.intentPending {
			// If the owner was paused for longer than the log's retention, the records of the key may have expired: a free
			// key then does not prove that no earlier attempt has run.
			return a.respond(Unknown, "the owner was paused past the deadline")
		}
		return a.abandonOrWait(now)
	}
	if a.intentPending || a.intentOffset >= e.NextOffset {
		return StepWait
	}
	// No intent was appended yet, or it was read back and lost to another one that has been abandoned since.
	return StepIntent
}

// abandonOrWait returns StepAbandon once, then waits until the abandon is read back or the deadline passes.
func (a *Attempt) abandonOrWait(now time.Time) Step {
	if !a.abandoning {
		return StepAbandon
	}
	return a.waitUntilDeadline(now, "the intent may be on the log and the abandon was not read back")
}

func (a *Attempt) waitUntilDeadline(now time.Time, reason string) Step {
	if before(now, a.Deadline) {
		return StepWait
	}
	return a.respond(Unknown, reason)
}

func (a *Attempt) respond(o Outcome, reason string) Step {
	a.outcome, a.reason = o, reason
	return StepRespond
}

// ResolveWithoutLog ends an attempt before its first append because the log cannot be read. The outcome follows from the
// key's last known state. If that is free, the outcome is Unknown instead of NotRun: this attempt has not run, but an
// earlier one at another instance may have, and its records may not have been read.
func (a *Attempt) ResolveWithoutLog(e Entry, reason string) {
	if e.State == Free {
		a.respond(Unknown, "this try has run nothing, but whether an earlier one with the key did cannot be read: "+reason)
		return
	}
	a.Next(e, a.Deadline) // at the deadline Next does not wait
}

// IntentAppendStarted records that an append of the intent has started.
func (a *Attempt) IntentAppendStarted() { a.intentPending = true }

// IntentAppendEnded records the end of an append of the intent. For a failed append, maybe reports whether it may have
// taken effect.
func (a *Attempt) IntentAppendEnded(offset int64, failed, maybe bool) {
	a.intentPending = false
	if !failed {
		a.intentOffset = offset
	}
	if !failed || maybe {
		a.possibleIntents++
	}
}

// AbandonStarted records that the abandon is being appended. The attempt never dispatches afterwards.
func (a *Attempt) AbandonStarted() { a.abandoning = true }

// StartDispatch records that the request is being sent. It returns false if the attempt must not send it.
func (a *Attempt) StartDispatch() bool {
	ok := !a.dispatched && !a.abandoning && !a.notSent
	a.dispatched = true
	return ok
}

// NotSent records that the dispatch failed before the first byte was sent, so that Next releases the key.
func (a *Attempt) NotSent() { a.dispatched, a.notSent = false, true }

// End ends the attempt with an outcome.
func (a *Attempt) End(o Outcome, reason string) { a.respond(o, reason) }

// Outcome returns the outcome, 0 before the end, and its reason.
func (a *Attempt) Outcome() (Outcome, string) { return a.outcome, a.reason }

// RecordedEntry returns the entry of the finished key whose response this attempt returns. The fold may have expired the
// key since.
func (a *Attempt) RecordedEntry() Entry { return a.recordedEntry }

// MustAbandon reports whether an attempt that ends without a dispatch still has to be abandoned. Its intent may be on the
// log or arrive there later, and would hold the key without an owner.
func (a *Attempt) MustAbandon(e Entry) bool {
	return (a.possibleIntents > 0 || a.intentPending) && !a.dispatched && !a.abandoning && !e.Abandoned && e.State != Finished
}
