package listener

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"github.com/papayaworks/papayaworks/internal/framer"
)

const (
	// maxPipelined bounds the requests of one connection that wait for the response of an earlier one.
	maxPipelined = 16
	// lingerTime and maxLingerBytes bound what is still read from a connection after a refusal. Closing it with unread bytes would reset
	// it, and the client could lose the response.
	lingerTime     = 2 * time.Second
	maxLingerBytes = 16 << 20
	// sweepTicks is the number of ticks of closeCheckInterval between two searches for connections that have exceeded a time limit.
	sweepTicks = 10
	// admitInterval is the interval at which a new connection checks whether an old one has been removed.
	admitInterval = time.Millisecond
	// busyRetryAfter is the advised retry delay if the memory for requests is used up.
	busyRetryAfter = 500 * time.Millisecond
)

// connection is what the server knows of one connection beside the library. Bytes are read by one goroutine for all connections.
type connection struct {
	conn net.Conn
	// number rises with each connection of the server.
	number int64
	// written is the number of bytes that have been sent.
	written atomic.Int64

	// tracked reports that the library's tasks for the connection call Server.finish; used by the goroutine that reads.
	tracked bool

	mu     sync.Mutex
	framer framer.Framer
	// added reports that the library has added the connection to its poller. The library does not report the end of a connection that is
	// closed before.
	added bool
	// feeding reports that bytes are being passed to the library. A request that they complete is not counted in pending yet.
	feeding bool
	// parsed is the number of requests that the library has read since the last call of feed.
	parsed int
	// pending is the number of requests whose responses are not written. pendingBytes and currentBytes are the bytes of them and of the
	// request that is being read, countedBytes their sum as it counts in Server.held.
	pending                                  int
	pendingBytes, currentBytes, countedBytes int64
	// since is the tick at which the current request began, or at which the connection became idle.
	since int64
	// refused reports that nothing more is read. lingerBytes counts what was discarded since.
	refused     bool
	lingerBytes int
	closed      bool
}

// connection returns the state of a connection; nil if it is closed.
func (s *Server) connection(c net.Conn) *connection {
	v, ok := s.connections.Load(c)
	if !ok {
		return nil
	}
	return v.(*connection)
}

// limits returns the current limits.
func (s *Server) limits() Limits {
	var l Limits
	if s.Limits != nil {
		l = s.Limits()
	}
	return l.withDefaults(s.MaxBodyBytes)
}

// feed passes bytes of a client to the library as far as they are within the limits. It is called by one goroutine.
func (s *Server) feed(c *nbio.Conn, data []byte) {
	x := s.connection(c)
	if x == nil {
		return
	}
	x.mu.Lock()
	if x.refused {
		x.lingerBytes += len(data)
		over := x.lingerBytes > maxLingerBytes
		x.mu.Unlock()
		if over {
			_ = c.Close()
		}
		return
	}
	if !x.framer.InRequest() {
		l := s.limits()
		x.framer.Limits = framer.Limits{HeadBytes: l.HeadBytes, BodyBytes: l.BodyBytes}
		x.since = s.tick.Load()
	}
	beforeHead := x.framer.BeforeHead()
	n, err := x.framer.Feed(data)
	completed := x.framer.Completed()
	x.parsed = 0
	x.feeding = true
	x.mu.Unlock()

	passed := data[:n]
	if beforeHead {
		// The library takes an empty line before a request for an invalid method.
		passed = bytes.TrimLeft(passed, "\r\n")
	}
	if len(passed) > 0 {
		c.DataHandler()(c, passed)
	}

	x.mu.Lock()
	x.feeding = false
	if x.closed {
		x.mu.Unlock()
		return
	}
	if completed > 0 {
		x.since = s.tick.Load()
	}
	total := x.currentBytes + int64(n)
	x.currentBytes = x.framer.Size()
	x.pendingBytes += total - x.currentBytes
	s.account(x)
	mismatch, pipelined := x.parsed != completed, x.pending > maxPipelined
	x.mu.Unlock()

	var v *framer.Violation
	switch {
	case errors.As(err, &v):
		s.refuse(x, refusalOf(v))
	case mismatch:
		// The library has found the end of a request elsewhere, so its memory is not bounded by the framer.
		s.refuse(x, Refusal{Status: http.StatusBadRequest, Reason: ReasonFraming, Message: "the framing of the request is ambiguous"})
	case pipelined:
		s.refuse(x, Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonPipelining, Message: "too many requests wait on the connection"})
	default:
		s.boundMemory(x)
	}
}

// account updates the sum of the bytes that are held for clients; x.mu is held.
func (s *Server) account(x *connection) {
	if x.pending == 0 {
		x.pendingBytes = 0
	}
	bytes := x.currentBytes + x.pendingBytes
	s.held.Add(bytes - x.countedBytes)
	x.countedBytes = bytes
}

// finish records that the response of a request is written.
func (s *Server) finish(x *connection) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed || x.pending == 0 {
		return
	}
	x.pendingBytes -= x.pendingBytes / int64(x.pending)
	x.pending--
	if x.pending == 0 {
		s.mu.Lock()
		delete(s.active, unwrap(x.conn))
		s.mu.Unlock()
	}
	if x.refused || !x.framer.InRequest() {
		x.since = s.tick.Load()
	}
	s.account(x)
}

