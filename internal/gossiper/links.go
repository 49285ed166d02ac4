package gossiper

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/papayaworks/papayaworks/internal/failer"
)

const (
	// maxLinks is the maximum number of outgoing connections: about 15 fingers for 420 members, seeds and probed members.
	maxLinks = 48
	// maxIncoming is the maximum number of incoming connections.
	maxIncoming = 128
	// linkQueueLen is the maximum number of messages that wait for one connection. Further messages are dropped, which the
	// protocol tolerates like a packet loss.
	linkQueueLen = 16
	// idleTimeoutPeriods is the idle time-out of a connection in periods. Each finger is used more often.
	idleTimeoutPeriods = 30
	// minIdleTimeout is the minimum idle time-out.
	minIdleTimeout = 20 * time.Second
	// dialTimeout is the time-out of one connection attempt.
	dialTimeout = 2 * time.Second
	// streamTimeout is the time-out of one transfer over a stream.
	streamTimeout = 5 * time.Second
	// closeCodeNormal is the error code of a connection that is closed without an error.
	closeCodeNormal quic.ApplicationErrorCode = 0
)

// links holds the QUIC connections to peers. Its methods are safe for concurrent use.
type links struct {
	tr    *quic.Transport
	creds *Credentials
	quic  *quic.Config
	// deliver is called with each received message.
	deliver func([]byte)
	// serve handles a request stream.
	serve func(*quic.Stream)
	// onError is called when a connection could not be opened or failed.
	onError func(addr string, err error)

	mu sync.Mutex
	// out holds the outgoing connections by address.
	out      map[string]*link
	incoming map[*quic.Conn]bool
	closed   bool
	wg       sync.WaitGroup
}

// link is one outgoing connection or connection attempt.
type link struct {
	addr     string
	lastUsed time.Time
	queue    chan Packet
	cancel   context.CancelFunc
	// conn is set when dialed is closed. If the attempt fails, dialed stays open.
	conn   *quic.Conn
	dialed chan struct{}
}

func quicConfig(period time.Duration) *quic.Config {
	const window = 64 << 10
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout, MaxIdleTimeout: max(minIdleTimeout, idleTimeoutPeriods*period), EnableDatagrams: true,
		InitialStreamReceiveWindow: window, InitialConnectionReceiveWindow: window,
		MaxStreamReceiveWindow: MaxSyncBytes, MaxConnectionReceiveWindow: MaxSyncBytes,
		MaxIncomingStreams: 8, MaxIncomingUniStreams: 8,
		// All messages fit the initial packet size, so path MTU probes would only use bandwidth.
		DisablePathMTUDiscovery: true,
	}
}

// send queues a packet for its peer and opens a connection if there is none. It never blocks: if the queue is full, it drops
// the packet.
func (ls *links) send(ctx context.Context, p Packet, now time.Time) {
	l := ls.link(ctx, p.To, now)
	if l == nil {
		return
	}
	select {
	case l.queue <- p:
	default:
	}
}

// link returns the connection to an address and opens one if there is none. It returns nil after close.
func (ls *links) link(ctx context.Context, addr string, now time.Time) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.closed {
		return nil
	}
	if l, ok := ls.out[addr]; ok {
		l.lastUsed = now
		return l
	}
	if len(ls.out) >= maxLinks {
		ls.dropOldest()
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &link{addr: addr, lastUsed: now, queue: make(chan Packet, linkQueueLen), cancel: cancel, dialed: make(chan struct{})}
	ls.out[addr] = l
	ls.wg.Go(func() { ls.run(ctx, l) })
	return l
}

// dropOldest closes the least recently used connection. The caller must hold the lock.
func (ls *links) dropOldest() {
	var oldest *link
	for _, l := range ls.out {
		if oldest == nil || l.lastUsed.Before(oldest.lastUsed) {
			oldest = l
		}
	}
	delete(ls.out, oldest.addr)
	oldest.cancel()
}

// drop closes the outgoing connection to an address, for example because its process was replaced.
func (ls *links) drop(addr string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l, ok := ls.out[addr]; ok {
		delete(ls.out, addr)
		l.cancel()
	}
}

// dropIdle closes the outgoing connections that were last used before since.
func (ls *links) dropIdle(since time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for addr, l := range ls.out {
		if l.lastUsed.Before(since) {
			delete(ls.out, addr)
			l.cancel()
		}
	}
}

