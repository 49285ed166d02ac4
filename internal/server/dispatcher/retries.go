package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/retrier"
	"github.com/papayaworks/papayaworks/internal/sleeper"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// RetryState is the retry budget and the health of the targets, shared by all requests of an instance. It is safe for
// concurrent use.
type RetryState struct {
	mu      sync.Mutex
	budget  retrier.Budget
	ejector *retrier.Ejector
}

// NewRetryState returns a state with a full budget and without targets.
func NewRetryState() *RetryState { return &RetryState{ejector: retrier.NewEjector(nil)} }

// SetPools sets the target pools from the configuration: one for each model and each service.
func (s *RetryState) SetPools(cfg *configurer.Config) {
	pools := map[string][]string{}
	for _, t := range cfg.Targets {
		for _, m := range t.Models {
			pools["model/"+m] = append(pools["model/"+m], t.ID)
		}
		for _, svc := range t.Services {
			pools["service/"+svc] = append(pools["service/"+svc], t.ID)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejector.SetPools(pools)
}

// TargetState returns the state of a target in the state chart target.toml, such as "ejected".
func (s *RetryState) TargetState(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.ejector.State(id))
}

func (s *RetryState) recordRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget = s.budget.WithRequest()
}

// decideRetry decides whether to make another attempt, and if so, charges it to the budget.
func (s *RetryState) decideRetry(a retrier.Attempt) retrier.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := retrier.Decide(a, s.budget, rand.Uint64())
	if d.Retry {
		s.budget = s.budget.WithRetry()
	}
	return d
}

// pickTarget returns the index of the first usable target that is not ejected. If there is none, it returns the index of
// the first usable target, or 0 if none is usable.
func (s *RetryState) pickTarget(ts []*view.Target, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := -1
	for i, t := range ts {
		s.ejector.SetLeaving(t.ID, t.Target.Leaving || t.Status.Leaving)
		if !t.Usable() {
			continue
		}
		if s.ejector.Allows(t.ID, now) {
			return i
		}
		if usable < 0 {
			usable = i
		}
	}
	return max(0, usable)
}

func (s *RetryState) recordResult(id string, ok bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejector.Observe(id, ok, now)
}

// attemptError is the error of a request's last attempt.
type attemptError struct {
	err error
	// notRun reports whether certainly no attempt has run.
	notRun bool
}

// Error implements error.
func (e *attemptError) Error() string { return e.err.Error() }

// Unwrap returns the error of the attempt.
func (e *attemptError) Unwrap() error { return e.err }

// tryTargets calls try for the targets in the order of pickTarget until an attempt succeeds, its error is final, or the
// retry policy allows no further attempt. A target that failed is not tried again, except for the last one that is left.
// rerun reports whether an earlier attempt of the request has started, so that the first one counts as a retry. The error
// is an *attemptError.
//
// try sends the request to a target and returns what is known about its execution if it failed.
func (s *Step) tryTargets(
	ctx context.Context, ts []*view.Target, deadline time.Time, rerun bool,
	try func(ctx context.Context, t *view.Target) (retrier.Outcome, error),
) error {
	n, notRun := 0, !rerun
	if !rerun {
		s.RetryState.recordRequest()
	} else if n++; !s.RetryState.decideRetry(retrier.Attempt{Number: n, Outcome: retrier.Repeatable, Remaining: deadline.Sub(s.Now())}).Retry {
		return &attemptError{err: errors.New("retry policy allows no rerun")}
	}
	for {
		n++
		i := s.RetryState.pickTarget(ts, s.Now())
		t := ts[i]
		out, err := try(ctx, t)
		if ctx.Err() == nil {
			s.RetryState.recordResult(t.ID, isHealthy(err), s.Now())
		}
		if err == nil {
			return nil
		}
		notRun = notRun && out == retrier.NotRun
		failed := &attemptError{err: err, notRun: notRun}
		if ctx.Err() != nil {
			return failed
		}
		if len(ts) > 1 {
			ts = append(ts[:i:i], ts[i+1:]...)
		}
		d := s.RetryState.decideRetry(retrier.Attempt{Number: n, Outcome: out, Remaining: deadline.Sub(s.Now())})
		if s.OnDecision != nil {
			s.OnDecision("retry", t.ID, d.Reason)
		}
		if !d.Retry || !sleeper.Sleep(ctx, d.Delay) {
			return failed
		}
	}
}

// outcome returns what is known about the execution of a run whose stream could not be opened. Runs have no side effects,
// so one that may have started can be repeated.
func outcome(err error) retrier.Outcome {
	var refused *dialer.StatusError
	var op *net.OpError
	switch {
	case errors.As(err, &refused):
		switch refused.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusConflict, http.StatusNotFound:
			return retrier.NotRun
		}
		if refused.Status >= http.StatusInternalServerError {
			return retrier.Repeatable
		}
		// The target rejected the request itself, so another target would do the same.
		return retrier.Done
	case errors.As(err, &op) && op.Op == "dial":
		return retrier.NotRun
	}
	return retrier.Repeatable
}

// isHealthy reports whether a result shows that the target works. Statuses below 500 do, including 429.
func isHealthy(err error) bool {
	var refused *dialer.StatusError
	if errors.As(err, &refused) {
		return refused.Status < http.StatusInternalServerError
	}
	return err == nil
}
