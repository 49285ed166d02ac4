package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/admitter"
	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/pooler"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/retrier"
)

const (
	// leastLeft is the time below which a call is not sent any more; no target could answer it.
	leastLeft = 5 * time.Millisecond
	// retryPart of the bound on retries is used, since windows slide and instances come and go.
	retryPart = 0.8
	// leastInstances share the slack of the bound, also while the others are not known yet.
	leastInstances = 4
	// longCall is how many tokens fill so much of a target's memory, and take so long to be read, that the others are told
	// at once.
	longCall = 6000
	// connectionPart of the connections that a target bears is used, since instances come and go.
	connectionPart = 0.9
	// leastConnections lets an instance use a target at all.
	leastConnections = 2
	// maxSends bounds the sends of a call that were proven not to have run.
	maxSends = 4
	// maxUnsent bounds the targets that could not be reached for a call.
	maxUnsent = 4
	// refusedRetryAfter is when targets that are full may have room.
	refusedRetryAfter = 300 * time.Millisecond
	// versionMargin is how much earlier than the operator's bound no call is sent to older weights: the naming is seen
	// late, and a call waits at its target before it begins.
	versionMargin = 1500 * time.Millisecond
	// engineLoadLife is how old a load of an engine may be, whose calls last for seconds.
	engineLoadLife = 2 * time.Second
	// plainLoadLives is how many mean times of a call old a load of a plain service may be.
	plainLoadLives = 3
	// silentTime is how long a target may leave calls without a word until others are preferred.
	silentTime = 700 * time.Millisecond
	// versionGrace is how long after newer weights were named calls on older ones are as good.
	versionGrace = 1200 * time.Millisecond
)

// dispatchStep sends a call to targets until one has answered it.
type dispatchStep struct{ s *Server }

// String names the step.
func (*dispatchStep) String() string { return "dispatch" }

// Run dispatches the call.
func (st *dispatchStep) Run(ctx context.Context, c *Call) error {
	st.s.budgets.request(c.Service.Name, st.s.retryWindow(), c.Received)
	return st.s.dispatch(ctx, c)
}

// dispatch sends a call, or the rest of a stream, to targets until one answers.
func (s *Server) dispatch(ctx context.Context, c *Call) error {
	for {
		out, err := s.attempt(ctx, c)
		if out == retrier.Done {
			return nil
		}
		if ctx.Err() != nil {
			return request.Fail(http.StatusBadGateway, request.CodeInternal, "the caller has gone")
		}
		if !s.again(c, out, err) {
			return s.giveUp(c, err)
		}
	}
}

// again reports whether a call whose last attempt ended with an outcome and an error is sent once more.
func (s *Server) again(c *Call, out retrier.Outcome, err error) bool {
	switch {
	case out == retrier.Unknown, time.Until(c.Deadline) < leastLeft:
		return false
	case !pooler.Sent(err):
		// It has not reached the target, so it is no further send there, and the bound on these does not count it.
		c.Unsent++
		return c.Unsent <= maxUnsent
	case len(c.Tried)-c.Unsent >= maxSends, c.runs() >= max(1, c.Route.MaxAttempts):
		return false
	}
	return s.budgets.take(c.Service.Name, s.retryWindow(), time.Now())
}

// retryWindow returns this instance's part of the bound on retries: the share holds for the sum of all instances, and
// the slack is divided among those that are known.
func (s *Server) retryWindow() retrier.Window {
	set := s.settings()
	slack := int(retryPart * float64(set.RetrySlack) / float64(s.sharers()))
	return retrier.Window{Share: retryPart * set.RetryShare, Slack: slack, Length: set.RetryWindow}
}

// sharers returns among how many instances what is bounded for all of them is divided.
func (s *Server) sharers() int {
	if s.Announcer == nil {
		return leastInstances
	}
	return max(leastInstances, s.Announcer.PeerCount()+1)
}

// connections returns how many connections this instance may have to a target of a service, which bears so many from all
// of them; 0 means any number.
func (s *Server) connections(svc *cataloger.Service) int {
	if svc.MaxConnections <= 0 {
		return 0
	}
	return max(leastConnections, int(connectionPart*float64(svc.MaxConnections)/float64(s.sharers())))
}

