package forwarder

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/pooler"
	"github.com/papayaworks/papayaworks/internal/retrier"
	"github.com/papayaworks/papayaworks/internal/throttler"
)

// fetchFraction is the fraction of a call's objective that a fetch of KV cache may take, in addition to the prefill time of the
// shared blocks, before it is aborted. A fetch only starts with the call, and if it fails, the blocks must still be
// recomputed in time.
const fetchFraction = 0.5

// maxSaveWait is the longest expected wait of a call at its target with which its blocks are saved. None of them can be fetched while the
// call waits.
const maxSaveWait = 100 * time.Millisecond

// targetRequest is one attempt of a call at one target.
type targetRequest struct {
	s         *Server
	c         *Call
	t         *cataloger.Target
	startedAt time.Time
	// weightVersion is the weight version that the target must have; 0 for plain services.
	weightVersion int64
	// scope is that of the KV cache; it is empty for plain services.
	scope string
	// blocks holds the keys of the prompt's shared blocks in the quarantine.
	blocks   []uint64
	cancel   context.CancelFunc
	inFlight *balancer.InFlightRequest
	// sample is what the estimator learns from the attempt; nil if nothing.
	sample *attemptSample
	// hadPlace reports whether the target has not refused the call, so that the end of the response frees a place there.
	hadPlace bool
	// framing is how the end of the response is marked; it is empty if none has arrived.
	framing pooler.Framing
	// knownRequests is the number of requests, this one included, that the target was taken to have when it was chosen; 0 if it was chosen
	// without estimates.
	knownRequests int
	// wait is the expected time before the target starts the call.
	wait time.Duration
	// save is the save of the prompt's blocks; nil if there is none.
	save *archiver.Save
	// watch shows whether the target's process ends during a response without framing; nil for other responses.
	watch *processWatch
	// end is how a response that is not a stream ended.
	end responseEnd
}

// release ends the attempt: it cancels the context and removes the call from the in-flight load of the target.
func (x *targetRequest) release() {
	x.cancel()
	x.save.Abandon(time.Now())
	x.inFlight.End()
	x.watch.end()
	x.s.placeFreed(x)
}

// send sends the call and returns the outcome. It sets the call's response if the outcome is Done, and for a server error of
// the target that may be retried.
func (x *targetRequest) send(ctx context.Context, remaining time.Duration) (retrier.Outcome, error) {
	c := x.c
	if c.Service.Engine != nil {
		ctx = x.s.waiting.add(ctx, x)
	}
	peer := peerOf(x.t)
	peer.MaxConnections = x.s.maxConnections(c.Service)
	ex, err := x.s.pool.Do(ctx, peer, c.HTTP.Method, x.encode(remaining), func(h http.Header) bool {
		id := x.s.Codec.ResponseID(h)
		return id == c.Headers.ID || id == ""
	})
	x.s.waiting.remove(x)
	if err != nil {
		if !pooler.MaybeSent(err) {
			x.save.End()
		}
		return x.handleFailure(ctx, err)
	}
	if x.s.Codec.ResponseID(ex.Header) == "" {
		// It may be the response to any earlier request on the connection, so what it says of this one cannot be trusted.
		ex.Close()
		return x.handleFailure(ctx, &pooler.Error{Err: fmt.Errorf("response with status %d does not name its request", ex.StatusCode), MaybeSent: true})
	}
	x.framing = ex.Framing()
	x.s.loads.RecordConnected(x.t.ID)
	if !x.isStream(ex) {
		x.inFlight.ResponseStarted(time.Now())
	}
	headers := x.s.Codec.ParseResponse(ex.StatusCode, ex.Header)
	x.recordResponse(headers)
	if headers.Misdirected {
		// The call may be sent to the same target again. A second copy of this response would be taken for the one to that.
		ex.Close()
		x.save.End()
		return x.handleNotRun(headers, ex.StatusCode)
	}
	if headers.NotRun {
		x.endRefusal(ex)
		x.save.End()
		return x.handleNotRun(headers, ex.StatusCode)
	}
	if !isValid(ex.StatusCode, headers) {
		ex.DiscardBody()
		return x.handleFailure(ctx, &pooler.Error{Err: fmt.Errorf("invalid response with status %d", ex.StatusCode), MaybeSent: true})
	}
	if x.framing == pooler.FramingNone {
		x.watch = x.s.crashes.watch(x.t)
	}
	if x.isStream(ex) {
		c.MayHaveRun = true
		c.Response = &Response{Target: x.t, Status: ex.StatusCode, Header: ex.Header, Stream: ex, InFlight: x.inFlight, Release: x.release, sample: x.sample, save: x.save, watch: x.watch, sentAt: x.startedAt}
		return retrier.Done, nil
	}
	return x.readResponse(ctx, ex)
}

