package listener

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

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