// dropAll closes all connections. Peers reconnect with the current certificates.
func (ls *links) dropAll() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for addr, l := range ls.out {
		delete(ls.out, addr)
		l.cancel()
	}
	for c := range ls.incoming {
		_ = c.CloseWithError(closeCodeNormal, "")
	}
}

// run opens the connection and sends the queued packets until it is closed.
func (ls *links) run(ctx context.Context, l *link) {
	defer l.cancel()
	conn, err := ls.dial(ctx, l.addr)
	if err == nil {
		ls.setConn(l, conn)
		err = ls.sendLoop(ctx, l, conn)
		_ = conn.CloseWithError(closeCodeNormal, "")
	}
	ls.mu.Lock()
	if ls.out[l.addr] == l {
		delete(ls.out, l.addr)
	}
	ls.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		ls.onError(l.addr, failer.Wrap(err, "connect to instance", l.addr, "gossip"))
	}
}

func (ls *links) setConn(l *link, conn *quic.Conn) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l.conn = conn
	close(l.dialed)
}

func (ls *links) dial(ctx context.Context, addr string) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	return ls.tr.Dial(ctx, udp, ls.creds.config(), ls.quic)
}

// sendLoop sends the queued packets until the connection is closed. It returns nil if the
// connection was closed normally or by the idle time-out.
func (ls *links) sendLoop(ctx context.Context, l *link, conn *quic.Conn) error {
	ls.wg.Go(func() { ls.receive(conn) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-conn.Context().Done():
			err := context.Cause(conn.Context())
			var idle *quic.IdleTimeoutError
			var app *quic.ApplicationError
			if errors.As(err, &idle) || (errors.As(err, &app) && app.ErrorCode == closeCodeNormal) {
				return nil
			}
			return err
		case p := <-l.queue:
			if err := transmit(ctx, conn, p); err != nil {
				return err
			}
		}
	}
}

// transmit sends one packet as a datagram, or over its own stream if the packet asks for one or does not fit.
func transmit(ctx context.Context, conn *quic.Conn, p Packet) error {
	if !p.Stream {
		err := conn.SendDatagram(p.Data)
		var large *quic.DatagramTooLargeError
		if !errors.As(err, &large) {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	s, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	_ = s.SetWriteDeadline(time.Now().Add(streamTimeout))
	if _, err := s.Write(p.Data); err != nil {
		return err
	}
	return s.Close()
}

// accept accepts connections until the listener is closed or ctx is done.
func (ls *links) accept(ctx context.Context, ln *quic.Listener) {
	for {
		conn, err := ln.Accept(ctx)
		if err != nil {
			return
		}
		ls.mu.Lock()
		full := len(ls.incoming) >= maxIncoming || ls.closed
		if !full {
			ls.incoming[conn] = true
			ls.wg.Add(1) // under the lock, so that close either waits for this goroutine or prevents it
		}
		ls.mu.Unlock()
		if full {
			_ = conn.CloseWithError(closeCodeNormal, "too many connections")
			continue
		}
		go func() {
			defer ls.wg.Done()
			ls.receive(conn)
			ls.mu.Lock()
			delete(ls.incoming, conn)
			ls.mu.Unlock()
		}()
	}
}

// receive delivers the messages and requests of a peer until the connection is closed.
func (ls *links) receive(conn *quic.Conn) {
	ctx := conn.Context()
	ls.wg.Go(func() {
		for {
			s, err := conn.AcceptUniStream(ctx)
			if err != nil {
				return
			}
			_ = s.SetReadDeadline(time.Now().Add(streamTimeout))
			if data, err := io.ReadAll(io.LimitReader(s, MaxSyncBytes+1)); err == nil {
				ls.deliver(data)
			}
		}
	})
	ls.wg.Go(func() {
		for {
			s, err := conn.AcceptStream(ctx)
			if err != nil {
				return
			}
			_ = s.SetDeadline(time.Now().Add(streamTimeout))
			ls.serve(s)
		}
	})
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		ls.deliver(data)
	}
}

// count returns the numbers of outgoing and incoming connections.
func (ls *links) count() (out, in int) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return len(ls.out), len(ls.incoming)
}

// close closes all connections and waits for their goroutines.
func (ls *links) close() {
	ls.mu.Lock()
	ls.closed = true
	ls.mu.Unlock()
	ls.dropAll()
	ls.wg.Wait()
}
