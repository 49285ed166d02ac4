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

// Guards against a stop that cuts off a request in progress or takes a new connection.
func TestStopWaitsForRequests(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	s := &Server{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-finish
		_, _ = w.Write([]byte("whole"))
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
	<-begun
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
	require.Equal(t, "whole", <-got)
	require.NoError(t, <-stopped)
}

// Guards against work that goes on for a caller that went away.
func TestClosedConnectionCancelsTheRequest(t *testing.T) {
	begun, cancelled := make(chan struct{}), make(chan struct{})
	s := &Server{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
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
	<-begun
	require.NoError(t, c.Close())
	<-cancelled
}

// Guards against large responses that share a buffer: each caller must get its own body only.
func TestLargeResponsesAreSeparate(t *testing.T) {
	s := &Server{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		part := bytes.Repeat([]byte(r.URL.Path[1:]), 50_000)
		for range 8 {
			_, _ = w.Write(part)
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
