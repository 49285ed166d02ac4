package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/estimator"
	"github.com/papayaworks/papayaworks/internal/throttler"
)

// attemptAt returns an attempt of the call at a target, chosen by the balancer.
func attemptAt(t *testing.T, s *Server, c *Call, now time.Time) *targetRequest {
	t.Helper()
	d, err := s.balance(c, now)
	require.NoError(t, err)
	c.TriedTargets = append(c.TriedTargets, d.Target.ID)
	f := announcer.InFlight{Requests: 1, Tokens: c.Headers.Prompt.InputTokens, PrefillTokens: d.PrefillTokens}
	x := &targetRequest{s: s, c: c, t: d.Target, startedAt: now, inFlight: s.loads.Start(d.Target.ID, f, now)}
	x.expect(d)
	return x
}

// slow returns the headers of a response that states a slowdown.
func slow(slowdown float64) ResponseHeaders {
	return ResponseHeaders{Load: &balancer.Load{Running: 1, Slots: 16, Slowdown: slowdown, SlowdownStated: true}}
}

// Guards against estimates that are used or learned where targets state no slowdown, and against attempts after the first one, lost
// responses and those of other targets that teach.
func TestEstimatesOfAttempts(t *testing.T) {
	s, c := serverWithTargets(t, 8)
	s.estimates, s.Settings.LearnEngines = estimator.New(), true
	now := time.Now()
	x := attemptAt(t, s, c, now)
	require.Nil(t, x.sample)
	x.recordLoad(ResponseHeaders{Load: &balancer.Load{Running: 1, Slots: 16}}, now)
	require.False(t, s.estimates.Enabled("llm", now))
	wrong := slow(4)
	wrong.Misdirected, wrong.TargetID = true, "other"
	x.recordLoad(wrong, now)
	require.False(t, s.estimates.Enabled("llm", now))
	x.recordLoad(slow(4), now)
	require.True(t, s.estimates.Enabled("llm", now))
	require.InDelta(t, 4, s.estimates.Speed(x.t.ID, now), 0.01)
	x.sample.observe(s.estimates, 20, now.Add(time.Second), now.Add(2*time.Second))
	require.InEpsilon(t, estimator.InitialPrefillTokensPerSec, s.estimates.Rates("llm").PrefillTokensPerSec, 1e-6)

	require.Nil(t, attemptAt(t, s, c, now).sample, "second attempt")
	c.TriedTargets = nil
	x = attemptAt(t, s, c, now)
	require.Greater(t, s.loads.InFlight(x.t.ID).PrefillTokens-s.loads.ComputedTokens(x.t.ID, now), 0)
	require.Equal(t, s.loads.InFlight(x.t.ID).PrefillTokens, s.loads.ComputedTokens(x.t.ID, now.Add(10*time.Second)))
	x.recordLoad(slow(1), now)
	x.sample.observe(s.estimates, 20, time.Time{}, now)
	require.InEpsilon(t, estimator.InitialPrefillTokensPerSec, s.estimates.Rates("llm").PrefillTokensPerSec, 1e-6, "no event")
	x.sample.observe(s.estimates, 20, now.Add(300*time.Millisecond), now.Add(400*time.Millisecond))
	require.Less(t, s.estimates.Rates("llm").PrefillTokensPerSec, 0.9*estimator.InitialPrefillTokensPerSec)
	s.retainEstimates(s.Watcher.View())
	require.Equal(t, 2, s.estimates.StatedTargets(now))
}

// Guards against engines that are chosen by what was learned of them although the settings do not ask for it.
func TestEnginesAreChosenAsBeforeByDefault(t *testing.T) {
	s, c := serverWithTargets(t, 8)
	s.estimates = estimator.New()
	now := time.Now()
	x := attemptAt(t, s, c, now)
	x.recordLoad(slow(4), now)
	require.False(t, s.estimates.Enabled("llm", now))
	in := balancer.Input{IsEngine: true}
	s.estimates.RecordSlowdown("llm", throttler.ProcessOf(x.t), 4, now)
	s.addEstimates(&in, c, now)
	require.Nil(t, in.Rates)
	require.Empty(t, s.recentSlowdowns(now))
	s.Settings.LearnEngines = true
	s.addEstimates(&in, c, now)
	require.NotNil(t, in.Rates)
	require.NotEmpty(t, s.recentSlowdowns(now))
}

// BenchmarkBalanceLearned is BenchmarkBalance with learned estimates.
func BenchmarkBalanceLearned(b *testing.B) {
	s, c := serverWithTargets(b, 163)
	s.estimates, s.Settings.LearnEngines = estimator.New(), true
	now := time.Now()
	for _, t := range s.Watcher.View().Targets("llm") {
		x := &targetRequest{s: s, c: c, t: t}
		x.recordLoad(slow(1.5), now)
	}
	for b.Loop() {
		if _, err := s.balance(c, now); err != nil {
			b.Fatal(err)
		}
	}
}
