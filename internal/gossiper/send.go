package gossiper

import (
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// arrayHeaderBytes is the room for the length of the list of changes.
const arrayHeaderBytes = 3

// send adds a message to a member with as many changes as fit.
func (p *Protocol) send(m *member, kind uint8, now time.Time) {
	e := p.envelope(kind)
	size := MaxMessageBytes - len(encode(&e)) - arrayHeaderBytes
	if m.State != Alive {
		// A member that others hold for suspect or dead learns of it from whoever sends to it.
		told := encode(&Change{Member: &m.Record})
		size -= len(told)
		e.Changes = append(e.Changes, told)
		m.answered = now
	}
	if s := p.seenChange(); s != nil {
		told := encode(&Change{Coverage: s})
		size -= len(told)
		e.Changes = append(e.Changes, told)
	}
	passed, used := p.queue.takeOutbox(m.ID, size)
	e.Changes = append(e.Changes, passed...)
	n := len(p.table.ring) + 1
	local := m.DataCentre == p.self.DataCentre || n <= wideMembers
	e.Changes = append(e.Changes, p.queue.take(size-used, local, 3*log2(n))...)
	// What is passed on goes over a stream, since the loss of a datagram would cost a part of the ring.
	p.out = append(p.out, Packet{To: m.Address, ID: m.ID, Data: encode(&e), Stream: used > 0})
}

// envelope returns a message without changes.
func (p *Protocol) envelope(kind uint8) envelope {
	s := p.opt.Clock.Tick()
	return envelope{Kind: kind, From: p.self, WallMs: s.WallMs, Logical: s.Logical, TableHash: p.table.hash}
}

// fullState returns a message with all members and the leaving targets.
func (p *Protocol) fullState(kind uint8) []byte {
	e := p.envelope(kind)
	for _, m := range p.table.members {
		e.Changes = append(e.Changes, encode(&Change{Member: &m.Record}))
	}
	for _, it := range p.items[itemLeaving] {
		e.Changes = append(e.Changes, encode(&Change{Item: &it}))
	}
	return encode(&e)
}

// sync sends the whole table to a member and asks for its table.
func (p *Protocol) sync(m *member) {
	p.out = append(p.out, Packet{To: m.Address, ID: m.ID, Data: p.fullState(kindSync), Stream: true})
}

// enqueueMember spreads a record; a change of status is urgent.
func (p *Protocol) enqueueMember(r Record) {
	raw := msgpack.RawMessage(encode(&Change{Member: &r}))
	p.queue.put(&pending{key: "m" + r.ID, raw: raw})
	p.startUrgent()
}

// enqueueItem spreads an item: a leaving target in urgent rounds, the others with regular messages and by passing on.
func (p *Protocol) enqueueItem(it Item) {
	it.RangeEnd = 0
	// Brief items are passed on over streams and replaced within seconds; a second copy in regular messages doubled
	// their bytes.
	if it.brief() && len(p.table.members)+1 > wideMembers {
		return
	}
	p.queue.put(pendingItem(it))
	if !it.brief() {
		p.startUrgent()
	}
}

func pendingItem(it Item) *pending {
	if it.brief() {
		it.ExpiresUnixMs = 0 // each receiver sets its own
		it.RangeEnd >>= limitShift
	}
	c := &pending{key: string([]byte{'0' + it.Kind}) + it.Key, raw: encode(&Change{Item: &it}), local: it.local()}
	switch it.Kind {
	case itemLoad:
		c.rank = rankLoad
	case itemUsage, itemSum:
		c.rank = rankUsage
	}
	return c
}

// passOn gives a brief item to the fingers between this instance and the limit, each with its own part of the ring, so
// that every member gets it once. A limit at the own position is the whole ring.
func (p *Protocol) passOn(it Item, limit uint64) {
	all, local := p.table.order()
	ring := all
	if it.local() && len(all)+1 > wideMembers {
		ring = local
	}
	self := p.table.selfPos
	inside := func(pos uint64) bool { return limit == self || pos-self < limit-self }
	fs := fingers(ring)
	for i, f := range fs {
		if !inside(f.pos) {
			return
		}
		it.RangeEnd = limit
		if i+1 < len(fs) && inside(fs[i+1].pos) {
			it.RangeEnd = fs[i+1].pos
		}
		p.queue.pass(f.ID, pendingItem(it))
	}
}

// deliver sends the outboxes, at most once in a part of the period so that items share messages.
func (p *Protocol) deliver(now time.Time) {
	if len(p.queue.outbox) == 0 || now.Before(p.lastPass.Add(p.opt.Period/passPerPeriod)) {
		return
	}
	p.lastPass = now
	p.passTurn++
	for _, id := range slices.Sorted(maps.Keys(p.queue.outbox)) {
		m := p.table.members[id]
		if m == nil || !m.State.Live() {
			delete(p.queue.outbox, id)
			continue
		}
		if p.queue.ready(id, p.passTurn%loadPassEvery == 0) {
			p.send(m, kindGossip, now)
		}
	}
}
