package emulator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errCut is the error of connections between data centres that are cut off from each other.
var errCut = errors.New("network is partitioned")

// Network is a stand-in for the network between data centres; it can be cut and healed.
type Network struct {
	mu    sync.Mutex
	sites map[string]string
	cut   map[[2]string]bool
	conns map[net.Conn][2]string
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{sites: map[string]string{}, cut: map[[2]string]bool{}, conns: map[net.Conn][2]string{}}
}

// SetSite tells at which site an address is; an address without a site can always be reached.
func (n *Network) SetSite(addr, site string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[addr] = site
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Partition separates two sites and breaks the connections between them.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair(a, b)] = true
	for c, p := range n.conns {
		if p == pair(a, b) {
			_ = c.Close()
			delete(n.conns, c)
		}
	}
}

// Heal joins two sites again.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pair(a, b))
}

func (n *Network) blocked(site, addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, ok := n.sites[addr]
	return ok && n.cut[pair(site, to)]
}

// Site returns the network as it is seen from a site.
func (n *Network) Site(site string) *Site { return &Site{net: n, name: site} }

// Site is one site's access to the network.
type Site struct {
	net  *Network
	name string
}

// DialContext opens a TCP connection unless the sites are cut off from each other.
func (s *Site) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if s.net.blocked(s.name, addr) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errCut}
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
		s.net.conns[t] = pair(s.name, to)
		return t, nil
	}
	return c, nil
}

// trackedConn is known to the network until it is closed.
type trackedConn struct {
	net.Conn
	net *Network
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	go c.net.forget(c) // Cut holds the lock while it closes connections
	return c.Conn.Close()
}

func (n *Network) forget(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// PacketConn returns a packet connection that loses what goes to a site that is cut off.
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

// buffered is a packet connection whose kernel buffers can be sized.
type buffered interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// SetReadBuffer sizes the kernel's receive buffer; the QUIC library asks for it.
func (c *lossyConn) SetReadBuffer(n int) error {
	if b, ok := c.PacketConn.(buffered); ok {
		return b.SetReadBuffer(n)
	}
	return nil
}

// SetWriteBuffer sizes the kernel's send buffer.
func (c *lossyConn) SetWriteBuffer(n int) error {
	if b, ok := c.PacketConn.(buffered); ok {
		return b.SetWriteBuffer(n)
	}
	return nil
}
