package listener

import (
	"net"
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
)

// maxUnflushedBytes bounds the bytes of a response that the HTTP library buffers before they are sent. Once a chunked
// response has buffered 64 KiB, version 1.6.8 of the library continues to use a buffer that it has returned to its pool.
// Two responses may then share the buffer, and a caller receives parts of another caller's response.
const maxUnflushedBytes = 16 << 10

// responseWriter writes a response in parts of at most maxUnflushedBytes bytes.
type responseWriter struct {
	res *nbhttp.Response
	// req is the library's own request, whose Close field determines whether the connection is closed after the response.
	req       *http.Request
	unflushed int
	flow      *flow
	// started reports that the handler has written the header or a part of the body.
	started bool
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.res.Header() }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.started = true
	w.res.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.started = true
	done := 0
	for done < len(p) {
		chunk := p[done:min(len(p), done+maxUnflushedBytes)]
		if w.unflushed+len(chunk) > maxUnflushedBytes {
			w.Flush()
		}
		n, err := w.res.Write(chunk)
		done += n
		w.unflushed += n
		if err == nil && w.flow != nil {
			err = w.flow.wait(n)
		}
		if err != nil {
			return max(0, done), err
		}
	}
	return done, nil
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	w.started = true
	w.res.Flush()
	w.unflushed = 0
}

// conn returns the connection of the response, or nil if there is none.
func (w *responseWriter) conn() net.Conn {
	if w.res.Parser == nil {
		return nil
	}
	return w.res.Parser.Conn
}

// Abort closes the connection of a response without completing it, so that the caller sees a truncated response.
func Abort(w http.ResponseWriter) {
	if x, ok := w.(*responseWriter); ok && x.conn() != nil {
		_ = x.conn().Close()
	}
}
