// Package gatekeeper is the admission control step: it admits a request or
// refuses it immediately.
//
// It enforces the limits of the account, which all instances share, and the
// admission policy with a queue delay estimated from the view. A refusal is always
// "not run", since nothing has been dispatched. Prompt tokens are charged on
// admission. When the request ends, its stream is released and its output tokens
// are charged.
//
// # Usage
//
//	g := gatekeeper.NewGate("kochi-a-1", "kochi-a")
//	s := &gatekeeper.Step{Gate: g, Tracker: tracker, Now: time.Now, Seed: rand.Uint64}
package gatekeeper

import (
	"context"
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/admitter"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// drainRetryAfter is the time after which a caller of a draining instance should retry at another one.
const drainRetryAfter = 100 * time.Millisecond

// Step admits requests. Its exported fields must be set before SetDefaults.
type Step struct {
	// Gate is shared by the steps of all configurations.
	Gate    *Gate
	Tracker *tracker.Tracker
	Now     func() time.Time
	// Seed returns the random seed of a decision and of the jitter in the retry times of refused callers.
	Seed func() uint64
}

// String returns the name of the step.
func (s *Step) String() string { return "admit" }

// SetDefaults sets the accounts from the configuration.
func (s *Step) SetDefaults(cfg *configurer.Config) { s.Gate.setAccounts(cfg.Accounts, s.Now()) }

// Run admits the request and sets r.Release, or refuses it. Resumed streams are admitted unless the instance drains.
func (s *Step) Run(_ context.Context, r *request.Request) error {
	if r.View.Draining {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeDraining, "",
			"this instance is draining").WithRetryAfter(drainRetryAfter)
	}
	if r.Resume != nil {
		// The run was admitted before; refusing it would waste its work.
		return nil
	}
	now := s.Now()
	tokens := 0
	if r.Chat != nil {
		tokens = keyer.EstimateTokens(len(r.Prompt))
	}
	if d := s.Gate.acquire(r.View, r.Account, tokens, now); !d.Allowed {
		return request.Refuse(http.StatusTooManyRequests, request.CodeLimited, "", "account %q is at its limit %s", r.Account.Name, d.Limit).
			WithRetryAfter(admitter.Jitter(d.RetryAfter, s.Seed()))
	}
	if r.Chat == nil {
		r.Release = func() { s.Gate.release(r.Account, 0, s.Now()) }
		return nil
	}
	return s.admit(r, tokens, now)
}

// admit applies the admission policy to a chat, with the estimate scaled by the latency factor of the model. The prompt
// tokens of a refused chat are refunded.
func (s *Step) admit(r *request.Request, tokens int, now time.Time) error {
	averages := s.Tracker.Averages(r.Chat.Model)
	e := estimate(r, tokens, averages, now)
	factor := s.Gate.latencyFactor(r.Chat.Model)
	scaled := e
	scaled.QueueDelay, scaled.FirstTokenTime = scale(e.QueueDelay, factor), scale(e.FirstTokenTime, factor)
	scaled.ServiceTime += scaled.FirstTokenTime - e.FirstTokenTime
	scaled.QueueDelay = max(scaled.QueueDelay, poolOf(r, s.Gate.runningCount(r.Chat.Model), averages).QueueDelay())
	d := s.Gate.decide(r.Account, scaled, now, s.Seed())
	if !d.Admitted {
		s.Gate.release(r.Account, -tokens, now)
		return request.Refuse(http.StatusServiceUnavailable, request.CodeOverloaded, "", "request was not admitted: %s", d.Reason).
			WithRetryAfter(d.RetryAfter)
	}
	r.Reason = string(d.Reason)
	s.Gate.addRunning(r.Chat.Model, 1)
	r.Release = func() {
		s.Gate.addRunning(r.Chat.Model, -1)
		if !r.FirstTokenAt.IsZero() {
			s.Gate.recordLatency(r.Chat.Model, e.QueueDelay+e.FirstTokenTime, r.FirstTokenAt.Sub(now))
		}
		s.Gate.release(r.Account, r.OutputTokens, s.Now())
	}
	return nil
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }
