package forwarder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
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
	errWithdrawn   = errors.New("withdrawn while the call was waiting")
	errSuperseded  = fmt.Errorf("%w: the target's weights were superseded", errWithdrawn)
	errQuarantined = fmt.Errorf("%w: a block of the prompt was quarantined", errWithdrawn)
	errIsolated    = fmt.Errorf("%w: an account has become isolated, or is so no longer", errWithdrawn)
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

// withdrawWaiting withdraws calls that a target must not start any more, until ctx is done.
func (s *Server) withdrawWaiting(ctx context.Context) {
	t := time.NewTicker(withdrawInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		v, now := s.Watcher.View(), clocker.SinceBoot()
		s.waiting.withdraw(func(x *targetRequest) error { return s.withdrawalReason(x, v, now) })
	}
}

// withdrawalReason returns why a call that waits at its target must not start there any more: the grace period of the target's weights ends, a
// block of the prompt was quarantined meanwhile, or its scope has KV cache of accounts that must not share with the call. It returns nil if
// the call may start.
func (s *Server) withdrawalReason(x *targetRequest, v *cataloger.View, now time.Duration) error {
	switch {
	case isPast(v.SupersededFor(x.c.Headers.Prompt.Model, x.weightVersion, now), s.settings().SupersededGrace-withdrawMargin):
		return errSuperseded
	case !x.c.isProbe && s.quarantine.Contains(x.blocks):
		return errQuarantined
	case len(x.blocks) > 0 && x.scope != s.scopeOf(x.c, x.weightVersion):
		return errIsolated
	}
	return nil
}
