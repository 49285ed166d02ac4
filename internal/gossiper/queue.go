package gossiper

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// pending is a change that is still to be sent.
type pending struct {
	key    string
	raw    msgpack.RawMessage
	scope  string
	urgent bool
	// brief changes are replaced every period; they are sent fewer times and fill only a part of a message.
	brief bool
	sent  int
}

// queue holds the changes that are still to be sent, at most one for each key.
type queue struct {
	byKey map[string]*pending
	// urgentRounds is how many more urgent rounds are due.
	urgentRounds int
}

func newQueue() *queue { return &queue{byKey: map[string]*pending{}} }

func (q *queue) put(p *pending) { q.byKey[p.key] = p }

// briefBytes is the part of a message that brief changes may fill: three such messages a second each way,
// with the overhead of QUIC, stay under 7 KB/s.
const briefBytes = 800

// take returns changes that fit into size bytes, urgent ones and those sent least first, and counts them as sent.
// A change that was sent limit times is dropped.
func (q *queue) take(size int, inScope func(scope string) bool, limit, briefLimit int) []msgpack.RawMessage {
	list := make([]*pending, 0, len(q.byKey))
	for _, p := range q.byKey {
		if inScope(p.scope) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *pending) int {
		return cmp.Or(compareBool(b.urgent, a.urgent), compareBool(a.brief, b.brief), cmp.Compare(a.sent, b.sent), cmp.Compare(a.key, b.key))
	})
	var out []msgpack.RawMessage
	used := 0
	for _, p := range list {
		room := size
		if p.brief {
			room = min(size, briefBytes)
		}
		if used+len(p.raw) > room {
			continue
		}
		used += len(p.raw)
		out = append(out, p.raw)
		p.sent++
		if p.sent >= limit || (p.brief && p.sent >= briefLimit) {
			delete(q.byKey, p.key)
		}
	}
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