// readResponse reads a response that is not a stream and returns the outcome.
func (x *targetRequest) readResponse(ctx context.Context, ex *pooler.Exchange) (retrier.Outcome, error) {
	c := x.c
	length := ex.ContentLength
	if c.HTTP.Method == http.MethodHead {
		length = 0
	}
	body, err := x.s.responses.read(ex.Body, length)
	c.heldBytes += cap(body)
	if errors.Is(err, errResponseTooLong) || errors.Is(err, errResponseMemory) {
		// Another run would be as long, so the call is not retried.
		ex.Close()
		c.MayHaveRun = true
		return retrier.Unknown, fmt.Errorf("response of target %s: %w", x.t.ID, err)
	}
	readErr := err
	runs := false
	if err == nil && x.watch != nil {
		// The response is there, so the deadline of the attempt does not count any more.
		x.s.ending.add(c)
		if runs = x.s.runsOn(c.HTTP.Context(), x.watch, x.startedAt); !runs {
			x.s.ending.remove(c)
			err = errTargetEnded
		}
	}
	x.end = newResponseEnd(x.framing, cmp.Or(readErr, io.EOF), x.watch, runs)
	if err != nil {
		ex.Close()
		return x.handleFailure(ctx, &pooler.Error{Err: err, MaybeSent: true})
	}
	ex.Finish()
	x.save.End()
	c.MayHaveRun = true
	x.s.health.observe(x.t.ID, ex.StatusCode < http.StatusInternalServerError, time.Now())
	c.Response = &Response{Target: x.t, Status: ex.StatusCode, Header: ex.Header, Body: body}
	if ex.StatusCode >= http.StatusInternalServerError && c.Route.Retryable() {
		return retrier.Repeatable, fmt.Errorf("target %s returned status %d", x.t.ID, ex.StatusCode)
	}
	if isSuccess(ex.StatusCode) {
		x.s.recordSound(c)
		now := time.Now()
		x.s.loads.RecordDuration(c.Service.Name, now.Sub(x.startedAt))
		if c.HTTP.Method != http.MethodHead { // it has no output that took time
			x.sample.observe(x.s.estimates, c.Headers.Prompt.expectedOutputTokens(), now, now)
		}
	}
	return retrier.Done, nil
}

// handleFailure returns the outcome of an attempt without a valid response and records the failure of the target.
func (x *targetRequest) handleFailure(ctx context.Context, err error) (retrier.Outcome, error) {
	if cause := context.Cause(ctx); errors.Is(cause, errWithdrawn) {
		err = &pooler.Error{Err: cause, MaybeSent: pooler.MaybeSent(err)}
		if errors.Is(cause, errIsolated) {
			x.c.forgive(x.t.ID) // with the new scope
		}
	} else if x.c.HTTP.Context().Err() == nil {
		x.s.health.observe(x.t.ID, false, time.Now())
		// An attempt that the call's own deadline ended does not show that the target is unreachable. A target that does not
		// respond at all is covered by unresponsiveTimeout.
		if ctx.Err() == nil && !pooler.MaybeSent(err) && !errors.Is(err, pooler.ErrConnectionLimit) {
			x.s.loads.RecordConnectFailure(x.t.ID, time.Now())
			x.s.recordUnreachable(x.t, err, time.Now())
		}
		if ctx.Err() == nil && pooler.MaybeSent(err) && x.c.Service.Engine != nil {
			x.s.crashes.report(x.t, interruptedCall{blocks: x.s.blockKeys(x.c)})
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.c.MayHaveRun = x.c.MayHaveRun || pooler.MaybeSent(err)
		return retrier.Unknown, err
	}
	switch {
	case !pooler.MaybeSent(err):
		return retrier.NotRun, err
	case x.c.Route.Retryable():
		x.c.MayHaveRun = true
		return retrier.Repeatable, err
	}
	x.c.MayHaveRun = true
	return retrier.Unknown, err
}

// handleNotRun returns the outcome of an attempt whose response states that the target has not run the call.
func (x *targetRequest) handleNotRun(headers ResponseHeaders, status int) (retrier.Outcome, error) {
	if headers.Misdirected {
		x.c.MisdirectedCount++
		x.assumeDesiredVersion(headers)
	} else {
		x.s.recordRefusal(x)
	}
	return retrier.NotRun, fmt.Errorf("target %s did not run the call: status %d", x.t.ID, status)
}

// assumeDesiredVersion handles a misdirected call to the right target: the target no longer has the superseded version that
// the call required. The call may be sent to it again with the desired version, which it most likely has. This is not recorded
// as the target's version, since the target may have one in between and would then never be updated.
func (x *targetRequest) assumeDesiredVersion(headers ResponseHeaders) {
	c := x.c
	desired, ok := x.s.Watcher.View().DesiredVersion(c.Headers.Prompt.Model)
	if headers.TargetID != x.t.ID || !ok || c.WeightVersion == 0 {
		return
	}
	if c.WeightVersion >= desired.Version {
		x.s.loads.RecordRefusal(x.t.ID, time.Now())
		return
	}
	if c.AssumedVersions == nil {
		c.AssumedVersions = map[string]int64{}
	}
	c.AssumedVersions[x.t.ID] = desired.Version
	c.TriedTargets = c.TriedTargets[:len(c.TriedTargets)-1]
	c.MisdirectedCount--
}

// recordResponse records the load, the weight versions and the cached blocks of the target from a response.
func (x *targetRequest) recordResponse(r ResponseHeaders) {
	now := time.Now()
	x.hadPlace = !r.NotRun && !r.Misdirected
	if !r.Misdirected || r.TargetID == x.t.ID { // another target may have the address
		x.s.throttle.Record(throttler.ProcessOf(x.t), r.Statement, now)
		x.recordWarmup(r, now)
	}
	x.recordLoad(r, now)
	for model, v := range r.WeightVersions {
		if model == "" {
			model = x.c.Headers.Prompt.Model
		}
		x.s.loads.SetVersion(balancer.WeightsKeyOf(x.t, model), v)
	}
	if !r.NotRun && !r.Misdirected && x.c.Service.Engine != nil {
		x.s.loads.RecordSentBlocks(x.t.ID, scopedKeys(x.c.Scope, x.c.Headers.Prompt.sharedBlockIDs()), now)
	}
}

// encode returns the HTTP/1.1 request for the target.
func (x *targetRequest) encode(remaining time.Duration) []byte {
	c := x.c
	h := c.HTTP.Header.Clone()
	headers := TargetHeaders{
		Timeout: remaining, Target: x.t.ID, WeightVersion: c.WeightVersion, Scope: c.Scope, Priority: c.priority(), LastEventID: c.Headers.LastEventID,
	}
	if c.Account != nil {
		headers.Account = c.Account.Name
	}
	x.addKVPlan(&headers)
	x.s.Codec.WriteTarget(h, headers)
	if len(c.Body) > 0 || c.HTTP.Method != http.MethodGet && c.HTTP.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(c.Body)))
	}
	var b bytes.Buffer
	b.Grow(len(c.Body) + 1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.HTTP.Method, c.HTTP.RequestURI, c.HTTP.Host)
	h.Del("Host")
	_ = h.Write(&b) // writes to a bytes.Buffer do not fail
	b.WriteString("\r\n")
	b.Write(c.Body)
	return b.Bytes()
}

