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

// RetryState is the retry budget and the health of targets that all requests of an instance share.
type RetryState struct {
	mu      sync.Mutex
	budget  retrier.Budget
	ejector *retrier.Ejector
}

// NewRetryState returns a full budget without targets.
func NewRetryState() *RetryState { return &RetryState{ejector: retrier.NewEjector(nil)} }

// SetPools takes the targets of the configuration: each model and each service is a pool.
func (x *RetryState) SetPools(cfg *configurer.Config) {
	pools := map[string][]string{}
	for _, t := range cfg.Targets {
		for _, m := range t.Models {
			pools["model/"+m] = append(pools["model/"+m], t.ID)
		}
		for _, s := range t.Services {
			pools["service/"+s] = append(pools["service/"+s], t.ID)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ejector.SetPools(pools)
}

// TargetState returns the state of a target by the chart target.toml.
func (x *RetryState) TargetState(id string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return string(x.ejector.State(id))
}

func (x *RetryState) recordRequest() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.budget = x.budget.WithRequest()
}

// decideRetry decides about another attempt and charges the budget.
func (x *RetryState) decideRetry(a retrier.Attempt) retrier.Decision {
	x.mu.Lock()
	defer x.mu.Unlock()
	d := retrier.Decide(a, x.budget, rand.Uint64())
	if d.Retry {
		x.budget = x.budget.WithRetry()
	}
	return d
}

// pickTarget returns the index of the first target that may get new work and is not ejected, else of the first that may get
// new work, else 0.
func (x *RetryState) pickTarget(ts []*view.Target, now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	usable := -1
	for i, t := range ts {
		x.ejector.SetLeaving(t.ID, t.Target.Leaving || t.Status.Leaving)
		if !t.Usable() {
			continue
		}
		if x.ejector.Allows(t.ID, now) {
			return i
		}
		if usable < 0 {
			usable = i
		}
	}
	return max(0, usable)
}

func (x *RetryState) recordResult(id string, ok bool, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ejector.Observe(id, ok, now)
}

// attemptError is the last failure of a request's attempts.
type attemptError struct {
	err error
	// notRun: no attempt can have run.
	notRun bool
}

// Error implements error.
func (e *attemptError) Error() string { return e.err.Error() }

// Unwrap returns the failure.
func (e *attemptError) Unwrap() error { return e.err }

// tryTargets sends a request to the targets in turn until one attempt succeeds, its failure is final, or the retry policy
// ends it; moved tells that the request had an attempt before. A failure is an *attemptError.
//
// It serves repeatable calls as well: try sends the call to t and returns what is known of a failure.
func (s *Step) tryTargets(
	ctx context.Context, ts []*view.Target, deadline time.Time, moved bool,
	try func(ctx context.Context, t *view.Target) (retrier.Outcome, error),
) error {
	n, notRun := 0, !moved
	if !moved {
		s.RetryState.recordRequest()
	} else if n++; !s.RetryState.decideRetry(retrier.Attempt{Number: n, Outcome: retrier.Repeatable, Remaining: deadline.Sub(s.Now())}).Retry {
		return &attemptError{err: errors.New("no retry is left for the run")}
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

// outcome tells what is known of a run that could not be opened. Runs have no effect but their answer, so one that may
// have begun may run again.
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
		// The target understood the request and will not run it, nor will another one.
		return retrier.Done
	case errors.As(err, &op) && op.Op == "dial":
		return retrier.NotRun
	}
	return retrier.Repeatable
}

// isHealthy reports whether a result speaks for the target: an answer with an error status that is not a failure of the
// target does, and so does a refusal of too many requests.
func isHealthy(err error) bool {
	var refused *dialer.StatusError
	if errors.As(err, &refused) {
		return refused.Status < http.StatusInternalServerError
	}
	return err == nil
}
