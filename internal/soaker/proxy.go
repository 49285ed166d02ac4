// Package soaker injects network faults between real processes for soak tests.
//
// A [Proxy] is a loopback TCP proxy that can delay, stall, reset or blackhole its
// connections while they are open. [NewPlan] draws a schedule of overlapping
// faults from a seed, so that a failed run can be repeated.
//
// # Usage
//
//	p := &soaker.Proxy{Upstream: store.Address}
//	if err := p.Start(); err != nil {
//		return err
//	}
//	p.SetFaults(soaker.LinkFaults{BlackholeOpen: true})
package soaker

import (
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
	// stallPollInterval is the time between two checks whether stalled bytes may be forwarded.
	stallPollInterval = 5 * time.Millisecond
)

// LinkFaults are the faults of all connections through a proxy; the zero value has none.
type LinkFaults struct {
	// Delay is added to each read before it is forwarded, in both directions.
	Delay time.Duration
	// Reset resets new and open connections.
	Reset bool
	// StallUpstream and StallDownstream hold back the bytes to or from the upstream; they are forwarded once the fault ends.
	StallUpstream, StallDownstream bool
	// BlackholeOpen makes the connections that are open now forward nothing, also after the fault ends; new ones work.
	BlackholeOpen bool
}

// Proxy forwards TCP connections to an upstream. Its methods may be called by several goroutines after Start.
type Proxy struct {
	// Upstream is the address to which connections are forwarded.
	Upstream string
	// Address is the address on which the proxy listens; Start sets it.
	Address string

	ln net.Listener

	mu     sync.Mutex
	faults LinkFaults
	conns  map[*connPair]bool
}

// connPair is a caller's connection and the matching connection to the upstream.
type connPair struct {
	caller, upstream net.Conn
	blackholed       bool
}

// Start listens on a free loopback port.
func (p *Proxy) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.ln, p.Address, p.conns = ln, ln.Addr().String(), map[*connPair]bool{}
	go p.accept()
	return nil
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.SetFaults(LinkFaults{Reset: true})
}

// SetFaults replaces the faults of new and open connections.
func (p *Proxy) SetFaults(l LinkFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = l
	for c := range p.conns {
		if l.BlackholeOpen {
			c.blackholed = true
		}
		if l.Reset {
			reset(c.caller)
			reset(c.upstream)
		}
	}
}

func (p *Proxy) linkState(c *connPair) (LinkFaults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, c.blackholed
}

func (p *Proxy) accept() {
	for {
		caller, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(caller)
	}
}

func (p *Proxy) serve(caller net.Conn) {
	p.mu.Lock()
	resetNew := p.faults.Reset
	p.mu.Unlock()
	if resetNew {
		reset(caller)
		return
	}
	upstream, err := net.DialTimeout("tcp", p.Upstream, dialTimeout)
	if err != nil {
		reset(caller)
		return
	}
	c := &connPair{caller: caller, upstream: upstream}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c, upstream, caller, func(l LinkFaults) bool { return l.StallUpstream }) })
	wg.Go(func() { p.forward(c, caller, upstream, func(l LinkFaults) bool { return l.StallDownstream }) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward copies bytes in one direction and delays or stalls them as the faults say. The end of the input or a read error
// closes the output; a write error resets the input.
func (p *Proxy) forward(c *connPair, to, from net.Conn, isStalled func(LinkFaults) bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		l, blackholed := p.linkState(c)
		for (isStalled(l) || blackholed) && !l.Reset {
			time.Sleep(stallPollInterval)
			l, blackholed = p.linkState(c)
		}
		time.Sleep(l.Delay)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// reset closes a connection with a TCP reset instead of a FIN.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
