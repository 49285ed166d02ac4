package pooler

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a whole response, for instance a refusal that proves that the request has not run, that is thrown away because its target has
// answered and closed the connection before it has read a request that is longer than the buffers of the connection, and against one that is not
// whole or that may not be, as the failed write hides a reset.
func TestResponseToUnreadRequest(t *testing.T) {
	const bodyBytes = 12 << 20
	tests := map[string]struct {
		response             string
		wantHead, wantAnswer bool
	}{
		"length":           {"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno", true, true},
		"chunks":           {"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", true, true},
		"length, cut":      {"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 3\r\n\r\nno", true, false},
		"chunks, cut":      {"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n", true, false},
		"without framing":  {"HTTP/1.1 200 OK\r\nX-Not-Run: 1\r\n\r\nno", false, false},
		"cut in its head":  {"HTTP/1.1 200 OK\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n", false, false},
		"of other request": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", false, false},
		"none":             {"", false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = ln.Close() }()
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(c, tc.response)
				_ = c.(*net.TCPConn).CloseWrite()
				time.Sleep(100 * time.Millisecond)
				_ = c.Close()
			}()
			p, peer := New(), Peer{Address: ln.Addr().String()}
			request := append(fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes), make([]byte, bodyBytes)...)
			ex, err := p.Do(t.Context(), peer, http.MethodPost, request, func(h http.Header) bool { return h.Get("X-Not-Run") != "" })
			if !tc.wantHead {
				require.ErrorContains(t, err, "send to target")
				require.True(t, MaybeSent(err))
				require.Empty(t, p.open)
				return
			}
			require.NoError(t, err)
			defer ex.Close()
			require.Equal(t, "1", ex.Header.Get("X-Not-Run"))
			body, err := io.ReadAll(ex.Body)
			require.Equal(t, tc.wantAnswer, err == nil, "%v", err)
			require.Equal(t, "no", string(body))
			ex.Finish()
			require.Empty(t, p.idle[peer.Address], "the rest of the request may follow")
		})
	}
}
