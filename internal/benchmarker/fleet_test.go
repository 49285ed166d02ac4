package benchmarker

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/shaper"
)

const (
	mib        = 1 << 20
	blockBytes = keyer.BlockTokens * 2048
)

// event is something that happens at a virtual time; seq keeps the order of events of one time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// clock is virtual time.
type clock struct {
	now   time.Duration
	seq   int
	queue events
}

var epoch = time.Unix(1_000_000_000, 0)

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + max(0, d), seq: c.seq, run: f})
}

func (c *clock) play() {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
}

// contexts is a least-recently-used cache of whole conversations, counted in blocks.
type contexts struct {
	capacity, used int
	order          *list.List
	byAnchor       map[keyer.Key]*list.Element
}

type held struct {
	anchor keyer.Key
	blocks int
	disk   bool
	at     time.Duration
}

func newContexts(capacity int) *contexts {
	return &contexts{capacity: capacity, order: list.New(), byAnchor: map[keyer.Key]*list.Element{}}
}

func (c *contexts) get(k keyer.Key, touch bool) *held {
	el, ok := c.byAnchor[k]
	if !ok {
		return &held{}
	}
	if touch {
		c.order.MoveToFront(el)
	}
	return el.Value.(*held)
}

func (c *contexts) put(h held) {
	if el, ok := c.byAnchor[h.anchor]; ok {
		c.drop(el)
	}
	c.byAnchor[h.anchor] = c.order.PushFront(&h)
	c.used += h.blocks
	for c.used > c.capacity && c.order.Len() > 1 {
		c.drop(c.order.Back())
	}
}

func (c *contexts) drop(el *list.Element) {
	h := c.order.Remove(el).(*held)
	delete(c.byAnchor, h.anchor)
	c.used -= h.blocks
}

// store is two tiers behind one link that serves transfers in turn.
type store struct {
	mem, disk         *contexts
	linkRate, diskRat float64 // bytes a second
	slowdown          float64
	linkFree          time.Duration
	linkBytes         int64
	dead              bool
}

func (s *store) find(k keyer.Key) *held {
	if h := s.mem.get(k, false); h.blocks > 0 {
		return h
	}
	return s.disk.get(k, false)
}

func (s *store) weighted(blocks int, disk bool) int64 {
	if disk {
		return shaper.WeightedBytes(int64(blocks)*blockBytes, s.diskRat, s.linkRate)
	}
	return int64(blocks) * blockBytes
}

// transfer returns when n bytes are through the link.
func (s *store) transfer(now time.Duration, n int64, disk bool) time.Duration {
	rate := s.linkRate
	if disk {
		rate = s.diskRat
	}
	s.linkBytes += n
	s.linkFree = max(s.linkFree, now) + time.Duration(float64(n)/(rate/s.slowdown)*float64(time.Second))
	return s.linkFree
}

// put stores a context; a full tier refuses it.
func (s *store) put(h held) bool {
	c := s.mem
	if h.disk {
		c = s.disk
	}
	if c.used-c.get(h.anchor, false).blocks+h.blocks > c.capacity {
		return false
	}
	s.drop(h.anchor, 0)
	c.put(h)
	return true
}

// room makes room for n blocks as baselines do: in memory, else on disk, else where the oldest of all contexts are.
func (s *store) room(n int) (disk bool) {
	for {
		for _, c := range []*contexts{s.mem, s.disk} {
			if c.used+n <= c.capacity {
				return c == s.disk
			}
		}
		oldest := s.mem
		if m, d := s.mem.order.Back(), s.disk.order.Back(); d.Value.(*held).at < m.Value.(*held).at {
			oldest = s.disk
		}
		oldest.drop(oldest.order.Back())
	}
}

// drop removes a context if it is still of the generation; 0 is any.
func (s *store) drop(k keyer.Key, generation int64) (ok bool) {
	for _, c := range []*contexts{s.mem, s.disk} {
		if el, found := c.byAnchor[k]; found && (generation == 0 || el.Value.(*held).at == time.Duration(generation)) {
			c.drop(el)
			ok = true
		}
	}
	return ok
}

// engine has slots, one prefill unit and a prefix cache.
type engine struct {
	c            *clock
	size         *size
	dataCentre   int
	cache        *contexts
	queue        []*run
	active       []*run
	prefillFree  time.Duration
	waiting      int // prompt tokens
	dead         bool
	recomputed   int64 // tokens of blocks that the conversation had before
	first, ended func(r *run)
}

// begin queues a run; it returns false if the engine is dead or its queue is full.
func (e *engine) begin(r *run) bool {
	if e.dead || len(e.queue) >= e.size.maxQueue {
		return false
	}
	e.waiting += r.prompt
	e.queue = append(e.queue, r)
	e.admit()
	return true
}

func (e *engine) admit() {
	for len(e.active) < e.size.slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.active = append(e.active, r)
		e.prepare(r)
	}
}

// prepare imports what is stored and not cached, then waits for the prefill unit.
func (e *engine) prepare(r *run) {
	r.cached = min(e.cache.get(r.conv.anchor, true).blocks, r.blocks)
	ready := e.c.now
	if s := r.source; s != nil && !s.dead && r.imports > r.cached {
		if h := s.find(r.conv.anchor); h.blocks > r.cached {
			r.imported = min(r.imports, h.blocks) - r.cached
			ready = s.transfer(e.c.now, int64(r.imported)*blockBytes, h.disk)
		}
	}
	e.later(r, ready-e.c.now, func() {
		r.computed = r.prompt - (r.cached+r.imported)*keyer.BlockTokens
		took := time.Duration(float64(r.computed) / e.size.prefill * float64(time.Second))
		e.prefillFree = max(e.prefillFree, e.c.now) + took
		e.later(r, e.prefillFree-e.c.now, func() { e.decode(r) })
	})
}

func (e *engine) decode(r *run) {
	e.waiting -= r.prompt
	e.cache.put(held{anchor: r.conv.anchor, blocks: r.blocks})
	e.recomputed += int64(max(0, r.reusable-r.cached-r.imported) * keyer.BlockTokens)
	e.first(r)
	e.later(r, time.Duration(float64(r.answer)/e.size.decode*float64(time.Second)), func() {
		e.active = slices.DeleteFunc(e.active, func(o *run) bool { return o == r })
		e.admit()
		e.ended(r)
	})
}

// later runs the next stage of a run unless the engine has lost it by then.
func (e *engine) later(r *run, d time.Duration, f func()) {
	attempt := r.attempt
	e.c.after(d, func() {
		if r.attempt == attempt {
			f()
		}
	})
}

// kill loses the runs and the cache and returns the runs.
func (e *engine) kill() []*run {
	lost := append(e.active, e.queue...)
	for _, r := range lost {
		r.attempt++
	}
	e.active, e.queue, e.waiting, e.dead = nil, nil, 0, true
	e.cache = newContexts(e.size.cache)
	return lost
}