// addKVPlan adds the KV store addresses from which the shared blocks of the prompt are fetched and to which they are saved. The
// last block is specific to the call and not stored. A fetch over a slow link is aborted in time to recompute the blocks.
func (x *targetRequest) addKVPlan(headers *TargetHeaders) {
	c, a := x.c, x.s.Archiver
	if a == nil || c.Scope == "" || !x.s.hasDesiredVersion(c) {
		return
	}
	clock, ok := a.TargetClock()
	if !ok {
		return
	}
	planFor := a.Plan
	if x.wait > maxSaveWait {
		planFor = a.PlanFetch
	}
	plan := planFor(c.Scope, c.Headers.Prompt.sharedBlockIDs(), x.s.storesAllowed(c), time.Now())
	headers.FetchFrom, headers.SaveTo = append(plan.FetchFrom, ""), append(plan.SaveTo, "")
	headers.FetchDeadline = clock + time.Duration(fetchFraction*float64(c.Route.Objective)) + balancer.PrefillTime(c.Headers.Prompt.SharedTokens())
	if plan.FetchBefore > 0 {
		headers.FetchDeadline = min(headers.FetchDeadline, plan.FetchBefore)
	}
	x.save = plan.Save
	x.save.ExpireAt(c.Deadline)
}

// priority returns the priority of the call; 0 is the most urgent. That of the account takes precedence over the route's.
func (c *Call) priority() int {
	if c.Account != nil && c.Account.HasPriority {
		return c.Account.Priority
	}
	return c.Route.Priority
}

// peerOf returns the process of a target as the pool knows it, without a limit of connections.
func peerOf(t *cataloger.Target) pooler.Peer {
	return pooler.Peer{Address: t.Address, Process: pooler.Process(processOf(t))}
}

// isStream reports whether the response is a stream. That to HEAD has no events, whatever its type.
func (x *targetRequest) isStream(ex *pooler.Exchange) bool {
	return x.c.HTTP.Method != http.MethodHead && isSuccess(ex.StatusCode) && strings.HasPrefix(ex.Header.Get("Content-Type"), "text/event-stream")
}

func isSuccess(status int) bool { return status < http.StatusMultipleChoices }

// isValid reports whether a response of a target that does not state that the call was not run may be delivered.
func isValid(status int, headers ResponseHeaders) bool {
	return (headers.HasSignature || !isSuccess(status)) && !impliesNotRun(status) && http.StatusText(status) != ""
}

// impliesNotRun reports whether callers may infer from the status that the call has not run. A response with such a status is
// invalid unless the target states explicitly that it has not run the call.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
