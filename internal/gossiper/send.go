package gossiper

import (
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// arrayHeaderBytes is the maximum size of the array header of the list of changes.
const arrayHeaderBytes = 3

// send queues a message to a member with as many changes as fit.
func (p *Protocol) send(m *member, kind uint8, now time.Time) {
	e := p.envelope(kind)
	size := MaxMessageBytes - len(encode(&e)) - arrayHeaderBytes
	if m.State != Alive {
		// A member that is suspected or dead receives this claim in every message to it, so that it can refute it.
		claim := encode(&Change{Member: &m.Record})
		size -= len(claim)
		e.Changes = append(e.Changes, claim)
		m.lastClaimReply = now
	}
	if c := p.coverageToSend(); c != nil {
		coverage := encode(&Change{Coverage: c})
		size -= len(coverage)
		e.Changes = append(e.Changes, coverage)
	}
	forwarded, used := p.queue.takeOutbox(m.ID, size)
	e.Changes = append(e.Changes, forwarded...)
	n := len(p.table.ring) + 1
	local := m.DataCentre == p.self.DataCentre || n <= maxWideMembers
	e.Changes = append(e.Changes, p.queue.take(size-used, local, 3*log2(n))...)
	// Forwarded items use a reliable stream, since a lost datagram would lose them for a whole range of the ring.
	p.out = append(p.out, Packet{To: m.Address, ID: m.ID, Data: encode(&e), Stream: used > 0})
}

// envelope returns a message without changes, with a new stamp.
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

// sync sends the full member table to a member and requests its table.
func (p *Protocol) sync(m *member) {
	p.out = append(p.out, Packet{To: m.Address, ID: m.ID, Data: p.fullState(kindSync), Stream: true})
}

// enqueueMember disseminates a record in urgent rounds, since a change of state is urgent.
func (p *Protocol) enqueueMember(r Record) {
	raw := msgpack.RawMessage(encode(&Change{Member: &r}))
	p.queue.put(&pending{key: "m" + r.ID, raw: raw})
	p.startUrgent()
}

// enqueueItem disseminates an item in regular messages: a leaving target also in urgent rounds, the other kinds only in a
// deployment of at most maxWideMembers. mergeItem forwards the other kinds along the ring.
func (p *Protocol) enqueueItem(it Item) {
	it.RangeEnd = 0
	// Ephemeral items are forwarded over streams and replaced within seconds. A second copy in regular messages would
	// double their bytes.
	if it.ephemeral() && len(p.table.members)+1 > maxWideMembers {
		return
	}
	p.queue.put(pendingItem(it))
	if !it.ephemeral() {
		p.startUrgent()
	}
}

func pendingItem(it Item) *pending {
	if it.ephemeral() {
		it.ExpiresUnixMs = 0 // each receiver sets its own expiry
		it.RangeEnd >>= rangeEndShift
	}
	c := &pending{key: string([]byte{'0' + it.Kind}) + it.Key, raw: encode(&Change{Item: &it}), local: it.localOnly()}
	switch it.Kind {
	case itemLoad:
		c.priority = priorityLoad
	case itemLocalUsage, itemWideUsage:
		c.priority = priorityUsage
	}
	return c
}

// forward queues an ephemeral item for the fingers between this instance and limit, each with its own range of the ring, so
// that every member receives it once. A limit equal to this instance's position means the whole ring.
func (p *Protocol) forward(it Item, limit uint64) {
	all, local := p.table.ringOrder()
	ring := all
	if it.localOnly() && len(all)+1 > maxWideMembers {
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
		p.queue.addToOutbox(f.ID, pendingItem(it))
	}
}

// sendOutboxes sends the outboxes, at most forwardsPerPeriod times per period, so that items share messages.
func (p *Protocol) sendOutboxes(now time.Time) {
	if len(p.queue.outbox) == 0 || now.Before(p.lastForward.Add(p.opt.Period/forwardsPerPeriod)) {
		return
	}
	p.lastForward = now
	p.forwardRounds++
	for _, id := range slices.Sorted(maps.Keys(p.queue.outbox)) {
		m := p.table.members[id]
		if m == nil || !m.State.Live() {
			delete(p.queue.outbox, id)
			continue
		}
		if p.queue.ready(id, p.forwardRounds%loadForwardEvery == 0) {
			p.send(m, kindGossip, now)
		}
	}
}
