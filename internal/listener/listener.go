// Package listener is an HTTP server on top of the event-driven library nbhttp.
//
// It adds what the library leaves to its user: a request context that is
// cancelled when the caller's connection closes, a bound on the bytes that are
// buffered for a slow reader, and a graceful stop that first closes the
// listening socket and then waits for the requests in progress.
//
// # Clients that keep to no limit
//
// The library keeps what it reads until a line, a head or a body is complete, up
// to 64 MiB for each connection. Bytes therefore pass package framer first, which
// finds parts of requests that exceed their limit. Such a request is refused, with
// 413 or 431, or 400 for a framing that cannot be followed, and its connection is
// closed. One that is not complete in time is refused with 408. All requests
// together hold at most MaxHeldBytes: beyond it those that have been read for the
// longest time are refused with 503. Beyond MaxConnections the connections that
// have been idle for the longest time are closed. A request that is refused here
// has not reached the handler.
//
// # Usage
//
//	s := &listener.Server{Addr: "127.0.0.1:8080", Handler: mux}
//	addr, err := s.Start()
//	defer s.Stop(ctx)
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/logger"
)

const (
	// keepAliveTimeout bounds the duration of a stream: nbhttp closes a connection on which no request arrives for so long,
	// by default after 120 s.
	keepAliveTimeout = 2 * time.Hour
	// closeCheckInterval is the interval at which connections are checked for having been closed by the caller.
	closeCheckInterval = 50 * time.Millisecond
	// acceptRetryDelay is the pause after an error of the listening socket.
	acceptRetryDelay = 50 * time.Millisecond
	// drainCheckInterval is the interval at which Stop checks whether the requests in progress have ended.
	drainCheckInterval = 5 * time.Millisecond
	// maxOpenFiles is the number of pointers in a table that the library allocates for each server; its default takes 16 MiB.
	maxOpenFiles            = 1 << 16
	defaultMaxBodyBytes     = 8 << 20
	defaultWriteBufferBytes = 4 << 20
	defaultMaxHeldBytes     = 256 << 20
)

// Server is one HTTP server. The exported fields are set before Start.
type Server struct {
	Addr    string
	Handler http.Handler
	// MaxBodyBytes is the body size above which the connection of a request is closed; handlers check smaller bounds of
	// their own. 0 means 8 MiB.
	MaxBodyBytes int
	// WriteBufferBytes bounds the unsent bytes of a connection. A handler waits once half of it is unsent, and the connection is
	// closed if its reader takes no byte for a time. 0 means 4 MiB.
	WriteBufferBytes int

	// Limits returns the limits of requests; it is called for each request. If it is nil, the defaults apply.
	Limits func() Limits
	// MaxHeldBytes bounds the bytes of all requests that are being read or handled; 0 means 256 MiB.
	MaxHeldBytes int64
	// MaxConnections bounds the open connections; 0 means no bound.
	MaxConnections int
	// Refuse sets the header of the response to a request that was refused before it reached the handler, and returns the body. OnRefuse
	// is called with the reason of each refusal. Both may be nil and must not block.
	Refuse   func(h http.Header, r Refusal) []byte
	OnRefuse func(reason string)

	// stallTimeout is how long a reader may take no byte while a handler waits for it; 0 means 5 s.
	stallTimeout time.Duration

	engine *nbhttp.Engine
	socket net.Listener
	done   chan struct{}
	// openCount is the number of connections opened so far. It also orders the library's goroutines; see Start.
	openCount atomic.Int64
	// lastOpened is the connection that was opened last, until the library has added it. One goroutine uses it.
	lastOpened *connection

	mu     sync.Mutex
	active map[net.Conn]context.CancelFunc
	conns  map[net.Conn]struct{}
	// connections holds the *connection of each open connection by the library's connection.
	connections sync.Map
	// held is the number of bytes of requests that are being read or whose handlers run.
	held atomic.Int64
	// tick counts the intervals of closeCheckInterval since Start. It is the clock of time limits: it needs no system call, and time in
	// which the machine was suspended does not count against clients.
	tick atomic.Int64
	// runningTasks counts the library's tasks for requests: running handlers and the sending of their responses.
	runningTasks atomic.Int64
}

