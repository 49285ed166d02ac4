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
	keepAlive = 2 * time.Hour
	// How often connections are checked for having been closed by the caller.
	closedCheckPeriod = 50 * time.Millisecond
	// The library's Stop waits forever for a poller that had not begun to run when it was called.
	stopLimit          = 2 * time.Second
	defaultMaxBody     = 8 << 20
	defaultWriteBuffer = 4 << 20
)

// Server is one HTTP server.
type Server struct {
	Addr    string
	Handler http.Handler
	// MaxBodyBytes closes the connection of a larger request; handlers check their own, smaller bound.
	MaxBodyBytes int
	// WriteBufferBytes closes the connection of a reader that is slower than its stream by more than this.
	WriteBufferBytes int

	engine *nbhttp.Engine
	gate   *gate
	done   chan struct{}
	opened atomic.Int64

	mu     sync.Mutex
	active map[net.Conn]context.CancelFunc
	wg     sync.WaitGroup
}

// closer is implemented by the connections of the HTTP library.
type closer interface {
	IsClosed() (bool, error)
}

// Start listens and returns the bound address.
func (s *Server) Start() (string, error) {
	logger.QuietLibraries()
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBody
	}
	if s.WriteBufferBytes == 0 {
		s.WriteBufferBytes = defaultWriteBuffer
	}
	s.active = map[net.Conn]context.CancelFunc{}
	s.done = make(chan struct{})
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return "", failer.Wrap(err, "listen on", s.Addr, "start")
	}
	addr := ln.Addr().String()
	s.gate = &gate{Listener: ln, done: s.done}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{addr},
		Listen:             func(string, string) (net.Listener, error) { return s.gate, nil },
		NPoller:            1,
		MaxHTTPBodySize:    s.MaxBodyBytes,
		MaxWriteBufferSize: s.WriteBufferBytes,
		KeepaliveTime:      keepAlive,
		SupportServerOnly:  true,
		Handler:            http.HandlerFunc(s.serve),
		ServerExecutor:     func(f func()) { go f() },
	})
	// The library hands a connection from its accepting goroutine to a poller through epoll alone, which Go's memory
	// model does not know. The counter orders the two for it.
	s.engine.OnOpen(func(net.Conn) { s.opened.Add(1) })
	s.engine.OnData(func(c *nbio.Conn, data []byte) {
		s.opened.Load()
		c.DataHandler()(c, data)
	})
	if err := s.engine.Start(); err != nil {
		return "", failer.Wrap(err, "serve on", addr, "start")
	}
	go s.watch()
	return addr, nil
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.wg.Add(1)
	defer s.wg.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if res, ok := w.(*nbhttp.Response); ok && res.Parser != nil {
		conn := res.Parser.Conn
		w = &writer{res: res}
		s.mu.Lock()
		s.active[conn] = cancel
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			delete(s.active, conn)
			s.mu.Unlock()
		}()
	}
	s.Handler.ServeHTTP(w, r.WithContext(ctx))
}

// watch cancels the requests of closed connections; the library runs its close callback only after the handler.
func (s *Server) watch() {
	t := time.NewTicker(closedCheckPeriod)
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

func isClosed(conn net.Conn) bool {
	if h, ok := conn.(*nbhttp.Conn); ok {
		conn = h.Conn
	}
	c, ok := conn.(closer)
	if !ok {
		return false
	}
	closed, _ := c.IsClosed()
	return closed
}

// Active returns the number of requests in progress.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// gate is a listener that can be closed before the HTTP library is stopped; the library's accept loop would
// otherwise spin on the error of a closed socket.
type gate struct {
	net.Listener
	done chan struct{}
}

// Accept blocks after the socket was closed, until the server is done.
func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		<-g.done
	}
	return c, err
}

// Refuse closes the listening socket; requests in progress and open connections go on.
func (s *Server) Refuse() { _ = s.gate.Listener.Close() }

// Stop refuses new connections, waits for the requests in progress until ctx ends, then closes every connection.
func (s *Server) Stop(ctx context.Context) error {
	s.Refuse()
	drained := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(drained)
	}()
	var err error
	select {
	case <-drained:
	case <-ctx.Done():
		err = failer.Wrap(ctx.Err(), "finish requests on", s.Addr, "stop")
	}
	s.Kill()
	return err
}

// Kill closes the listening socket and every connection at once, as the death of the process would.
func (s *Server) Kill() {
	select {
	case <-s.done:
		return
	default:
		close(s.done)
	}
	s.Refuse()
	s.mu.Lock()
	for conn, cancel := range s.active {
		cancel()
		_ = conn.Close()
	}
	s.mu.Unlock()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.engine.Stop()
	}()
	select {
	case <-stopped:
	case <-time.After(stopLimit):
	}
}
