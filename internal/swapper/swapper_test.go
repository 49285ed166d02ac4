package swapper

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/fencer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// uniformTargets fakes targets that all report the same state. It counts the state reads and records the commands. As [Leases],
// it always holds the lease.
type uniformTargets struct {
	mu       sync.Mutex
	state    dialer.EngineState
	queries  int
	commands chan dialer.Command
}

func (f *uniformTargets) EngineState(context.Context, string) (*dialer.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries++
	st := f.state
	return &st, nil
}

func (f *uniformTargets) SendCommand(_ context.Context, _ string, c *dialer.Command) error {
	f.commands <- *c
	return nil
}

func (f *uniformTargets) WithLease(_ string, send func(fencer.Lease) error) error {
	return send(fencer.Lease{FencingToken: 7})
}
func (f *uniformTargets) Held(string) (fencer.Lease, bool) { return fencer.Lease{}, true }

// Guards against a lease holder that reads the state of every target of other data centres in each round, and against one
// that uses a cached state after the desired version changed or for longer than stateTTL.
func TestHolderCachesDesiredStates(t *testing.T) {
	f := &uniformTargets{state: dialer.EngineState{Versions: map[string]int64{"m": 1}}, commands: make(chan dialer.Command, 64)}
	cfg := &configurer.Config{Models: []configurer.Model{{Name: "m", Version: 1}}}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		cfg.Targets = append(cfg.Targets, configurer.Target{ID: id, Address: id, Kind: configurer.KindEngine, Models: []string{"m"}})
	}
	v, now := view.New(cfg, 1, "kochi-a"), time.Unix(1_800_000_000, 0)
	s := &Swapper{Client: f, Leases: f, View: func() *view.View { return v }, Logger: logger.Discard(), Now: func() time.Time { return now }}

	require.False(t, s.Reconcile(t.Context()), "all are in the desired state")
	require.Equal(t, 8, f.queries)
	now = now.Add(stateTTL - time.Second)
	require.False(t, s.Reconcile(t.Context()))
	require.Equal(t, 8, f.queries, "the cached states are recent")
	now = now.Add(time.Second)
	require.False(t, s.Reconcile(t.Context()))
	require.Equal(t, 16, f.queries, "the cached states have expired")

	next := *cfg
	next.Models = []configurer.Model{{Name: "m", Version: 2}}
	v = v.WithConfig(&next, 2)
	require.True(t, s.Reconcile(t.Context()), "another version is desired")
	require.Equal(t, 24, f.queries)
	require.Equal(t, dialer.CommandDrain, (<-f.commands).Kind, "a swap starts with a drain")

	v = v.WithConfig(cfg, 3)
	require.False(t, s.Reconcile(t.Context()))
	queries := f.queries
	require.False(t, s.Reconcile(t.Context()))
	require.Equal(t, queries, f.queries, "the fleet is idle again")
	s.busy = true
	now = now.Add(busyStateTTL)
	s.Reconcile(t.Context())
	require.Equal(t, queries+8, f.queries, "cached states expire earlier while a swap is in progress")
}
