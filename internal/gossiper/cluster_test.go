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
	// inbox holds the messages that arrived during a pause, at most 32 as in a kernel socket buffer.
	inbox [][]byte
	// group is the node's side of a partition; nodes of different groups do not reach each other.
	group int
	// maxIncarnation is the highest incarnation that this process has seen of each member.
	maxIncarnation map[string]uint64
	// usage holds the last received usage payload by instance.
	usage        map[string]string
	sentMessages int
	sentBytes    int
}

// cluster is a network of simulated instances in virtual time.
type cluster struct {
	now time.Time
	// nodes holds all nodes by address, order the newest node of each id in start order.
	nodes    map[string]*node
	order    []*node
	inFlight deliveryHeap
	rng      *rand.Rand
	period   time.Duration
	minDelay time.Duration
	maxDelay time.Duration
	// dataCentres is the number of data centres.
	dataCentres   int
	lossRate      float64
	duplicateRate float64
	// violations are violations of invariants that must hold at every step.
	violations []string
	// dead are the ids that were declared dead; suspicions counts the suspicions of all nodes.
	dead       []string
	suspicions int
	serial     int
}

// delivery is a message in transit. If adopt is positive, it is instead the end of a pull, at which from adopts that
// configuration version. Deliveries at the same time are ordered by serial.
type delivery struct {
	at     time.Time
	serial int
	from   *node
	to     string
	data   []byte
	adopt  int64
}

type deliveryHeap []delivery

func (f deliveryHeap) Len() int { return len(f) }
func (f deliveryHeap) Less(i, j int) bool {
	return f[i].at.Before(f[j].at) || (f[i].at.Equal(f[j].at) && f[i].serial < f[j].serial)
}
func (f deliveryHeap) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *deliveryHeap) Push(x any)   { *f = append(*f, x.(delivery)) }
func (f *deliveryHeap) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

func newCluster(seed uint64) *cluster {
	return &cluster{
		now: time.UnixMilli(1_800_000_000_000), nodes: map[string]*node{}, rng: rand.New(rand.NewPCG(seed, 7)), period: time.Second,
		dataCentres: 3, minDelay: time.Millisecond, maxDelay: 3 * time.Millisecond,
	}
}

// start starts an instance. An earlier process with the same id must be down.
func (c *cluster) start(i int, seeds ...string) *node {
	n := &node{up: true, maxIncarnation: map[string]uint64{}, usage: map[string]string{}}
	c.serial++
	n.Identity = Identity{ID: fmt.Sprintf("kochi-%c-%d", 'a'+i%c.dataCentres, i), DataCentre: fmt.Sprintf("kochi-%c", 'a'+i%c.dataCentres)}
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

// join makes every node discover all others at once, as a full sync does.
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
		n.sentMessages++
		n.sentBytes += len(p.Data)
		if !p.Stream && len(p.Data) > MaxMessageBytes {
			c.violations = append(c.violations, fmt.Sprintf("message of %d bytes", len(p.Data)))
		}
		copies := 1
		if c.rng.Float64() < c.duplicateRate {
			copies = 2
		}
		for range copies {
			lost, at := c.rng.Float64() < c.lossRate, c.now.Add(c.delay())
			if lost && p.Stream {
				lost, at = false, at.Add(3*c.maxDelay) // a stream retransmits lost packets
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
	heap.Push(&c.inFlight, d)
}

func (c *cluster) delay() time.Duration {
	return c.minDelay + time.Duration(c.rng.Int64N(int64(c.maxDelay-c.minDelay)+1))
}

// run advances virtual time by d.
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
		if len(c.inFlight) > 0 && !c.inFlight[0].at.After(next) {
			d := heap.Pop(&c.inFlight).(delivery)
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
		if len(to.inbox) < 32 {
			to.inbox = append(to.inbox, d.data)
		}
		return
	}
	c.receive(to, d.data)
}

func (c *cluster) receive(n *node, data []byte) {
	out, err := n.p.Receive(data, c.now)
	if err != nil {
		c.violations = append(c.violations, err.Error())
	}
	c.send(n, out)
	c.observe(n)
}

// observe checks the invariants that must hold at every step and records the events of a node.
func (c *cluster) observe(n *node) {
	n.due = n.p.NextTick()
	e := n.p.Events()
	for _, err := range e.Errors {
		c.violations = append(c.violations, err.Error())
	}
	for _, r := range e.Changes {
		if r.Incarnation < n.maxIncarnation[r.ID] {
			c.violations = append(c.violations, fmt.Sprintf("%s observed the incarnation of %s decrease from %d to %d", n.ID, r.ID, n.maxIncarnation[r.ID], r.Incarnation))
		}
		n.maxIncarnation[r.ID] = r.Incarnation
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
		const pull = 20 * time.Millisecond // handshake, transfer and validation of a record
		c.push(delivery{at: c.now.Add(pull + 2*c.delay()), from: n, adopt: b.Version})
	}
}

func (c *cluster) resume(n *node) {
	n.paused = false
	queued := n.inbox
	n.inbox = nil
	for _, data := range queued {
		c.receive(n, data)
	}
}

// live returns the running nodes.
func (c *cluster) live() []*node {
	return slices.DeleteFunc(slices.Clone(c.order), func(n *node) bool { return !n.up })
}

func (c *cluster) addresses() (out []string) {
	for _, n := range c.live() {
		out = append(out, n.Address)
	}
	return out
}

// disagreement describes the first node whose live members differ from the running nodes, or returns an empty string.
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

// sizes returns the numbers of instances for the dissemination tests. The race detector slows a simulation down ten times,
// so with it the largest size is below the 420 instances of the largest deployment.
func sizes() []int {
	if raceEnabled {
		return []int{7, 70, 112}
	}
	return []int{7, 70, 420}
}
