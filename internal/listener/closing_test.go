package listener

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an empty 200 for a request that arrives while idle connections are closed, and against a connection that is closed
// before the response of a handled request is written, or before the library has added it, so that its end is not noticed.
func TestCloseIdleBesideRequests(t *testing.T) {
	const connections, rounds = 200, 100
	var handled, answered, empty atomic.Int64
	s := &Server{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		_, _ = io.WriteString(w, "done")
	})}
	addr, err := s.Start()
	require.NoError(t, err)
	t.Cleanup(s.Kill)
	var done atomic.Bool
	var clients sync.WaitGroup
	for range connections {
		clients.Go(func() {
			for !done.Load() {
				c, err := net.Dial("tcp", addr)
				if !assert.NoError(t, err) {
					return
				}
				for r := bufio.NewReader(c); !done.Load(); {
					body, err := exchange(c, r)
					assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "a request without a response on an open connection")
					if err != nil {
						break
					}
					if body == "" {
						empty.Add(1)
						continue
					}
					answered.Add(1)
				}
				_ = c.Close()
			}
		})
	}
	for range rounds {
		time.Sleep(2 * time.Millisecond)
		s.CloseIdle()
	}
	done.Store(true)
	clients.Wait()
	assert.Zero(t, empty.Load(), "empty successes")
	assert.Equal(t, handled.Load(), answered.Load(), "handled requests and responses")
	require.Eventually(t, func() bool { return s.OpenConnections() == 0 }, 10*time.Second, time.Millisecond, "the end of a connection is not noticed")
}

// Guards against a stop that closes a connection in the middle of a request.
func TestCloseIdleKeepsRequestBeingRead(t *testing.T) {
	s := &Server{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })}
	addr, err := s.Start()
	require.NoError(t, err)
	t.Cleanup(s.Kill)
	for _, parts := range [][2]string{
		{"POST / HTTP/1.1\r\nHo", "st: h\r\nContent-Length: 4\r\n\r\nbody"},
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo", "dy"},
	} {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = io.WriteString(c, parts[0])
		require.NoError(t, err)
		require.Eventually(t, func() bool { return s.held.Load() > 0 }, 10*time.Second, time.Millisecond)
		s.CloseIdle()
		_, err = io.WriteString(c, parts[1])
		require.NoError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "after %q", parts[0])
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		require.NoError(t, err)
		require.Equal(t, "body", string(body))
		_ = c.Close()
		require.Eventually(t, func() bool { return s.held.Load() == 0 }, 10*time.Second, time.Millisecond)
	}
}

// Guards against handling a request whose caller has left while an earlier one of its connection was handled.
func TestRequestOfClosedConnectionIsNotHandled(t *testing.T) {
	var handled atomic.Int64
	first := make(chan struct{})
	s := &Server{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if handled.Add(1) == 1 {
			close(first)
			<-r.Context().Done()
		}
	})}
	addr, err := s.Start()
	require.NoError(t, err)
	t.Cleanup(s.Kill)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-first
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return s.OpenConnections() == 0 }, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 1, handled.Load())
}

// exchange sends a request and returns the body of its response.
func exchange(c net.Conn, r *bufio.Reader) (string, error) {
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return "", err
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// Guards against an empty 200 for a request whose handler has failed without a response.
func TestHandlerWithoutResponse(t *testing.T) {
	tests := map[string]http.HandlerFunc{
		"returns": func(http.ResponseWriter, *http.Request) {},
		"panics":  func(http.ResponseWriter, *http.Request) { panic("handler failed") },
	}
	for name, h := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Server{Addr: "127.0.0.1:0", Handler: h}
			addr, err := s.Start()
			require.NoError(t, err)
			t.Cleanup(s.Kill)
			c, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = exchange(c, bufio.NewReader(c))
			require.Error(t, err)
			require.False(t, errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open")
		})
	}
}
