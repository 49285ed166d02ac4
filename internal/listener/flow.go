package listener

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

const (
	// defaultStallTimeout is how long a reader may take no byte of a response while its handler waits for it.
	defaultStallTimeout = 5 * time.Second
	// flowCheckInterval is the interval at which a waiting handler checks whether bytes have been sent.
	flowCheckInterval = 2 * time.Millisecond
)

// errStalled is returned by writes to a caller that has taken no byte for the stall timeout.
var errStalled = errors.New("caller does not read the response")

// flow makes the handler of a response wait for a slow reader, because the library closes a connection with too many unsent bytes.
type flow struct {
	conn net.Conn
	// written is the number of bytes that have been sent on the connection, start its value at the start of the response.
	written *atomic.Int64
	start   int64
	// queued is the number of bytes that the handler has written, without the framing.
	queued, maxUnsent int64
	stallTimeout      time.Duration
}

// newFlow returns the flow of a response on a connection; nil if the connection is closed.
func (s *Server) newFlow(conn net.Conn) *flow {
	x := s.connection(conn)
	if x == nil {
		return nil
	}
	return &flow{conn: conn, written: &x.written, start: x.written.Load(), maxUnsent: int64(s.WriteBufferBytes / 2), stallTimeout: s.stallTimeout}
}

// wait adds n written bytes and waits until few enough are unsent. It closes the connection of a reader that takes none.
func (f *flow) wait(n int) error {
	f.queued += int64(n)
	last, movedAt := f.written.Load(), time.Now()
	for f.queued-(last-f.start) > f.maxUnsent {
		switch {
		case isClosed(f.conn):
			return net.ErrClosed
		case time.Since(movedAt) > f.stallTimeout:
			_ = f.conn.Close()
			return errStalled
		}
		time.Sleep(flowCheckInterval)
		if now := f.written.Load(); now != last {
			last, movedAt = now, time.Now()
		}
	}
	return nil
}
