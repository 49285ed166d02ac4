package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/pooler"
	"github.com/papayaworks/papayaworks/internal/retrier"
)

// fetchPart of a call's objective may pass until a fetch of kept context is given up: it begins only when the call does,
// and the parts must still be read on time afterwards.
const fetchPart = 0.5

// send is one attempt at one target.
type send struct {
	s      *Server
	c      *Call
	t      *cataloger.Target
	begun  time.Time
	cancel context.CancelFunc
	hold   *balancer.Hold
}

// release gives back what the attempt holds.
func (x *send) release() {
	x.cancel()
	x.hold.End()
}

// run sends the call and judges the answer.
func (x *send) run(ctx context.Context, left time.Duration) (retrier.Outcome, error) {
	c := x.c
	ex, err := x.s.pool.Do(ctx, pooler.Peer{Address: x.t.Address, Limit: x.s.connections(c.Service)}, c.HTTP.Method, x.encode(left), func(h http.Header) bool {
		id := x.s.Wire.AnswerID(h)
		return id == c.Ask.ID || id == ""
	})
	if err != nil {
		return x.failed(ctx, err)
	}
	x.s.book.Reached(x.t.ID)
	if !isStream(ex) {
		x.hold.Answered(time.Now())
	}
	reply := x.s.Wire.Reply(ex.StatusCode, ex.Header)
	x.learn(reply)
	if reply.NotRun || reply.Misdirected {
		_, _ = io.Copy(io.Discard, io.LimitReader(ex.Body, maxAnswerBytes))
		ex.Finish()
		return x.notRun(reply, ex.StatusCode)
	}
	if isStream(ex) && reply.Receipt {
		c.Sent = true
		c.Answer = &Answer{Target: x.t.ID, Status: ex.StatusCode, Header: ex.Header, Stream: ex, Hold: x.hold, End: x.release}
		return retrier.Done, nil
	}
	return x.whole(ctx, ex, reply)
}

// whole reads an answer that is not a stream.
func (x *send) whole(ctx context.Context, ex *pooler.Exchange, reply Reply) (retrier.Outcome, error) {
	c := x.c
	body, err := io.ReadAll(io.LimitReader(ex.Body, maxAnswerBytes))
	if err != nil {
		ex.Close()
		return x.failed(ctx, &pooler.Error{Err: err, Sent: true})
	}
	ex.Finish()
	c.Sent = true
	success := ex.StatusCode < http.StatusMultipleChoices
	if success && !reply.Receipt || isPromise(ex.StatusCode) || http.StatusText(ex.StatusCode) == "" {
		return x.failed(ctx, &pooler.Error{Err: fmt.Errorf("answer with status %d is not valid", ex.StatusCode), Sent: true})
	}
	x.s.health.observe(x.t.ID, ex.StatusCode < http.StatusInternalServerError, time.Now())
	c.Answer = &Answer{Target: x.t.ID, Status: ex.StatusCode, Header: ex.Header, Body: body}
	if ex.StatusCode >= http.StatusInternalServerError && c.Route.Retryable() {
		return retrier.Repeatable, fmt.Errorf("target %s answered with status %d", x.t.ID, ex.StatusCode)
	}
	if success {
		x.s.book.Took(c.Service.Name, time.Since(x.begun))
	}
	return retrier.Done, nil
}

