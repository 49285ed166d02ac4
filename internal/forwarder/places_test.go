package forwarder

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/evacuator"
)

// emptyStores is a client of KV stores without blocks.
type emptyStores struct{}

// Events implements archiver.Client.
func (emptyStores) Events(ctx context.Context, _ string, _ int64, _ time.Duration) (archiver.EventBatch, error) {
	<-ctx.Done()
	return archiver.EventBatch{}, ctx.Err()
}

// List implements archiver.Client.
func (emptyStores) List(context.Context, string) (archiver.EventBatch, error) {
	return archiver.EventBatch{Epoch: 1, NextOffset: 1, Clock: time.Hour}, nil
}

// Free implements archiver.Client.
func (emptyStores) Free(context.Context, string, int64, []archiver.Block) error { return nil }

// Guards against KV cache of a call with homes that is saved to a store in another region, and against calls without homes that use no
// stores.
func TestKVPlanStaysInHomes(t *testing.T) {
	s, c := serverWithTargets(t, 10)
	s.Settings.Regions = evacuator.Regions{"dc-0": "eu", "dc-1": "us"}
	s.Archiver = &archiver.Archiver{Self: "a", Client: emptyStores{}, Log: s.Log}
	s.Archiver.SetStores(t.Context(), []*cataloger.Service{
		{Name: "s0", Store: &cataloger.KVStore{Address: "s:0", DataCentre: "dc-0", CapacityTokens: 1000}},
		{Name: "s1", Store: &cataloger.KVStore{Address: "s:1", DataCentre: "dc-1", CapacityTokens: 1_000_000}},
		{Name: "s2", Store: &cataloger.KVStore{Address: "s:2", DataCentre: "dc-2", CapacityTokens: 1_000_000}},
	})
	s.Archiver.SetInstances(t.Context(), []string{"a"})
	require.Eventually(t, func() bool { _, ok := s.Archiver.TargetClock(); return ok }, 5*time.Second, 5*time.Millisecond)
	for _, dc := range []string{"dc-0", "dc-1", "dc-2"} { // until the list of each store is read
		only := func(dataCentre string) bool { return dataCentre == dc }
		require.Eventually(t, func() bool { return s.Archiver.Plan("m/0/"+dc, []string{"x"}, only, time.Now()).SaveTo[0] != "" }, 5*time.Second, 5*time.Millisecond)
	}
	tests := map[string]struct {
		route, account []string
		want           []string
	}{
		"no homes":             {nil, nil, []string{"s:1", "s:2"}},
		"route":                {[]string{"eu"}, nil, []string{"s:0"}},
		"account":              {nil, []string{"eu"}, []string{"s:0"}},
		"both":                 {[]string{"eu", "us"}, []string{"eu"}, []string{"s:0"}},
		"none":                 {nil, []string{}, nil},
		"no store in the home": {[]string{"asia"}, nil, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c.Route = &cataloger.Route{Objective: time.Second, Homes: tc.route}
			c.Account = &cataloger.Account{Homes: tc.account}
			c.WeightVersion, c.Scope = 1, "m/1/"+name
			x := &targetRequest{s: s, c: c}
			var h TargetHeaders
			x.addKVPlan(&h)
			for _, a := range append(h.SaveTo, h.FetchFrom...) {
				if a != "" {
					require.Contains(t, tc.want, a)
				}
			}
			require.Equal(t, len(tc.want) > 0, h.SaveTo[0] != "" && h.SaveTo[1] != "")
		})
	}
}

// Guards against blocks that no call can fetch for long, because a save of them waits at a busy target.
func TestNoSaveAtBusyTarget(t *testing.T) {
	s, c := serverWithTargets(t, 1)
	s.Archiver = &archiver.Archiver{Self: "a", Client: emptyStores{}, Log: s.Log}
	s.Archiver.SetStores(t.Context(), []*cataloger.Service{{Name: "s", Store: &cataloger.KVStore{Address: "s:0", CapacityTokens: 1000}}})
	s.Archiver.SetInstances(t.Context(), []string{"a"})
	saves := func(wait time.Duration, scope string) bool {
		c.WeightVersion, c.Scope = 1, scope
		x := &targetRequest{s: s, c: c, wait: wait}
		var h TargetHeaders
		x.addKVPlan(&h)
		return len(h.SaveTo) > 0 && h.SaveTo[0] != ""
	}
	require.Eventually(t, func() bool { return saves(maxSaveWait, "m/1/a") }, 10*time.Second, 5*time.Millisecond)
	require.False(t, saves(maxSaveWait+1, "m/1/b"))
}

// Guards against targets that are left out for their place without a reason in the log, or with one of each target outside the homes
// although others are left.
func TestLeftOutByPlace(t *testing.T) {
	s, c := serverWithTargets(t, 10)
	s.metrics = s.newMetrics()
	s.Settings.Regions = evacuator.Regions{"dc-0": "eu", "dc-1": "us"}
	v := s.Watcher.View().WithEvacuated([]string{"dc-0"})
	s.Watcher.Apply(t.Context(), func(*cataloger.View) *cataloger.View { return v })
	require.Eventually(t, func() bool { return s.Watcher.View() == v }, 5*time.Second, time.Millisecond)
	reasons := func() map[string]int {
		out := map[string]int{}
		for _, l := range c.LeftOut {
			out[string(l.Reason)]++
		}
		return out
	}
	require.Len(t, s.usableTargets(c, time.Now(), 0), 8)
	require.Equal(t, map[string]int{"evacuated": 2}, reasons())
	c.Route = &cataloger.Route{Homes: []string{"us"}}
	require.Len(t, s.usableTargets(c, time.Now(), 0), 2)
	require.Equal(t, map[string]int{"evacuated": 2}, reasons())
	c.Route = &cataloger.Route{Homes: []string{"eu"}}
	require.Empty(t, s.usableTargets(c, time.Now(), 0))
	require.Equal(t, map[string]int{"evacuated": 2, "home": 8}, reasons())
}

// BenchmarkBalanceEvacuated measures one decision among 163 engines, a fifth of which is evacuated.
func BenchmarkBalanceEvacuated(b *testing.B) {
	s, c := serverWithTargets(b, 163)
	s.metrics = s.newMetrics()
	v := s.Watcher.View().WithEvacuated([]string{"dc-0"})
	s.Watcher.Apply(b.Context(), func(*cataloger.View) *cataloger.View { return v })
	for s.Watcher.View() != v {
		time.Sleep(time.Millisecond)
	}
	now := time.Now()
	for b.Loop() {
		if _, err := s.balance(c, now); err != nil {
			b.Fatal(err)
		}
	}
}
