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
	"github.com/papayaworks/papayaworks/internal/clocker"
	"github.com/papayaworks/papayaworks/internal/pooler"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/retrier"
	"github.com/papayaworks/papayaworks/internal/throttler"
)

const (
	// minRemaining is the time to the deadline below which a call is not sent, because no target could respond in time.
	minRemaining = 5 * time.Millisecond
	// retryFraction is the fraction of the retry bound that is used: windows slide and the number of instances changes.
	retryFraction = 0.8
	// minInstances is the smallest number of instances that bounds are divided by, because peers may not be discovered yet.
	minInstances = 4
	// longCallTokens is the number of tokens from which a call is announced to the peers immediately, because it occupies
	// much of the target's memory and takes long to prefill.
	longCallTokens = 6000
	// connectionFraction is the fraction of a target's connection limit that is used: the number of instances changes.
	connectionFraction = 0.9
	// minConnections is the smallest connection limit of an instance at a target, so that it can use every target.
	minConnections = 2
	// maxReachedTargets is the maximum number of targets that a call reaches, including those that have not run it.
	maxReachedTargets = 4
	// maxUnsent is the maximum number of targets to which no byte of the call could be sent.
	maxUnsent = 4
	// refusedRetryAfter is the minimum advised retry delay, before jitter, if no target accepted the call.
	refusedRetryAfter = 300 * time.Millisecond
	// supersededMargin is how long before SupersededGrace ends calls are no longer sent to superseded weights: the desired
	// version is observed with a delay, and a call waits in the target's queue before it starts.
	supersededMargin = 1500 * time.Millisecond
	// engineLoadTTL is the maximum age of a load report of an engine, whose calls last for seconds.
	engineLoadTTL = 2 * time.Second
	// plainLoadTTLFactor is the maximum age of a load report of another service, in mean durations of its calls.
	plainLoadTTLFactor = 3
	// unresponsiveTimeout is the time without any response to outstanding calls after which other targets are preferred.
	unresponsiveTimeout = 700 * time.Millisecond
	// takeUpObjectiveFactor is the time within which a stream that is taken up must go on, in objectives of its route. A higher factor lets
	// late work crowd out new calls in an overload.
	takeUpObjectiveFactor = 1.5
	// supersededPenaltyDelay is how long targets with superseded weights are still chosen like those with the desired version.
	supersededPenaltyDelay = 1200 * time.Millisecond
)

// dispatchStep sends a call to one target after the other until one has responded.
type dispatchStep struct{ s *Server }

// String implements request.Stage.
func (*dispatchStep) String() string { return "dispatch" }

// Run implements request.Stage.
func (st *dispatchStep) Run(ctx context.Context, c *Call) error {
	st.s.retryBudgets.recordRequest(c.Service.Name, st.s.retryWindow(), c.ReceivedAt)
	if err := st.s.resolveSoftware(ctx, c); err != nil {
		return err
	}
	return st.s.dispatch(ctx, c)
}

// dispatch sends a call, or the request to resume its stream, to one target after the other until one responds or a retry is
// not allowed. It sets c.Response unless it returns an error.
func (s *Server) dispatch(ctx context.Context, c *Call) error {
	for {
		if err := s.awaitRoom(ctx, c); err != nil {
			return err
		}
		if err := s.checkQuarantine(c); err != nil {
			return err
		}
		out, err := s.attempt(ctx, c)
		if out == retrier.Done {
			return nil
		}
		if ctx.Err() != nil {
			return request.Fail(http.StatusBadGateway, request.CodeInternal, "caller disconnected")
		}
		if !s.shouldRetry(c, out, err) {
			return s.finalError(c, err)
		}
	}
}

// shouldRetry reports whether to retry a call after an attempt with the given outcome and error. It counts the retry.
func (s *Server) shouldRetry(c *Call, out retrier.Outcome, err error) bool {
	switch {
	case out == retrier.Unknown, time.Until(c.Deadline) < minRemaining:
		return false
	case !pooler.MaybeSent(err):
		// No byte reached the target, so the attempt counts neither as a retry in the budget nor as an attempt of the route.
		c.UnsentCount++
		return c.UnsentCount <= maxUnsent
	case c.reachedCount() >= maxReachedTargets, c.countedAttempts() >= max(1, c.Route.MaxAttempts):
		return false
	case c.queue.retryPending:
		return true // awaitRoom counts it before the call is sent
	}
	w := s.retryWindow()
	if c.confirmation != nil {
		w = w.Scaled(confirmFraction)
	}
	return s.retryBudgets.tryRetry(c.Service.Name, w, time.Now())
}

