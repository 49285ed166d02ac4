package pooler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testRequest   = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// target is a server that holds every response until respond is closed.
type target struct {
	address, response string
	respond           chan struct{}
	// closes is whether the connection ends after the first response.
	closes bool
}

func startTarget(t *testing.T, response string) *target {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &target{address: ln.Addr().String(), response: response, respond: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		<-s.respond
		if _, err := c.Write([]byte(s.response)); err != nil || s.closes {
			return
		}
	}
}

// Guards against more open connections, in use and idle, than the limit of a target, and against connections that still count
// after their requests have ended, were cancelled or failed to connect.
func TestLimit(t *testing.T) {
	s := startTarget(t, emptyResponse)
	p := New()
	peer := Peer{Address: s.address, MaxConnections: 3}
	do := func(ctx context.Context) error {
		ex, err := p.Do(ctx, peer, http.MethodGet, []byte(testRequest), func(http.Header) bool { return true })
		if err == nil {
			ex.Finish()
		}
		return err
	}
	errs := make(chan error, 10)
	ctx, cancel := context.WithCancel(t.Context())
	for range cap(errs) {
		go func() { errs <- do(ctx) }()
	}
	ended := func() error {
		select {
		case err := <-errs:
			return err
		case <-time.After(5 * time.Second):
			t.Fatal("a request beyond the limit blocks")
			return nil
		}
	}
	for range cap(errs) - peer.MaxConnections {
		err := ended()
		require.ErrorIs(t, err, ErrConnectionLimit)
		require.False(t, MaybeSent(err))
	}
	cancel()
	for range peer.MaxConnections {
		require.Error(t, ended())
	}
	close(s.respond)
	for range 2 * peer.MaxConnections {
		require.NoError(t, do(t.Context()))
	}
	require.Empty(t, p.inUse)
	require.LessOrEqual(t, len(p.idle[s.address]), peer.MaxConnections)
	unreachable := Peer{Address: "127.0.0.1:1", MaxConnections: 1}
	for range 3 {
		_, err := p.Do(t.Context(), unreachable, http.MethodGet, nil, nil)
		require.Error(t, err)
		require.NotErrorIs(t, err, ErrConnectionLimit)
	}
}

// Guards against a connection that is reused although the rest of a response is still to arrive on it.
func TestReusedBeforeEndOfBody(t *testing.T) {
	read := func(ex *Exchange) {
		_, _ = io.Copy(io.Discard, ex.Body)
		ex.Finish()
	}
	const header = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		response string
		end      func(ex *Exchange)
		reused   bool
	}{
		"read":                      {header + "Content-Length: 2\r\n\r\nok", read, true},
		"read, chunked":             {header + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", read, true},
		"no body":                   {emptyResponse, (*Exchange).Finish, true},
		"body not arrived":          {header + "Content-Length: 2\r\n\r\n", (*Exchange).Finish, false},
		"body not read":             {header + "Content-Length: 2\r\n\r\nok", (*Exchange).Finish, false},
		"discarded":                 {header + "Content-Length: 2\r\n\r\nok", (*Exchange).DiscardBody, true},
		"discarded, chunked":        {header + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", (*Exchange).DiscardBody, true},
		"discarded, no body":        {emptyResponse, (*Exchange).DiscardBody, true},
		"discarded, not arrived":    {header + "Content-Length: 2\r\n\r\n", (*Exchange).DiscardBody, false},
		"discarded, no last chunk":  {header + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", (*Exchange).DiscardBody, false},
		"discarded, unframed":       {header + "\r\nok", (*Exchange).DiscardBody, false},
		"discarded, long":           {header + "Content-Length: 99999999\r\n\r\nok", (*Exchange).DiscardBody, false},
		"discarded, further bytes":  {emptyResponse + "ok", (*Exchange).DiscardBody, false},
		"discarded, to be closed":   {header + "Connection: close\r\nContent-Length: 2\r\n\r\nok", (*Exchange).DiscardBody, false},
		"after a skipped response":  {header + "X-Other: 1\r\nContent-Length: 2\r\n\r\nno" + emptyResponse, read, true},
		"after an interim response": {"HTTP/1.1 103 Early Hints\r\n\r\n" + emptyResponse, read, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, tc.response)
			close(s.respond)
			p := New()
			ex, err := p.Do(t.Context(), Peer{Address: s.address}, http.MethodGet, []byte(testRequest), func(h http.Header) bool { return h.Get("X-Other") == "" })
			require.NoError(t, err)
			tc.end(ex)
			require.Empty(t, p.inUse)
			require.Equal(t, tc.reused, len(p.idle[s.address]) == 1)
		})
	}
}

// Guards against a skipped response that counts against the limits of the response, and against limits that a body keeps.
func TestLongResponses(t *testing.T) {
	pad := func(n int) string { return strings.Repeat("a", n) }
	response := func(other, header, body int) string {
		first := ""
		if other > 0 {
			first = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: %d\r\n\r\n%s", other, pad(other))
		}
		return fmt.Sprintf("%sHTTP/1.1 200 OK\r\nX-Pad: %s\r\nContent-Length: %d\r\n\r\n%s", first, pad(header), body, pad(body))
	}
	const margin = 2 * readBufferBytes
	tests := map[string]struct {
		other, header, body int
		err                 bool
	}{
		"long header":            {0, maxHeaderBytes - margin, 0, false},
		"too long header":        {0, maxHeaderBytes + margin, 0, true},
		"long skipped body":      {maxSkippedBytes - margin, maxHeaderBytes - margin, 0, false},
		"too long skipped body":  {maxSkippedBytes + margin, 0, 0, true},
		"body beyond the limits": {0, 0, 2 * maxSkippedBytes, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, response(tc.other, tc.header, tc.body))
			close(s.respond)
			p := New()
			ex, err := p.Do(t.Context(), Peer{Address: s.address}, http.MethodGet, []byte(testRequest), func(h http.Header) bool { return h.Get("X-Other") == "" })
			if tc.err {
				require.ErrorIs(t, err, errTooLong)
				require.True(t, MaybeSent(err))
				require.Empty(t, p.inUse)
				return
			}
			require.NoError(t, err)
			got, err := io.ReadAll(ex.Body)
			require.NoError(t, err)
			require.Len(t, got, tc.body)
			ex.Finish()
			require.Len(t, p.idle[s.address], 1)
		})
	}
}
