// Package pooler pools connections to targets and sends one request at a time over each.
//
// It serves requests for which the caller must know whether they may have run: an
// [Error] reports whether any byte of the request was sent, which distinguishes
// "did not run" from "unknown". The pool never repeats a request on its own, which
// is why it replaces the client of net/http.
//
// A connection is reused only for the same process, after a complete response without
// further bytes, and only if nothing has arrived on it since. Responses to other
// requests are skipped. A response header and a skipped body that exceed their limits
// are errors; the body of a response has no limit. A header that package inspector
// rejects is an error too.
//
// The end of a connection without an error may be that of a response without framing
// or that of the target's process. [Pool.HasOpen] helps to tell them apart.
//
// # Usage
//
//	p := pooler.New()
//	ex, err := p.Do(ctx, pooler.Peer{Address: "10.2.0.9:8080", MaxConnections: 9}, http.MethodGet, request, belongs)
//	if err != nil { ... pooler.MaybeSent(err) ... }
//	defer ex.Close()
//	... // read ex.Body to its end
//	ex.Finish()
package pooler

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/inspector"
)

const (
	// connectTimeout is far above the highest latency between two data centres of a region.
	connectTimeout = 200 * time.Millisecond
	// unackedTimeout closes connections whose peer no longer acknowledges data.
	unackedTimeout = 2 * time.Second
	// defaultIdleTimeout is how long an idle connection stays open if the target sends no Keep-Alive time-out.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the target's time-out an idle connection is closed.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections of one target.
	maxIdlePerTarget = 16
	// maxSkippedResponses is how many responses to other requests are skipped on a connection before it is closed.
	maxSkippedResponses = 2
	// maxHeaderBytes bounds a response header, maxSkippedBytes the body of a response to another request.
	maxHeaderBytes  = 64 << 10
	maxSkippedBytes = 1 << 20
	// maxDiscardedBytes and discardTimeout bound the rest of a body that is discarded in order to keep its connection. Short
	// bodies arrive together with their header or soon after it.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 50 * time.Millisecond
	// earlyHeaderTimeout bounds the wait for a response after its request could not be written: it has arrived before, or never will.
	earlyHeaderTimeout = 50 * time.Millisecond
	// responsePrefix starts every HTTP response.
	responsePrefix  = "HTTP/"
	readBufferBytes = 4 << 10
	sweepPeriod     = 2 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

// Error is the failure of an exchange.
type Error struct {
	Err error
	// MaybeSent reports whether bytes of the request may have reached the target.
	MaybeSent bool
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// MaybeSent reports whether the request of a failed exchange may have reached the target. It is true for errors of other types.
func MaybeSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.MaybeSent
}

// Pool holds connections by the address of their target. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection; New sets it to a dialer for the network.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	idle  map[string][]*conn
	inUse map[string]int
	// open holds the connections that this side has not closed, idle and in use.
	open    map[string]map[*conn]struct{}
	sweptAt time.Time
}

// Peer is the address of a target with its connection limit.
type Peer struct {
	Address string
	// Process is the process at the address. Connections to another one are not used.
	Process Process
	// MaxConnections limits the open connections, in use and idle; 0 means no limit. Targets reset connections beyond their
	// own limit.
	MaxConnections int
}

// Process is a process of a target. Its address may have had another one before, which keeps its connections while it stops.
type Process struct {
	Target        string
	StartedUnixMs int64
}

// ErrConnectionLimit is returned if all connections that the limit of the target allows are in use.
var ErrConnectionLimit = errors.New("connection limit of the target reached")

// conn is one connection, used by at most one exchange at a time; expiresAt is when it is closed if idle.
type conn struct {
	net.Conn
	r                   *bufio.Reader
	limited             *limitedReader
	process             Process
	openedAt, expiresAt time.Time
}

func newConn(nc net.Conn, process Process) *conn {
	l := &limitedReader{r: nc, remaining: math.MaxInt64}
	return &conn{Conn: nc, r: bufio.NewReaderSize(l, readBufferBytes), limited: l, process: process, openedAt: time.Now()}
}

// inspectHead waits for the next response header and inspects it without consuming it.
func (c *conn) inspectHead() error {
	var head inspector.Head
	for inspected := 0; !head.Ended(); {
		b, err := c.r.Peek(max(inspected+1, c.r.Buffered()))
		n, invalid := head.Feed(b[inspected:])
		inspected += n
		switch {
		case invalid != nil:
			return invalid
		case head.Ended():
		case errors.Is(err, bufio.ErrBufferFull) && len(b) < maxHeaderBytes:
			c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(b)), c.limited), maxHeaderBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			return errTooLong
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return nil
}

