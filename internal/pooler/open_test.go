package pooler

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against a target that counts as running because of a connection that it has closed, with or without unread data in front of the
// end, or that was opened too late to be one to the process in question.
func TestHasOpen(t *testing.T) {
	tests := map[string]struct {
		// atTarget is what the target does with the connection.
		atTarget func(t *testing.T, c *net.TCPConn)
		late     bool
		want     bool
	}{
		"idle":                  {func(*testing.T, *net.TCPConn) {}, false, true},
		"unread data":           {func(t *testing.T, c *net.TCPConn) { write(t, c, 6) }, false, true},
		"much unread data":      {func(t *testing.T, c *net.TCPConn) { write(t, c, 2*maxQueuedBytes) }, false, false},
		"closed":                {func(t *testing.T, c *net.TCPConn) { require.NoError(t, c.Close()) }, false, false},
		"closed, unread data":   {func(t *testing.T, c *net.TCPConn) { write(t, c, 6); require.NoError(t, c.Close()) }, false, false},
		"reset":                 {func(t *testing.T, c *net.TCPConn) { require.NoError(t, c.SetLinger(0)); require.NoError(t, c.Close()) }, false, false},
		"opened after the time": {func(*testing.T, *net.TCPConn) {}, true, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = ln.Close() }()
			p, peer := New(), Peer{Address: ln.Addr().String()}
			before := time.Now()
			c, err := p.get(t.Context(), peer)
			require.NoError(t, err)
			if !tc.late {
				before = time.Now()
			}
			accepted, err := ln.Accept()
			require.NoError(t, err)
			defer func() { _ = accepted.Close() }()
			tc.atTarget(t, accepted.(*net.TCPConn))
			require.Eventually(t, func() bool { return p.HasOpen(peer, before) == tc.want }, time.Second, time.Millisecond)
			require.Never(t, func() bool { return p.HasOpen(peer, before) != tc.want }, 20*time.Millisecond, time.Millisecond)
			other := Peer{Address: peer.Address, Process: Process{Target: "w-1", StartedUnixMs: 1}}
			require.False(t, p.HasOpen(other, before), "of another process")
			p.discard(peer, c)
			require.False(t, p.HasOpen(peer, before))
			require.Empty(t, p.open)
		})
	}
}

func write(t *testing.T, c net.Conn, n int) {
	t.Helper()
	_, err := c.Write(make([]byte, n))
	require.NoError(t, err)
}

// Guards against a connection that counts as open, or blocks while it is read elsewhere, where the state of a socket can't be asked.
func TestIsOpenWithoutSocketState(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	accepted, err := ln.Accept()
	require.NoError(t, err)
	isOpen := func() bool {
		return isOpen(c, func(int) (uint8, int, error) { return 0, 0, unix.ENOTSUP })
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = c.Read(make([]byte, 6))
	}()
	require.Never(t, func() bool { return !isOpen() }, 20*time.Millisecond, time.Millisecond)
	write(t, accepted, 6)
	<-read
	require.True(t, isOpen())
	write(t, accepted, 6)
	require.Eventually(t, func() bool { return !isOpen() }, time.Second, time.Millisecond, "unread data")
	require.NoError(t, accepted.Close())
	require.Never(t, isOpen, 20*time.Millisecond, time.Millisecond)
}

// Guards against a request that is sent to the process that had the address before and still stops.
func TestConnectionsOfProcess(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	p, peer := New(), Peer{Address: ln.Addr().String(), Process: Process{Target: "w-1", StartedUnixMs: 1}, MaxConnections: 1}
	first, err := p.get(t.Context(), peer)
	require.NoError(t, err)
	p.putIdle(peer, first, time.Minute)
	again, err := p.get(t.Context(), peer)
	require.NoError(t, err)
	require.Same(t, first, again)
	p.putIdle(peer, first, time.Minute)
	peer.Process.StartedUnixMs = 2
	second, err := p.get(t.Context(), peer)
	require.NoError(t, err)
	require.NotSame(t, first, second)
	p.discard(peer, second)
	require.Empty(t, p.inUse)
	require.Empty(t, p.open)
}
