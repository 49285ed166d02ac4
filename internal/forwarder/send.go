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

// fetchFraction of a call's objective may pass until a fetch of kept context is given up: it begins only when the call does,
// and the parts must still be read on time afterwards.
const fetchFraction = 0.5

// targetRequest is one attempt at one target.
type targetRequest struct {
	s         *Server
	c         *Call
	t         *cataloger.Target
	startedAt time.Time
	cancel    context.CancelFunc
	inFlight  *balancer.Hold
}

// release gives back what the attempt holds.
func (x *targetRequest) release() {
	x.cancel()
	x.inFlight.End()
}

// send sends the call and judges the answer.
func (x *targetRequest) send(ctx context.Context, left time.Duration) (retrier.Outcome, error) {
	c := x.c
	ex, err := x.s.pool.Do(ctx, pooler.Peer{Address: x.t.Address, Limit: x.s.maxConnections(c.Service)}, c.HTTP.Method, x.encode(left), func(h http.Header) bool {
		id := x.s.Codec.ResponseID(h)
		return id == c.Headers.ID || id == ""
	})
	if err != nil {
		return x.handleFailure(ctx, err)
	}
	x.s.loads.Reached(x.t.ID)
	if !isStream(ex) {
		x.inFlight.Answered(time.Now())
	}
	reply := x.s.Codec.ParseResponse(ex.StatusCode, ex.Header)
	x.recordResponse(reply)
	if reply.NotRun || reply.Misdirected {
		_, _ = io.Copy(io.Discard, io.LimitReader(ex.Body, maxResponseBytes))
		ex.Finish()
		return x.handleNotRun(reply, ex.StatusCode)
	}
	if isStream(ex) && reply.HasSignature {
		c.MayHaveRun = true
		c.Response = &Response{Target: x.t.ID, Status: ex.StatusCode, Header: ex.Header, Stream: ex, InFlight: x.inFlight, Release: x.release}
		return retrier.Done, nil
	}
	return x.readResponse(ctx, ex, reply)
}

// readResponse reads an answer that is not a stream.
func (x *targetRequest) readResponse(ctx context.Context, ex *pooler.Exchange, reply ResponseHeaders) (retrier.Outcome, error) {
	c := x.c
	body, err := io.ReadAll(io.LimitReader(ex.Body, maxResponseBytes))
	if err != nil {
		ex.Close()
		return x.handleFailure(ctx, &pooler.Error{Err: err, Sent: true})
	}
	ex.Finish()
	c.MayHaveRun = true
	success := ex.StatusCode < http.StatusMultipleChoices
	if success && !reply.HasSignature || impliesNotRun(ex.StatusCode) || http.StatusText(ex.StatusCode) == "" {
		return x.handleFailure(ctx, &pooler.Error{Err: fmt.Errorf("answer with status %d is not valid", ex.StatusCode), Sent: true})
	}
	x.s.health.observe(x.t.ID, ex.StatusCode < http.StatusInternalServerError, time.Now())
	c.Response = &Response{Target: x.t.ID, Status: ex.StatusCode, Header: ex.Header, Body: body}
	if ex.StatusCode >= http.StatusInternalServerError && c.Route.Idempotent() {
		return retrier.Repeatable, fmt.Errorf("target %s answered with status %d", x.t.ID, ex.StatusCode)
	}
	if success {
		x.s.loads.Took(c.Service.Name, time.Since(x.startedAt))
	}
	return retrier.Done, nil
}

