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

// MemberChange is a record that changed; New says that the member was not known before.
type MemberChange struct {
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
	Changes []MemberChange
	// LoadReports are load reports by target, Usage the usage payloads by instance.
	LoadReports, UsagePayloads []Observation
	// PeersAhead are peers that have a newer configuration.
	PeersAhead []Peer
	// Refutations counts claims against this instance that it refuted.
	Refutations int
	// DuplicateIDAddress is the address of another instance with the same id.
	DuplicateIDAddress string
	Errors             []error
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

// LeavingTargets returns the targets that are marked as leaving and until when.
func (p *Protocol) LeavingTargets() map[string]time.Time {
	out := map[string]time.Time{}
	for key, it := range p.items[itemLeaving] {
		if !it.Withdrawn && it.ExpiresUnixMs > p.wall {
			out[key] = time.UnixMilli(it.ExpiresUnixMs)
		}
	}
	return out
}

// SetTargetLeaving spreads that a target is leaving, or no longer is, until a time. A mark that is known is spread
// again only when half of its time is over.
func (p *Protocol) SetTargetLeaving(target string, leaving bool, until, now time.Time) {
	old, ok := p.items[itemLeaving][target]
	half := now.Add(until.Sub(now) / 2).UnixMilli()
	if (ok && old.Withdrawn == !leaving && old.ExpiresUnixMs >= half) || (!ok && !leaving) {
		return
	}
	p.own(Item{Kind: itemLeaving, Key: target, ExpiresUnixMs: until.UnixMilli(), Withdrawn: !leaving}, now)
}

// BroadcastLoad spreads the load report of a target inside the data centre.
func (p *Protocol) BroadcastLoad(target string, body []byte, now time.Time) error {
	return p.brief(Item{Kind: itemLoad, Key: target, Body: body}, now)
}

// BroadcastUsage spreads the instance's usage payloads, the first inside the data centre and the second everywhere; nil is nothing.
func (p *Protocol) BroadcastUsage(local, wide []byte, now time.Time) error {
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
		it.RangeEnd = p.table.selfPos
	}
	p.mergeItem(it)
}

// mergeItem keeps and spreads an item that is newer than the known one.
func (p *Protocol) mergeItem(it Item) {
	items := p.items[it.Kind]
	old, ok := items[it.Key]
	if ok && it.RangeEnd != 0 && it.brief() && !old.passed && old.stamp() == it.stamp() {
		// It came with a regular message first; the part of the ring up to the limit still waits for it.
		old.passed = true
		items[it.Key] = old
		p.passOn(it, it.RangeEnd)
		return
	}
	if it.brief() {
		it.ExpiresUnixMs = p.wall + (briefFor * p.opt.Period).Milliseconds()
	}
	if (ok && !old.stamp().Before(it.stamp())) || it.ExpiresUnixMs <= p.wall || (!ok && len(items) >= maxItems) {
		return
	}
	if ok {
		p.table.hash ^= old.digest()
	}
	it.passed = it.RangeEnd != 0
	items[it.Key] = it
	p.table.hash ^= it.digest()
	p.enqueueItem(it)
	if it.brief() && it.RangeEnd != 0 {
		p.passOn(it, it.RangeEnd)
	}
	if it.Kind == itemLeaving {
		p.events.LeavingChanged = p.events.LeavingChanged || !ok || old.Withdrawn != it.Withdrawn
		return
	}
	o := Observation{Key: it.Key, Body: it.Body}
	switch {
	case it.Kind == itemLoad:
		p.events.LoadReports = append(p.events.LoadReports, o)
	case it.Key != p.self.ID:
		p.events.UsagePayloads = append(p.events.UsagePayloads, o)
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
