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
	// minRemaining is the time below which a call is not sent any more; no target could answer it.
	minRemaining = 5 * time.Millisecond
	// retryFraction of the bound on retries is used, since windows slide and instances come and go.
	retryFraction = 0.8
	// minInstances share the slack of the bound, also while the others are not known yet.
	minInstances = 4
	// longCallTokens is how many tokens fill so much of a target's memory, and take so long to be read, that the others are told
	// at once.
	longCallTokens = 6000
	// connectionFraction of the connections that a target bears is used, since instances come and go.
	connectionFraction = 0.9
	// minConnections lets an instance use a target at all.
	minConnections = 2
	// maxReachedTargets bounds the sends of a call that were proven not to have run.
	maxReachedTargets = 4
	// maxUnsent bounds the targets that could not be reached for a call.
	maxUnsent = 4
	// refusedRetryAfter is when targets that are full may have room.
	refusedRetryAfter = 300 * time.Millisecond
	// supersededMargin is how much earlier than the operator's bound no call is sent to older weights: the naming is seen
	// late, and a call waits at its target before it begins.
	supersededMargin = 1500 * time.Millisecond
	// engineLoadTTL is how old a load of an engine may be, whose calls last for seconds.
	engineLoadTTL = 2 * time.Second
	// plainLoadTTLFactor is how many mean times of a call old a load of a plain service may be.
	plainLoadTTLFactor = 3
	// unresponsiveTimeout is how long a target may leave calls without a word until others are preferred.
	unresponsiveTimeout = 700 * time.Millisecond
	// supersededPenaltyDelay is how long after newer weights were named calls on older ones are as good.
	supersededPenaltyDelay = 1200 * time.Millisecond
)

// dispatchStep sends a call to targets until one has answered it.
type dispatchStep struct{ s *Server }

// String names the step.
func (*dispatchStep) String() string { return "dispatch" }

// Run dispatches the call.
func (st *dispatchStep) Run(ctx context.Context, c *Call) error {
	st.s.retryBudgets.recordRequest(c.Service.Name, st.s.retryWindow(), c.ReceivedAt)
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
		if !s.shouldRetry(c, out, err) {
			return s.finalError(c, err)
		}
	}
}

// shouldRetry reports whether a call whose last attempt ended with an outcome and an error is sent once more.
func (s *Server) shouldRetry(c *Call, out retrier.Outcome, err error) bool {
	switch {
	case out == retrier.Unknown, time.Until(c.Deadline) < minRemaining:
		return false
	case !pooler.Sent(err):
		// It has not reached the target, so it is no further send there, and the bound on these does not count it.
		c.UnsentCount++
		return c.UnsentCount <= maxUnsent
	case len(c.TriedTargets)-c.UnsentCount >= maxReachedTargets, c.countedAttempts() >= max(1, c.Route.MaxAttempts):
		return false
	}
	return s.retryBudgets.tryRetry(c.Service.Name, s.retryWindow(), time.Now())
}

// retryWindow returns this instance's part of the bound on retries: the share holds for the sum of all instances, and
// the slack is divided among those that are known.
func (s *Server) retryWindow() retrier.Window {
	set := s.settings()
	slack := int(retryFraction * float64(set.RetrySlack) / float64(s.instanceCount()))
	return retrier.Window{Share: retryFraction * set.RetryShare, Slack: slack, Length: set.RetryWindow}
}

// instanceCount returns among how many instances what is bounded for all of them is divided.
func (s *Server) instanceCount() int {
	if s.Announcer == nil {
		return minInstances
	}
	return max(minInstances, s.Announcer.Peers()+1)
}

// maxConnections returns how many connections this instance may have to a target of a service, which bears so many from all
// of them; 0 means any number.
func (s *Server) maxConnections(svc *cataloger.Service) int {
	if svc.MaxConnections <= 0 {
		return 0
	}
	return max(minConnections, int(connectionFraction*float64(svc.MaxConnections)/float64(s.instanceCount())))
}

// countedAttempts counts the targets at which the call counts as sent.
func (c *Call) countedAttempts() int { return len(c.TriedTargets) - c.MisdirectedCount - c.UnsentCount }

