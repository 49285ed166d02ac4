// Package pooler keeps connections to targets and exchanges one request and its answer on each.
//
// It is written for calls of which it must be known whether they may have run:
// an [Error] tells whether any byte of the request was sent, so a caller can
// tell "was not run" from "unknown". It never sends a request twice by itself,
// which is why it is used in place of the client of net/http.
//
// A connection is used again only after a complete answer with nothing behind
// it, and only if nothing has arrived on it since. An answer that belongs to
// another request is skipped.
//
// # Usage
//
//	p := pooler.New()
//	ex, err := p.Do(ctx, pooler.Peer{Address: "10.2.0.9:8080", MaxConnections: 9}, http.MethodGet, request, belongs)
//	defer ex.Close()
package pooler

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/papayaworks/papayaworks/internal/failer"
)

const (
	// connectTimeout is far above the longest way between two data centres of a region.
	connectTimeout = 200 * time.Millisecond
	// unackedTimeout ends connections whose peer has fallen silent.
	unackedTimeout = 2 * time.Second
	// defaultIdle is how long a connection is kept if the target names no timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the target an idle connection is closed.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerTarget bounds the connections that are kept for later.
	maxIdlePerTarget = 16
	// maxForeign is how many answers of other requests are skipped on one connection.
	maxForeign  = 2
	readBuffer  = 4 << 10
	sweepPeriod = 2 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

// Error is the failure of an exchange.
type Error struct {
	Err error
	// MaybeSent: bytes of the request may have reached the target.
	MaybeSent bool
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// MaybeSent reports whether the request of a failed exchange may have reached the target.
func MaybeSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.MaybeSent
}

// Pool holds connections by the address of their target.
type Pool struct {
	// Dial opens a connection; nil means the machine's network.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	idle  map[string][]*conn
	busy  map[string]int
	swept time.Time
}

// Peer is a target and how many connections to it may be open.
type Peer struct {
	Address string
	// MaxConnections is the most connections in use and kept; 0 means no limit. Targets reset the connections beyond theirs.
	MaxConnections int
}

// ErrConnectionLimit says that as many connections as allowed are in use.
var ErrConnectionLimit = errors.New("the limit of connections is in use")

// conn is one connection that is used by one exchange at a time.
type conn struct {
	net.Conn
	r     *bufio.Reader
	until time.Time
}

// New returns an empty pool.
func New() *Pool {
	d := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: control}
	return &Pool{Dial: d.DialContext, idle: map[string][]*conn{}, busy: map[string]int{}}
}

func control(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}

// Exchange is the answer to one request.
type Exchange struct {
	*http.Response

	pool *Pool
	peer Peer
	c    *conn
	stop func() bool
	done bool
}

// Do sends a request, whose head and body are complete, and returns when the head of its answer has arrived. belongs
// tells whether an answer is that of this request. The exchange ends with ctx.
func (p *Pool) Do(ctx context.Context, peer Peer, method string, request []byte, belongs func(http.Header) bool) (*Exchange, error) {
	c, err := p.get(ctx, peer)
	if err != nil {
		return nil, &Error{Err: failer.Wrap(err, "connect to target", peer.Address, "connect")}
	}
	ex := &Exchange{pool: p, peer: peer, c: c}
	ex.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if n, err := c.Write(request); err != nil {
		// Even if the request was cut off, the target may have begun with it.
		ex.abandon()
		return nil, &Error{Err: failer.Wrap(err, "send to target", peer.Address, "send"), MaybeSent: n > 0}
	}
	if err := ex.readHead(method, belongs); err != nil {
		ex.abandon()
		return nil, &Error{Err: failer.Wrap(err, "read from target", peer.Address, "answer"), MaybeSent: true}
	}
	return ex, nil
}

