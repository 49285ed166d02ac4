package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// endTimeout is how long a stop waits at its end for the checks of responses that have ended. Each takes crashCheckDelay, and together with
	// flushTimeout it must be within finishMargin.
	endTimeout = crashCheckDelay + 50*time.Millisecond
	// endSendDelay is the time in which the HTTP library sends the end of a response after its handler has returned.
	endSendDelay = 10 * time.Millisecond
	// endCheckInterval is the time between two looks at the calls that are ending.
	endCheckInterval = time.Millisecond
)

// endingCalls counts the calls whose response has ended, but whose end is being checked or has not been sent. The zero value is ready for use.
// It is safe for concurrent use.
type endingCalls struct{ n atomic.Int64 }

// add adds a call, unless it was added.
func (e *endingCalls) add(c *Call) {
	if !c.isEnding {
		c.isEnding = true
		e.n.Add(1)
	}
}

// remove removes a call if it was added.
func (e *endingCalls) remove(c *Call) {
	if c.isEnding {
		c.isEnding = false
		e.n.Add(-1)
	}
}

// wait returns once the ends of all calls have been sent, after endTimeout at the latest.
func (e *endingCalls) wait(ctx context.Context) {
	if e.n.Load() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	for e.n.Load() > 0 && sleeper.Sleep(ctx, endCheckInterval) {
	}
	sleeper.Sleep(ctx, endSendDelay)
}
