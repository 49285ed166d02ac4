// Package listener serves HTTP on nbhttp.
//
// It adds what the library leaves to its user: a request context that is
// cancelled when the caller's connection closes, a bound on what a slow reader
// may keep buffered, and a stop that first closes the listening socket and then
// waits for the requests in progress.
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
	// A stream may last this long; nbhttp's own default closes a connection after 120 s without a request.
	keepAliveTimeout = 2 * time.Hour
	// How often connections are checked for having been closed by the caller.
	closeCheckInterval = 50 * time.Millisecond
	// How often a stop looks whether the requests in progress have ended.
	drainCheckInterval = 5 * time.Millisecond
	// The library keeps a table of this many pointers for each server; its default takes 16 MiB.
	maxOpenFiles            = 1 << 16
	defaultMaxBodyBytes     = 8 << 20
	defaultWriteBufferBytes = 4 << 20
)

// Server is one HTTP server.
type Server struct {
	Addr    string
	Handler http.Handler
	// MaxBodyBytes closes the connection of a larger request; handlers check their own, smaller bound.
	MaxBodyBytes int
	// WriteBufferBytes closes the connection of a reader that is slower than its stream by more than this.
	WriteBufferBytes int

	engine    *nbhttp.Engine
	socket    net.Listener
	done      chan struct{}
	openCount atomic.Int64

	mu     sync.Mutex
	active map[net.Conn]context.CancelFunc
	conns  map[net.Conn]struct{}
	// closedIdle are connections that were idle when they were closed.
	closedIdle map[net.Conn]bool
	// runningTasks counts the library's pieces of work on requests.
	runningTasks atomic.Int64
}

// configureLibrary sets the variables of the library once.
var configureLibrary sync.Once

// closeChecker is implemented by the connections of the HTTP library.
type closeChecker interface {
	IsClosed() (bool, error)
}

// Start listens and returns the bound address.
func (s *Server) Start() (string, error) {
	logger.SilenceHTTPLibrary()
	configureLibrary.Do(func() { nbio.MaxOpenFiles = maxOpenFiles })
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBodyBytes
	}
	if s.WriteBufferBytes == 0 {
		s.WriteBufferBytes = defaultWriteBufferBytes
	}
	s.active = map[net.Conn]context.CancelFunc{}
	s.conns = map[net.Conn]struct{}{}
	s.closedIdle = map[net.Conn]bool{}
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
		Listen:             func(string, string) (net.Listener, error) { return blockingListener{ln}, nil },
		NPoller:            1,
		MaxHTTPBodySize:    s.MaxBodyBytes,
		MaxWriteBufferSize: s.WriteBufferBytes,
		KeepaliveTime:      keepAliveTimeout,
		SupportServerOnly:  true,
		Handler:            http.HandlerFunc(s.serve),
		ServerExecutor:     s.execute,
	})
	// The library hands a connection from its accepting goroutine to a poller through epoll alone, which Go's memory
	// model does not know. The counter orders the two for it.
	s.engine.OnRequest = s.markActive
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	s.engine.OnData(func(c *nbio.Conn, data []byte) {
		s.openCount.Load()
		c.DataHandler()(c, data)
	})
	if err := s.engine.Start(); err != nil {
		return "", failer.Wrap(err, "serve on", addr, "start")
	}
	go s.cancelClosed()
	return addr, nil
}

// execute runs the library's work on a request: the handler and, after it, the sending of the rest of its response.
func (s *Server) execute(f func()) {
	s.runningTasks.Add(1)
	go func() {
		defer s.runningTasks.Add(-1)
		f()
	}()
}

func (s *Server) onOpen(c net.Conn) {
	s.openCount.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) onClose(c net.Conn, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	delete(s.closedIdle, unwrap(c))
}

// markActive notes that a whole request was read from a connection. It runs before the request's own goroutine does, so that
// a connection is never taken for idle in between.
func (s *Server) markActive(w http.ResponseWriter, _ *http.Request) {
	if res, ok := w.(*nbhttp.Response); ok && res.Parser != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.active[unwrap(res.Parser.Conn)] = func() {}
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if res, ok := w.(*nbhttp.Response); ok && res.Parser != nil {
		conn := unwrap(res.Parser.Conn)
		w = &responseWriter{res: res, req: r}
		s.mu.Lock()
		s.active[conn] = cancel
		closing := s.closedIdle[conn]
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			delete(s.active, conn)
			s.mu.Unlock()
		}()
		if closing || isClosed(conn) {
			return // nobody would get the answer
		}
	}
	s.Handler.ServeHTTP(w, r.WithContext(ctx))
}

// cancelClosed cancels the requests of closed connections; the library runs its close callback only after the handler.
func (s *Server) cancelClosed() {
	t := time.NewTicker(closeCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-t.C:
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

// unwrap returns the connection that the library reports as opened and closed.
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

// blockingListener is a listener whose Accept never returns once its socket is closed; the library's accept loop would spin on
// the error.
type blockingListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (g blockingListener) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		select {}
	}
	return c, err
}

// CloseListener closes the listening socket; requests in progress and open connections go on.
func (s *Server) CloseListener() { _ = s.socket.Close() }

// Stop refuses new connections, waits for the requests in progress until ctx ends, then closes every connection.
func (s *Server) Stop(ctx context.Context) error {
	s.CloseListener()
	t := time.NewTicker(drainCheckInterval)
	defer t.Stop()
	var err error
	for s.runningTasks.Load() > 0 && err == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
			err = failer.Wrap(ctx.Err(), "finish requests on", s.Addr, "stop")
		}
	}
	s.Kill()
	return err
}

// Kill closes the listening socket and every connection at once, as the death of the process would. The library is
// not stopped: its Stop waits forever for a poller that has not begun to run, and writes to the number of a file that
// the poller may have closed meanwhile, which corrupted another connection of the process. What is left is one idle
// poller.
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
	// The connections first: the library ends the response of a handler that returns early with an empty 200.
	for _, c := range conns {
		_ = c.Close()
	}
	for _, cancel := range cancels {
		cancel()
	}
}
