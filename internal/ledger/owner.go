package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// owner performs the steps of one attempt.
type owner struct {
	ledger      *Ledger
	p           *partition
	request     Request
	sendRequest SendFunc
	attempt     *Attempt

	intentResult chan appendResult
	response     *Response
}

// appendResult is the result of appending the intent.
type appendResult struct {
	offset int64
	err    error
}

func (o *owner) run(ctx context.Context) Result {
	o.intentResult = make(chan appendResult, 1)
	if err := o.sync(ctx); err != nil {
		e, _ := o.p.entry(o.attempt.KeyHash, o.attempt.ID)
		o.attempt.ResolveWithoutLog(e, "the log cannot be read: "+err.Error())
	}
	for {
		e, changed := o.p.entry(o.attempt.KeyHash, o.attempt.ID)
		now := o.ledger.Now()
		switch o.attempt.Next(e, now) {
		case StepIntent:
			o.appendIntent()
		case StepAbandon:
			o.abandon()
		case StepDispatch:
			o.dispatch(ctx)
		case StepWait:
			if !o.waitForChange(ctx, changed, now) {
				o.attempt.End(Unknown, "the caller has gone")
			}
		case StepRespond:
			return o.result(ctx, e)
		}
	}
}

// sync reads to the head of the stream, so that the attempt starts from the current state.
func (o *owner) sync(ctx context.Context) error {
	remaining := o.attempt.Deadline.Sub(o.ledger.Now())
	ctx, cancel := context.WithTimeout(ctx, min(maxSyncTime, remaining/4))
	defer cancel()
	return o.p.sync(ctx)
}

// waitForChange waits for new records, the result of the intent's append or the next time limit. It returns false if the
// caller has disconnected.
func (o *owner) waitForChange(ctx context.Context, changed <-chan struct{}, now time.Time) bool {
	until := o.attempt.AbandonAt
	if !before(now, until) {
		until = o.attempt.Deadline
	}
	t := time.NewTimer(until.Sub(now))
	defer t.Stop()
	select {
	case <-changed:
	case r := <-o.intentResult:
		maybe := appender.MayHaveAppended(r.err)
		o.attempt.IntentAppendEnded(r.offset, r.err != nil, maybe)
		if r.err != nil && !maybe && o.attempt.possibleIntents == 0 && before(o.ledger.Now(), o.attempt.Deadline) {
			o.attempt.End(NotRun, r.err.Error())
		}
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (o *owner) newRecord(kind string) *Record {
	return &Record{Kind: kind, Key: o.request.Key, Account: o.request.Account, AttemptID: o.attempt.ID[:]}
}

// appendIntent starts appending the intent, with retries until AbandonAt.
func (o *owner) appendIntent() {
	r := o.newRecord(kindIntent)
	r.Owner, r.BodyHash, r.AtMs = o.ledger.Owner, o.request.BodyHash[:], o.ledger.Now().UnixMilli()
	o.attempt.IntentAppendStarted()
	ctx, cancel := context.WithDeadline(o.ledger.ctx, o.attempt.AbandonAt)
	go func() {
		defer cancel()
		offset, err := o.p.writer.Append(ctx, r.Encode())
		o.intentResult <- appendResult{offset, err}
	}()
}

func (o *owner) abandon() {
	o.attempt.AbandonStarted()
	o.ledger.appendInBackground(o.p, o.newRecord(kindAbandon))
}

// dispatch sends the request. It continues after the caller has disconnected, so that the outcome is recorded.
func (o *owner) dispatch(ctx context.Context) {
	e, _ := o.p.entry(o.attempt.KeyHash, o.attempt.ID)
	as := o.ledger.Asserter
	if !as.Check(asserter.AtMostOnce, e.State == Held && e.Holder == o.attempt.ID, "key %s is not held by attempt %s", o.request.Key, o.attempt.ID) ||
		!as.Check(asserter.AtMostOnce, o.attempt.StartDispatch(), "attempt %s of key %s is dispatched twice", o.attempt.ID, o.request.Key) {
		o.attempt.End(Unknown, "the ledger refused a second dispatch")
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), o.attempt.Deadline)
	defer cancel()
	o.ledger.pending.Add(1)
	defer o.ledger.pending.Done()
	res, sent, err := o.sendRequest(ctx)
	if err != nil && !sent {
		o.attempt.NotSent()
		o.attempt.reason = err.Error()
		return
	}
	r := o.newRecord(kindDone)
	if err != nil {
		o.attempt.End(Unknown, err.Error())
	} else {
		o.response = res
		o.attempt.End(Responded, "")
		r.Status, r.ContentType, r.Length = res.Status, truncate(res.ContentType), len(res.Body)
		if len(res.Body) <= MaxBodyBytes {
			r.Body = res.Body
		}
	}
	o.ledger.appendInBackground(o.p, r)
}

func truncate(s string) string { return s[:min(len(s), maxNameBytes)] }

// result returns the attempt's result and releases the key if the attempt may leave an intent on the log.
func (o *owner) result(ctx context.Context, e Entry) Result {
	if o.attempt.MustAbandon(e) {
		o.abandon()
	}
	outcome, reason := o.attempt.Outcome()
	o.ledger.Asserter.Check(asserter.NotRunAccurate, outcome != NotRun || !o.attempt.dispatched, "attempt %s of key %s was sent", o.attempt.ID, o.request.Key)
	res := Result{Outcome: outcome, Reason: reason, Response: o.response}
	if outcome == Responded && o.response == nil {
		res.Replayed = true
		res.Response = o.readResponse(ctx, o.attempt.RecordedEntry())
	}
	o.ledger.Recorder.Record(recorder.Event{Kind: "ledger", Account: o.request.Account, Step: outcome.String(), Reason: reason})
	return res
}

// readResponse reads the response of an earlier attempt from the log.
func (o *owner) readResponse(ctx context.Context, e Entry) *Response {
	unreadable := &Response{Status: e.Status, Note: "the first response cannot be read from the log"}
	ctx, cancel := context.WithTimeout(ctx, maxSyncTime)
	defer cancel()
	b, err := o.p.log.Read(ctx, o.p.stream, e.DoneOffset, 1, 0)
	if err != nil || len(b.Records) == 0 || b.Records[0].Offset != e.DoneOffset {
		return unreadable
	}
	r, err := Decode(b.Records[0].Data)
	if err != nil {
		return unreadable
	}
	if r.Length > len(r.Body) {
		return &Response{Status: r.Status, ContentType: r.ContentType,
			Note: fmt.Sprintf("the first response had %d bytes; at most %d are kept for a retry", r.Length, MaxBodyBytes)}
	}
	return &Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}
