package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/controller"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// storeServer returns instance i-000 of data centre dc-00, whose connections all fail, and a function that returns the
// addresses it dialed.
func storeServer(members, stores int) (*Server, func() []string) {
	var mu sync.Mutex
	var dialed []string
	s := &Server{
		Settings: &configurer.Settings{Instance: configurer.Instance{ID: "i-000", DataCentre: "dc-00"}},
		Log:      logger.Discard(), tracker: tracker.New(time.Now),
		client: dialer.NewWithDial(func(_ context.Context, _, addr string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			dialed = append(dialed, addr)
			return nil, errors.New("refused")
		}),
	}
	s.peers = &membership{s: s}
	s.control = controller.New(manyMembers(view.New(sizedConfig(stores, 1), 1, "dc-00"), members))
	return s, func() []string {
		mu.Lock()
		defer mu.Unlock()
		slices.Sort(dialed)
		return slices.Compact(dialed)
	}
}

// Guards against 420 instances that each poll all of 830 KV stores every second, and against stores that no instance
// polls.
func TestStoresArePolledByResponsibleInstances(t *testing.T) {
	for name, c := range map[string]struct{ members, stores int }{
		"few instances poll all stores":            {members: 7, stores: 15},
		"many instances poll assigned stores only": {members: 420, stores: 830},
	} {
		t.Run(name, func(t *testing.T) {
			s, dialed := storeServer(c.members, c.stores)
			v := s.control.View()
			s.newStorePoller().poll(t.Context(), v)
			var want []string
			for _, st := range v.Config.Stores {
				ids := pollersOf(liveMemberIDs(v, st.DataCentre), st.ID)
				if c.members <= pollAllMaxMembers || slices.Contains(ids, "i-000") {
					want = append(want, st.Address)
				}
			}
			slices.Sort(want)
			require.NotEmpty(t, want)
			require.Equal(t, want, dialed())
		})
	}
}

// Guards against a broadcast KV store state that is missing from the view of instances that don't poll the store.
func TestBroadcastStoreStateReachesTheView(t *testing.T) {
	s, _ := storeServer(420, 30)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.control.Run(ctx)
	in := sharedStore{State: dialer.StoreState{MemoryUsed: 7 << 20, LinkBacklogMs: 900, LinkBytes: 1 << 40}, Rate: 1 << 20, Down: true}
	body, err := encodeStore(in)
	require.NoError(t, err)
	s.peers.onLoad(storePrefix+"store-0012", body)
	s.peers.onLoad(storePrefix+"store-9999", body) // not in the configuration
	s.peers.onLoad(storePrefix+"store-0000", []byte{0xc1})
	s.control.Apply(ctx, func(v *view.View) *view.View { return v })
	v := s.control.View()
	got := v.Store("store-0012")
	require.Equal(t, in.State, got.State)
	require.True(t, got.Down)
	cfg, _ := v.StoreConfig("store-0012")
	require.Less(t, got.BytesPerSec, float64(cfg.LinkMiBPerSec)*bytesPerMiB, "the rate observed by the poller must be used")
	require.Zero(t, v.Store("store-9999"))
	require.Zero(t, v.Store("store-0000"))
}

// Guards against KV store reports that exceed the traffic limit of an instance, and against a store that goes down or
// fills up without a broadcast.
func TestShouldBroadcast(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cfg := configurer.Store{MemoryMiB: 1024, DiskMiB: 8192}
	base := sharedStore{State: dialer.StoreState{MemoryUsed: 512 << 20, LinkBacklogMs: 1000}}
	with := func(f func(*sharedStore)) sharedStore {
		st := base
		f(&st)
		return st
	}
	for name, c := range map[string]struct {
		after time.Duration
		st    sharedStore
		want  bool
	}{
		"unchanged":                  {after: 20 * time.Second, st: base},
		"unchanged for long":         {after: storeRefreshInterval, st: base, want: true},
		"down at once":               {after: time.Second, st: with(func(s *sharedStore) { s.Down = true }), want: true},
		"small change of backlog":    {after: minBroadcastInterval, st: with(func(s *sharedStore) { s.State.LinkBacklogMs = 1499 })},
		"backlog grown by half":      {after: minBroadcastInterval, st: with(func(s *sharedStore) { s.State.LinkBacklogMs = 1500 }), want: true},
		"backlog cleared":            {after: minBroadcastInterval, st: with(func(s *sharedStore) { s.State.LinkBacklogMs = 0 }), want: true},
		"large change, but too soon": {after: time.Second, st: with(func(s *sharedStore) { s.State.LinkBacklogMs = 9000 })},
		"memory filled":              {after: minBroadcastInterval, st: with(func(s *sharedStore) { s.State.MemoryUsed = 1 << 30 }), want: true},
		"disk filled":                {after: minBroadcastInterval, st: with(func(s *sharedStore) { s.State.DiskUsed = 1 << 30 }), want: true},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, shouldBroadcast(sentState{state: base, sentAt: now}, c.st, cfg, now.Add(c.after)))
		})
	}
	require.True(t, shouldBroadcast(sentState{}, base, cfg, now), "a store without an earlier broadcast")
	body, err := encodeStore(with(func(s *sharedStore) { s.State.LinkBytes, s.Rate = 1<<50, 1e9 }))
	require.NoError(t, err)
	require.Less(t, len(body), 64, fmt.Sprint(len(body)))
}

// Guards against each of many instances polling the list at the full rate, and against an isolated instance that polls
// for peers too rarely.
func TestListIntervalGrowsWithMembers(t *testing.T) {
	for members, want := range map[int]time.Duration{0: 5 * time.Second, 1: 5 * time.Second, 7: 5 * time.Second,
		24: 5 * time.Second, 25: 10 * time.Second, 420: 90 * time.Second} {
		require.Equal(t, want, listInterval(manyMembers(view.New(sizedConfig(1, 1), 1, "dc-00"), members)), "%d members", members)
	}
}
