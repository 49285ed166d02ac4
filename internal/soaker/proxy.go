// Package soaker holds what a fault soak puts between real processes: a loopback proxy whose connections can be delayed,
// reset, cut one way or silenced, and a plan of overlapping faults that is drawn from a seed.
//
// # Usage
//
//	p := &soaker.Proxy{Target: store.Address}
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
	chunkBytes  = 32 << 10
	// heldPeriod is the time between two looks whether held bytes may pass.
	heldPeriod = 5 * time.Millisecond
)

// LinkFaults is the state of all connections through a proxy.
type LinkFaults struct {
	// Delay is added on the way to the target and on the way back.
	Delay time.Duration
	// Reset resets new connections and those that are open.
	Reset bool
	// StallUpstream and StallDownstream let no bytes pass in one direction; they pass once the link is whole again.
	StallUpstream, StallDownstream bool
	// BlackholeOpen silences the connections that are open now for good; new ones work.
	BlackholeOpen bool
}

// Proxy forwards connections to a target.
type Proxy struct {
	Upstream string
	// Address is set by Start.
	Address string

	ln net.Listener

	mu    sync.Mutex
	link  LinkFaults
	conns map[*pair]bool
}

// pair is a connection of a caller and the one to the target.
type pair struct {
	caller, target net.Conn
	silenced       bool
}

// Start listens on a free loopback port.
func (p *Proxy) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.ln, p.Address, p.conns = ln, ln.Addr().String(), map[*pair]bool{}
	go p.accept()
	return nil
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.SetFaults(LinkFaults{Reset: true})
}

// SetFaults changes the state of the link.
func (p *Proxy) SetFaults(l LinkFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	for c := range p.conns {
		if l.BlackholeOpen {
			c.silenced = true
		}
		if l.Reset {
			reset(c.caller)
			reset(c.target)
		}
	}
}

func (p *Proxy) state(c *pair) (LinkFaults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link, c.silenced
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
	refuse := p.link.Reset
	p.mu.Unlock()
	if refuse {
		reset(caller)
		return
	}
	target, err := net.DialTimeout("tcp", p.Upstream, dialTimeout)
	if err != nil {
		reset(caller)
		return
	}
	c := &pair{caller: caller, target: target}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(c, target, caller, func(l LinkFaults) bool { return l.StallUpstream }) })
	wg.Go(func() { p.copy(c, caller, target, func(l LinkFaults) bool { return l.StallDownstream }) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy passes bytes one way. An end passes as an end, anything else as a reset.
func (p *Proxy) copy(c *pair, to, from net.Conn, held func(LinkFaults) bool) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		l, silenced := p.state(c)
		for (held(l) || silenced) && !l.Reset {
			time.Sleep(heldPeriod)
			l, silenced = p.state(c)
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

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
