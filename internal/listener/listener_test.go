package listener

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a stop that aborts a request in progress or accepts a new connection.
func TestStopWaitsForRequests(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	s := &Server{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = w.Write([]byte("complete"))
	})}
	addr, err := s.Start()
	require.NoError(t, err)
	got := make(chan string, 1)
	go func() {
		res, err := http.Get("http://" + addr)
		if err != nil {
			got <- err.Error()
			return
		}
		defer res.Body.Close()
		b, _ := io.ReadAll(res.Body)
		got <- string(b)
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	close(finish)
	require.Equal(t, "complete", <-got)
	require.NoError(t, <-stopped)
}

// Guards against a handler that keeps running after its caller has closed the connection.
func TestClosedConnectionCancelsTheRequest(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	s := &Server{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})}
	addr, err := s.Start()
	require.NoError(t, err)
	defer s.Kill()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	<-started
	require.NoError(t, c.Close())
	<-cancelled
}

// Guards against large concurrent responses that share a buffer of the HTTP library: a caller would receive bytes of
// another response.
func TestLargeResponsesAreSeparate(t *testing.T) {
	s := &Server{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		chunk := bytes.Repeat([]byte(r.URL.Path[1:]), 50_000)
		for range 8 {
			_, _ = w.Write(chunk)
		}
	})}
	addr, err := s.Start()
	require.NoError(t, err)
	defer s.Kill()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			name := string(rune('a' + i))
			for range 20 {
				res, err := http.Get("http://" + addr + "/" + name)
				if !assert.NoError(t, err) {
					return
				}
				body, err := io.ReadAll(res.Body)
				res.Body.Close()
				assert.NoError(t, err)
				assert.Equal(t, 400_000, bytes.Count(body, []byte(name)), "caller %s got %d bytes", name, len(body))
			}
		})
	}
	wg.Wait()
}

// Guards against a response that is cut because its caller reads it more slowly than the handler writes it, and against handlers that
// wait for ever for a caller that reads nothing.
func TestSlowReaders(t *testing.T) {
	t.Parallel()
	body := bytes.Repeat([]byte("b"), 16<<20)
	tests := map[string]struct {
		read    func(c net.Conn) (int, error)
		wantErr bool
	}{
		"pauses between reads": {func(c net.Conn) (int, error) {
			n, buf := 0, make([]byte, 1<<20)
			for {
				m, err := c.Read(buf)
				n += m
				if err != nil || n >= len(body) {
					return n, err
				}
				time.Sleep(10 * time.Millisecond)
			}
		}, false},
		"reads nothing": {nil, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			written := make(chan error, 1)
			s := &Server{Addr: "127.0.0.1:0", WriteBufferBytes: 1 << 20, stallTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
				_, err := w.Write(body)
				written <- err
			})}
			addr, err := s.Start()
			require.NoError(t, err)
			t.Cleanup(s.Kill)
			c, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			if tc.read != nil {
				n, err := tc.read(c)
				require.NoError(t, err)
				require.GreaterOrEqual(t, n, len(body))
			}
			require.Equal(t, tc.wantErr, <-written != nil)
		})
	}
}

// Guards against a stopping server that counts a request as interrupted which the library has read from a connection that was closed as
// idle, and which is not passed to the handler.
func TestRequestOfClosedIdleConnectionIsActive(t *testing.T) {
	s := &Server{Addr: "127.0.0.1:0", Handler: http.NotFoundHandler()}
	addr, err := s.Start()
	require.NoError(t, err)
	t.Cleanup(s.Kill)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.Eventually(t, func() bool { return s.OpenConnections() == 1 }, 10*time.Second, time.Millisecond)
	var conn net.Conn
	s.mu.Lock()
	for conn = range s.conns {
	}
	s.mu.Unlock()
	request := &nbhttp.Response{Parser: &nbhttp.Parser{Conn: conn}}
	s.CloseIdle()
	s.markActive(request, nil)
	require.Zero(t, s.ActiveRequests(), "before the library has reported the end of the connection")
	require.Eventually(t, func() bool { return s.OpenConnections() == 0 }, 10*time.Second, time.Millisecond)
	s.markActive(request, nil)
	require.Zero(t, s.ActiveRequests(), "after that")
}
