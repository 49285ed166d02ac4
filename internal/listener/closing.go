package listener

import (
	"net"
	"net/http"
)

// CloseAfter has the connection of a response closed once the response was sent, and tells the caller so. It must be
// called before the first byte of the response.
func CloseAfter(w http.ResponseWriter) {
	if x, ok := w.(*responseWriter); ok {
		x.Header().Set("Connection", "close")
		x.req.Close = true
	}
}

// CloseIdle closes the connections on which no request is in progress. A request that is read later on one of them is
// not given to the handler.
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
