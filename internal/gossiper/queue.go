package gossiper

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// pending is a change that is waiting to be sent.
type pending struct {
	key      string
	raw      msgpack.RawMessage
	local    bool
	priority priority
	sent     int
	// serial is the arrival order in an outbox.
	serial int
}

// priority is the sending order of pending changes; lower values are sent first.
type priority uint8

// The priorities. Changes from priorityUsage on are ephemeral: they are replaced every few periods, are sent fewer times and
// have a byte budget for each priority.
const (
	priorityUrgent priority = iota
	priorityUsage
	priorityLoad
)

func (p *pending) ephemeral() bool { return p.priority >= priorityUsage }

// queue holds the changes that are waiting to be sent, at most one for each key.
type queue struct {
	byKey map[string]*pending
	// outbox holds the ephemeral items to forward, by receiver and key.
	outbox map[string]map[string]*pending
	// urgentRounds is the number of urgent rounds that are still to be sent.
	urgentRounds int
	// budget is the number of bytes of ephemeral changes of each priority that may still be sent in this period.
	budget map[priority]int
	// serial is the serial number of the item that was last added to an outbox.
	serial int
}

func newQueue() *queue {
	return &queue{byKey: map[string]*pending{}, outbox: map[string]map[string]*pending{}, budget: map[priority]int{}}
}

func (q *queue) put(p *pending) { q.byKey[p.key] = p }

// ephemeralSends is how often an instance adds an ephemeral change to its regular messages, in case forwarding it failed.
const ephemeralSends = 1

// byteBudget is a token bucket in bytes: period is the refill per period, burst the maximum.
type byteBudget struct{ period, burst int }

// byteBudgets limit the ephemeral changes that an instance sends, for each priority. The burst is enough to send
// one payload to every finger at once. The budgets are separate because in a common one full usage payloads would starve
// load reports. Together with the other messages an instance sends less than 7 KB/s.
var byteBudgets = map[priority]byteBudget{priorityUsage: {period: 3200, burst: 9000}, priorityLoad: {period: 2200, burst: 5000}}

// refill adds the budgets of a new period.
func (q *queue) refill() {
	for prio, b := range byteBudgets {
		q.budget[prio] = min(b.burst, q.budget[prio]+b.period)
	}
}

// addToOutbox adds an item to the outbox of a member. A newer version of a waiting item replaces it at the same position in
// the order, so that frequent updates do not delay an item.
func (q *queue) addToOutbox(to string, p *pending) {
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

// withinBudget reports whether an ephemeral item fits the remaining budget of its priority.
func (q *queue) withinBudget(p *pending) bool { return len(p.raw) <= q.budget[p.priority] }

// ready reports whether the outbox of a member has an item that can be sent now. Load reports count only if loads is true.
func (q *queue) ready(to string, loads bool) bool {
	for _, p := range q.outbox[to] {
		if q.withinBudget(p) && (loads || p.priority != priorityLoad) {
			return true
		}
	}
	return false
}

// takeOutbox removes and returns the items for a member that fit into size bytes and the budget.
func (q *queue) takeOutbox(to string, size int) (out []msgpack.RawMessage, used int) {
	list := make([]*pending, 0, len(q.outbox[to]))
	for _, p := range q.outbox[to] {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *pending) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.serial, b.serial))
	})
	for _, p := range list {
		if used+len(p.raw) > size || !q.withinBudget(p) {
			continue
		}
		q.budget[p.priority] -= len(p.raw)
		used += len(p.raw)
		out = append(out, p.raw)
		delete(q.outbox[to], p.key)
	}
	if len(q.outbox[to]) == 0 {
		delete(q.outbox, to)
	}
	return out, used
}

// fitsSpareBudget reports whether an item fits into the spare budget: after it, at least burst minus one refill remains.
func (q *queue) fitsSpareBudget(p *pending) bool {
	b := byteBudgets[p.priority]
	return q.budget[p.priority]-len(p.raw) >= b.burst-b.period
}

// take returns changes that fit into size bytes, by priority and then least sent first, and counts them as sent. Only
// receivers in the data centre get local items. A change that was sent limit times is removed.
func (q *queue) take(size int, local bool, limit int) []msgpack.RawMessage {
	list := make([]*pending, 0, len(q.byKey))
	for _, p := range q.byKey {
		if local || !p.local {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *pending) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.sent, b.sent), cmp.Compare(a.key, b.key))
	})
	var out []msgpack.RawMessage
	used := 0
	for _, p := range list {
		// Forwarding has precedence: regular messages repeat ephemeral changes only while there is spare budget.
		if used+len(p.raw) > size || (p.ephemeral() && !q.fitsSpareBudget(p)) {
			continue
		}
		if p.ephemeral() {
			q.budget[p.priority] -= len(p.raw)
		}
		used += len(p.raw)
		out = append(out, p.raw)
		p.sent++
		if p.sent >= limit || (p.ephemeral() && p.sent >= ephemeralSends) {
			delete(q.byKey, p.key)
		}
	}
	return out
}