// configureLibrary guards the assignment of the library's global variables.
var configureLibrary sync.Once

// closeChecker is implemented by the connections of the HTTP library.
type closeChecker interface {
	IsClosed() (bool, error)
}

// Start listens on Addr, serves in the background and returns the bound address.
func (s *Server) Start() (string, error) {
	logger.SilenceHTTPLibrary()
	configureLibrary.Do(func() { nbio.MaxOpenFiles = maxOpenFiles })
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBodyBytes
	}
	if s.WriteBufferBytes == 0 {
		s.WriteBufferBytes = defaultWriteBufferBytes
	}
	if s.MaxHeldBytes == 0 {
		s.MaxHeldBytes = defaultMaxHeldBytes
	}
	if s.stallTimeout == 0 {
		s.stallTimeout = defaultStallTimeout
	}
	s.active = map[net.Conn]context.CancelFunc{}
	s.conns = map[net.Conn]struct{}{}
	s.done = make(chan struct{})
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return "", failer.Wrap(err, "listen on", s.Addr, "start")
	}
	addr := ln.Addr().String()
	s.socket = ln
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{addr},
		Listen:             func(string, string) (net.Listener, error) { return blockingListener{ln, s.beforeAccept, s.admit}, nil },
		NPoller:            1,
		MaxHTTPBodySize:    s.MaxBodyBytes,
		MaxWriteBufferSize: s.WriteBufferBytes,
		KeepaliveTime:      keepAliveTimeout,
		SupportServerOnly:  true,
		Handler:            http.HandlerFunc(s.serve),
		ServerExecutor:     s.execute,
	})
	// The library passes a connection from its accepting goroutine to a poller through epoll only, which is no
	// synchronization in Go's memory model. The atomic counter orders the two goroutines.
	s.engine.OnRequest = s.markActive
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if x := s.connection(c); x != nil {
			x.written.Add(int64(n))
		}
	})
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	s.engine.OnData(func(c *nbio.Conn, data []byte) {
		s.openCount.Load()
		s.feed(c, data)
	})
	if err := s.engine.Start(); err != nil {
		return "", failer.Wrap(err, "serve on", addr, "start")
	}
	go s.cancelClosed()
	return addr, nil
}

// execute runs a task of the library: the handler of a request and then the sending of the rest of its response.
func (s *Server) execute(f func()) {
	s.runningTasks.Add(1)
	go func() {
		defer s.runningTasks.Add(-1)
		f()
	}()
}

// markActive records that a complete request was read from a connection. It runs before the goroutine of the request, so
// that CloseIdle does not close the connection in between.
func (s *Server) markActive(w http.ResponseWriter, _ *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil {
		return
	}
	conn := unwrap(res.Parser.Conn)
	x := s.connection(conn)
	if x == nil {
		return
	}
	x.mu.Lock()
	if x.refused || x.closed {
		x.mu.Unlock()
		return
	}
	x.parsed++
	x.pending++
	x.mu.Unlock()
	s.mu.Lock()
	if s.active[conn] == nil {
		s.active[conn] = func() {}
	}
	s.mu.Unlock()
	if !x.tracked {
		x.tracked = true
		s.trackTasks(res.Parser, x)
	}
}

// trackTasks makes a request count as in progress until the library has written all of its response: a small response is
// written only after the handler has returned.
func (s *Server) trackTasks(p *nbhttp.Parser, x *connection) {
	execute := p.Execute
	p.Execute = func(f func()) bool {
		return execute(func() {
			defer s.finish(x)
			f()
		})
	}
}

