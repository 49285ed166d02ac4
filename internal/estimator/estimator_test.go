package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/throttler"
)

var start = time.Unix(0, 0)

// engineSample returns the sample of a request to an engine that computes 61,200 tokens per second and needs 3.37 ms for a step.
func engineSample(id string, shared, unique, computed, running int, speed, stated float64) Sample {
	slow := 1 + 0.05*float64(running)
	first := time.Duration((float64(computed)/61_200*slow + 0.00337) * speed * float64(time.Second))
	return Sample{
		Service: "llm", Process: throttler.Process{Target: id}, IsEngine: true, SharedTokens: shared, UniqueTokens: unique, OutputTokens: 39, Running: running,
		First: first, Total: first + time.Duration(38*3.37*slow*speed*float64(time.Millisecond)), Slowdown: stated,
	}
}

// Guards against rates that stay at their initial values, and against prompts whose shared part was cached, slow targets and odd samples
// that distort them.
func TestRatesAreLearned(t *testing.T) {
	e, r, now := New(), rand.New(rand.NewPCG(1, 1)), start
	for i := range 2000 {
		now = now.Add(20 * time.Millisecond)
		id, speed, stated := fmt.Sprint(i%20), 1.0, 1.0
		if r.Float64() < 0.15 {
			stated = 2.5
		}
		if i%20 < 10 {
			speed = 1.3
		}
		e.RecordSlowdown("llm", throttler.Process{Target: id}, stated, now)
		computed := 2870
		if r.Float64() < 0.4 {
			computed += 9122
		}
		x := engineSample(id, 9122, 2870, computed, r.IntN(10), speed*stated, stated)
		if i%50 == 0 {
			x.First, x.Total = x.First*30, x.Total*30
		}
		e.Observe(x, now)
	}
	rates := e.Rates("llm")
	require.InEpsilon(t, 61_200/math.Sqrt(1.3), rates.PrefillTokensPerSec, 0.12)
	require.InEpsilon(t, 3.37*math.Sqrt(1.3), rates.StepTime.Seconds()*1000, 0.12)
	require.InDelta(t, 0.05, rates.SlowdownPerRun, 0.02)
	later := now.Add(time.Hour)
	require.InEpsilon(t, 1.3, e.Speed("3", later)/e.Speed("13", later), 0.2)
}

// Guards against one response that changes an estimate by a large factor, and against odd values that spoil one for good.
func TestSamplesAreBounded(t *testing.T) {
	odd := []Sample{
		{First: 1, Total: 1}, {First: 1, Total: math.MaxInt64}, {First: math.MaxInt64, Total: math.MaxInt64}, {First: -1, Total: 1}, {First: 2, Total: 1}, {},
		{First: time.Hour, Total: time.Hour, QueueDelay: math.MaxInt64}, {First: time.Second, Total: time.Second, Slowdown: math.Inf(1)},
		{First: time.Second, Total: time.Second, Slowdown: math.NaN()}, {First: time.Second, Total: time.Second, Slowdown: -1},
	}
	for _, isEngine := range []bool{true, false} {
		e, p := New(), throttler.Process{Target: "t"}
		e.RecordSlowdown("llm", p, 1, start)
		for _, x := range odd {
			before, speed := e.Rates("llm"), e.Speed("t", start)
			x.Service, x.Process, x.IsEngine, x.SharedTokens, x.UniqueTokens, x.OutputTokens = "llm", p, isEngine, 1000, 2000, 100
			e.Observe(x, start)
			after := e.Rates("llm")
			require.InDelta(t, 0, math.Log(after.PrefillTokensPerSec/before.PrefillTokensPerSec), serviceClip)
			require.InDelta(t, 0, math.Log(e.Speed("t", start)/speed), targetClip*1.01)
		}
		for _, stated := range []float64{math.NaN(), math.Inf(1), 0, -1} {
			e.RecordSlowdown("llm", p, stated, start)
		}
		require.InDelta(t, 1, e.Speed("t", start), 9)
	}
}

// Guards against a stated slowdown that counts after it has ended, and against one that does not count at once.
func TestStatedSlowdownDecays(t *testing.T) {
	e, p := New(), throttler.Process{Target: "t"}
	for i := range 100 {
		e.RecordSlowdown("llm", p, 1, start.Add(time.Duration(i)*time.Millisecond))
	}
	now := start.Add(100 * time.Millisecond)
	e.RecordSlowdown("llm", p, 2.5, now)
	require.InEpsilon(t, 2.5, e.Speed("t", now), 0.01)
	require.InDelta(t, 1.45, e.Speed("t", now.Add(statedDecay)), 0.1)
	require.Less(t, e.Speed("t", now.Add(2*time.Second)), 1.15)
	require.InDelta(t, 1, e.Speed("unknown", now), 0)
}

