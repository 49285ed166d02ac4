package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// owner takes one attempt through its steps.
type owner struct {
	l    *Ledger
	p    *partition
	call Request
	send SendFunc
	a    *Attempt

	appended chan appendResult
	response *Response
}

// appendResult is the end of an append of the intent.
type appendResult struct {
	offset int64
	err    error
}

func (o *owner) run(ctx context.Context) Result {
	o.appended = make(chan appendResult, 1)
	if err := o.sync(ctx); err != nil {
		e, _ := o.p.get(o.a.KeyHash, o.a.ID)
		o.a.ResolveWithoutLog(e, "the log cannot be read: "+err.Error())
	}
	for {
		e, changed := o.p.get(o.a.KeyHash, o.a.ID)
		now := o.l.Now()
		switch o.a.Next(e, now) {
		case StepIntent:
			o.intent()
		case StepAbandon:
			o.abandon()
		case StepDispatch:
			o.dispatch(ctx)
		case StepWait:
			if !o.wait(ctx, changed, now) {
				o.a.End(Unknown, "the caller has gone")
			}
		case StepRespond:
			return o.result(ctx, e)
		}
	}
}

// sync reads to the log's head before the attempt decides anything.
func (o *owner) sync(ctx context.Context) error {
	left := o.a.Deadline.Sub(o.l.Now())
	ctx, cancel := context.WithTimeout(ctx, min(maxSync, left/4))
	defer cancel()
	return o.p.sync(ctx)
}

// wait waits for records, the end of an append or the next time limit; it returns false if the caller has gone.
func (o *owner) wait(ctx context.Context, changed <-chan struct{}, now time.Time) bool {
	until := o.a.AbandonAt
	if !before(now, until) {
		until = o.a.Deadline
	}
	t := time.NewTimer(until.Sub(now))
	defer t.Stop()
	select {
	case <-changed:
	case r := <-o.appended:
		maybe := appender.MayHaveAppended(r.err)
		o.a.IntentAppendEnded(r.offset, r.err != nil, maybe)
		if r.err != nil && !maybe && o.a.intents == 0 && before(o.l.Now(), o.a.Deadline) {
			o.a.End(NotRun, r.err.Error())
		}
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (o *owner) record(kind string) *Record {
	return &Record{Kind: kind, Key: o.call.Key, Account: o.call.Account, AttemptID: o.a.ID[:]}
}

// intent appends the intent until the attempt gives up; the attempt reads on meanwhile.
func (o *owner) intent() {
	r := o.record(kindIntent)
	r.Owner, r.BodyHash, r.AtMs = o.l.Owner, o.call.BodyHash[:], o.l.Now().UnixMilli()
	o.a.IntentAppendStarted()
	ctx, cancel := context.WithDeadline(o.l.ctx, o.a.AbandonAt)
	go func() {
		defer cancel()
		offset, err := o.p.writer.Append(ctx, r.Encode())
		o.appended <- appendResult{offset, err}
	}()
}

func (o *owner) abandon() {
	o.a.AbandonStarted()
	o.l.append(o.p, o.record(kindAbandon))
}

// dispatch sends the call. It goes on if the caller's connection closes, since the outcome belongs on the log.
func (o *owner) dispatch(ctx context.Context) {
	e, _ := o.p.get(o.a.KeyHash, o.a.ID)
	as := o.l.Asserter
	if !as.Check(asserter.AtMostOnce, e.State == Held && e.Holder == o.a.ID, "key %s is not held by attempt %s", o.call.Key, o.a.ID) ||
		!as.Check(asserter.AtMostOnce, o.a.StartDispatch(), "attempt %s of key %s is dispatched twice", o.a.ID, o.call.Key) {
		o.a.End(Unknown, "the ledger refused a second dispatch")
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), o.a.Deadline)
	defer cancel()
	o.l.pending.Add(1)
	defer o.l.pending.Done()
	res, sent, err := o.send(ctx)
	if err != nil && !sent {
		o.a.NotSent()
		o.a.reason = err.Error()
		return
	}
	r := o.record(kindDone)
	if err != nil {
		o.a.End(Unknown, err.Error())
	} else {
		o.response = res
		o.a.End(Responded, "")
		r.Status, r.ContentType, r.Length = res.Status, limit(res.ContentType), len(res.Body)
		if len(res.Body) <= MaxBodyBytes {
			r.Body = res.Body
		}
	}
	o.l.append(o.p, r)
}

func limit(s string) string { return s[:min(len(s), maxName)] }

// result answers the caller and gives the key back if the attempt leaves an intent behind.
func (o *owner) result(ctx context.Context, e Entry) Result {
	if o.a.MustAbandon(e) {
		o.abandon()
	}
	v, reason := o.a.Outcome()
	o.l.Asserter.Check(asserter.NotRunAccurate, v != NotRun || !o.a.dispatched, "attempt %s of key %s was sent", o.a.ID, o.call.Key)
	res := Result{Outcome: v, Reason: reason, Response: o.response}
	if v == Responded && o.response == nil {
		res.Replayed = true
		res.Response = o.recorded(ctx, o.a.RecordedEntry())
	}
	o.l.Recorder.Record(recorder.Event{Kind: "ledger", Account: o.call.Account, Step: v.String(), Reason: reason})
	return res
}

// recorded reads the outcome of an earlier try from the log.
func (o *owner) recorded(ctx context.Context, e Entry) *Response {
	none := &Response{Status: e.Status, Note: "the first response cannot be read from the log"}
	ctx, cancel := context.WithTimeout(ctx, maxSync)
	defer cancel()
	b, err := o.p.log.Read(ctx, o.p.stream, e.DoneOffset, 1, 0)
	if err != nil || len(b.Records) == 0 || b.Records[0].Offset != e.DoneOffset {
		return none
	}
	r, err := Decode(b.Records[0].Data)
	if err != nil {
		return none
	}
	if r.Length > len(r.Body) {
		return &Response{Status: r.Status, ContentType: r.ContentType,
			Note: fmt.Sprintf("the first response had %d bytes; at most %d are kept for a retry", r.Length, MaxBodyBytes)}
	}
	return &Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}
