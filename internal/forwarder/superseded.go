package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/clocker"
)

// publishAnnounceFactor is how long a published weight version is announced, in grace periods of superseded weights. Weights
// that were superseded before that are past their grace period at every instance.
const publishAnnounceFactor = 2

const (
	// withdrawMargin is how long before the end of the grace period calls are withdrawn from superseded weights. The target must
	// notice the closed connection before it starts the call.
	withdrawMargin = 400 * time.Millisecond
	// withdrawInterval is the time between two checks for calls to withdraw.
	withdrawInterval = 200 * time.Millisecond
)

// errSuperseded is the cause of a cancelled attempt whose target has not started it while its weights were permitted.
var errSuperseded = errors.New("the target's weights were superseded while the call was waiting")

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

// recentVersions returns the weight versions of each model that this instance has recently observed, with the last one before
// them, so that instances that started or read a version later know for how long older ones have been superseded. Times that
// are only bounds, or that another instance has announced, are sent as unknown.
func (s *Server) recentVersions() []announcer.PublishedVersion {
	v, now := s.Watcher.View(), clocker.SinceBoot()
	oldest := now - publishAnnounceFactor*s.settings().SupersededGrace
	var out []announcer.PublishedVersion
	for _, model := range v.DesiredModels() {
		ds := v.DesiredVersions(model)
		for i := len(ds) - 1; i >= 0; i-- {
			isObserved := ds[i].Source == cataloger.Observed
			if i == len(ds)-1 && (!isObserved || ds[i].PublishedAt < oldest) {
				break
			}
			p := announcer.PublishedVersion{Model: model, Version: ds[i].Version, Age: -1}
			if isObserved {
				p.Age = now - ds[i].PublishedAt
			}
			out = append(out, p)
			if !isObserved || ds[i].PublishedAt < oldest {
				break
			}
		}
	}
	return out
}

// mergePublishTimes applies the publish times that another instance announced.
func (s *Server) mergePublishTimes(ctx context.Context, ps []announcer.PublishedVersion) {
	if len(ps) == 0 {
		return
	}
	now := clocker.SinceBoot()
	merge := func(v *cataloger.View) *cataloger.View {
		for _, p := range ps {
			at := cataloger.UnknownTime
			if p.Age >= 0 {
				at = now - p.Age
			}
			v = v.WithPublishTime(p.Model, p.Version, at)
		}
		return v
	}
	if v := s.Watcher.View(); merge(v) != v {
		s.Watcher.Apply(ctx, merge)
	}
}

// isPast reports whether weights have been superseded for at least a limit. Those of the desired version never are.
func isPast(superseded, limit time.Duration) bool { return superseded > 0 && superseded >= limit }