// Guards against estimates in services whose targets do not state slowdowns, and against such that stay after the last statement.
func TestEnabled(t *testing.T) {
	e := New()
	e.Observe(engineSample("t", 0, 10_000, 10_000, 0, 1, 0), start)
	require.Equal(t, InitialRates(), e.Rates("llm"))
	require.False(t, e.Enabled("llm", start))
	e.RecordSlowdown("llm", throttler.Process{Target: "t"}, 1, start)
	require.True(t, e.Enabled("llm", start.Add(enabledTTL-1)))
	require.Equal(t, []string{"llm"}, e.Services(start))
	require.Equal(t, 1, e.StatedTargets(start))
	require.False(t, e.Enabled("llm", start.Add(enabledTTL)))
	require.False(t, e.Enabled("other", start))
}

// Guards against a restarted target that counts as slow as its previous process, and against late responses of that.
func TestRestartedTargetStartsAnew(t *testing.T) {
	e, old, p := New(), throttler.Process{Target: "t", StartedUnixMs: 1}, throttler.Process{Target: "t", StartedUnixMs: 2}
	e.RecordSlowdown("llm", old, 5, start)
	v := cataloger.NewView().WithTarget(&cataloger.Target{ID: "t", Service: "llm", StartedUnixMs: 2})
	e.Retain(v)
	require.InDelta(t, 1, e.Speed("t", start), 0)
	e.RecordSlowdown("llm", p, 1, start)
	e.RecordSlowdown("llm", old, 5, start)
	require.InDelta(t, 1, e.Speed("t", start), 0)
}

// Guards against durations of routes that are mixed up, and against memory that grows with the number of routes, targets or services.
func TestPlainDurationsAreBounded(t *testing.T) {
	e, r := New(), rand.New(rand.NewPCG(1, 1))
	e.RecordSlowdown("orders", throttler.Process{Target: "t"}, 1, start)
	observe := func(route string, d time.Duration) {
		e.Observe(Sample{Service: "orders", Route: route, Process: throttler.Process{Target: "t"}, First: d, Total: d, Slowdown: 1}, start)
	}
	for range 3000 {
		observe("short", time.Duration((10+10*r.Float64())*float64(time.Millisecond)))
		observe("long", 60*time.Millisecond)
	}
	mean, high, ok := e.Durations("orders", "short")
	require.True(t, ok)
	require.InEpsilon(t, 0.0147, mean.Seconds(), 0.15)
	require.InEpsilon(t, 0.0195, high.Seconds(), 0.15)
	mean, _, _ = e.Durations("orders", "long")
	require.InEpsilon(t, 0.06, mean.Seconds(), 0.05)
	for i := range 2 * maxTargets {
		observe(fmt.Sprint(i), time.Second)
		e.RecordSlowdown(fmt.Sprint(i), throttler.Process{Target: fmt.Sprint(i)}, 1, start)
	}
	require.LessOrEqual(t, len(e.services["orders"].routes), maxRoutes)
	require.LessOrEqual(t, len(e.services), maxServices)
	require.LessOrEqual(t, len(e.targets), maxTargets)
}

// Guards against a slowdown that only the instance knows that has seen it, against an old one that replaces a newer one, and against
// announcements that repeat what is usual.
func TestSlowdownsAreShared(t *testing.T) {
	at := time.Unix(1000, 0)
	p := throttler.Process{Target: "t", StartedUnixMs: 5}
	a, b := New(), New()
	a.RecordSlowdown("s", p, 1, at)
	require.Empty(t, a.RecentSlowdowns(at), "a target that is as fast as usual")
	a.RecordSlowdown("s", p, 2.5, at)
	told := a.RecentSlowdowns(at.Add(100 * time.Millisecond))
	require.Equal(t, map[string]RecentSlowdown{"t": {Slowdown: 2.5, Age: 100 * time.Millisecond}}, told)
	b.MergeSlowdown("s", p, told["t"].Slowdown, at)
	require.InDelta(t, 2.5, b.Speed("t", at), 0.01)
	b.MergeSlowdown("s", p, 1, at.Add(-time.Second))
	require.InDelta(t, 2.5, b.Speed("t", at), 0.01, "an older statement")
	a.RecordSlowdown("s", p, 1, at.Add(200*time.Millisecond))
	require.InDelta(t, 1, a.RecentSlowdowns(at.Add(300 * time.Millisecond))["t"].Slowdown, 0.01, "the end of the slow time is not told")
	require.Empty(t, a.RecentSlowdowns(at.Add(time.Second)))
}

// Guards against requests of other instances that are not counted, and against odd figures that shift their number for long.
func TestHiddenRequests(t *testing.T) {
	e := New()
	e.RecordHidden("s", 3)
	require.Zero(t, e.Hidden("s"), "the service is not known")
	e.RecordSlowdown("s", throttler.Process{Target: "t"}, 1, time.Unix(1000, 0))
	for range 100 {
		e.RecordHidden("s", 3)
	}
	require.InDelta(t, 3, e.Hidden("s"), 0.1)
	e.RecordHidden("s", 1<<30)
	require.Less(t, e.Hidden("s"), 4.0)
}