// finalError returns the caller's error for a call that no target has answered.
func (s *Server) finalError(c *Call, err error) error {
	switch {
	case c.Response != nil && !c.HeaderSent:
		return nil // the last target's own failure is the answer
	case c.MayHaveRun && time.Until(c.Deadline) < minRemaining:
		return request.Fail(http.StatusGatewayTimeout, request.CodeOutcomeUnknown, "no answer in time: %v", err)
	case c.MayHaveRun:
		return request.Fail(http.StatusBadGateway, request.CodeOutcomeUnknown, "%v", err)
	}
	return request.Refuse(http.StatusServiceUnavailable, request.CodeOverloaded, "", "no target took the call: %v", err).
		WithRetryAfter(admitter.Jitter(max(refusedRetryAfter, c.ExpectedLatency), rand.Uint64()))
}

// attempt sends the call to one target. With the outcome Done, the call has its answer.
func (s *Server) attempt(ctx context.Context, c *Call) (retrier.Outcome, error) {
	now := time.Now()
	d, err := s.chooseTarget(c, now)
	if err != nil {
		// Nothing was sent, and another try would find the same targets.
		if errors.Is(err, balancer.ErrLate) {
			c.ExpectedLatency = d.Cost
		}
		return retrier.Unknown, err
	}
	t := d.Target
	left := c.Deadline.Sub(now)
	if left < minRemaining {
		return retrier.Unknown, errors.New("no time is left")
	}
	c.WeightVersion, c.Scope = s.versionAndScope(c, t)
	c.TriedTargets = append(c.TriedTargets, t.ID)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	flight := announcer.Flight{Calls: 1, Tokens: c.Headers.Prompt.InputTokens + c.Headers.Prompt.expectedOutputTokens(), Reading: d.Read}
	if s.Announcer != nil && flight.Tokens >= longCallTokens {
		s.Announcer.Begin(t.ID, flight)
	}
	x := &targetRequest{s: s, c: c, t: t, startedAt: now, cancel: cancel, inFlight: s.loads.Begin(t.ID, flight, now)}
	out, err := x.send(ctx, left)
	s.recordAttempt(c, Attempt{
		Target: t.ID, Reason: d.Reason, ExpectedMs: d.Cost.Milliseconds(), Outstanding: d.Busy, WeightVersion: c.WeightVersion, DurationMs: time.Since(now).Milliseconds(),
	}, out, err)
	if c.Response == nil || c.Response.Stream == nil {
		x.release()
	}
	return out, err
}

// chooseTarget asks the policy for a target among those that can take the call.
func (s *Server) chooseTarget(c *Call, now time.Time) (balancer.Decision, error) {
	targets := s.usableTargets(c, now)
	mean := s.loads.Service(c.Service.Name)
	in := balancer.Input{Engine: c.Service.Engine != nil, Seed: rand.Uint64()}
	for _, t := range targets {
		load := s.load(t.ID, loadTTL(in.Engine, mean), now)
		in.Candidates = append(in.Candidates, balancer.Candidate{
			Target: t, Remote: t.DataCentre != s.settings().DataCentre, Home: 1, Service: mean, Old: s.isSuperseded(c, t, now),
			Busy: load.Calls, Tokens: load.Tokens, Reading: load.Reading,
		})
	}
	if in.Engine {
		s.addPromptInput(&in, c, targets, mean, now)
	}
	return balancer.Choose(in)
}

