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
	// maxLinks bounds the outgoing connections: about 15 fingers at 420 members, seeds and members under probe.
	maxLinks = 48
	// maxIncoming bounds the incoming connections.
	maxIncoming = 128
	// linkBacklog bounds the messages that wait for one connection; more are dropped, as a network would.
	linkBacklog = 16
	// idlePeriods is after how many periods without use a connection is closed; each finger is used more often.
	idlePeriods = 30
	// minIdle is the shortest such time.
	minIdle = 20 * time.Second
	// dialTimeout bounds one handshake.
	dialTimeout = 2 * time.Second
	// streamTimeout bounds one transfer over a stream.
	streamTimeout = 5 * time.Second
	// closedNormally is the code of a connection that is no longer needed.
	closedNormally quic.ApplicationErrorCode = 0
)

// links holds the QUIC connections to peers.
type links struct {
	tr    *quic.Transport
	creds *Credentials
	quic  *quic.Config
	// deliver takes a received message.
	deliver func([]byte)
	// serve answers a request stream.
	serve func(*quic.Stream)
	// failed is told of connections that could not be made.
	failed func(addr string, err error)

	mu       sync.Mutex
	out      map[string]*link
	incoming map[*quic.Conn]bool
	closed   bool
	wg       sync.WaitGroup
}

// link is one outgoing connection or an attempt at it.
type link struct {
	addr   string
	used   time.Time
	queue  chan Packet
	cancel context.CancelFunc
	conn   *quic.Conn
	dialed chan struct{}
}

func quicConfig(period time.Duration) *quic.Config {
	const window = 64 << 10
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout, MaxIdleTimeout: max(minIdle, idlePeriods*period), EnableDatagrams: true,
		InitialStreamReceiveWindow: window, InitialConnectionReceiveWindow: window,
		MaxStreamReceiveWindow: MaxSyncBytes, MaxConnectionReceiveWindow: MaxSyncBytes,
		MaxIncomingStreams: 8, MaxIncomingUniStreams: 8,
		// The messages fit the initial packet size, so probing for a larger one would only cost bytes.
		DisablePathMTUDiscovery: true,
	}
}

// send queues a packet for its peer and opens the connection if there is none; it never blocks.
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

// link returns the connection to an address, or starts one.
func (ls *links) link(ctx context.Context, addr string, now time.Time) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.closed {
		return nil
	}
	if l, ok := ls.out[addr]; ok {
		l.used = now
		return l
	}
	if len(ls.out) >= maxLinks {
		ls.dropOldest()
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &link{addr: addr, used: now, queue: make(chan Packet, linkBacklog), cancel: cancel, dialed: make(chan struct{})}
	ls.out[addr] = l
	ls.wg.Go(func() { ls.run(ctx, l) })
	return l
}

// dropOldest closes the connection that was used least recently; the caller holds the lock.
func (ls *links) dropOldest() {
	var oldest *link
	for _, l := range ls.out {
		if oldest == nil || l.used.Before(oldest.used) {
			oldest = l
		}
	}
	delete(ls.out, oldest.addr)
	oldest.cancel()
}

// drop closes the connection to an address, for example because its process was replaced.
func (ls *links) drop(addr string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l, ok := ls.out[addr]; ok {
		delete(ls.out, addr)
		l.cancel()
	}
}

// dropIdle closes the connections that were not used since a time.
func (ls *links) dropIdle(since time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for addr, l := range ls.out {
		if l.used.Before(since) {
			delete(ls.out, addr)
			l.cancel()
		}
	}
}

// dropAll closes every connection; peers connect again with the present certificates.
func (ls *links) dropAll() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for addr, l := range ls.out {
		delete(ls.out, addr)
		l.cancel()
	}
	for c := range ls.incoming {
		_ = c.CloseWithError(closedNormally, "")
	}
}

// run dials and sends the queued packets until the connection ends.
func (ls *links) run(ctx context.Context, l *link) {
	defer l.cancel()
	conn, err := ls.dial(ctx, l.addr)
	if err == nil {
		ls.setConn(l, conn)
		err = ls.pump(ctx, l, conn)
		_ = conn.CloseWithError(closedNormally, "")
	}
	ls.mu.Lock()
	if ls.out[l.addr] == l {
		delete(ls.out, l.addr)
	}
	ls.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		ls.failed(l.addr, failer.Wrap(err, "reach instance", l.addr, "gossip"))
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

// pump sends the queued packets.
func (ls *links) pump(ctx context.Context, l *link, conn *quic.Conn) error {
	ls.wg.Go(func() { ls.receive(conn) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-conn.Context().Done():
			err := context.Cause(conn.Context())
			var idle *quic.IdleTimeoutError
			var app *quic.ApplicationError
			if errors.As(err, &idle) || (errors.As(err, &app) && app.ErrorCode == closedNormally) {
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

// transmit sends one packet as a datagram, or over a stream of its own if it may not fit.
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

// accept takes connections until the listener is closed.
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
			ls.wg.Add(1) // under the lock, so that close waits for it or it does not start
		}
		ls.mu.Unlock()
		if full {
			_ = conn.CloseWithError(closedNormally, "too many connections")
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

// receive delivers what a peer sends until the connection ends.
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

// count returns the number of outgoing and incoming connections.
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
