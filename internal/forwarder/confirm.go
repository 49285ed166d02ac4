package forwarder

import (
	"context"
	"fmt"
	"time"
)

const (
	// confirmTimeout is the longest time for which the end of a stream is held back until it is confirmed. The caller has all events by then, and
	// the end must not come later than a further event would.
	confirmTimeout = 300 * time.Millisecond
	// confirmMargin is how long before the deadline the end of a stream is no longer to be confirmed, so that it reaches the caller in time.
	confirmMargin = 100 * time.Millisecond
	// confirmFraction is the fraction of the retry bound up to which the end of a stream is confirmed. The rest is for streams that are known to be
	// interrupted.
	confirmFraction = 0.5
)

// errNotConfirmed is the cause of attempts that were cancelled because the end of a stream is no longer to be confirmed. It is no fault of
// their targets.
var errNotConfirmed = fmt.Errorf("%w: the end of the stream was not confirmed in time", errWithdrawn)

// confirmation is the search for a target that knows whether a stream has a rest.
type confirmation struct {
	// response is the one whose stream has ended in order. It is complete if no rest is found.
	response *Response
	// hasRest is closed when the first event of a rest has arrived. The stream goes on like any other then.
	hasRest chan struct{}
}

// startConfirmation makes the end of the call's stream unconfirmed. The returned context ends when the stream is to count as complete: after
// confirmTimeout, shortly before the deadline, or when a stop begins, but not after a rest has been found.
func (s *Server) startConfirmation(ctx context.Context, c *Call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	conf := &confirmation{response: c.Response, hasRest: make(chan struct{})}
	c.confirmation = conf
	timeout := min(confirmTimeout, time.Until(c.Deadline)-confirmMargin)
	if gap := c.Route.MaxEventGap; gap > 0 {
		timeout = min(timeout, gap)
	}
	go func() {
		t := time.NewTimer(timeout)
		defer t.Stop()
		select {
		case <-t.C:
		case <-s.stopping:
		case <-conf.hasRest:
			return
		case <-ctx.Done():
			return
		}
		cancel(errNotConfirmed)
	}()
	return ctx, func() { cancel(nil) }
}

// restFound ends the confirmation because the stream has a rest.
func (c *Call) restFound() {
	if c.confirmation != nil {
		close(c.confirmation.hasRest)
		c.confirmation = nil
	}
}

// mayConfirm reports whether another target may be asked if the stream of the call has a rest. A stop cuts no stream off for that.
func (s *Server) mayConfirm(c *Call) bool {
	return s.stop.Load() == nil && c.Route.Resumable && c.Headers.LastEventID != ""
}
