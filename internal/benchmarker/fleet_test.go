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
	mib = 1 << 20
	// blockBytes is the size of the KV cache of a block, at 2048 bytes per token.
	blockBytes = keyer.BlockTokens * 2048
)

// event is a callback at a virtual time; seq keeps events of the same time in insertion order.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// clock is the virtual clock with its queue of events.
type clock struct {
	now   time.Duration
	seq   int
	queue eventQueue
}

// epoch is the wall-clock time at virtual time 0.
var epoch = time.Unix(1_000_000_000, 0)

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + max(0, d), seq: c.seq, run: f})
}

func (c *clock) run() {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
}

// contextCache is a least-recently-used cache of complete conversations; its capacity is in blocks.
type contextCache struct {
	capacity, used int
	order          *list.List
	byAnchor       map[keyer.Key]*list.Element
}

// contextEntry is the stored context of one conversation.
type contextEntry struct {
	anchor keyer.Key
	blocks int
	disk   bool
	at     time.Duration // arrival of the request, which identifies the generation
}

func newContextCache(capacity int) *contextCache {
	return &contextCache{capacity: capacity, order: list.New(), byAnchor: map[keyer.Key]*list.Element{}}
}

// get returns the entry of a conversation, or an empty entry if there is none. If touch is set, the entry becomes the most
// recently used.
func (c *contextCache) get(k keyer.Key, touch bool) *contextEntry {
	el, ok := c.byAnchor[k]
	if !ok {
		return &contextEntry{}
	}
	if touch {
		c.order.MoveToFront(el)
	}
	return el.Value.(*contextEntry)
}

func (c *contextCache) put(entry contextEntry) {
	if el, ok := c.byAnchor[entry.anchor]; ok {
		c.remove(el)
	}
	c.byAnchor[entry.anchor] = c.order.PushFront(&entry)
	c.used += entry.blocks
	for c.used > c.capacity && c.order.Len() > 1 {
		c.remove(c.order.Back())
	}
}

func (c *contextCache) remove(el *list.Element) {
	entry := c.order.Remove(el).(*contextEntry)
	delete(c.byAnchor, entry.anchor)
	c.used -= entry.blocks
}

// store models a KV store: two tiers behind one link that serves transfers one after the other.
type store struct {
	mem, disk          *contextCache
	linkRate, diskRate float64 // bytes per second
	slowdown           float64 // divides both rates
	linkFreeAt         time.Duration
	linkBytes          int64
	dead               bool
}

func (s *store) lookup(k keyer.Key) *contextEntry {
	if entry := s.mem.get(k, false); entry.blocks > 0 {
		return entry
	}
	return s.disk.get(k, false)
}

func (s *store) weightedBytes(blocks int, disk bool) int64 {
	if disk {
		return shaper.WeightedBytes(int64(blocks)*blockBytes, s.diskRate, s.linkRate)
	}
	return int64(blocks) * blockBytes
}

// transfer queues n bytes on the link and returns the time at which the transfer completes.
func (s *store) transfer(now time.Duration, n int64, disk bool) time.Duration {
	rate := s.linkRate
	if disk {
		rate = s.diskRate
	}
	s.linkBytes += n
	s.linkFreeAt = max(s.linkFreeAt, now) + time.Duration(float64(n)/(rate/s.slowdown)*float64(time.Second))
	return s.linkFreeAt
}

// put stores a context, or returns false if its tier does not have enough free capacity.
func (s *store) put(entry contextEntry) bool {
	c := s.mem
	if entry.disk {
		c = s.disk
	}
	if c.used-c.get(entry.anchor, false).blocks+entry.blocks > c.capacity {
		return false
	}
	s.remove(entry.anchor, 0)
	c.put(entry)
	return true
}

