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
}

// rank orders pending changes.
type rank uint8

// The ranks. Changes from rankUsage on are brief: they are replaced every few periods, are sent fewer times and share
// a budget of bytes.
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
	// briefLeft is how many bytes of brief changes may still be sent in this period.
	briefLeft int
}

func newQueue() *queue {
	return &queue{byKey: map[string]*pending{}, outbox: map[string]map[string]*pending{}}
}

func (q *queue) put(p *pending) { q.byKey[p.key] = p }

const (
	// briefBytes is how many bytes of brief changes an instance sends in a period on average. It receives as many;
	// with the rest of the messages and the overhead of QUIC both directions stay under 7 KB/s.
	briefBytes = 4000
	// briefBurst is what it may send at once: a payload of its own to every finger.
	briefBurst = 12000
	// briefTimes is how often an instance adds a brief change to its regular messages, in case the passing on of it failed.
	briefTimes = 1
)

// pass puts an item into a member's outbox.
func (q *queue) pass(to string, p *pending) {
	if q.outbox[to] == nil {
		q.outbox[to] = map[string]*pending{}
	}
	q.outbox[to][p.key] = p
}

// affords reports whether the budget allows a brief item. Load reports leave half of the burst to usage payloads, on
// which the limits of accounts rest; reports only get older.
func (q *queue) affords(p *pending) bool {
	if p.rank == rankLoad {
		return len(p.raw) <= q.briefLeft-briefBurst/2
	}
	return len(p.raw) <= q.briefLeft
}

// ready reports whether something for a member can be sent now.
func (q *queue) ready(to string) bool {
	for _, p := range q.outbox[to] {
		if q.affords(p) {
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
	slices.SortFunc(list, func(a, b *pending) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.key, b.key)) })
	for _, p := range list {
		if used+len(p.raw) > size || !q.affords(p) {
			continue
		}
		q.briefLeft -= len(p.raw)
		used += len(p.raw)
		out = append(out, p.raw)
		delete(q.outbox[to], p.key)
	}
	if len(q.outbox[to]) == 0 {
		delete(q.outbox, to)
	}
	return out, used
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
		if used+len(p.raw) > size || (p.brief() && q.briefLeft-len(p.raw) < briefBurst-briefBytes) {
			continue
		}
		if p.brief() {
			q.briefLeft -= len(p.raw)
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
