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
			State:   func() State { return State{Flights: map[string]Flight{"t": {Calls: 1, Tokens: 10, Reading: 5}}} },
			Heard:   func(State) {},
			Changed: func([]string) {},
		}
		require.NoError(t, a.Start())
		ctx, cancel := context.WithCancel(context.Background())
		cancels = append(cancels, cancel)
		t.Cleanup(cancel)
		go a.Run(ctx)
		all = append(all, a)
	}
	load := func() Flight { return all[0].Load("t", time.Second, time.Now()) }
	want := Flight{Calls: 2, Tokens: 20, Reading: 10}
	require.Eventually(t, func() bool { return load() == want }, 10*time.Second, 10*time.Millisecond)
	cancels[2]()
	require.Eventually(t, func() bool { return load() == Flight{Calls: 1, Tokens: 10, Reading: 5} }, 10*time.Second, 10*time.Millisecond)
	require.Zero(t, all[0].Load("t", time.Millisecond, time.Now()), "older than what is of use")
}

// Guards against an announcement that is cut off, and so lost with all that it tells, when much has become new at once, and
// against news that go to instances that others tell.
func TestLongAnnouncement(t *testing.T) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := c.LocalAddr().String()
	require.NoError(t, c.Close())
	heard := make(chan State, 16)
	a := &Announcer{Self: Peer{ID: "a", Address: addr}, Log: logger.Discard(), Heard: func(s State) { heard <- s }}
	require.NoError(t, a.Start())
	defer func() { _ = a.conn.Close() }()
	go a.receive()
	parts := make([]uint64, 1500)
	for i := range parts {
		parts[i] = math.MaxUint64 - uint64(i)
	}
	b := &Announcer{
		Self: Peer{ID: "b"}, Log: logger.Discard(),
		State: func() State { return State{Kept: []archiver.News{{Store: 1, Parts: parts}, {Store: 2, Parts: parts}}} },
		Tells: func(store uint64, peer string) bool { return store == 2 && peer == "a" },
	}
	data := b.encode([]Peer{{ID: "a"}, {ID: "c"}})
	require.Less(t, len(data[1]), 100, "it has nothing to tell this one")
	_, err = a.conn.WriteToUDP(data[0], a.conn.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	require.Equal(t, []archiver.News{{Store: 2, Parts: parts}}, (<-heard).Kept)
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
	a := &Announcer{Self: Peer{ID: "self"}, peers: map[string]*peer{}, Heard: func(State) {}}
	take := func(boot int64, number uint64, calls int) {
		a.take(announcement{ID: "x", Boot: boot, Number: number, State: State{Flights: map[string]Flight{"t": {Calls: calls}}}}, &net.UDPAddr{}, now)
	}
	take(2, 5, 7)
	take(2, 4, 1)
	take(1, 9, 1)
	require.Equal(t, 7, a.Load("t", time.Second, now).Calls)
	take(3, 1, 2)
	require.Equal(t, 2, a.Load("t", time.Second, now).Calls)
}

// Guards against long reads that others learn of only with the next announcement, that are counted twice when it comes, or
// that stay when it came first or the instance has started again.
func TestBegun(t *testing.T) {
	now := time.Now()
	a := &Announcer{Self: Peer{ID: "self"}, peers: map[string]*peer{}, Heard: func(State) {}}
	take := func(boot int64, number uint64, st State) {
		a.take(announcement{ID: "x", Boot: boot, Number: number, State: st}, &net.UDPAddr{}, now)
	}
	reading := func() int { return a.Load("t", time.Second, now).Reading }
	long := map[string]Flight{"t": {Calls: 1, Reading: 9000}}
	take(1, 1, State{})
	take(1, 3, State{Begun: long})
	require.Equal(t, 9000, reading())
	take(1, 2, State{}) // was made before the call began, and overtaken
	require.Equal(t, 9000, reading())
	take(1, 4, State{Flights: long})
	require.Equal(t, 9000, reading())
	take(1, 3, State{Begun: long}) // was overtaken
	require.Equal(t, 9000, reading())
	take(1, 5, State{Begun: long})
	require.Equal(t, 18000, reading())
	take(2, 1, State{})
	require.Zero(t, reading())
}
