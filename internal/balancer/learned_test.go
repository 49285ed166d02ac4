package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/estimator"
)

// Guards against learned decisions that ignore the speed of a target, queued work, full slots or memory, leave a preferred target for less
// than the recomputation costs, or refuse requests that would be on time.
func TestChooseLearned(t *testing.T) {
	target := func(id string) *cataloger.Target { return &cataloger.Target{ID: id, Slots: 10} }
	rates := estimator.Rates{PrefillTokensPerSec: 60_000, FetchTokensPerSec: 400_000, SlowdownPerRun: 0.03, StepTime: 3 * time.Millisecond}
	engine := Input{IsEngine: true, SharedTokens: 8000, UniqueTokens: 3000, CapacityTokens: 100_000, MeanHoldTime: time.Second, Objective: replayObjective, Rates: &rates}
	unshared := engine
	unshared.SharedTokens, unshared.UniqueTokens = 0, 11_000
	strict := unshared
	strict.Objective = 190 * time.Millisecond
	idle, late := Candidate{Target: target("a"), HashRank: 1, Slowdown: 2.5}, Candidate{Target: target("b"), QueuedPrefillTokens: 42_000}
	plain := Input{Rates: &rates}
	tests := map[string]struct {
		in   Input
		want string
		err  error
	}{
		"preferred":                       {engine.with(Candidate{Target: target("a"), HashRank: 1}, Candidate{Target: target("b")}), "b", nil},
		"preferred has a short queue":     {engine.with(Candidate{Target: target("a"), HashRank: 1}, Candidate{Target: target("b"), QueuedPrefillTokens: 6000}), "b", nil},
		"preferred has a long queue":      {engine.with(Candidate{Target: target("a"), HashRank: 1}, Candidate{Target: target("b"), QueuedPrefillTokens: 40_000}), "a", nil},
		"preferred is slow":               {engine.with(Candidate{Target: target("a"), HashRank: 1}, Candidate{Target: target("b"), Slowdown: 2.5}), "b", nil},
		"preferred is very slow":          {engine.with(Candidate{Target: target("a"), HashRank: 1}, Candidate{Target: target("b"), Slowdown: 10}), "a", nil},
		"preferred is late":               {engine.with(late, idle, idle, idle), "a", nil},
		"most are late":                   {engine.with(late, late, idle, late), "b", ErrObjectiveMissed},
		"slow":                            {unshared.with(Candidate{Target: target("a"), Slowdown: 1.3}, Candidate{Target: target("b"), Slowdown: 1}), "b", nil},
		"full memory":                     {unshared.with(Candidate{Target: target("a")}, Candidate{Target: target("b"), Tokens: 100_000}), "a", nil},
		"full slots":                      {unshared.with(Candidate{Target: target("a")}, Candidate{Target: target("b"), Outstanding: 12, MeanDuration: time.Second}), "a", nil},
		"on time alone":                   {strict.with(Candidate{Target: target("a")}), "a", nil},
		"late alone":                      {strict.with(Candidate{Target: target("a"), Slowdown: 1.3}), "a", ErrObjectiveMissed},
		"no candidate":                    {engine, "", ErrNoTarget},
		"plain: slow":                     {plain.with(Candidate{Target: target("a"), MeanDuration: time.Second, Slowdown: 2.5}, Candidate{Target: target("b"), Outstanding: 4, MeanDuration: time.Second}), "b", nil},
		"plain: slow, the other has work": {plain.with(Candidate{Target: target("a"), MeanDuration: time.Second, Slowdown: 2.5}, Candidate{Target: target("b"), Outstanding: 30, MeanDuration: time.Second}), "a", nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d, err := Choose(tc.in)
			require.ErrorIs(t, err, tc.err)
			if tc.want != "" {
				require.Equal(t, tc.want, d.Target.ID)
			}
		})
	}
}

// Guards against prompts that count as queued in full until their first event, and against requests that count after their end.
func TestRemainingPrefill(t *testing.T) {
	table, now := NewLoadTable(), time.Unix(0, 0)
	a := table.Start("t", announcer.InFlight{Requests: 1, PrefillTokens: 1000}, now)
	a.Expect(100*time.Millisecond, 100*time.Millisecond, now)
	b := table.Start("t", announcer.InFlight{Requests: 1, PrefillTokens: 500}, now)
	b.Expect(200*time.Millisecond, 50*time.Millisecond, now)
	table.Start("t", announcer.InFlight{Requests: 1, PrefillTokens: 300}, now)
	left := func(d time.Duration) int {
		at := now.Add(d)
		n := table.InFlight("t").PrefillTokens - table.ComputedTokens("t", at)
		require.Equal(t, n, table.InFlightByTarget(at)["t"].PrefillTokens)
		return n
	}
	require.Equal(t, 1800, left(0))
	require.Equal(t, 1800, left(100*time.Millisecond))
	require.Equal(t, 1300, left(150*time.Millisecond))
	require.Equal(t, 300, left(time.Second))
	a.ResponseStarted(now)
	require.Equal(t, 800, left(0))
	a.End()
	b.End()
	require.Equal(t, 300, left(time.Second))
	require.Zero(t, table.ComputedTokens("other", now))
}

// Guards against instances that all follow the same old picture of the load to the same target.
func TestChanceGrowsWithAge(t *testing.T) {
	rates := estimator.InitialRates()
	worse := func(in Input, age time.Duration) (n int) {
		in.Rates, in.LoadAge = &rates, age
		for in.Seed = range uint64(200) {
			if d, err := Choose(in); err == nil && d.Target.ID == "b" {
				n++
			}
		}
		return n
	}
	a, b := &cataloger.Target{ID: "a", Slots: 10}, &cataloger.Target{ID: "b", Slots: 10}
	engine := Input{IsEngine: true, UniqueTokens: 10_000}.with(Candidate{Target: a, HashRank: 1}, Candidate{Target: b, HashRank: 1, QueuedPrefillTokens: 6000})
	require.Zero(t, worse(engine, 0))
	require.Positive(t, worse(engine, 300*time.Millisecond))
	plain := Input{}.with(Candidate{Target: a, MeanDuration: time.Second}, Candidate{Target: b, MeanDuration: time.Second, Outstanding: 5})
	require.Zero(t, worse(plain, 0))
	require.Greater(t, worse(plain, time.Second), 50)
	plain.LoadUnknown = true
	require.Greater(t, worse(plain, 0), 50)
}