// shrinkBuffer replaces an empty buffer that inspectHead has enlarged, so that idle connections hold little memory.
func (c *conn) shrinkBuffer() {
	if c.r.Size() > readBufferBytes {
		c.r = bufio.NewReaderSize(c.limited, readBufferBytes)
	}
}

// errTooLong is returned by reads beyond the limit of a [limitedReader].
var errTooLong = errors.New("response header or skipped body is too long")

// limitedReader reads at most remaining bytes and then fails, unlike [io.LimitedReader], which reports the end of the input.
type limitedReader struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// body is a response body that records whether it was read to its end.
type body struct {
	io.ReadCloser
	ended bool
	// isEmpty reports whether the response can't have a body.
	isEmpty bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// New returns an empty Pool.
func New() *Pool {
	d := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: control}
	return &Pool{Dial: d.DialContext, idle: map[string][]*conn{}, inUse: map[string]int{}, open: map[string]map[*conn]struct{}{}}
}

// control sets the TCP time-out for unacknowledged data.
func control(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}

// Exchange is one request with its response. It must be ended by Finish or Close.
type Exchange struct {
	*http.Response

	pool      *Pool
	peer      Peer
	c         *conn
	body      *body
	stopWatch func() bool
	// isEarly reports whether the request was not sent completely.
	isEarly bool
	done    bool
}

// Do sends a complete, encoded request and returns when the header of its response has arrived. Responses for which belongs
// returns false are those to other requests and are skipped. When ctx is done, the connection is closed. Every error is an [*Error].
func (p *Pool) Do(ctx context.Context, peer Peer, method string, request []byte, belongs func(http.Header) bool) (*Exchange, error) {
	c, err := p.get(ctx, peer)
	if err != nil {
		return nil, &Error{Err: failer.Wrap(err, "connect to target", peer.Address, "connect")}
	}
	ex := &Exchange{pool: p, peer: peer, c: c}
	ex.stopWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	if n, err := c.Write(request); err != nil {
		if n > 0 && ctx.Err() == nil && ex.readEarlyHeader(method, belongs) {
			return ex, nil
		}
		// Even a truncated request may have been started by the target.
		ex.abort()
		return nil, &Error{Err: failer.Wrap(err, "send to target", peer.Address, "send"), MaybeSent: n > 0}
	}
	if err := ex.readHeader(method, belongs); err != nil {
		ex.abort()
		return nil, &Error{Err: failer.Wrap(err, "read from target", peer.Address, "answer"), MaybeSent: true}
	}
	return ex, nil
}

// readEarlyHeader reads the header of a response that the target has sent before it closed the connection without reading the whole request. It
// reports whether there is one that states where its body ends: the failed write hides whether the connection was reset.
func (ex *Exchange) readEarlyHeader(method string, belongs func(http.Header) bool) bool {
	ex.isEarly = true
	if ex.c.SetReadDeadline(time.Now().Add(earlyHeaderTimeout)) != nil || ex.readHeader(method, belongs) != nil || ex.Framing() == FramingNone {
		return false
	}
	return ex.c.SetReadDeadline(time.Time{}) == nil
}

// readHeader reads the response header and skips responses to other requests.
func (ex *Exchange) readHeader(method string, belongs func(http.Header) bool) error {
	defer func() { ex.c.limited.remaining = math.MaxInt64 }()
	req := &http.Request{Method: method}
	for range maxSkippedResponses + 1 {
		ex.c.limited.remaining = maxHeaderBytes
		if b, err := ex.c.r.Peek(len(responsePrefix)); err == nil && string(b) != responsePrefix {
			return failer.New("response starts with %q instead of %q", b, responsePrefix)
		}
		if err := ex.c.inspectHead(); err != nil {
			return err
		}
		res, err := http.ReadResponse(ex.c.r, req) //nolint:bodyclose // the body ends with the connection, which Finish or Close ends
		if err != nil {
			return err
		}
		if res.StatusCode < http.StatusContinue {
			return failer.New("response has the invalid status %03d", res.StatusCode)
		}
		if res.StatusCode >= http.StatusOK && belongs(res.Header) {
			ex.body = &body{ReadCloser: res.Body, ended: res.Body == http.NoBody, isEmpty: res.Body == http.NoBody}
			res.Body, ex.Response = ex.body, res
			return nil
		}
		if res.StatusCode >= http.StatusOK && framingOf(res) == FramingNone {
			return failer.New("response to another request has no length, so it cannot be skipped")
		}
		ex.c.limited.remaining = maxSkippedBytes
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return err
		}
	}
	return failer.New("too many responses to other requests")
}

// Framing is how the end of a response body is marked.
type Framing string

// Framings of responses.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	// FramingNone marks a body that ends with its connection.
	FramingNone Framing = "none"
)

func framingOf(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return FramingChunked
	case res.ContentLength >= 0:
		return FramingLength
	}
	return FramingNone
}

