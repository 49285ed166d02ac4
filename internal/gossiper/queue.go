package gossiper

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// pending is a change that is still to be sent.
type pending struct {
	key   string
	raw   msgpack.RawMessage
	local bool
	rank  rank
	sent  int
	// serial orders what waits in an outbox.
	serial int
}

// rank orders pending changes.
type rank uint8

// The ranks. Changes from rankUsage on are brief: they are replaced every few periods, are sent fewer times and have
// a budget of bytes for each rank.
const (
	rankUrgent rank = iota
	rankUsage
	rankLoad
)

func (p *pending) brief() bool { return p.rank >= rankUsage }

// queue holds the changes that are still to be sent, at most one for each key.
type queue struct {
	byKey map[string]*pending
	// outbox holds the brief items to pass on, by member and key.
	outbox map[string]map[string]*pending
	// urgentRounds is how many more urgent rounds are due.
	urgentRounds int
	// left is how many bytes of each kind of brief changes may still be sent in this period.
	left map[rank]int
	// serial numbers the items of the outboxes in the order in which they came.
	serial int
}

func newQueue() *queue {
	return &queue{byKey: map[string]*pending{}, outbox: map[string]map[string]*pending{}, left: map[rank]int{}}
}

func (q *queue) put(p *pending) { q.byKey[p.key] = p }

// briefTimes is how often an instance adds a brief change to its regular messages, in case the passing on of it failed.
const briefTimes = 1

// allowance is a budget of bytes.
type allowance struct{ period, burst int }

// allowances are what an instance sends of each kind of brief changes in a period on average, and at once: a payload of
// its own to every finger. Each kind has its own, because in a common one full usage payloads left nothing to load
// reports. With the rest of the messages the sum stays under 7 KB/s.
var allowances = map[rank]allowance{rankUsage: {period: 3200, burst: 9000}, rankLoad: {period: 2200, burst: 5000}}

// refill starts a period.
func (q *queue) refill() {
	for r, a := range allowances {
		q.left[r] = min(a.burst, q.left[r]+a.period)
	}
}

// pass puts an item into a member's outbox. A newer one takes the place of the one that waits, so that no item waits
// longer than those that came after it.
func (q *queue) pass(to string, p *pending) {
	if q.outbox[to] == nil {
		q.outbox[to] = map[string]*pending{}
	}
	q.serial++
	p.serial = q.serial
	if old := q.outbox[to][p.key]; old != nil {
		p.serial = old.serial
	}
	q.outbox[to][p.key] = p
}

// affords reports whether the budget of its kind allows a brief item.
func (q *queue) affords(p *pending) bool { return len(p.raw) <= q.left[p.rank] }

// ready reports whether something for a member can be sent now, load reports only if they are due.
func (q *queue) ready(to string, loads bool) bool {
	for _, p := range q.outbox[to] {
		if q.affords(p) && (loads || p.rank != rankLoad) {
			return true
		}
	}
	return false
}

// takeOutbox removes the items for a member that fit into size bytes and the budget.
func (q *queue) takeOutbox(to string, size int) (out []msgpack.RawMessage, used int) {
	list := make([]*pending, 0, len(q.outbox[to]))
	for _, p := range q.outbox[to] {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *pending) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.serial, b.serial)) })
	for _, p := range list {
		if used+len(p.raw) > size || !q.affords(p) {
			continue
		}
		q.left[p.rank] -= len(p.raw)
		used += len(p.raw)
		out = append(out, p.raw)
		delete(q.outbox[to], p.key)
	}
	if len(q.outbox[to]) == 0 {
		delete(q.outbox, to)
	}
	return out, used
}

// spare reports whether an item fits into what its kind leaves of the budget.
func (q *queue) spare(p *pending) bool {
	a := allowances[p.rank]
	return q.left[p.rank]-len(p.raw) >= a.burst-a.period
}

// take returns changes that fit into size bytes, urgent ones and those sent least first, and counts them as sent.
// Only local receivers get local items. A change that was sent limit times is dropped.
func (q *queue) take(size int, local bool, limit int) []msgpack.RawMessage {
	list := make([]*pending, 0, len(q.byKey))
	for _, p := range q.byKey {
		if local || !p.local {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *pending) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.sent, b.sent), cmp.Compare(a.key, b.key))
	})
	var out []msgpack.RawMessage
	used := 0
	for _, p := range list {
		// What must be passed on comes first: regular messages repeat brief changes only while the budget is not in use.
		if used+len(p.raw) > size || (p.brief() && !q.spare(p)) {
			continue
		}
		if p.brief() {
			q.left[p.rank] -= len(p.raw)
		}
		used += len(p.raw)
		out = append(out, p.raw)
		p.sent++
		if p.sent >= limit || (p.brief() && p.sent >= briefTimes) {
			delete(q.byKey, p.key)
		}
	}
	return out
}