// failed judges an attempt without a valid answer.
func (x *send) failed(ctx context.Context, err error) (retrier.Outcome, error) {
	if x.c.HTTP.Context().Err() == nil {
		// A call that its own deadline ended tells nothing about the target, unless it was sent to a silent one.
		x.s.health.observe(x.t.ID, false, time.Now())
		if ctx.Err() == nil && !pooler.Sent(err) && !errors.Is(err, pooler.ErrLimit) {
			x.s.book.Unreached(x.t.ID, time.Now())
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.c.Sent = x.c.Sent || pooler.Sent(err)
		return retrier.Unknown, err
	}
	switch {
	case !pooler.Sent(err):
		return retrier.NotRun, err
	case x.c.Route.Retryable():
		x.c.Sent = true
		return retrier.Repeatable, err
	}
	x.c.Sent = true
	return retrier.Unknown, err
}

// notRun judges an answer that says that the target has not run the call.
func (x *send) notRun(reply Reply, status int) (retrier.Outcome, error) {
	if reply.Misdirected {
		x.c.Misdirected++
		x.otherWeights(reply)
	} else {
		x.s.book.Refused(x.t.ID, time.Now())
	}
	return retrier.NotRun, fmt.Errorf("target %s has not run it: status %d", x.t.ID, status)
}

// otherWeights takes it that a target which is the right one, but has not the weights that the call named, has those that
// the operator named; the call may be sent to it again.
func (x *send) otherWeights(reply Reply) {
	named, ok := x.s.Watcher.View().DesiredVersion(x.c.Ask.Prompt.Model)
	if reply.Instance != x.t.ID || !ok || x.c.Version == 0 || x.c.Version >= named.Version {
		return
	}
	x.s.book.SetVersion(balancer.WeightsOf(x.t, x.c.Ask.Prompt.Model), named.Version)
	x.c.Tried = x.c.Tried[:len(x.c.Tried)-1]
	x.c.Misdirected--
}

// learn takes what an answer tells about its target.
func (x *send) learn(r Reply) {
	now := time.Now()
	if r.Load != nil {
		x.s.book.Report(x.t.ID, *r.Load, now)
	}
	for model, v := range r.Versions {
		if model == "" {
			model = x.c.Ask.Prompt.Model
		}
		x.s.book.SetVersion(balancer.WeightsOf(x.t, model), v)
	}
	if !r.NotRun && !r.Misdirected && x.c.Service.Engine != nil {
		x.s.book.Sent(x.t.ID, scoped(x.c.Scope, x.c.Ask.Prompt.sharedIDs()), now)
	}
}

// encode returns the request as it is sent to the target.
func (x *send) encode(left time.Duration) []byte {
	c := x.c
	h := c.HTTP.Header.Clone()
	o := Order{
		Budget: left, Target: x.t.ID, Version: c.Version, Scope: c.Scope, Priority: c.priority(), LastEvent: c.Ask.LastEvent,
	}
	if c.Account != nil {
		o.Account = c.Account.Name
	}
	x.planContext(&o)
	x.s.Wire.Order(h, o)
	if len(c.Body) > 0 || c.HTTP.Method != http.MethodGet && c.HTTP.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(c.Body)))
	}
	var b bytes.Buffer
	b.Grow(len(c.Body) + 1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.HTTP.Method, c.HTTP.RequestURI, c.HTTP.Host)
	h.Del("Host")
	_ = h.Write(&b) // a buffer takes all
	b.WriteString("\r\n")
	b.Write(c.Body)
	return b.Bytes()
}

// planContext says where the shared parts of the prompt are fetched from and saved to; the last part is the call's own and
// is not kept. A fetch is given up in time to read the parts instead: links may be slow.
func (x *send) planContext(o *Order) {
	c, a := x.c, x.s.Archiver
	if a == nil || c.Scope == "" || !x.s.isNewest(c) {
		return
	}
	clock, ok := a.TargetClock()
	if !ok {
		return
	}
	plan := a.Plan(c.Scope, c.Ask.Prompt.sharedIDs(), time.Now())
	o.FetchFrom, o.SaveTo = append(plan.FetchFrom, ""), append(plan.SaveTo, "")
	o.FetchUntil = clock + time.Duration(fetchPart*float64(c.Route.Objective)) + balancer.ReadTime(c.Ask.Prompt.Shared())
}

// priority returns the rank of a call: the account's takes precedence over the route's.
func (c *Call) priority() int {
	if c.Account != nil && c.Account.HasPriority {
		return c.Account.Priority
	}
	return c.Route.Priority
}

func isStream(ex *pooler.Exchange) bool {
	return ex.StatusCode < http.StatusMultipleChoices && strings.HasPrefix(ex.Header.Get("Content-Type"), "text/event-stream")
}

// isPromise reports whether a status promises that the call has not run; only an explicit word of the target does.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
