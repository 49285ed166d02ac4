// Package gatekeeper is the step that admits a request or refuses it at once.
//
// It applies the account's limits, which all instances share, and the admission
// policy with the wait that the view lets it expect. A refusal here is always
// "not run": nothing was sent anywhere. What a request took is given back when
// it ends, and its tokens are charged then.
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

// drainRetryAfter is when a caller that reached a leaving instance should try another one.
const drainRetryAfter = 100 * time.Millisecond

// Step admits requests.
type Step struct {
	// Gate is shared by the steps of all configurations.
	Gate    *Gate
	Tracker *tracker.Tracker
	Now     func() time.Time
	// Seed spreads the times after which refused callers come back.
	Seed func() uint64
}

// String names the step.
func (s *Step) String() string { return "admit" }

// SetDefaults takes the accounts of the configuration.
func (s *Step) SetDefaults(cfg *configurer.Config) { s.Gate.setAccounts(cfg.Accounts, s.Now()) }

// Run admits the request.
func (s *Step) Run(_ context.Context, r *request.Request) error {
	if r.View.Draining {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeDraining, "",
			"this instance is leaving").WithRetryAfter(drainRetryAfter)
	}
	if r.Resume != nil {
		// Its run was admitted before; refusing it would waste that work.
		return nil
	}
	now := s.Now()
	tokens := 0
	if r.Chat != nil {
		tokens = keyer.EstimateTokens(len(r.Prompt))
	}
	if d := s.Gate.take(r.View, r.Account, tokens, now); !d.Allowed {
		return request.Refuse(http.StatusTooManyRequests, request.CodeLimited, "", "account %q is at its limit %s", r.Account.Name, d.Limit).
			WithRetryAfter(admitter.Jitter(d.RetryAfter, s.Seed()))
	}
	if r.Chat == nil {
		r.Release = func() { s.Gate.finish(r.Account, 0, s.Now()) }
		return nil
	}
	return s.admit(r, tokens, now)
}

// admit asks the admission policy about a chat.
func (s *Step) admit(r *request.Request, tokens int, now time.Time) error {
	means := s.Tracker.Averages(r.Chat.Model)
	e := expect(r, tokens, means, now)
	factor := s.Gate.factor(r.Chat.Model)
	scaled := e
	scaled.QueueDelay, scaled.FirstTokenTime = scale(e.QueueDelay, factor), scale(e.FirstTokenTime, factor)
	scaled.ServiceTime += scaled.FirstTokenTime - e.FirstTokenTime
	scaled.QueueDelay = max(scaled.QueueDelay, pool(r, s.Gate.own(r.Chat.Model), means).QueueDelay())
	d := s.Gate.decide(r.Account, scaled, now, s.Seed())
	if !d.Admitted {
		s.Gate.finish(r.Account, -tokens, now)
		return request.Refuse(http.StatusServiceUnavailable, request.CodeOverloaded, "", "request was not admitted: %s", d.Reason).
			WithRetryAfter(d.RetryAfter)
	}
	r.Reason = string(d.Reason)
	s.Gate.begin(r.Chat.Model, 1)
	r.Release = func() {
		s.Gate.begin(r.Chat.Model, -1)
		if !r.FirstTokenAt.IsZero() {
			s.Gate.learn(r.Chat.Model, e.QueueDelay+e.FirstTokenTime, r.FirstTokenAt.Sub(now))
		}
		s.Gate.finish(r.Account, r.OutputTokens, s.Now())
	}
	return nil
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }
