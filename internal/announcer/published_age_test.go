package announcer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/logger"
)

// Guards against a new instance of a large deployment that takes weights for less old than they are: the age of a published
// version in an announcement must hold when the datagram is sent, not when the interval in which it is sent began.
func TestAgeOfPublishedVersionAtLastPeer(t *testing.T) {
	const maxShortfall = 100 * time.Millisecond
	for _, n := range []int{7, 82, 420} {
		t.Run(fmt.Sprint(n, " peers"), func(t *testing.T) {
			t.Parallel()
			listen := func() *net.UDPConn {
				c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
				require.NoError(t, err)
				t.Cleanup(func() { _ = c.Close() })
				return c
			}
			others, last, conn := listen(), listen(), listen()
			published := time.Now()
			shortfall := make(chan time.Duration, 1)
			receiver := &Announcer{Self: Peer{ID: "last"}, Log: logger.Discard(), conn: last, OnState: func(s State) {
				select {
				case shortfall <- time.Since(published) - s.Published[0].Age:
				default:
				}
			}}
			receiver.reset()
			go receiver.receive()
			a := &Announcer{Self: Peer{ID: "a"}, Log: logger.Discard(), conn: conn, LocalState: func() State {
				return State{Published: []PublishedVersion{{Model: "m", Version: 2, Age: time.Since(published)}}}
			}}
			var peers []Peer
			for i := range n - 1 {
				peers = append(peers, Peer{ID: fmt.Sprintf("i-%03d", i), addr: others.LocalAddr().(*net.UDPAddr)})
			}
			peers = append(peers, Peer{ID: "last", addr: last.LocalAddr().(*net.UDPAddr)})
			a.announce(context.Background(), peers, false)
			select {
			case d := <-shortfall:
				require.LessOrEqual(t, d, maxShortfall, "the age is too short")
			case <-time.After(5 * time.Second):
				t.Fatal("no announcement")
			}
		})
	}
}
