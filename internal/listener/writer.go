package listener

import (
	"net"
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
)

// maxUnflushedBytes bounds what the HTTP library may collect before it is sent. Once a chunked response holds 64 KiB,
// version 1.6.8 of the library goes on using a buffer that it has given back to its pool, and two responses may then
// share it: one caller would get parts of another's answer. So no response collects that much.
const maxUnflushedBytes = 16 << 10

// responseWriter is a response that is sent in parts of at most maxUnflushed bytes.
type responseWriter struct {
	res *nbhttp.Response
	// req is the library's own request, which says whether the connection is closed after the response.
	req       *http.Request
	unflushed int
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.res.Header() }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) { w.res.WriteHeader(status) }

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	done := 0
	for done < len(p) {
		part := p[done:min(len(p), done+maxUnflushedBytes)]
		if w.unflushed+len(part) > maxUnflushedBytes {
			w.Flush()
		}
		n, err := w.res.Write(part)
		done += n
		w.unflushed += n
		if err != nil {
			return max(0, done), err
		}
	}
	return done, nil
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	w.res.Flush()
	w.unflushed = 0
}

// conn returns the connection of the response.
func (w *responseWriter) conn() net.Conn {
	if w.res.Parser == nil {
		return nil
	}
	return w.res.Parser.Conn
}

// Abort closes the connection of a response, as a broken network would.
func Abort(w http.ResponseWriter) {
	if x, ok := w.(*responseWriter); ok && x.conn() != nil {
		_ = x.conn().Close()
	}
}