// runs counts the targets at which the call counts as sent.
func (c *Call) runs() int { return len(c.Tried) - c.Misdirected - c.Unsent }

// giveUp returns the caller's error for a call that no target has answered.
func (s *Server) giveUp(c *Call, err error) error {
	switch {
	case c.Answer != nil && !c.Begun:
		return nil // the last target's own failure is the answer
	case c.Sent && time.Until(c.Deadline) < leastLeft:
		return request.Fail(http.StatusGatewayTimeout, request.CodeOutcomeUnknown, "no answer in time: %v", err)
	case c.Sent:
		return request.Fail(http.StatusBadGateway, request.CodeOutcomeUnknown, "%v", err)
	}
	return request.Refuse(http.StatusServiceUnavailable, request.CodeOverloaded, "", "no target took the call: %v", err).
		WithRetryAfter(admitter.Jitter(max(refusedRetryAfter, c.Wait), rand.Uint64()))
}

// attempt sends the call to one target. With the outcome Done, the call has its answer.
func (s *Server) attempt(ctx context.Context, c *Call) (retrier.Outcome, error) {
	now := time.Now()
	d, err := s.choose(c, now)
	if err != nil {
		// Nothing was sent, and another try would find the same targets.
		if errors.Is(err, balancer.ErrLate) {
			c.Wait = d.Cost
		}
		return retrier.Unknown, err
	}
	t := d.Target
	left := c.Deadline.Sub(now)
	if left < leastLeft {
		return retrier.Unknown, errors.New("no time is left")
	}
	c.Version, c.Scope = s.scope(c, t)
	c.Tried = append(c.Tried, t.ID)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	flight := announcer.InFlight{Requests: 1, Tokens: c.Ask.Prompt.In + c.Ask.Prompt.expectedOut(), PrefillTokens: d.Read}
	if s.Announcer != nil && flight.Tokens >= longCall {
		s.Announcer.AnnounceStart(t.ID, flight)
	}
	x := &send{s: s, c: c, t: t, begun: now, cancel: cancel, hold: s.book.Begin(t.ID, flight, now)}
	out, err := x.run(ctx, left)
	s.attempted(c, Trial{
		Target: t.ID, Reason: d.Reason, ExpectedMs: d.Cost.Milliseconds(), Busy: d.Busy, Version: c.Version, Ms: time.Since(now).Milliseconds(),
	}, out, err)
	if c.Answer == nil || c.Answer.Stream == nil {
		x.release()
	}
	return out, err
}

// choose asks the policy for a target among those that can take the call.
func (s *Server) choose(c *Call, now time.Time) (balancer.Decision, error) {
	targets := s.usable(c, now)
	mean := s.book.Service(c.Service.Name)
	in := balancer.Input{Engine: c.Service.Engine != nil, Seed: rand.Uint64()}
	for _, t := range targets {
		load := s.load(t.ID, loadLife(in.Engine, mean), now)
		in.Candidates = append(in.Candidates, balancer.Candidate{
			Target: t, Remote: t.DataCentre != s.settings().DataCentre, Home: 1, Service: mean, Old: s.isOld(c, t, now),
			Busy: load.Requests, Tokens: load.Tokens, Reading: load.PrefillTokens,
		})
	}
	if in.Engine {
		s.addPrompt(&in, c, targets, mean, now)
	}
	return balancer.Choose(in)
}

// addPrompt tells the policy what the prompt needs and where its shared parts are.
func (s *Server) addPrompt(in *balancer.Input, c *Call, targets []*cataloger.Target, mean time.Duration, now time.Time) {
	p := c.Ask.Prompt
	in.Shared, in.Out, in.Objective = p.Shared(), p.expectedOut(), c.Route.Objective
	in.Own = p.In - in.Shared
	in.Capacity, in.Hold = c.Service.Engine.CapacityTokens, mean
	ids := p.sharedIDs()
	if len(ids) == 0 {
		return
	}
	// Targets have one or two weight versions, each with a scope of its own.
	kept, keys := map[string]int{}, map[string][]string{}
	homes := balancer.Homes(ids[len(ids)-1], targets)
	for i, t := range targets {
		cand := &in.Candidates[i]
		_, scope := s.scope(c, t)
		if keys[scope] == nil {
			keys[scope] = scoped(scope, ids)
			if s.Archiver != nil {
				kept[scope] = tokensOf(p.Parts[:s.Archiver.Lookup(scope, ids, now)])
			}
		}
		cand.Home, cand.Kept = homes[i], kept[scope]
		cand.Seen = tokensOf(p.Parts[:s.book.Seen(t.ID, keys[scope], now)])
	}
}

