package pooler

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
		"unread data":           {func(t *testing.T, c *net.TCPConn) { write(t, c) }, false, true},
		"closed":                {func(t *testing.T, c *net.TCPConn) { require.NoError(t, c.Close()) }, false, false},
		"closed, unread data":   {func(t *testing.T, c *net.TCPConn) { write(t, c); require.NoError(t, c.Close()) }, false, false},
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
			require.Eventually(t, func() bool { return p.HasOpen(peer.Address, before) == tc.want }, time.Second, time.Millisecond)
			require.Never(t, func() bool { return p.HasOpen(peer.Address, before) != tc.want }, 20*time.Millisecond, time.Millisecond)
			p.discard(peer, c)
			require.False(t, p.HasOpen(peer.Address, before))
			require.Empty(t, p.open)
		})
	}
}

func write(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte("unread"))
	require.NoError(t, err)
}
