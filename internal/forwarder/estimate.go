package forwarder

import (
	"bytes"
	"math"
	"time"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/estimator"
	"github.com/papayaworks/papayaworks/internal/throttler"
)

// attemptSample is what the estimator learns from one attempt once its response is complete.
type attemptSample struct {
	estimator.Sample
	startedAt time.Time
}

// mayEstimate reports whether what is learned of a service counts in the choice of its targets. For engines that is so only where the settings
// ask for it: on the days on which it was measured it served fewer requests on time in overload.
func (s *Server) mayEstimate(svc *cataloger.Service) bool {
	return s.estimates != nil && (svc.Engine == nil || s.settings().LearnEngines)
}

// addEstimates adds the learned rates and the speeds of the candidates to the balancer's input, if the estimates of the call's service are
// used. What this instance's own requests should have been computed by now no longer counts as queued.
func (s *Server) addEstimates(in *balancer.Input, c *Call, now time.Time) {
	if !s.mayEstimate(c.Service) || !s.estimates.Enabled(c.Service.Name, now) {
		return
	}
	rates := s.estimates.Rates(c.Service.Name)
	in.Rates = &rates
	in.StoresKnown = s.Archiver != nil && s.Archiver.HasStores()
	in.HiddenRequests = s.estimates.Hidden(c.Service.Name)
	if s.Announcer != nil {
		in.LoadAge = s.Announcer.LoadAge()
	}
	if !in.IsEngine {
		in.Duration, _, _ = s.estimates.Durations(c.Service.Name, c.Route.Name)
	}
	for i := range in.Candidates {
		cand := &in.Candidates[i]
		cand.Slowdown = s.estimates.Speed(cand.Target.ID, now)
		if cand.QueuedPrefillTokens > 0 {
			cand.QueuedPrefillTokens = max(0, cand.QueuedPrefillTokens-s.loads.ComputedTokens(cand.Target.ID, now))
		}
	}
}

// expect records when the attempt's prompt is expected to be computed, and prepares what the estimator learns from its response. Only first
// attempts teach, because later ones may find a part of their prompt cached or resume a stream.
func (x *targetRequest) expect(d balancer.Decision) {
	s, c := x.s, x.c
	if !s.mayEstimate(c.Service) || !s.estimates.Enabled(c.Service.Name, x.startedAt) {
		return
	}
	x.knownRequests = d.Outstanding + 1
	isEngine := c.Service.Engine != nil
	if isEngine {
		x.inFlight.Expect(d.Wait, d.Expected-d.Wait, x.startedAt)
	}
	if len(c.TriedTargets) > 1 || c.Headers.LastEventID != "" || d.IsFetched {
		return
	}
	p := c.Headers.Prompt
	x.sample = &attemptSample{startedAt: x.startedAt, Sample: estimator.Sample{
		Service: c.Service.Name, Route: c.Route.Name, Process: throttler.ProcessOf(x.t), IsEngine: isEngine, Running: d.Outstanding, QueueDelay: d.Wait,
		SharedTokens: p.SharedTokens(), UniqueTokens: p.InputTokens - p.SharedTokens(),
	}}
}

// recordLoad records the load that a target has stated in a response, which may be that of another process at its address.
func (x *targetRequest) recordLoad(r ResponseHeaders, now time.Time) {
	l := r.Load
	if l == nil {
		return
	}
	x.s.loads.RecordLoad(x.t.ID, *l, now)
	x.s.recordWaiting(x.c.Service.Name, *l)
	if !x.s.mayEstimate(x.c.Service) || !l.SlowdownStated || r.Misdirected && r.TargetID != x.t.ID {
		return
	}
	x.s.estimates.RecordSlowdown(x.c.Service.Name, throttler.ProcessOf(x.t), l.Slowdown, now)
	if x.knownRequests > 0 {
		x.s.estimates.RecordHidden(x.c.Service.Name, l.Running+l.Waiting-x.knownRequests)
	}
	if x.sample != nil {
		x.sample.Slowdown, x.sample.Running = l.Slowdown, l.Running
	}
}

// observe teaches the estimator from a complete response; firstAt is when its first event arrived, now the time of its end. outputTokens is 0
// if it is not known. x may be nil.
func (x *attemptSample) observe(e *estimator.Estimator, outputTokens int, firstAt, now time.Time) {
	if x == nil {
		return
	}
	x.OutputTokens, x.First, x.Total = outputTokens, firstAt.Sub(x.startedAt), now.Sub(x.startedAt)
	e.Observe(x.Sample, now)
}

// countEvents returns the number of events in a part of a stream that consists of complete events. An engine sends one for each step.
func countEvents(events []byte) int {
	return bytes.Count(events, []byte("\n\n")) + bytes.Count(events, []byte("\n\r\n"))
}

// recentSlowdowns returns the slowdowns of targets that the peers should know.
func (s *Server) recentSlowdowns(now time.Time) map[announcer.TargetHash]announcer.Slowdown {
	if s.estimates == nil || !s.settings().LearnEngines {
		return nil
	}
	recent := s.estimates.RecentSlowdowns(now)
	if len(recent) == 0 {
		return nil
	}
	out := make(map[announcer.TargetHash]announcer.Slowdown, len(recent))
	for id, r := range recent {
		out[announcer.TargetHashOf(id)] = announcer.Slowdown{Percent: int(math.Round(100 * r.Slowdown)), AgeMs: r.Age.Milliseconds()}
	}
	return out
}

// mergeSlowdowns records the slowdowns that a peer has announced. Those of unknown targets are ignored.
func (s *Server) mergeSlowdowns(slowdowns map[announcer.TargetHash]announcer.Slowdown, now time.Time) {
	if s.estimates == nil || len(slowdowns) == 0 {
		return
	}
	byHash := s.targetsByHash.Load()
	if byHash == nil {
		return
	}
	for h, d := range slowdowns {
		if t := (*byHash)[h]; t != nil && d.AgeMs >= 0 {
			s.estimates.MergeSlowdown(t.Service, throttler.ProcessOf(t), float64(d.Percent)/100, now.Add(-time.Duration(d.AgeMs)*time.Millisecond))
		}
	}
}

// retainEstimates removes what was learned of targets and services that are not in the view.
func (s *Server) retainEstimates(v *cataloger.View) {
	if s.estimates == nil {
		return
	}
	s.estimates.Retain(v)
	byHash := make(map[announcer.TargetHash]*cataloger.Target, len(v.TargetIDs()))
	for _, id := range v.TargetIDs() {
		if t, ok := v.Target(id); ok {
			byHash[announcer.TargetHashOf(id)] = t
		}
	}
	s.targetsByHash.Store(&byHash)
}

// recordEstimates sets the gauges of the estimates; it is called whenever the metrics are written.
func (s *Server) recordEstimates(now time.Time) {
	for _, name := range s.estimates.Services(now) {
		r := s.estimates.Rates(name)
		mean, _, _ := s.estimates.Durations(name, "")
		s.metrics.RecordEstimates(name, r.PrefillTokensPerSec, r.StepTime, r.SlowdownPerRun, mean)
	}
}