// refuse refuses the request that is being read, and reads nothing more from the connection. The response is left out while those of
// earlier requests are not complete; the connection is closed after them. Nothing is refused while bytes are being passed to the library,
// since these may complete the request.
func (s *Server) refuse(x *connection, r Refusal) {
	x.mu.Lock()
	if x.refused || x.closed || x.feeding {
		x.mu.Unlock()
		return
	}
	x.refused = true
	x.since = s.tick.Load()
	respond := x.pending == 0
	if respond {
		r.Header = headerOf(x.framer.Head())
	}
	x.mu.Unlock()
	if s.OnRefuse != nil {
		s.OnRefuse(r.Reason)
	}
	if respond {
		_, _ = x.conn.Write(s.encodeRefusal(r))
	}
}

// boundMemory refuses requests that are being read, the oldest first, while all of them hold more than the bound: a request of an ordinary
// client is read within milliseconds. If there are none, x is refused, whose bytes have exceeded the bound.
func (s *Server) boundMemory(x *connection) {
	for s.held.Load() > s.MaxHeldBytes {
		victim := s.oldestRequest()
		if victim == nil {
			victim = x
		}
		s.refuse(victim, Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonMemory, Message: "the memory for requests is used up", RetryAfter: busyRetryAfter})
		// The library frees what it holds only when the connection is closed. What was written before is sent as far as the kernel takes it.
		_ = victim.conn.Close()
		if victim == x {
			return
		}
	}
}

// oldestRequest returns the connection with the request that has been read for the longest time; nil if there is none.
func (s *Server) oldestRequest() *connection {
	var out *connection
	least := int64(0)
	s.connections.Range(func(_, v any) bool {
		x := v.(*connection)
		x.mu.Lock()
		if x.currentBytes > 0 && x.pending == 0 && !x.closed && (out == nil || x.since < least) {
			out, least = x, x.since
		}
		x.mu.Unlock()
		return true
	})
	return out
}

// sweep closes the connections that have exceeded a time limit.
func (s *Server) sweep() {
	l, now := s.limits(), s.tick.Load()
	s.connections.Range(func(_, v any) bool {
		x := v.(*connection)
		x.mu.Lock()
		age := time.Duration(now-x.since) * closeCheckInterval
		busy, refused, inHead, inRequest := x.pending > 0 || !x.added, x.refused, x.framer.InHead(), x.framer.InRequest()
		x.mu.Unlock()
		switch {
		case busy:
		case refused && age > lingerTime:
			_ = x.conn.Close()
		case refused:
		case inHead && age > l.HeadTimeout:
			s.refuse(x, Refusal{Status: http.StatusRequestTimeout, Reason: ReasonTimeout, Message: fmt.Sprintf("the head was not complete after %v", l.HeadTimeout)})
		case inRequest && age > l.BodyTimeout:
			s.refuse(x, Refusal{Status: http.StatusRequestTimeout, Reason: ReasonTimeout, Message: fmt.Sprintf("the request was not complete after %v", l.BodyTimeout)})
		case !inRequest && age > l.IdleTimeout:
			s.drop(x, ReasonIdle)
		}
		return true
	})
}

// drop closes a connection without a response, unless a complete request is in progress on it.
func (s *Server) drop(x *connection, reason string) {
	if x.closeIf(func() bool { return true }) && s.OnRefuse != nil {
		s.OnRefuse(reason)
	}
}

// beforeAccept records that the library has added the connection that was opened last, and closes it if that was decided meanwhile. It is
// called by the goroutine that opens all connections.
func (s *Server) beforeAccept() {
	x := s.lastOpened
	if x == nil {
		return
	}
	s.lastOpened = nil
	x.mu.Lock()
	x.added = true
	refused := x.refused
	x.mu.Unlock()
	if refused {
		_ = x.conn.Close()
	}
}

// admit makes room for a connection that was accepted: it closes the one that has been idle, or with an incomplete request, for the longest
// time while MaxConnections are open. It returns false if the handlers of all are running. It is called by one goroutine, which opens a
// connection before it accepts the next one.
func (s *Server) admit() bool {
	for s.MaxConnections > 0 && s.OpenConnections() >= s.MaxConnections {
		if !s.dropOldest() {
			return false
		}
		// The library removes a connection in a goroutine of its own.
		time.Sleep(admitInterval)
	}
	return true
}

// dropOldest closes the connection that has been idle, or with an incomplete request, for the longest time. It returns false if the
// handlers of all are running.
func (s *Server) dropOldest() bool {
	var oldest *connection
	s.connections.Range(func(_, v any) bool {
		x := v.(*connection)
		x.mu.Lock()
		idle, since := x.pending == 0 && !x.closed, x.since
		x.mu.Unlock()
		if idle && (oldest == nil || cmp.Or(cmp.Compare(since, oldest.sinceTick()), cmp.Compare(x.number, oldest.number)) < 0) {
			oldest = x
		}
		return true
	})
	if oldest == nil {
		return false
	}
	s.drop(oldest, ReasonConnections)
	return true
}

// sinceTick returns the tick at which the current request began, or at which the connection became idle.
func (x *connection) sinceTick() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.since
}

// onOpen records a new connection. The library adds it to its poller after that.
func (s *Server) onOpen(c net.Conn) {
	x := &connection{conn: c, number: s.openCount.Add(1), since: s.tick.Load()}
	s.lastOpened = x
	s.connections.Store(unwrap(c), x)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
}

// onClose removes a connection.
func (s *Server) onClose(c net.Conn, _ error) {
	if x := s.connection(unwrap(c)); x != nil {
		x.mu.Lock()
		x.closed = true
		x.pending, x.currentBytes = 0, 0
		s.account(x)
		x.mu.Unlock()
		s.connections.Delete(unwrap(c))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	delete(s.active, unwrap(c))
}