// retryWindow returns the retry bound of this instance. The share applies to each instance's requests, so that it also
// holds for the sum over all instances; the slack is divided among them.
func (s *Server) retryWindow() retrier.WindowLimits {
	set := s.settings()
	slack := retryFraction * set.RetrySlack / float64(s.instanceCount())
	return retrier.WindowLimits{Share: retryFraction * set.RetryShare, Slack: slack, Length: set.RetryWindow}
}

// instanceCount returns the number of instances by which a bound for all instances is divided.
func (s *Server) instanceCount() int {
	if s.Announcer == nil {
		return minInstances
	}
	return max(minInstances, s.Announcer.PeerCount()+1)
}

// maxConnections returns the connection limit of this instance at a target of the service: its share of the target's limit
// for all instances. 0 means no limit.
func (s *Server) maxConnections(svc *cataloger.Service) int {
	if svc.MaxConnections <= 0 {
		return 0
	}
	return max(minConnections, int(connectionFraction*float64(svc.MaxConnections)/float64(s.instanceCount())))
}

// countedAttempts returns the number of attempts that count against the route's maximum: those at targets that received the
// call and did not refuse it as misdirected.
func (c *Call) countedAttempts() int { return c.reachedCount() - c.MisdirectedCount }

// finalError returns the error for the caller after the last attempt has failed, or nil if c.Response is to be delivered.
func (s *Server) finalError(c *Call, err error) error {
	switch {
	case c.Response != nil && !c.HeaderSent:
		return nil // the caller gets the error response of the last target
	case c.MayHaveRun && time.Until(c.Deadline) < minRemaining:
		return request.Fail(http.StatusGatewayTimeout, request.CodeOutcomeUnknown, "no response in time: %v", err)
	case c.MayHaveRun:
		return request.Fail(http.StatusBadGateway, request.CodeOutcomeUnknown, "%v", err)
	}
	retryAfter := max(refusedRetryAfter, c.ExpectedLatency, s.roomExpectedIn(c))
	if errors.Is(err, balancer.ErrNoTarget) {
		retryAfter = max(retryAfter, c.leftOutWait())
	}
	return request.Refuse(http.StatusServiceUnavailable, request.CodeOverloaded, "", "no target accepted the call: %v", err).
		WithRetryAfter(admitter.Jitter(retryAfter, rand.Uint64()))
}

// attempt chooses a target and sends the call to it. If the outcome is Done, c.Response is set.
func (s *Server) attempt(ctx context.Context, c *Call) (retrier.Outcome, error) {
	now := time.Now()
	d, err := s.chooseTarget(c, now)
	if err != nil {
		// Nothing was sent. Unknown ends the call, because a retry would find the same targets.
		if errors.Is(err, balancer.ErrObjectiveMissed) {
			c.ExpectedLatency = d.Expected
		}
		return retrier.Unknown, err
	}
	t := d.Target
	remaining := c.Deadline.Sub(now)
	if remaining < minRemaining {
		return retrier.Unknown, errors.New("remaining time is too short to send the call")
	}
	c.WeightVersion, c.Scope = s.versionAndScope(c, t)
	superseded := s.supersededFor(c, t, clocker.SinceBoot())
	c.TriedTargets = append(c.TriedTargets, t.ID)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	load := announcer.InFlight{Requests: 1, Tokens: c.Headers.Prompt.InputTokens + c.Headers.Prompt.expectedOutputTokens(), PrefillTokens: d.PrefillTokens}
	if s.Announcer != nil && load.Tokens >= longCallTokens {
		s.Announcer.AnnounceStart(t.ID, load)
	}
	x := &targetRequest{s: s, c: c, t: t, startedAt: now, weightVersion: c.WeightVersion, scope: c.Scope, blocks: s.blockKeys(c), cancel: cancel, inFlight: s.loads.Start(t.ID, load, now)}
	x.wait = d.Wait
	x.expect(d)
	out, err := x.send(ctx, remaining)
	s.recordAttempt(c, Attempt{
		Target: t.ID, Reason: d.Reason, ExpectedMs: d.Expected.Milliseconds(), Outstanding: d.Outstanding, WeightVersion: c.WeightVersion, Software: t.Software,
		SupersededMs: superseded.Milliseconds(), DurationMs: time.Since(now).Milliseconds(), Framing: x.framing,
		responseEnd: x.end, Stopping: s.stop.Load() != nil,
	}, out, err)
	if c.Response == nil || c.Response.Stream == nil {
		x.release()
	}
	return out, err
}

// chooseTarget returns the decision of the balancer among the targets that can receive the call. It counts the call against the limit
// and the warm-up of the target.
func (s *Server) chooseTarget(c *Call, now time.Time) (balancer.Decision, error) {
	for {
		d, err := s.balance(c, now)
		// Another call may have used up the limit meanwhile; the target is no candidate any more then.
		if err != nil || s.take(c, d.Target, now) {
			return d, err
		}
	}
}

