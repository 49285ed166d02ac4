package forwarder

import (
	"context"
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

// Guards against a response without framing that counts as complete although it was not found out whether its target is alive.
func TestUnknownTargetCountsAsAlive(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := map[string]struct {
		ctx     context.Context
		address string
		want    bool
	}{
		"accepts connections":        {t.Context(), ln.Addr().String(), true},
		"refuses connections":        {t.Context(), "127.0.0.1:1", false},
		"no usable address":          {t.Context(), "127.0.0.1", false},
		"not checked before the end": {cancelled, ln.Addr().String(), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := &crashDetector{s: &Server{loads: balancer.NewLoadTable(), pool: pooler.New(), Log: logger.Discard()}}
			w := d.watch(&cataloger.Target{ID: "w-1", Address: tc.address})
			defer w.end()
			require.Equal(t, tc.want, w.isAlive(tc.ctx))
		})
	}
}

// Guards against a response without framing that counts as complete although the process that sent it has ended, as another one has its address.
func TestWatchOfProcess(t *testing.T) {
	tests := map[string]struct {
		// closedBefore is how long before the end of the response the target closes its other connections; 0 if it does not.
		closedBefore time.Duration
		want         bool
	}{
		"runs on":                  {0, true},
		"ended and started again":  {time.Millisecond, false},
		"closed idle ones earlier": {2 * closeWindow, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = ln.Close() }()
			d := &crashDetector{s: &Server{loads: balancer.NewLoadTable(), pool: pooler.New(), Log: logger.Discard()}}
			first, second := d.watch(&cataloger.Target{ID: "w-1", Address: ln.Addr().String()}), d.watch(&cataloger.Target{ID: "w-1", Address: ln.Addr().String()})
			first.end()
			defer second.end()
			conn, err := ln.Accept()
			require.NoError(t, err)
			if tc.closedBefore > 0 {
				_ = conn.Close()
			}
			time.Sleep(tc.closedBefore)
			require.Equal(t, tc.want, second.isAlive(t.Context()))
		})
	}
}

// Guards against a response that is thrown away because its target has closed the idle connection of the watch, although it or a later one
// outlived that, and against a truncated one that counts as complete because the next process has closed such a connection as well.
func TestWatchBesideResponse(t *testing.T) {
	tests := map[string]struct {
		// steps are what happens in order: "join" starts another response, "close" closes the connection of the watch, "end" those of the
		// responses, "pause" waits until the watch is connected again.
		steps []string
		want  bool
	}{
		"runs on":                                {[]string{"end"}, true},
		"closed an idle one, response outlives":  {[]string{"close", "pause", "end"}, true},
		"closed it with the response":            {[]string{"close", "end"}, false},
		"closed it, a later response outlives":   {[]string{"join", "endFirst", "close", "pause", "end"}, true},
		"closed two":                             {[]string{"close", "pause", "close", "pause", "end"}, true},
		"ended, then closed one of the next one": {[]string{"close", "end", "pause", "join", "close", "pause"}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = ln.Close() }()
			s := &Server{loads: balancer.NewLoadTable(), pool: pooler.New(), Log: logger.Discard()}
			d := &crashDetector{s: s}
			tgt := &cataloger.Target{ID: "w-1", Address: ln.Addr().String()}
			accept := func() net.Conn {
				conn, err := ln.Accept()
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				return conn
			}
			var responses []net.Conn
			var w *processWatch
			join := func() {
				done := make(chan struct{})
				go func() {
					defer close(done)
					ex, err := s.pool.Do(t.Context(), peerOf(tgt), http.MethodGet, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), func(http.Header) bool { return true })
					if err == nil {
						t.Cleanup(ex.Close)
					}
				}()
				conn := accept()
				_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
				require.NoError(t, err)
				<-done
				responses = append(responses, conn)
				w = d.watch(tgt)
				t.Cleanup(w.end)
			}
			join()
			watched := accept()
			<-w.tried
			for _, step := range tc.steps {
				switch step {
				case "join":
					join()
				case "endFirst":
					require.NoError(t, responses[0].Close())
				case "close":
					require.NoError(t, watched.Close())
				case "pause":
					watched = accept()
					time.Sleep(crashCheckDelay)
				case "end":
					for _, c := range responses {
						_ = c.Close()
					}
				}
			}
			require.Equal(t, tc.want, w.isAlive(t.Context()))
		})
	}
}
