package listener

import "net/http"

// CloseAfter closes the connection after the response has been sent and announces this to the caller by the header
// "Connection: close". It must be called before the first byte of the response is written.
func CloseAfter(w http.ResponseWriter) {
	if x, ok := w.(*responseWriter); ok {
		x.Header().Set("Connection", "close")
		x.req.Close = true
	}
}

// CloseIdle closes the connections without a request in progress. A request of which a part was read before its connection is
// closed is read and handled, and keeps the connection open until its response is written.
func (s *Server) CloseIdle() {
	s.connections.Range(func(_, v any) bool {
		x := v.(*connection)
		x.closeIf(func() bool { return !x.framer.InRequest() })
		return true
	})
}

// closeIf closes the connection if no complete request is in progress on it and the condition holds, which is checked with x.mu held. It
// reports whether it did. Bytes that arrive after the check are discarded, so that no request is handled whose response could not be
// sent. A connection that is being opened is closed by beforeAccept.
func (x *connection) closeIf(condition func() bool) bool {
	x.mu.Lock()
	if x.closed || x.feeding || x.pending > 0 || !condition() {
		x.mu.Unlock()
		return false
	}
	x.refused = true
	added := x.added
	x.mu.Unlock()
	if added {
		_ = x.conn.Close()
	}
	return true
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
