package forwarder

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/pooler"
)

// Guards against a truncated response that counts as complete because a connection looks open although its process has ended, or is one to
// another process: the end of a connection is not seen while its receive buffer is full, and a process that stops may keep its connections
// after the next one has got its address.
func TestEndedTargetLooksOpen(t *testing.T) {
	for _, name := range []string{"full receive buffer", "process before still drains"} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			tgt := &cataloger.Target{ID: "w-1", Address: ln.Addr().String(), StartedUnixMs: 1}
			s := &Server{loads: balancer.NewLoadTable(), pool: pooler.New(), Log: logger.Discard()}
			d := &crashDetector{s: s}
			accept := func() net.Conn {
				conn, err := ln.Accept()
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				return conn
			}
			begin := func() net.Conn {
				done := make(chan struct{})
				go func() {
					defer close(done)
					ex, err := s.pool.Do(t.Context(), peerOf(tgt), http.MethodGet, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), func(http.Header) bool { return true })
					if err == nil {
						t.Cleanup(ex.Close)
					}
				}()
				conn := accept()
				_, err := conn.Read(make([]byte, 100))
				require.NoError(t, err)
				_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
				require.NoError(t, err)
				<-done
				return conn
			}

			other := begin()
			if name == "full receive buffer" {
				require.NoError(t, other.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
				for err == nil { // nobody reads, as the caller does not
					_, err = other.Write(make([]byte, 64<<10))
				}
			} else {
				require.NoError(t, ln.Close())
				ln, err = net.Listen("tcp", tgt.Address)
				require.NoError(t, err)
				tgt = &cataloger.Target{ID: "w-1", Address: tgt.Address, StartedUnixMs: 2}
			}

			sentAt := time.Now()
			cut := begin()
			w := d.watch(tgt)
			t.Cleanup(w.end)
			watched := accept()
			<-w.tried
			time.Sleep(2 * crashCheckDelay)

			// The process that has answered ends.
			require.NoError(t, ln.Close())
			require.NoError(t, watched.Close())
			require.NoError(t, cut.Close())
			if name == "full receive buffer" {
				require.NoError(t, other.Close())
			}
			require.False(t, s.runsOn(t.Context(), w, sentAt))
		})
	}
}

// Guards against a process that counts as running because of a connection that was opened while the watch was dialled, so that it may be one to
// the next process.
func TestConnectionOpenedWhileWatchIsDialled(t *testing.T) {
	tests := map[string]struct {
		openedBefore bool
		want         processState
	}{
		"opened before": {true, processConnected},
		"opened while":  {false, processLost},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = ln.Close() }()
			s := &Server{pool: pooler.New()}
			w := &processWatch{d: &crashDetector{s: s}, target: &cataloger.Target{ID: "w-1", Address: ln.Addr().String()}}
			dialledAt := time.Now()
			go func() {
				if conn, err := ln.Accept(); err == nil {
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
				}
			}()
			ex, err := s.pool.Do(t.Context(), peerOf(w.target), http.MethodGet, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), func(http.Header) bool { return true })
			require.NoError(t, err)
			defer ex.Close()
			if tc.openedBefore {
				dialledAt = time.Now()
			}
			watched, _ := net.Pipe()
			w.set(watched, false, dialledAt)
			w.set(nil, false, dialledAt)
			w.set(watched, false, time.Now())
			state, _ := w.state(time.Now())
			require.Equal(t, tc.want, state)
		})
	}
}