// serve passes a request to the handler. The library sends an empty 200 for a handler that has written nothing, so the
// connection of such a request is closed, and that of a handler that panics.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil {
		s.Handler.ServeHTTP(w, r.WithContext(ctx))
		return
	}
	conn := unwrap(res.Parser.Conn)
	if isClosed(conn) {
		return // the response could not be delivered
	}
	out := &responseWriter{res: res, req: r, flow: s.newFlow(conn)}
	s.mu.Lock()
	s.active[conn] = cancel
	s.mu.Unlock()
	returned := false
	defer func() {
		if !returned || !out.started {
			_ = conn.Close()
		}
	}()
	s.Handler.ServeHTTP(out, r.WithContext(ctx))
	returned = true
}

// cancelClosed cancels the contexts of requests whose connection has closed, until the server is killed. It polls because
// the library runs its close callback only after the handler has returned.
func (s *Server) cancelClosed() {
	t := time.NewTicker(closeCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-t.C:
		}
		if s.tick.Add(1)%sweepTicks == 0 {
			s.sweep()
		}
		s.mu.Lock()
		for conn, cancel := range s.active {
			if isClosed(conn) {
				cancel()
			}
		}
		s.mu.Unlock()
	}
}

// unwrap returns the connection under which the library reports opening and closing.
func unwrap(conn net.Conn) net.Conn {
	if h, ok := conn.(*nbhttp.Conn); ok {
		return h.Conn
	}
	return conn
}

func isClosed(conn net.Conn) bool {
	c, ok := conn.(closeChecker)
	if !ok {
		return false
	}
	closed, _ := c.IsClosed()
	return closed
}

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// blockingListener is a listener whose Accept blocks forever once its socket is closed, because the library's accept loop
// would retry without a pause on the error. It calls beforeAccept at first, returns the connections that admit accepts and closes the
// others.
type blockingListener struct {
	net.Listener
	beforeAccept func()
	admit        func() bool
}

// Accept implements net.Listener.
func (l blockingListener) Accept() (net.Conn, error) {
	l.beforeAccept()
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			select {}
		}
		if err != nil {
			// The library tries again at once, also when the process has no descriptor left.
			time.Sleep(acceptRetryDelay)
			return nil, err
		}
		if l.admit() {
			return c, nil
		}
		_ = c.Close()
	}
}

// CloseListener closes the listening socket; open connections and requests in progress are unaffected.
func (s *Server) CloseListener() { _ = s.socket.Close() }

// Stop closes the listening socket and the idle connections, waits until the requests in progress have ended or ctx ends,
// and closes every connection. It returns an error if requests were in progress when ctx ended.
func (s *Server) Stop(ctx context.Context) error {
	s.CloseListener()
	t := time.NewTicker(drainCheckInterval)
	defer t.Stop()
	var err error
	for s.CloseIdle(); s.OpenConnections() > 0 || s.runningTasks.Load() > 0; s.CloseIdle() {
		select {
		case <-t.C:
			continue
		case <-ctx.Done():
		}
		if s.ActiveRequests() > 0 {
			err = failer.Wrap(ctx.Err(), "finish requests on", s.Addr, "stop")
		}
		break
	}
	s.Kill()
	return err
}

// Kill closes the listening socket and every connection immediately, as if the process had died. It may be called more
// than once. It does not stop the library's engine, whose Stop waits forever for a poller that has not started yet, and
// writes to a file descriptor that the poller may have closed in the meantime, which has corrupted another connection of
// the process. One idle poller remains.
func (s *Server) Kill() {
	select {
	case <-s.done:
		return
	default:
		close(s.done)
	}
	s.CloseListener()
	s.mu.Lock()
	var conns []net.Conn
	var cancels []context.CancelFunc
	for conn, cancel := range s.active {
		cancels = append(cancels, cancel)
		conns = append(conns, conn)
	}
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	// Connections are closed before contexts are cancelled, so that no handler answers because of its cancelled context.
	for _, c := range conns {
		_ = c.Close()
	}
	for _, cancel := range cancels {
		cancel()
	}
}
