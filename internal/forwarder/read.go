package forwarder

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/papayaworks/papayaworks/internal/request"
)

// startRetryAfter is the advised retry delay while the instance has not loaded the configuration yet.
const startRetryAfter = 500 * time.Millisecond

// hopByHop are the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// readStep decodes the caller's headers and reads the body.
type readStep struct{ s *Server }

// String implements request.Stage.
func (*readStep) String() string { return "read" }

// Run implements request.Stage.
func (st *readStep) Run(_ context.Context, c *Call) error {
	if c.View.Catalog == nil {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "no configuration was read yet").
			WithRetryAfter(startRetryAfter)
	}
	removeHopByHop(c.HTTP.Header)
	headers, err := st.s.Codec.ParseRequest(c.HTTP.Header)
	if err != nil {
		return request.Refuse(http.StatusBadRequest, request.CodeBadRequest, "", "%v", err)
	}
	c.Headers = headers
	limit := cmp.Or(c.View.Catalog.Limits.BodyBytes, maxBodyBytes)
	// The listener has refused bodies above the limit, but the configuration may have changed since.
	c.Body, err = readBody(c.HTTP, limit)
	if err != nil {
		return request.Refuse(http.StatusBadRequest, request.CodeBadRequest, "body", "%v", err)
	}
	if len(c.Body) > limit {
		return request.Refuse(http.StatusRequestEntityTooLarge, request.CodeTooLarge, "body", "at most %d bytes", limit)
	}
	return nil
}

// readBody reads a body up to one byte more than the limit. The buffer of a body with a length is allocated at once.
func readBody(r *http.Request, limit int) ([]byte, error) {
	if n := r.ContentLength; n > 0 && n <= int64(limit) {
		b := make([]byte, n)
		_, err := io.ReadFull(r.Body, b)
		return b, err
	}
	return io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
}

// removeHopByHop removes the hop-by-hop headers, including those that the Connection header names.
func removeHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