// handleFailure judges an attempt without a valid answer.
func (x *targetRequest) handleFailure(ctx context.Context, err error) (retrier.Outcome, error) {
	if x.c.HTTP.Context().Err() == nil {
		// A call that its own deadline ended tells nothing about the target, unless it was sent to a silent one.
		x.s.health.observe(x.t.ID, false, time.Now())
		if ctx.Err() == nil && !pooler.Sent(err) && !errors.Is(err, pooler.ErrLimit) {
			x.s.loads.Unreached(x.t.ID, time.Now())
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.c.MayHaveRun = x.c.MayHaveRun || pooler.Sent(err)
		return retrier.Unknown, err
	}
	switch {
	case !pooler.Sent(err):
		return retrier.NotRun, err
	case x.c.Route.Idempotent():
		x.c.MayHaveRun = true
		return retrier.Repeatable, err
	}
	x.c.MayHaveRun = true
	return retrier.Unknown, err
}

// handleNotRun judges an answer that says that the target has not run the call.
func (x *targetRequest) handleNotRun(reply ResponseHeaders, status int) (retrier.Outcome, error) {
	if reply.Misdirected {
		x.c.MisdirectedCount++
		x.assumeDesiredVersion(reply)
	} else {
		x.s.loads.Refused(x.t.ID, time.Now())
	}
	return retrier.NotRun, fmt.Errorf("target %s has not run it: status %d", x.t.ID, status)
}

// assumeDesiredVersion takes it that a target which is the right one, but has not the weights that the call named, has those that
// the operator named; the call may be sent to it again.
func (x *targetRequest) assumeDesiredVersion(reply ResponseHeaders) {
	named, ok := x.s.Watcher.View().Named(x.c.Headers.Prompt.Model)
	if reply.TargetID != x.t.ID || !ok || x.c.WeightVersion == 0 || x.c.WeightVersion >= named.Version {
		return
	}
	x.s.loads.SetVersion(balancer.WeightsOf(x.t, x.c.Headers.Prompt.Model), named.Version)
	x.c.TriedTargets = x.c.TriedTargets[:len(x.c.TriedTargets)-1]
	x.c.MisdirectedCount--
}

// recordResponse takes what an answer tells about its target.
func (x *targetRequest) recordResponse(r ResponseHeaders) {
	now := time.Now()
	if r.Load != nil {
		x.s.loads.Report(x.t.ID, *r.Load, now)
	}
	for model, v := range r.WeightVersions {
		if model == "" {
			model = x.c.Headers.Prompt.Model
		}
		x.s.loads.SetVersion(balancer.WeightsOf(x.t, model), v)
	}
	if !r.NotRun && !r.Misdirected && x.c.Service.Engine != nil {
		x.s.loads.Sent(x.t.ID, scopedKeys(x.c.Scope, x.c.Headers.Prompt.sharedBlockIDs()), now)
	}
}

// encode returns the request as it is sent to the target.
func (x *targetRequest) encode(left time.Duration) []byte {
	c := x.c
	h := c.HTTP.Header.Clone()
	o := TargetHeaders{
		Timeout: left, Target: x.t.ID, WeightVersion: c.WeightVersion, Scope: c.Scope, Priority: c.priority(), LastEventID: c.Headers.LastEventID,
	}
	if c.Account != nil {
		o.Account = c.Account.Name
	}
	x.addKVPlan(&o)
	x.s.Codec.WriteTarget(h, o)
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

// addKVPlan says where the shared parts of the prompt are fetched from and saved to; the last part is the call's own and
// is not kept. A fetch is given up in time to read the parts instead: links may be slow.
func (x *targetRequest) addKVPlan(o *TargetHeaders) {
	c, a := x.c, x.s.Archiver
	if a == nil || c.Scope == "" || !x.s.hasDesiredVersion(c) {
		return
	}
	clock, ok := a.Clock()
	if !ok {
		return
	}
	plan := a.Plan(c.Scope, c.Headers.Prompt.sharedBlockIDs(), time.Now())
	o.FetchFrom, o.SaveTo = append(plan.Fetch, ""), append(plan.Save, "")
	o.FetchDeadline = clock + time.Duration(fetchFraction*float64(c.Route.Objective)) + balancer.ReadTime(c.Headers.Prompt.SharedTokens())
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

// impliesNotRun reports whether a status promises that the call has not run; only an explicit word of the target does.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