// balance returns the decision of the balancer among the targets that can receive the call.
func (s *Server) balance(c *Call, now time.Time) (balancer.Decision, error) {
	// The clock is read once for all targets: reading it is a system call.
	sinceBoot := clocker.SinceBoot()
	targets := s.candidates(c, now, sinceBoot)
	mean := s.loads.MeanDuration(c.Service.Name)
	in := balancer.Input{IsEngine: c.Service.Engine != nil, Seed: rand.Uint64(), Candidates: make([]balancer.Candidate, 0, len(targets))}
	for _, t := range targets {
		load, known := s.load(t.ID, loadTTL(in.IsEngine, mean), now)
		in.LoadUnknown = in.LoadUnknown || !known
		in.Candidates = append(in.Candidates, balancer.Candidate{
			Target: t, Remote: t.DataCentre != s.settings().DataCentre, HashRank: 1, MeanDuration: mean, Superseded: s.supersededFor(c, t, sinceBoot) > supersededPenaltyDelay,
			Warming:     s.warming.IsBack(throttler.ProcessOf(t), now),
			Outstanding: load.Requests, Tokens: load.Tokens, QueuedPrefillTokens: load.PrefillTokens,
		})
	}
	if in.IsEngine {
		s.addPromptInput(&in, c, targets, mean, now)
	}
	s.addEstimates(&in, c, now)
	return balancer.Choose(in)
}

// addPromptInput adds the size of the prompt to the balancer's input, and for each candidate its rank in hash order and the
// shared tokens that are likely cached there or held by a KV store.
func (s *Server) addPromptInput(in *balancer.Input, c *Call, targets []*cataloger.Target, mean time.Duration, now time.Time) {
	p := c.Headers.Prompt
	in.SharedTokens, in.OutputTokens, in.Objective = p.SharedTokens(), p.expectedOutputTokens(), c.nextEventObjective()
	in.UniqueTokens = p.InputTokens - in.SharedTokens
	in.CapacityTokens, in.MeanHoldTime = c.Service.Engine.CapacityTokens, mean
	ids := p.sharedBlockIDs()
	if len(ids) == 0 {
		return
	}
	// The candidates have one weight version, or two during a weight update, each with its own scope.
	stored, keys := map[int64]int{}, map[int64][]string{}
	ranks := balancer.HashRanks(ids[len(ids)-1], targets)
	for i, t := range targets {
		cand := &in.Candidates[i]
		version := s.callVersion(c, t)
		if keys[version] == nil {
			_, scope := s.versionAndScope(c, t)
			keys[version] = scopedKeys(scope, ids)
			if s.Archiver != nil {
				stored[version] = tokenCount(p.Blocks[:s.Archiver.Lookup(scope, ids, s.storesAllowed(c), now)])
			}
		}
		cand.HashRank, cand.StoredTokens = ranks[i], stored[version]
		cand.RecentlySentTokens = tokenCount(p.Blocks[:s.loads.RecentlySentBlocks(t.ID, keys[version], now)])
	}
}

// nextEventObjective returns the time within which a target should send the next event of a stream; 0 means no limit. That of the route
// applies to the first event. A caller that takes a stream up waits longer, can be served by few targets, and loses what it has if it is
// refused.
func (c *Call) nextEventObjective() time.Duration {
	if c.Headers.Resumes == "" {
		return c.Route.Objective
	}
	return time.Duration(takeUpObjectiveFactor * float64(c.Route.Objective))
}

// loadTTL returns the maximum age of a load report that is used in a decision. Calls of plain services are shorter than
// those of engines, so that their load changes sooner.
func loadTTL(engine bool, mean time.Duration) time.Duration {
	if engine {
		return engineLoadTTL
	}
	return min(engineLoadTTL, plainLoadTTLFactor*mean)
}

// load returns the load in flight at a target: that of this instance plus the load that its peers have announced. The
// number of calls is at least the one that the target itself has reported. It returns false if the load of the peers is not known.
func (s *Server) load(id string, maxAge time.Duration, now time.Time) (announcer.InFlight, bool) {
	sum, known := s.loads.InFlight(id), true
	if s.Announcer != nil {
		var remote announcer.InFlight
		remote, known = s.Announcer.RemoteInFlight(id, maxAge)
		sum = sum.Add(remote)
	}
	sum.Requests = max(sum.Requests, s.loads.Outstanding(id, maxAge, now))
	return sum, known
}

