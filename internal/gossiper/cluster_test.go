package gossiper

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// node is one simulated instance.
type node struct {
	Identity
	p *Protocol
	// due is when the next Tick is due.
	due    time.Time
	up     bool
	paused bool
	// held are the messages that arrived during a pause; the kernel keeps a bounded number.
	held  [][]byte
	group int
	// seen is the highest incarnation that this process knew of each member.
	seen map[string]uint64
	// usage are the last usage payloads by instance.
	usage map[string]string
	sent  int
	wire  int
}

// cluster is a network of simulated instances on virtual time.
type cluster struct {
	now      time.Time
	nodes    map[string]*node
	order    []*node
	flight   flight
	rng      *rand.Rand
	period   time.Duration
	minDelay time.Duration
	maxDelay time.Duration
	// centres is the number of data centres.
	centres int
	drop    float64
	dup     float64
	// faults are violations of what must hold at every step.
	faults []string
	// dead are the ids that were declared dead, and suspicions counts those that were suspected by anyone.
	dead       []string
	suspicions int
	serial     int
}

type delivery struct {
	at     time.Time
	serial int
	from   *node
	to     string
	data   []byte
	adopt  int64
}

type flight []delivery

func (f flight) Len() int { return len(f) }
func (f flight) Less(i, j int) bool {
	return f[i].at.Before(f[j].at) || (f[i].at.Equal(f[j].at) && f[i].serial < f[j].serial)
}
func (f flight) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *flight) Push(x any)   { *f = append(*f, x.(delivery)) }
func (f *flight) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

func newCluster(seed uint64) *cluster {
	return &cluster{
		now: time.UnixMilli(1_800_000_000_000), nodes: map[string]*node{}, rng: rand.New(rand.NewPCG(seed, 7)), period: time.Second,
		centres: 3, minDelay: time.Millisecond, maxDelay: 3 * time.Millisecond,
	}
}

// start starts an instance; an earlier process with the same id must be down.
func (c *cluster) start(i int, seeds ...string) *node {
	n := &node{up: true, seen: map[string]uint64{}, usage: map[string]string{}}
	c.serial++
	n.Identity = Identity{ID: fmt.Sprintf("kochi-%c-%d", 'a'+i%c.centres, i), DataCentre: fmt.Sprintf("kochi-%c", 'a'+i%c.centres)}
	n.Address = fmt.Sprintf("10.%d.%d.%d:7000", c.serial>>16, c.serial>>8&255, c.serial&255)
	c.boot(n, seeds)
	return n
}

func (c *cluster) boot(n *node, seeds []string) {
	n.p = NewProtocol(n.Identity, Options{
		Period: c.period, Clock: recorder.NewClock(func() time.Time { return c.now }), Seeds: seeds,
		Incarnation: uint64(c.now.UnixMilli()), Rand: c.rng,
	}, c.now.Add(time.Duration(c.rng.Int64N(int64(c.period)))))
	c.order = slices.DeleteFunc(c.order, func(o *node) bool { return o.ID == n.ID })
	c.order = append(c.order, n)
	c.nodes[n.Address] = n
}

// join makes every node know every other at once, as a full sync does.
func (c *cluster) join() {
	for _, n := range c.order {
		for _, o := range c.order {
			if n != o {
				n.p.table.add(o.p.self, c.now)
			}
		}
		n.p.lastSync = c.now
	}
}

func (c *cluster) send(n *node, out []Packet) {
	for _, p := range out {
		n.sent++
		n.wire += len(p.Data)
		if !p.Stream && len(p.Data) > MaxMessageBytes {
			c.faults = append(c.faults, fmt.Sprintf("message of %d bytes", len(p.Data)))
		}
		copies := 1
		if c.rng.Float64() < c.dup {
			copies = 2
		}
		for range copies {
			lost, at := c.rng.Float64() < c.drop, c.now.Add(c.delay())
			if lost && p.Stream {
				lost, at = false, at.Add(3*c.maxDelay) // a stream repeats lost packets
			}
			if !lost {
				c.push(delivery{at: at, from: n, to: p.To, data: p.Data})
			}
		}
	}
}