// readHead reads the answer's head and skips answers of other requests.
func (ex *Exchange) readHead(method string, belongs func(http.Header) bool) error {
	req := &http.Request{Method: method}
	for range maxForeign + 1 {
		res, err := http.ReadResponse(ex.c.r, req) //nolint:bodyclose // the body ends with the connection, which Finish or Close ends
		if err != nil {
			return err
		}
		if res.StatusCode >= http.StatusOK && belongs(res.Header) {
			ex.Response = res
			return nil
		}
		if res.StatusCode >= http.StatusOK && res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			return failer.New("an answer without length belongs to another request")
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return err
		}
	}
	return failer.New("answers belong to other requests")
}

// Finish gives the connection back after the whole answer was read.
func (ex *Exchange) Finish() {
	if ex.done {
		return
	}
	ex.done = true
	if !ex.stop() || !ex.reusable() {
		ex.pool.drop(ex.peer, ex.c)
		return
	}
	ex.pool.put(ex.peer, ex.c, idleTime(ex.Header))
}

func (ex *Exchange) reusable() bool {
	framed := ex.ContentLength >= 0 || len(ex.TransferEncoding) > 0
	return framed && !ex.Response.Close && ex.c.r.Buffered() == 0
}

// Close ends the exchange; unless it has finished, the target sees the connection close and stops its work.
func (ex *Exchange) Close() {
	if !ex.done {
		ex.abandon()
	}
}

func (ex *Exchange) abandon() {
	ex.done = true
	ex.stop()
	ex.pool.drop(ex.peer, ex.c)
}

// idleTime returns how long the target keeps the connection open, less a margin.
func idleTime(h http.Header) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(p), "=")
		if n, err := strconv.Atoi(value); ok && name == "timeout" && err == nil {
			return max(time.Duration(n)*time.Second-idleMargin, time.Duration(n)*time.Second/4)
		}
	}
	return defaultIdle
}

// get returns a connection on which nothing is outstanding.
func (p *Pool) get(ctx context.Context, peer Peer) (*conn, error) {
	now := time.Now()
	for {
		c, err := p.pop(peer)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if now.Before(c.until) && quiet(c.Conn) {
			return c, nil
		}
		p.drop(peer, c)
	}
	nc, err := p.Dial(ctx, "tcp", peer.Address)
	if err != nil {
		p.release(peer)
		return nil, err
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// pop counts a connection as in use and returns it if one is kept.
func (p *Pool) pop(peer Peer) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[peer.Address]
	if len(cs) == 0 && peer.MaxConnections > 0 && p.busy[peer.Address] >= peer.MaxConnections {
		return nil, ErrConnectionLimit
	}
	p.busy[peer.Address]++
	if len(cs) == 0 {
		return nil, nil
	}
	c := cs[len(cs)-1]
	p.idle[peer.Address] = cs[:len(cs)-1]
	return c, nil
}

// put keeps a connection for later.
func (p *Pool) put(peer Peer, c *conn, idle time.Duration) {
	now := time.Now()
	c.until = now.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(peer)
	kept := len(p.idle[peer.Address])
	if kept >= maxIdlePerTarget || peer.MaxConnections > 0 && kept+p.busy[peer.Address] >= peer.MaxConnections {
		_ = c.Close()
		return
	}
	p.idle[peer.Address] = append(p.idle[peer.Address], c)
	p.sweep(now)
}

// drop closes a connection that was in use.
func (p *Pool) drop(peer Peer, c *conn) {
	_ = c.Close()
	p.release(peer)
}

// release counts a connection as no longer in use.
func (p *Pool) release(peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(peer)
}

// end counts the end of a connection's use; p.mu is held.
func (p *Pool) end(peer Peer) {
	if p.busy[peer.Address]--; p.busy[peer.Address] <= 0 {
		delete(p.busy, peer.Address)
	}
}

// sweep closes connections that were idle for too long; p.mu is held.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepPeriod {
		return
	}
	p.swept = now
	for addr, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

// quiet reports whether a connection is open and nothing has arrived on it.
func quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = rerr == syscall.EAGAIN || rerr == syscall.EINTR
		return true
	})
	return err == nil && open
}