// loadLife returns how old a load may be that a decision counts on: calls of plain services are over sooner.
func loadLife(engine bool, mean time.Duration) time.Duration {
	if engine {
		return engineLoadLife
	}
	return min(engineLoadLife, plainLoadLives*mean)
}

// load returns what is in flight at a target: that of this instance, and what the others and the target itself told.
func (s *Server) load(id string, maxAge time.Duration, now time.Time) announcer.InFlight {
	own := s.book.Own(id)
	if s.Announcer != nil {
		own = own.Add(s.Announcer.RemoteInFlight(id, maxAge, now))
	}
	own.Requests = max(own.Requests, s.book.Busy(id, maxAge, now))
	return own
}

// usable returns the targets of the call's service that may get it; those that fail are left out unless all do.
func (s *Server) usable(c *Call, now time.Time) []*cataloger.Target {
	var out, failing []*cataloger.Target
	limit := s.connections(c.Service)
	for _, t := range s.Watcher.View().Targets(c.Service.Name) {
		standing := s.book.Standing(t.ID, now)
		switch {
		case t.Leaving, slices.Contains(c.Tried, t.ID), !s.versionAllowed(c, t, now):
		case limit > 0 && standing.Own.Requests >= limit:
		case s.Orderer != nil && s.Orderer.IsSwapping(t.ID):
			failing = append(failing, t)
		case standing.Refuses, standing.Unreachable, standing.Silent > silentTime, !s.health.allows(t.ID, now):
			failing = append(failing, t)
		default:
			out = append(out, t)
		}
	}
	if len(out) == 0 {
		return failing
	}
	return out
}

// versionOf returns the weight version of a target as far as it is known.
func (s *Server) versionOf(t *cataloger.Target, model string) int64 {
	return max(t.Versions[model], s.book.Version(balancer.WeightsOf(t, model)))
}

// isOld reports whether an answer of the target is worth less because newer weights were named.
func (s *Server) isOld(c *Call, t *cataloger.Target, now time.Time) bool {
	return s.replaced(c, t, now) > versionGrace
}

// replaced returns for how long the target's weights have been replaced.
func (s *Server) replaced(c *Call, t *cataloger.Target, now time.Time) time.Duration {
	model := c.Ask.Prompt.Model
	return s.Watcher.View().SupersededFor(model, s.versionOf(t, model), now)
}

// isNewest reports whether the call runs on the newest weights that were named; only their context is kept.
func (s *Server) isNewest(c *Call) bool {
	named, ok := s.Watcher.View().DesiredVersion(c.Ask.Prompt.Model)
	return !ok || c.Version >= named.Version
}

// versionAllowed reports whether calls may still begin on the target's weights.
func (s *Server) versionAllowed(c *Call, t *cataloger.Target, now time.Time) bool {
	if c.Service.Engine == nil {
		return true
	}
	return s.replaced(c, t, now) < s.settings().VersionTime-versionMargin
}

// scope returns the weight version on which a target runs the call, and the scope of its kept context: the version is
// part of it, and so is the account if it is isolated.
func (s *Server) scope(c *Call, t *cataloger.Target) (int64, string) {
	if c.Service.Engine == nil {
		return 0, ""
	}
	account := ""
	if c.Account != nil && c.Account.Isolated {
		account = c.Account.Name
	}
	v := s.versionOf(t, c.Ask.Prompt.Model)
	return v, scopeOf(c.Ask.Prompt.Model, v, account)
}

func scoped(scope string, keys []string) []string {
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = scope + "/" + k
	}
	return out
}
