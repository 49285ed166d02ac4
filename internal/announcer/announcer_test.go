package announcer

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/logger"
)

// memoryRegistry is an in-memory registry.
type memoryRegistry struct {
	mu    sync.Mutex
	peers []Peer
}

// Register implements Registry.
func (r *memoryRegistry) Register(_ context.Context, p Peer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = append(r.peers, p)
	return nil
}

// Peers implements Registry.
func (r *memoryRegistry) Peers(_ context.Context, from int64) ([]Peer, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Peer(nil), r.peers[from:]...), int64(len(r.peers)), nil
}

// unstarted returns an announcer that has no socket.
func unstarted(dataCentre string) *Announcer {
	a := &Announcer{Self: Peer{ID: "self", DataCentre: dataCentre}, OnState: func(State) {}, LocalLoad: func() Load { return Load{} }}
	a.reset()
	return a
}

// Guards against instances that do not discover each other, and against counting requests that have ended or belong to
// an instance that has stopped.
func TestAnnounce(t *testing.T) {
	reg := new(memoryRegistry)
	var all []*Announcer
	var cancels []context.CancelFunc
	for i := range 3 {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		addr := c.LocalAddr().String()
		require.NoError(t, c.Close())
		a := &Announcer{
			Self: Peer{ID: fmt.Sprint("i-", i), Address: addr}, Registry: reg, Log: logger.Discard(),
			LocalState: func() State {
				return State{InFlightByTarget: map[string]InFlight{"t": {Requests: 1, Tokens: 10, PrefillTokens: 5}}}
			},
			OnState:          func(State) {},
			OnMembersChanged: func([]string) {},
		}
		require.NoError(t, a.Start())
		ctx, cancel := context.WithCancel(context.Background())
		cancels = append(cancels, cancel)
		t.Cleanup(cancel)
		go a.Run(ctx)
		all = append(all, a)
	}
	inFlight := func() InFlight {
		f, known := all[0].RemoteInFlight("t", time.Second)
		require.True(t, known)
		return f
	}
	want := InFlight{Requests: 2, Tokens: 20, PrefillTokens: 10}
	require.Eventually(t, func() bool { return inFlight() == want }, 10*time.Second, 10*time.Millisecond)
	cancels[2]()
	require.Eventually(t, func() bool { return inFlight() == InFlight{Requests: 1, Tokens: 10, PrefillTokens: 5} }, 10*time.Second, 10*time.Millisecond)
	f, known := all[0].RemoteInFlight("t", time.Millisecond)
	require.Zero(t, f, "announcement interval longer than maxAge")
	require.False(t, known)
}

// Guards against truncating, and so losing, an announcement with many store updates, and against sending updates to
// instances that receive them from other followers.
func TestLongAnnouncement(t *testing.T) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := c.LocalAddr().String()
	require.NoError(t, c.Close())
	received := make(chan State, 16)
	a := &Announcer{Self: Peer{ID: "a", Address: addr}, Log: logger.Discard(), OnState: func(s State) { received <- s }}
	require.NoError(t, a.Start())
	defer func() { _ = a.conn.Close() }()
	go a.receive()
	blocks := make([]uint64, 1500)
	for i := range blocks {
		blocks[i] = math.MaxUint64 - uint64(i)
	}
	b := &Announcer{
		Self: Peer{ID: "b"}, Log: logger.Discard(),
		LocalState: func() State {
			return State{StoreUpdates: []archiver.StoreUpdate{{Store: 1, Blocks: blocks}, {Store: 2, Blocks: blocks}}}
		},
		ShouldSend: func(store uint64, peer string) bool { return store == 2 && peer == "a" },
	}
	e := b.newEncoder(time.Now())
	data := [][]byte{e.encode(Peer{ID: "a"}), e.encode(Peer{ID: "c"})}
	require.Less(t, len(data[1]), 100, "contains store updates for another peer")
	_, err = a.conn.WriteToUDP(data[0], a.conn.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	require.Equal(t, []archiver.StoreUpdate{{Store: 2, Blocks: blocks}}, (<-received).StoreUpdates)
}

// Guards against counting a failed instance as a member, so that its share of common work is not done, and against an
// isolated instance that takes over the shares of all others.
func TestMembers(t *testing.T) {
	now := time.Now()
	a := &Announcer{Self: Peer{ID: "self"}, peers: map[string]*peer{}}
	for i := range 9 {
		a.peers[fmt.Sprint("i-", i)] = &peer{registeredAt: now, receivedAt: now}
	}
	require.Len(t, a.members(now), 10)
	a.peers["i-3"].receivedAt = now.Add(-memberTimeout)
	require.NotContains(t, a.members(now), "i-3")
	require.Len(t, a.members(now), 9)
	for _, p := range a.peers {
		p.receivedAt = now.Add(-memberTimeout)
	}
	require.Empty(t, a.members(now))
}

// Guards against replacing a state by one of an earlier process, or by one that arrives out of order.
func TestOutdatedAnnouncements(t *testing.T) {
	now := time.Now()
	a := unstarted("")
	apply := func(startedUnixNano int64, sequence uint64, requests int) {
		a.apply(announcement{ID: "x", StartedUnixNano: startedUnixNano, Sequence: sequence, State: State{InFlightByTarget: map[string]InFlight{"t": {Requests: requests}}}}, &net.UDPAddr{}, now)
	}
	requests := func() int {
		f, _ := a.RemoteInFlight("t", time.Second)
		return f.Requests
	}
	apply(2, 5, 7)
	apply(2, 4, 1)
	apply(1, 9, 1)
	require.Equal(t, 7, requests())
	apply(3, 1, 2)
	require.Equal(t, 2, requests())
}

// Guards against start announcements of long prefills that are ignored until the next full announcement, counted twice
// after it, or retained if they arrive after it or the instance has restarted.
func TestStartAnnouncements(t *testing.T) {
	now := time.Now()
	a := unstarted("")
	apply := func(startedUnixNano int64, sequence uint64, st State) {
		a.apply(announcement{ID: "x", StartedUnixNano: startedUnixNano, Sequence: sequence, State: st}, &net.UDPAddr{}, now)
	}
	prefill := func() int {
		f, _ := a.RemoteInFlight("t", time.Second)
		return f.PrefillTokens
	}
	long := map[string]InFlight{"t": {Requests: 1, PrefillTokens: 9000}}
	apply(1, 1, State{})
	apply(1, 3, State{Started: long})
	require.Equal(t, 9000, prefill())
	apply(1, 2, State{}) // sent before the start announcement, delivered after it
	require.Equal(t, 9000, prefill())
	apply(1, 4, State{InFlightByTarget: long})
	require.Equal(t, 9000, prefill())
	apply(1, 3, State{Started: long}) // sent before the full announcement, delivered after it
	require.Equal(t, 9000, prefill())
	apply(1, 5, State{Started: long})
	require.Equal(t, 18000, prefill())
	apply(2, 1, State{})
	require.Zero(t, prefill())
}
