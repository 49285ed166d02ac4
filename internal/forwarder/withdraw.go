package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/clocker"
)

const (
	// withdrawMargin is how long before the end of the grace period calls are withdrawn from superseded weights. The target must
	// notice the closed connection before it starts the call.
	withdrawMargin = 400 * time.Millisecond
	// withdrawInterval is the time between two checks for calls to withdraw.
	withdrawInterval = 200 * time.Millisecond
)

// Causes of cancelled attempts that were withdrawn.
var (
	errSuperseded  = errors.New("the target's weights were superseded while the call was waiting")
	errQuarantined = errors.New("a block of the prompt was quarantined while the call was waiting")
)

// waitingAttempts holds the attempts at engines whose response has not started. It is safe for concurrent use.
type waitingAttempts struct {
	mu       sync.Mutex
	attempts map[*targetRequest]context.CancelCauseFunc
}

// add adds an attempt. The returned context is cancelled with the reason when the attempt is withdrawn.
func (w *waitingAttempts) add(ctx context.Context, x *targetRequest) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempts == nil {
		w.attempts = map[*targetRequest]context.CancelCauseFunc{}
	}
	w.attempts[x] = cancel
	return ctx
}

// remove removes an attempt whose response has started, or which has failed.
func (w *waitingAttempts) remove(x *targetRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.attempts, x)
}

// withdraw cancels and removes the attempts for which reason returns an error.
func (w *waitingAttempts) withdraw(reason func(*targetRequest) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x, cancel := range w.attempts {
		if err := reason(x); err != nil {
			cancel(err)
			delete(w.attempts, x)
		}
	}
}

// withdrawWaiting withdraws calls that a target must not start any more, until ctx is done: those that wait while the grace
// period of its weights ends, and those with a block that was quarantined meanwhile.
func (s *Server) withdrawWaiting(ctx context.Context) {
	t := time.NewTicker(withdrawInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		v, now, grace := s.Watcher.View(), clocker.SinceBoot(), s.settings().SupersededGrace
		s.waiting.withdraw(func(x *targetRequest) error {
			switch {
			case isPast(v.SupersededFor(x.c.Headers.Prompt.Model, x.weightVersion, now), grace-withdrawMargin):
				return errSuperseded
			case !x.c.isProbe && s.quarantine.Contains(x.blocks):
				return errQuarantined
			}
			return nil
		})
	}
}