// Framing returns how the end of the response body is marked. A response that can't have a body, such as that to HEAD, needs no mark.
func (ex *Exchange) Framing() Framing {
	if f := framingOf(ex.Response); f != FramingNone || !ex.body.isEmpty {
		return f
	}
	return FramingLength
}

// Finish returns the connection to the pool if the response body was read to its end.
func (ex *Exchange) Finish() {
	if ex.done {
		return
	}
	ex.done = true
	if !ex.stopWatch() || !ex.reusable() {
		ex.pool.discard(ex.peer, ex.c)
		return
	}
	ex.c.shrinkBuffer()
	ex.pool.putIdle(ex.peer, ex.c, idleTimeout(ex.Header))
}

// DiscardBody ends the exchange without the rest of the response body. The connection returns to the pool only if the body
// is short and ends soon.
func (ex *Exchange) DiscardBody() {
	defer ex.Close()
	if ex.Framing() == FramingNone || ex.ContentLength > maxDiscardedBytes {
		return
	}
	_ = ex.c.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only if the connection is closed, as reads do then
	_, _ = io.CopyN(io.Discard, ex.Body, maxDiscardedBytes+1)
	if ex.body.ended && ex.c.SetReadDeadline(time.Time{}) == nil {
		ex.Finish()
	}
}

// reusable reports whether the end of the response has been read and nothing follows it on the connection.
func (ex *Exchange) reusable() bool {
	return !ex.isEarly && framingOf(ex.Response) != FramingNone && ex.body.ended && !ex.Response.Close && ex.c.r.Buffered() == 0
}

// Close ends the exchange. Without a preceding Finish it closes the connection, so that the target aborts the request.
func (ex *Exchange) Close() {
	if !ex.done {
		ex.abort()
	}
}

func (ex *Exchange) abort() {
	ex.done = true
	ex.stopWatch()
	ex.pool.discard(ex.peer, ex.c)
}

// idleTimeout returns the Keep-Alive time-out of the target less a margin.
func idleTimeout(h http.Header) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(p), "=")
		if n, err := strconv.Atoi(value); ok && name == "timeout" && err == nil {
			return max(time.Duration(n)*time.Second-idleMargin, time.Duration(n)*time.Second/4)
		}
	}
	return defaultIdleTimeout
}

// get returns an idle connection to the process on which nothing has arrived, or opens a new one.
func (p *Pool) get(ctx context.Context, peer Peer) (*conn, error) {
	now := time.Now()
	for {
		c, err := p.acquire(peer)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.process == peer.Process && now.Before(c.expiresAt) && openAndEmpty(c.Conn) {
			return c, nil
		}
		p.discard(peer, c)
	}
	nc, err := p.Dial(ctx, "tcp", peer.Address)
	if err != nil {
		p.release(peer)
		return nil, err
	}
	c := newConn(nc, peer.Process)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[peer.Address] == nil {
		p.open[peer.Address] = map[*conn]struct{}{}
	}
	p.open[peer.Address][c] = struct{}{}
	return c, nil
}

// acquire counts one more connection as in use. It returns an idle connection, or nil if the caller has to open one.
func (p *Pool) acquire(peer Peer) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[peer.Address]
	if len(cs) == 0 && peer.MaxConnections > 0 && p.inUse[peer.Address] >= peer.MaxConnections {
		return nil, ErrConnectionLimit
	}
	p.inUse[peer.Address]++
	if len(cs) == 0 {
		return nil, nil
	}
	c := cs[len(cs)-1]
	p.idle[peer.Address] = cs[:len(cs)-1]
	return c, nil
}

// putIdle returns a connection to the pool, or closes it if the pool is full.
func (p *Pool) putIdle(peer Peer, c *conn, idle time.Duration) {
	now := time.Now()
	c.expiresAt = now.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrementInUse(peer)
	idleCount := len(p.idle[peer.Address])
	if idleCount >= maxIdlePerTarget || peer.MaxConnections > 0 && idleCount+p.inUse[peer.Address] >= peer.MaxConnections {
		p.close(peer.Address, c)
		return
	}
	p.idle[peer.Address] = append(p.idle[peer.Address], c)
	p.sweep(now)
}

// discard closes a connection in use.
func (p *Pool) discard(peer Peer, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(peer.Address, c)
	p.decrementInUse(peer)
}

// release counts one connection less as in use.
func (p *Pool) release(peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrementInUse(peer)
}

// decrementInUse is release with p.mu held.
func (p *Pool) decrementInUse(peer Peer) {
	if p.inUse[peer.Address]--; p.inUse[peer.Address] <= 0 {
		delete(p.inUse, peer.Address)
	}
}

// sweep closes expired idle connections, at most once per sweepPeriod; p.mu is held.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepPeriod {
		return
	}
	p.sweptAt = now
	for addr, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				p.close(addr, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}