func (c *cluster) push(d delivery) {
	c.serial++
	d.serial = c.serial
	heap.Push(&c.flight, d)
}

func (c *cluster) delay() time.Duration {
	return c.minDelay + time.Duration(c.rng.Int64N(int64(c.maxDelay-c.minDelay)+1))
}

// run lets time pass.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for _, n := range c.order {
		n.due = n.p.NextTick()
	}
	for {
		next, n := end, (*node)(nil)
		for _, o := range c.order {
			if o.due.Before(next) && o.up && !o.paused {
				next, n = o.due, o
			}
		}
		if len(c.flight) > 0 && !c.flight[0].at.After(next) {
			d := heap.Pop(&c.flight).(delivery)
			c.now = later(c.now, d.at)
			c.deliver(d)
			continue
		}
		if n == nil {
			c.now = end
			return
		}
		c.now = later(c.now, next)
		c.send(n, n.p.Tick(c.now))
		c.observe(n)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *cluster) deliver(d delivery) {
	if d.adopt > 0 {
		if d.from.up {
			d.from.p.SetConfig(d.adopt)
			c.send(d.from, d.from.p.Tick(c.now))
			c.observe(d.from)
		}
		return
	}
	to := c.nodes[d.to]
	if to == nil || !to.up || to.group != d.from.group {
		return
	}
	if to.paused {
		if len(to.held) < 32 {
			to.held = append(to.held, d.data)
		}
		return
	}
	c.receive(to, d.data)
}

func (c *cluster) receive(n *node, data []byte) {
	out, err := n.p.Receive(data, c.now)
	if err != nil {
		c.faults = append(c.faults, err.Error())
	}
	c.send(n, out)
	c.observe(n)
}

// observe checks what must hold at every step.
func (c *cluster) observe(n *node) {
	n.due = n.p.NextTick()
	e := n.p.Events()
	for _, err := range e.Errors {
		c.faults = append(c.faults, err.Error())
	}
	for _, r := range e.Changes {
		if r.Incarnation < n.seen[r.ID] {
			c.faults = append(c.faults, fmt.Sprintf("%s saw the incarnation of %s fall from %d to %d", n.ID, r.ID, n.seen[r.ID], r.Incarnation))
		}
		n.seen[r.ID] = r.Incarnation
		switch r.State {
		case Dead:
			c.dead = append(c.dead, r.ID)
		case Suspect:
			c.suspicions++
		case Alive, Left:
		}
	}
	for _, o := range e.UsagePayloads {
		n.usage[o.Key] = string(o.Body)
	}
	for _, b := range e.PeersAhead {
		const pull = 20 * time.Millisecond // handshake, transfer and check of a record
		c.push(delivery{at: c.now.Add(pull + 2*c.delay()), from: n, adopt: b.Version})
	}
}

func (c *cluster) resume(n *node) {
	n.paused = false
	held := n.held
	n.held = nil
	for _, data := range held {
		c.receive(n, data)
	}
}

// live returns the nodes that run.
func (c *cluster) live() []*node {
	return slices.DeleteFunc(slices.Clone(c.order), func(n *node) bool { return !n.up })
}

func (c *cluster) addresses() (out []string) {
	for _, n := range c.live() {
		out = append(out, n.Address)
	}
	return out
}

// disagreement describes the first node whose live members are not the nodes that run.
func (c *cluster) disagreement() string {
	var want []Record
	for _, n := range c.live() {
		r := n.p.Self()
		r.ConfigVersion = 0
		want = append(want, r)
	}
	slices.SortFunc(want, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	for _, n := range c.live() {
		var got []Record
		for _, r := range n.p.Members() {
			if r.State.Live() {
				r.ConfigVersion = 0
				got = append(got, r)
			}
		}
		if !slices.Equal(got, want) {
			return fmt.Sprintf("%s has %v, want %v", n.ID, got, want)
		}
	}
	return ""
}

// sizes are the numbers of instances of the tests of spreading. The race detector, which slows a simulation down ten
// times, gets a size between today's and the design's; the figures at 420 come from runs without it.
func sizes() []int {
	if raceEnabled {
		return []int{7, 70, 112}
	}
	return []int{7, 70, 420}
}
