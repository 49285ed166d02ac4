package gossiper

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// briefFor is how long a load report or a usage payload is kept, in periods.
const briefFor = 10

// Peer is a member with a newer configuration.
type Peer struct {
	ID, Address string
	Version     int64
}

// Changed is a record that changed; New says that the member was not known before.
type Changed struct {
	Record
	New bool
}

// Observation is an opaque body about a target or from an instance.
type Observation struct {
	Key  string
	Body []byte
}

// Events are what happened since they were last taken.
type Events struct {
	MembersChanged bool
	LeavingChanged bool
	// Changes are the records that changed, for the time line.
	Changes []Changed
	// Loads are load reports by target, Usage the usage payloads by instance.
	Loads, Usage []Observation
	// Behind are peers that have a newer configuration.
	Behind []Peer
	// Refuted counts claims against this instance that it refuted.
	Refuted int
	// Twin is the address of another instance with the same id.
	Twin   string
	Errors []error
}

// Events returns the events since the last call.
func (p *Protocol) Events() Events {
	e := p.events
	p.events = Events{}
	return e
}

// Members returns the records of all members with this instance's own, in the order of their ids.
func (p *Protocol) Members() []Record {
	out := make([]Record, 0, len(p.table.members)+1)
	self := &member{Record: p.self}
	all := append(p.table.sorted(), self)
	sortMembers(all)
	for _, m := range all {
		out = append(out, m.Record)
	}
	return out
}

// Leaving returns the targets that are marked as leaving and until when.
func (p *Protocol) Leaving() map[string]time.Time {
	out := map[string]time.Time{}
	for key, it := range p.items[itemLeaving] {
		if !it.Off && it.UntilMs > p.wall {
			out[key] = time.UnixMilli(it.UntilMs)
		}
	}
	return out
}

// Mark spreads that a target is leaving, or no longer is, until a time. A mark that is known is spread
// again only when half of its time is over.
func (p *Protocol) Mark(target string, leaving bool, until, now time.Time) {
	old, ok := p.items[itemLeaving][target]
	half := now.Add(until.Sub(now) / 2).UnixMilli()
	if (ok && old.Off == !leaving && old.UntilMs >= half) || (!ok && !leaving) {
		return
	}
	p.own(Item{Kind: itemLeaving, Key: target, UntilMs: until.UnixMilli(), Off: !leaving}, now)
}

// Report spreads the load report of a target inside the data centre.
func (p *Protocol) Report(target string, body []byte, now time.Time) error {
	return p.brief(Item{Kind: itemLoad, Key: target, Body: body}, now)
}

// Usage spreads the instance's usage payloads, the first inside the data centre and the second everywhere; nil is nothing.
func (p *Protocol) Usage(local, wide []byte, now time.Time) error {
	if local != nil {
		if err := p.brief(Item{Kind: itemUsage, Key: p.self.ID, Body: local}, now); err != nil {
			return err
		}
	}
	if wide != nil {
		return p.brief(Item{Kind: itemSum, Key: p.self.ID, Body: wide}, now)
	}
	return nil
}

func (p *Protocol) brief(it Item, now time.Time) error {
	if len(it.Body) > MaxPayloadBytes || len(it.Key) > maxNameBytes {
		return failer.New("body of %q has %d bytes, more than %d", it.Key, len(it.Body), MaxPayloadBytes)
	}
	p.own(it, now)
	return nil
}

// own stamps an item of this instance and spreads it; urgent ones are sent with the next Tick.
func (p *Protocol) own(it Item, now time.Time) {
	p.wall = now.UnixMilli()
	s := p.opt.Clock.Tick()
	it.WallMs, it.Logical = s.WallMs, s.Logical
	if it.brief() {
		it.Limit = p.table.selfPos
	}
	p.mergeItem(it)
}

// mergeItem keeps and spreads an item that is newer than the known one.
func (p *Protocol) mergeItem(it Item) {
	items := p.items[it.Kind]
	old, ok := items[it.Key]
	if ok && it.Limit != 0 && it.brief() && !old.passed && old.stamp() == it.stamp() {
		// It came with a regular message first; the part of the ring up to the limit still waits for it.
		old.passed = true
		items[it.Key] = old
		p.passOn(it, it.Limit)
		return
	}
	if it.brief() {
		it.UntilMs = p.wall + (briefFor * p.opt.Period).Milliseconds()
	}
	if (ok && !old.stamp().Before(it.stamp())) || it.UntilMs <= p.wall || (!ok && len(items) >= maxItems) {
		return
	}
	if ok {
		p.table.hash ^= old.digest()
	}
	it.passed = it.Limit != 0
	items[it.Key] = it
	p.table.hash ^= it.digest()
	p.enqueueItem(it)
	if it.brief() && it.Limit != 0 {
		p.passOn(it, it.Limit)
	}
	if it.Kind == itemLeaving {
		p.events.LeavingChanged = p.events.LeavingChanged || !ok || old.Off != it.Off
		return
	}
	o := Observation{Key: it.Key, Body: it.Body}
	switch {
	case it.Kind == itemLoad:
		p.events.Loads = append(p.events.Loads, o)
	case it.Key != p.self.ID:
		p.events.Usage = append(p.events.Usage, o)
	}
}

// SetConfig states which version this instance has; every finger learns of it in an urgent round.
func (p *Protocol) SetConfig(version int64) {
	if version <= p.self.ConfigVersion {
		return
	}
	p.self.ConfigVersion = version
	p.events.MembersChanged = true
	p.seenSent = 0
	p.startUrgent()
}

func stampOf(m *Message) recorder.Stamp { return recorder.Stamp{WallMs: m.WallMs, Logical: m.Logical} }