// usableTargets returns the targets of the call's service that may receive it. Targets that fail, refuse calls, do not
// respond or swap weights are included only if there are no others, and those of a software version that is not marked yet only if
// there are none of these either. Targets that have said that they accept no further requests,
// and those in the wrong place (see targetsInPlace), are never included, but recorded in c.LeftOut.
func (s *Server) usableTargets(c *Call, now time.Time, sinceBoot time.Duration) []*cataloger.Target {
	all := s.targetsInPlace(c)
	var failing, unmarked []*cataloger.Target
	out := make([]*cataloger.Target, 0, len(all))
	limit := s.maxConnections(c.Service)
	for _, t := range all {
		state := s.loads.Status(t.ID, now)
		switch {
		case t.Leaving, slices.Contains(c.TriedTargets, t.ID), !s.versionAllowed(c, t, sinceBoot), !c.softwareAllowed(t):
		case s.leaveOut(c, t, now):
		case limit > 0 && state.InFlight.Requests >= limit:
		case !s.isMarked(t):
			unmarked = append(unmarked, t)
		case s.Updater != nil && s.Updater.IsSwapping(t.ID):
			failing = append(failing, t)
		case s.throttle.IsPausedElsewhere(throttler.ProcessOf(t), now):
			failing = append(failing, t)
		case state.RecentlyRefused, state.Unreachable, state.UnresponsiveFor > unresponsiveTimeout, !s.health.allows(t.ID, now):
			failing = append(failing, t)
		default:
			out = append(out, t)
		}
	}
	switch {
	case len(out) > 0:
		return out
	case len(failing) > 0:
		return failing
	}
	return unmarked
}

// leaveOut reports whether a target must not get the call, and records why.
func (s *Server) leaveOut(c *Call, t *cataloger.Target, now time.Time) bool {
	v := s.verdict(t, now)
	if v.Reason == "" {
		return false
	}
	if c.LeftOut == nil {
		c.LeftOut = map[string]throttler.Verdict{}
	}
	c.LeftOut[t.ID] = v
	s.metrics.RecordLeftOut(c.Service.Name, string(v.Reason))
	return true
}

// leftOutWait returns the time after which a target that was left out may get a request; 0 if there is no such target.
func (c *Call) leftOutWait() time.Duration {
	var least time.Duration
	for _, v := range c.LeftOut {
		if v.Wait > 0 && (least == 0 || v.Wait < least) {
			least = v.Wait
		}
	}
	return least
}

// versionOf returns the newest known weight version of a target, from its registry record, its responses or the peers.
func (s *Server) versionOf(t *cataloger.Target, model string) int64 {
	return max(t.Versions[model], s.loads.Version(balancer.WeightsKeyOf(t, model)))
}

// supersededFor returns how long ago the target's weights were superseded; 0 if they have the desired version. sinceBoot is the time of
// [clocker.SinceBoot].
func (s *Server) supersededFor(c *Call, t *cataloger.Target, sinceBoot time.Duration) time.Duration {
	return s.Watcher.View().SupersededFor(c.Headers.Prompt.Model, s.callVersion(c, t), sinceBoot)
}

// callVersion returns the weight version with which the call is sent to the target.
func (s *Server) callVersion(c *Call, t *cataloger.Target) int64 {
	return max(s.versionOf(t, c.Headers.Prompt.Model), c.AssumedVersions[t.ID])
}

// hasDesiredVersion reports whether the call runs on the desired weight version or a newer one, or none is desired. KV cache of
// superseded weights is neither fetched nor saved.
func (s *Server) hasDesiredVersion(c *Call) bool {
	desired, ok := s.Watcher.View().DesiredVersion(c.Headers.Prompt.Model)
	return !ok || c.WeightVersion >= desired.Version
}

// versionAllowed reports whether calls may still start on the target's weights.
func (s *Server) versionAllowed(c *Call, t *cataloger.Target, sinceBoot time.Duration) bool {
	if c.Service.Engine == nil {
		return true
	}
	return !isPast(s.supersededFor(c, t, sinceBoot), s.settings().SupersededGrace-supersededMargin)
}

// versionAndScope returns the weight version on which the target runs the call, and the scope of the call's KV cache. Plain services have
// neither.
func (s *Server) versionAndScope(c *Call, t *cataloger.Target) (int64, string) {
	if c.Service.Engine == nil {
		return 0, ""
	}
	v := s.callVersion(c, t)
	return v, s.scopeOf(c, v)
}

// scopeOf returns the scope of a call's KV cache on a weight version. It is that of the newest configuration, which may isolate accounts while
// the call is in progress.
func (s *Server) scopeOf(c *Call, version int64) string {
	account := ""
	if c.Account != nil {
		account = c.Account.Name
	}
	return cacheScope(c.Headers.Prompt.Model, version, account, s.Watcher.View().Catalog)
}

func scopedKeys(scope string, keys []string) []string {
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = scope + "/" + k
	}
	return out
}
