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

// list is a registry in memory.
type list struct {
	mu    sync.Mutex
	peers []Peer
}

// Register implements Registry.
func (l *list) Register(_ context.Context, p Peer) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = append(l.peers, p)
	return nil
}

// Peers implements Registry.
func (l *list) Peers(_ context.Context, from int64) ([]Peer, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Peer(nil), l.peers[from:]...), int64(len(l.peers)), nil
}

// Guards against instances that do not find each other, or that count calls which have ended or whose instance is gone.
func TestAnnounce(t *testing.T) {
	reg := new(list)
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
	load := func() InFlight { return all[0].RemoteInFlight("t", time.Second, time.Now()) }
	want := InFlight{Requests: 2, Tokens: 20, PrefillTokens: 10}
	require.Eventually(t, func() bool { return load() == want }, 10*time.Second, 10*time.Millisecond)
	cancels[2]()
	require.Eventually(t, func() bool { return load() == InFlight{Requests: 1, Tokens: 10, PrefillTokens: 5} }, 10*time.Second, 10*time.Millisecond)
	require.Zero(t, all[0].RemoteInFlight("t", time.Millisecond, time.Now()), "older than what is of use")
}

// Guards against an announcement that is cut off, and so lost with all that it tells, when much has become new at once, and
// against news that go to instances that others tell.
func TestLongAnnouncement(t *testing.T) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := c.LocalAddr().String()
	require.NoError(t, c.Close())
	heard := make(chan State, 16)
	a := &Announcer{Self: Peer{ID: "a", Address: addr}, Log: logger.Discard(), OnState: func(s State) { heard <- s }}
	require.NoError(t, a.Start())
	defer func() { _ = a.conn.Close() }()
	go a.receive()
	parts := make([]uint64, 1500)
	for i := range parts {
		parts[i] = math.MaxUint64 - uint64(i)
	}
	b := &Announcer{
		Self: Peer{ID: "b"}, Log: logger.Discard(),
		LocalState: func() State {
			return State{StoreUpdates: []archiver.StoreUpdate{{Store: 1, Blocks: parts}, {Store: 2, Blocks: parts}}}
		},
		ShouldSend: func(store uint64, peer string) bool { return store == 2 && peer == "a" },
	}
	data := b.encode([]Peer{{ID: "a"}, {ID: "c"}})
	require.Less(t, len(data[1]), 100, "it has nothing to tell this one")
	_, err = a.conn.WriteToUDP(data[0], a.conn.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	require.Equal(t, []archiver.StoreUpdate{{Store: 2, Blocks: parts}}, (<-heard).StoreUpdates)
}

// Guards against an instance that died but is still counted on for its part of common work, and against one that is cut
// off and takes over the part of all others.
func TestMembers(t *testing.T) {
	now := time.Now()
	a := &Announcer{Self: Peer{ID: "self"}, peers: map[string]*peer{}}
	for i := range 9 {
		a.peers[fmt.Sprint("i-", i)] = &peer{known: now, heard: now}
	}
	require.Len(t, a.members(now), 10)
	a.peers["i-3"].heard = now.Add(-memberLife)
	require.NotContains(t, a.members(now), "i-3")
	require.Len(t, a.members(now), 9)
	for _, p := range a.peers {
		p.heard = now.Add(-memberLife)
	}
	require.Empty(t, a.members(now))
}

// Guards against an announcement of an earlier process, or one that was overtaken, that replaces a newer one.
func TestOldAnnouncements(t *testing.T) {
	now := time.Now()
	a := &Announcer{Self: Peer{ID: "self"}, peers: map[string]*peer{}, OnState: func(State) {}}
	take := func(boot int64, number uint64, calls int) {
		a.take(announcement{ID: "x", Boot: boot, Number: number, State: State{InFlightByTarget: map[string]InFlight{"t": {Requests: calls}}}}, &net.UDPAddr{}, now)
	}
	take(2, 5, 7)
	take(2, 4, 1)
	take(1, 9, 1)
	require.Equal(t, 7, a.RemoteInFlight("t", time.Second, now).Requests)
	take(3, 1, 2)
	require.Equal(t, 2, a.RemoteInFlight("t", time.Second, now).Requests)
}

// Guards against long reads that others learn of only with the next announcement, that are counted twice when it comes, or
// that stay when it came first or the instance has started again.
func TestBegun(t *testing.T) {
	now := time.Now()
	a := &Announcer{Self: Peer{ID: "self"}, peers: map[string]*peer{}, OnState: func(State) {}}
	take := func(boot int64, number uint64, st State) {
		a.take(announcement{ID: "x", Boot: boot, Number: number, State: st}, &net.UDPAddr{}, now)
	}
	reading := func() int { return a.RemoteInFlight("t", time.Second, now).PrefillTokens }
	long := map[string]InFlight{"t": {Requests: 1, PrefillTokens: 9000}}
	take(1, 1, State{})
	take(1, 3, State{Started: long})
	require.Equal(t, 9000, reading())
	take(1, 2, State{}) // was made before the call began, and overtaken
	require.Equal(t, 9000, reading())
	take(1, 4, State{InFlightByTarget: long})
	require.Equal(t, 9000, reading())
	take(1, 3, State{Started: long}) // was overtaken
	require.Equal(t, 9000, reading())
	take(1, 5, State{Started: long})
	require.Equal(t, 18000, reading())
	take(2, 1, State{})
	require.Zero(t, reading())
}