// addPromptInput tells the policy what the prompt needs and where its shared parts are.
func (s *Server) addPromptInput(in *balancer.Input, c *Call, targets []*cataloger.Target, mean time.Duration, now time.Time) {
	p := c.Headers.Prompt
	in.Shared, in.Out, in.Objective = p.SharedTokens(), p.expectedOutputTokens(), c.Route.Objective
	in.Own = p.InputTokens - in.Shared
	in.Capacity, in.Hold = c.Service.Engine.CapacityTokens, mean
	ids := p.sharedBlockIDs()
	if len(ids) == 0 {
		return
	}
	// Targets have one or two weight versions, each with a scope of its own.
	kept, keys := map[string]int{}, map[string][]string{}
	homes := balancer.Homes(ids[len(ids)-1], targets)
	for i, t := range targets {
		cand := &in.Candidates[i]
		_, scope := s.versionAndScope(c, t)
		if keys[scope] == nil {
			keys[scope] = scopedKeys(scope, ids)
			if s.Archiver != nil {
				kept[scope] = tokenCount(p.Blocks[:s.Archiver.Lookup(scope, ids, now)])
			}
		}
		cand.Home, cand.Kept = homes[i], kept[scope]
		cand.Seen = tokenCount(p.Blocks[:s.loads.Seen(t.ID, keys[scope], now)])
	}
}

// loadTTL returns how old a load may be that a decision counts on: calls of plain services are over sooner.
func loadTTL(engine bool, mean time.Duration) time.Duration {
	if engine {
		return engineLoadTTL
	}
	return min(engineLoadTTL, plainLoadTTLFactor*mean)
}

// load returns what is in flight at a target: that of this instance, and what the others and the target itself told.
func (s *Server) load(id string, maxAge time.Duration, now time.Time) announcer.Flight {
	own := s.loads.Own(id)
	if s.Announcer != nil {
		own = own.Plus(s.Announcer.Load(id, maxAge, now))
	}
	own.Calls = max(own.Calls, s.loads.Busy(id, maxAge, now))
	return own
}

// usableTargets returns the targets of the call's service that may get it; those that fail are left out unless all do.
func (s *Server) usableTargets(c *Call, now time.Time) []*cataloger.Target {
	var out, failing []*cataloger.Target
	limit := s.maxConnections(c.Service)
	for _, t := range s.Watcher.View().Targets(c.Service.Name) {
		standing := s.loads.Standing(t.ID, now)
		switch {
		case t.Leaving, slices.Contains(c.TriedTargets, t.ID), !s.versionAllowed(c, t, now):
		case limit > 0 && standing.Own.Calls >= limit:
		case s.Updater != nil && s.Updater.IsSwapping(t.ID):
			failing = append(failing, t)
		case standing.Refuses, standing.Unreachable, standing.Silent > unresponsiveTimeout, !s.health.allows(t.ID, now):
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
	return max(t.Versions[model], s.loads.Version(balancer.WeightsOf(t, model)))
}

// isSuperseded reports whether an answer of the target is worth less because newer weights were named.
func (s *Server) isSuperseded(c *Call, t *cataloger.Target, now time.Time) bool {
	return s.supersededFor(c, t, now) > supersededPenaltyDelay
}

// supersededFor returns for how long the target's weights have been replaced.
func (s *Server) supersededFor(c *Call, t *cataloger.Target, now time.Time) time.Duration {
	model := c.Headers.Prompt.Model
	return s.Watcher.View().Replaced(model, s.versionOf(t, model), now)
}

// hasDesiredVersion reports whether the call runs on the newest weights that were named; only their context is kept.
func (s *Server) hasDesiredVersion(c *Call) bool {
	named, ok := s.Watcher.View().Named(c.Headers.Prompt.Model)
	return !ok || c.WeightVersion >= named.Version
}

// versionAllowed reports whether calls may still begin on the target's weights.
func (s *Server) versionAllowed(c *Call, t *cataloger.Target, now time.Time) bool {
	if c.Service.Engine == nil {
		return true
	}
	return s.supersededFor(c, t, now) < s.settings().SupersededGrace-supersededMargin
}

// versionAndScope returns the weight version on which a target runs the call, and the scope of its kept context: the version is
// part of it, and so is the account if it is isolated.
func (s *Server) versionAndScope(c *Call, t *cataloger.Target) (int64, string) {
	if c.Service.Engine == nil {
		return 0, ""
	}
	account := ""
	if c.Account != nil && c.Account.Isolated {
		account = c.Account.Name
	}
	v := s.versionOf(t, c.Headers.Prompt.Model)
	return v, cacheScope(c.Headers.Prompt.Model, v, account)
}

func scopedKeys(scope string, keys []string) []string {
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = scope + "/" + k
	}
	return out
}
