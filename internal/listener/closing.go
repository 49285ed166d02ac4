package listener

import (
	"net"
	"net/http"
)

// CloseAfter closes the connection after the response has been sent and announces this to the caller by the header
// "Connection: close". It must be called before the first byte of the response is written.
func CloseAfter(w http.ResponseWriter) {
	if x, ok := w.(*responseWriter); ok {
		x.Header().Set("Connection", "close")
		x.req.Close = true
	}
}

// CloseIdle closes the connections without a request in progress. A request that the library still reads from one of
// them is not passed to the handler.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	var idle []net.Conn
	for c := range s.conns {
		if _, busy := s.active[unwrap(c)]; !busy {
			s.closedIdle[unwrap(c)] = true
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
