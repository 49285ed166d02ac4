package emulator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errPartitioned is the dial error between sites that are partitioned from each other.
var errPartitioned = errors.New("network is partitioned")

// Network emulates the network between sites, with partitions between pairs of them. A site is a data centre or the platform.
type Network struct {
	mu          sync.Mutex
	sites       map[string]string
	partitioned map[[2]string]bool
	conns       map[net.Conn][2]string
}

// NewNetwork returns a network without partitions.
func NewNetwork() *Network {
	return &Network{sites: map[string]string{}, partitioned: map[[2]string]bool{}, conns: map[net.Conn][2]string{}}
}

// SetSite assigns an address to a site. An address without a site is always reachable.
func (n *Network) SetSite(addr, site string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[addr] = site
}

func sitePair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Partition separates two sites and closes the connections between them.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[sitePair(a, b)] = true
	for c, p := range n.conns {
		if p == sitePair(a, b) {
			_ = c.Close()
			delete(n.conns, c)
		}
	}
}

// Heal ends the partition between two sites.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, sitePair(a, b))
}

func (n *Network) blocked(site, addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, ok := n.sites[addr]
	return ok && n.partitioned[sitePair(site, to)]
}

// Site returns the network as reached from the named site.
func (n *Network) Site(site string) *Site { return &Site{net: n, name: site} }

// Site dials and sends from one site of a [Network].
type Site struct {
	net  *Network
	name string
}

// DialContext opens a connection unless the sites are partitioned from each other.
func (s *Site) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if s.net.blocked(s.name, addr) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errPartitioned}
	}
	d := &net.Dialer{Timeout: 2 * time.Second}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	if to, ok := s.net.sites[addr]; ok {
		t := &trackedConn{Conn: c, net: s.net}
		s.net.conns[t] = sitePair(s.name, to)
		return t, nil
	}
	return c, nil
}

// trackedConn is a connection that a later partition closes; it is tracked until it is closed.
type trackedConn struct {
	net.Conn
	net *Network
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	go c.net.untrack(c) // asynchronous, since Partition closes connections with the lock held
	return c.Conn.Close()
}

func (n *Network) untrack(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// PacketConn wraps a packet connection so that it drops packets to sites behind a partition.
func (s *Site) PacketConn(c net.PacketConn) net.PacketConn { return &lossyConn{PacketConn: c, site: s} }

type lossyConn struct {
	net.PacketConn
	site *Site
}

// WriteTo implements net.PacketConn.
func (c *lossyConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	if c.site.net.blocked(c.site.name, addr.String()) {
		return len(p), nil
	}
	return c.PacketConn.WriteTo(p, addr)
}

// buffered is a packet connection whose kernel buffer sizes can be set.
type buffered interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// SetReadBuffer sets the size of the kernel's receive buffer; the QUIC library calls it if present.
func (c *lossyConn) SetReadBuffer(n int) error {
	if b, ok := c.PacketConn.(buffered); ok {
		return b.SetReadBuffer(n)
	}
	return nil
}

// SetWriteBuffer sets the size of the kernel's send buffer.
func (c *lossyConn) SetWriteBuffer(n int) error {
	if b, ok := c.PacketConn.(buffered); ok {
		return b.SetWriteBuffer(n)
	}
	return nil
}
