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

// uniform counts the questions to targets that all report one state, and notes the orders.
type uniform struct {
	mu     sync.Mutex
	state  dialer.EngineState
	asked  int
	orders chan dialer.Order
}

func (f *uniform) State(context.Context, string) (*dialer.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	st := f.state
	return &st, nil
}

func (f *uniform) Order(_ context.Context, _ string, o *dialer.Order) error {
	f.orders <- *o
	return nil
}

func (f *uniform) WithLease(_ string, send func(fencer.Lease) error) error {
	return send(fencer.Lease{FencingToken: 7})
}
func (f *uniform) Held(string) (fencer.Lease, bool) { return fencer.Lease{}, true }

// Guards against a holder that asks every target of other data centres in each round, and against one that trusts an
// old answer after the wanted version changed or for longer than askAgain.
func TestHolderRemembersTargetsAsWanted(t *testing.T) {
	f := &uniform{state: dialer.EngineState{Versions: map[string]int64{"m": 1}}, orders: make(chan dialer.Order, 64)}
	cfg := &configurer.Config{Models: []configurer.Model{{Name: "m", Version: 1}}}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		cfg.Targets = append(cfg.Targets, configurer.Target{ID: id, Address: id, Kind: configurer.KindEngine, Models: []string{"m"}})
	}
	v, now := view.New(cfg, 1, "kochi-a"), time.Unix(1_800_000_000, 0)
	s := &Swapper{Client: f, Leases: f, View: func() *view.View { return v }, Logger: logger.Discard(), Now: func() time.Time { return now }}

	require.False(t, s.Reconcile(t.Context()), "all are as wanted")
	require.Equal(t, 8, f.asked)
	now = now.Add(askAgain - time.Second)
	require.False(t, s.Reconcile(t.Context()))
	require.Equal(t, 8, f.asked, "their answers are recent")
	now = now.Add(time.Second)
	require.False(t, s.Reconcile(t.Context()))
	require.Equal(t, 16, f.asked, "their answers are old")

	next := *cfg
	next.Models = []configurer.Model{{Name: "m", Version: 2}}
	v = v.WithConfig(&next, 2)
	require.True(t, s.Reconcile(t.Context()), "another version is wanted")
	require.Equal(t, 24, f.asked)
	require.Equal(t, dialer.OrderDrain, (<-f.orders).Kind, "a swap begins with a drain")

	v = v.WithConfig(cfg, 3)
	require.False(t, s.Reconcile(t.Context()))
	asked := f.asked
	require.False(t, s.Reconcile(t.Context()))
	require.Equal(t, asked, f.asked, "the fleet is at rest again")
	s.busy = true
	now = now.Add(askAgainBusy)
	s.Reconcile(t.Context())
	require.Equal(t, asked+8, f.asked, "answers are short-lived while a swap is in progress")
}
