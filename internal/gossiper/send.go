package gossiper

import (
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
	n, nLocal := len(p.table.ring)+1, len(p.table.local)+1
	inScope := func(scope string) bool { return scope == "" || scope == m.DataCentre || n <= wideMembers }
	e.Changes = append(e.Changes, p.queue.take(size, inScope, 3*log2(n), log2(nLocal)+1)...)
	p.out = append(p.out, Packet{To: m.Address, ID: m.ID, Data: encode(&e)})
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
	p.queue.put(&pending{key: "m" + r.ID, raw: raw, urgent: true})
	p.startUrgent()
}

// enqueueItem spreads an item; only leaving targets are urgent.
func (p *Protocol) enqueueItem(it Item) {
	raw := msgpack.RawMessage(encode(&Change{Item: &it}))
	key := string([]byte{'0' + it.Kind}) + it.Key
	urgent := it.Kind == itemLeaving
	p.queue.put(&pending{key: key, raw: raw, scope: it.Scope, urgent: urgent, brief: !urgent})
	if urgent {
		p.startUrgent()
	}
}
