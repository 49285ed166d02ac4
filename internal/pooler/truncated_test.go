package pooler

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http/httpguts"
)

// Guards against a response that looks complete although its target stopped anywhere before its end and closed the connection: in the
// middle of the header, of a field that decides about the length, of a chunk or of a trailer.
func TestResponseCutAtEachByte(t *testing.T) {
	tests := map[string]struct {
		response, wantBody string
	}{
		"length":             {"HTTP/1.1 200 OK\r\nUpstream-Signature: s\r\nContent-Length: 12\r\n\r\nhello, world", "hello, world"},
		"length, first":      {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nUpstream-Signature: s\r\n\r\nhello, world", "hello, world"},
		"line feeds alone":   {"HTTP/1.1 200 OK\nContent-Length: 12\nUpstream-Signature: s\n\nhello, world", "hello, world"},
		"chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n", "hello, world"},
		"chunks and trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\nc\r\nhello, world\r\n0\r\nT: 1\r\n\r\n", "hello, world"},
		"after a continue":   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello, world", "hello, world"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for n := range len(tc.response) + 1 {
				s := startTarget(t, tc.response[:n])
				s.closes = true
				close(s.respond)
				ex, err := New().Do(t.Context(), Peer{Address: s.address}, http.MethodPost, []byte(testRequest), func(http.Header) bool { return true })
				if err == nil {
					var body []byte
					body, err = io.ReadAll(ex.Body)
					if err == nil {
						require.Equal(t, tc.wantBody, string(body), "cut after %q", tc.response[:n])
					}
					ex.Close()
				}
				require.Equal(t, n == len(tc.response), err == nil, "cut after %q: %v", tc.response[:n], err)
			}
		})
	}
}

// Guards against the same in a response without a length, whose header is cut: it must not pass for one with an empty body.
func TestUnframedResponseCutInHeader(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nUpstream-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"
	for n := range len(response) {
		s := startTarget(t, response[:n])
		s.closes = true
		close(s.respond)
		_, err := New().Do(t.Context(), Peer{Address: s.address}, http.MethodPost, []byte(testRequest), func(http.Header) bool { return true })
		var e *Error
		require.ErrorAs(t, err, &e, "cut after %q", strings.TrimSpace(response[:n]))
		require.True(t, e.MaybeSent, "the request may have run")
	}
}

// Guards against a response with an invalid status that is skipped as an interim one, so that the caller waits until its deadline.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099"} {
		s := startTarget(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 0\r\n\r\n")
		close(s.respond)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, err := New().Do(ctx, Peer{Address: s.address}, http.MethodPost, []byte(testRequest), func(http.Header) bool { return true })
		require.NoError(t, ctx.Err(), "status %s", status)
		cancel()
		require.Error(t, err, "status %s", status)
		require.True(t, MaybeSent(err), "the request may have run")
	}
}

// Guards against a response whose head has a field name with a byte that no name may hold: it would be passed on, or hide the length.
func TestInvalidFieldName(t *testing.T) {
	for b := range 256 {
		if b == '\n' || b == ':' || httpguts.IsTokenRune(rune(b)) {
			continue
		}
		for _, name := range []string{"%cContent-Length", "Content%c-Length", "Content-Length%c"} {
			for _, head := range []string{"%s: 5\r\nServer: s\r\n", "Server: s\r\n%s: 5\r\n", "Server: " + strings.Repeat("s", 8<<10) + "\n%s: 5\n"} {
				s := startTarget(t, "HTTP/1.1 200 OK\r\n"+fmt.Sprintf(head, strings.ReplaceAll(name, "%c", string([]byte{byte(b)})))+"\r\nhello")
				s.closes = true
				close(s.respond)
				_, err := New().Do(t.Context(), Peer{Address: s.address}, http.MethodPost, []byte(testRequest), func(http.Header) bool { return true })
				require.Error(t, err, "byte %#x in %s in %.40q", b, name, head)
				require.True(t, MaybeSent(err), "the request may have run")
			}
		}
	}
}

// Guards against a response without framing that looks complete although its connection was reset while the request was being sent.
func TestResetDuringUpload(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.ReadFull(c, make([]byte, len(testRequest)))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nUpstream-Signature: s\r\n\r\nfirst part")
				time.Sleep(10 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	for _, n := range []int{64 << 10, 1 << 20, 16 << 20} { // within the buffers of the kernel, and beyond
		for range 10 {
			ex, err := New().Do(t.Context(), Peer{Address: ln.Addr().String()}, http.MethodPost, append([]byte(testRequest), make([]byte, n)...), func(http.Header) bool { return true })
			if err == nil {
				_, err = io.ReadAll(ex.Body)
				ex.Close()
			}
			require.Error(t, err, "%d bytes", n)
			require.True(t, MaybeSent(err))
		}
	}
}