// evictFor selects the tier for n blocks by the baselines' policy and reports whether it is the disk: memory if it has
// enough free capacity, else disk; else it evicts the oldest contexts of both tiers until one of them has.
func (s *store) evictFor(n int) (disk bool) {
	for {
		for _, c := range []*contextCache{s.mem, s.disk} {
			if c.used+n <= c.capacity {
				return c == s.disk
			}
		}
		oldest := s.mem
		if m, d := s.mem.order.Back(), s.disk.order.Back(); d.Value.(*contextEntry).at < m.Value.(*contextEntry).at {
			oldest = s.disk
		}
		oldest.remove(oldest.order.Back())
	}
}

// remove removes a context if its generation matches; 0 matches any. It reports whether it removed one.
func (s *store) remove(k keyer.Key, generation int64) (ok bool) {
	for _, c := range []*contextCache{s.mem, s.disk} {
		if el, found := c.byAnchor[k]; found && (generation == 0 || el.Value.(*contextEntry).at == time.Duration(generation)) {
			c.remove(el)
			ok = true
		}
	}
	return ok
}

// engine models an engine with slots, one prefill unit and a prefix cache.
type engine struct {
	c                   *clock
	size                *size
	dataCentre          int
	cache               *contextCache
	queue               []*run
	active              []*run
	prefillFreeAt       time.Duration
	waitingTokens       int // prompt tokens not yet prefilled
	dead                bool
	recomputed          int64 // tokens of blocks that earlier turns of the conversation had already computed
	onFirstToken, onEnd func(r *run)
}

// enqueue queues a run. It returns false if the engine is dead or its queue is full.
func (e *engine) enqueue(r *run) bool {
	if e.dead || len(e.queue) >= e.size.maxQueue {
		return false
	}
	e.waitingTokens += r.prompt
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

// prepare imports the blocks that are stored but not cached, then waits for the prefill unit and prefills the rest.
func (e *engine) prepare(r *run) {
	r.cached = min(e.cache.get(r.conv.anchor, true).blocks, r.blocks)
	ready := e.c.now
	if s := r.source; s != nil && !s.dead && r.importBlocks > r.cached {
		if entry := s.lookup(r.conv.anchor); entry.blocks > r.cached {
			r.imported = min(r.importBlocks, entry.blocks) - r.cached
			ready = s.transfer(e.c.now, int64(r.imported)*blockBytes, entry.disk)
		}
	}
	e.schedule(r, ready-e.c.now, func() {
		r.computed = r.prompt - (r.cached+r.imported)*keyer.BlockTokens
		prefill := time.Duration(float64(r.computed) / e.size.prefill * float64(time.Second))
		e.prefillFreeAt = max(e.prefillFreeAt, e.c.now) + prefill
		e.schedule(r, e.prefillFreeAt-e.c.now, func() { e.decode(r) })
	})
}

func (e *engine) decode(r *run) {
	e.waitingTokens -= r.prompt
	e.cache.put(contextEntry{anchor: r.conv.anchor, blocks: r.blocks})
	e.recomputed += int64(max(0, r.reusableBlocks-r.cached-r.imported) * keyer.BlockTokens)
	e.onFirstToken(r)
	e.schedule(r, time.Duration(float64(r.outputTokens)/e.size.decode*float64(time.Second)), func() {
		e.active = slices.DeleteFunc(e.active, func(o *run) bool { return o == r })
		e.admit()
		e.onEnd(r)
	})
}

// schedule runs the next stage of a run after d, unless the engine has been killed by then, which increments r.attempt.
func (e *engine) schedule(r *run, d time.Duration, f func()) {
	attempt := r.attempt
	e.c.after(d, func() {
		if r.attempt == attempt {
			f()
		}
	})
}

// kill discards the runs and the cache, and returns the runs so that they can be sent again.
func (e *engine) kill() []*run {
	runs := append(e.active, e.queue...)
	for _, r := range runs {
		r.attempt++
	}
	e.active, e.queue, e.waitingTokens, e.dead = nil, nil, 0, true
	e.cache = newContextCache(e.size.cache)
	return runs
}
