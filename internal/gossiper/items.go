package gossiper

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// ephemeralTTLPeriods is the time to live of a load report or a usage payload, in periods.
const ephemeralTTLPeriods = 10

// Peer is a member that has a newer configuration version.
type Peer struct {
	ID, Address string
	Version     int64
}

// MemberChange is a record that changed. New reports whether the member was just discovered.
type MemberChange struct {
	Record
	New bool
}

// Observation is an opaque body. Key is the target that a load report describes or the instance that sent a payload.
type Observation struct {
	Key  string
	Body []byte
}

// Events are the events since the previous call of [Protocol.Events].
type Events struct {
	// MembersChanged reports whether another member's record or the configuration version of this instance changed.
	MembersChanged bool
	// LeavingChanged reports whether a mark of a leaving target was set, withdrawn or has expired.
	LeavingChanged bool
	// Changes are the records that changed, in order, for the log and the event recorder.
	Changes []MemberChange
	// LoadReports are received load reports by target, UsagePayloads received payloads by instance.
	LoadReports, UsagePayloads []Observation
	// PeersAhead are peers that have a newer configuration version than this instance.
	PeersAhead []Peer
	// Refutations counts claims against this instance that it refuted.
	Refutations int
	// DuplicateIDAddress is the address of another instance with the same id, or empty.
	DuplicateIDAddress string
	// Errors are state transitions of members that the state chart does not allow.
	Errors []error
}

// Events returns the events since the previous call.
func (p *Protocol) Events() Events {
	e := p.events
	p.events = Events{}
	return e
}

// Members returns the records of all members including this instance, ordered by id.
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

// LeavingTargets returns the targets that are marked as leaving, with the time at which each mark expires.
func (p *Protocol) LeavingTargets() map[string]time.Time {
	out := map[string]time.Time{}
	for key, it := range p.items[itemLeaving] {
		if !it.Withdrawn && it.ExpiresUnixMs > p.nowMs {
			out[key] = time.UnixMilli(it.ExpiresUnixMs)
		}
	}
	return out
}

// SetTargetLeaving disseminates that a target is leaving, or no longer leaving, until the given time. An existing mark is
// renewed only when less than half of the new term remains.
func (p *Protocol) SetTargetLeaving(target string, leaving bool, until, now time.Time) {
	old, ok := p.items[itemLeaving][target]
	half := now.Add(until.Sub(now) / 2).UnixMilli()
	if (ok && old.Withdrawn == !leaving && old.ExpiresUnixMs >= half) || (!ok && !leaving) {
		return
	}
	p.publish(Item{Kind: itemLeaving, Key: target, ExpiresUnixMs: until.UnixMilli(), Withdrawn: !leaving}, now)
}

// BroadcastLoad disseminates the load report of a target in the data centre. It fails if the body is longer than
// [MaxPayloadBytes] or the target id is longer than maxNameBytes.
func (p *Protocol) BroadcastLoad(target string, body []byte, now time.Time) error {
	return p.publishEphemeral(Item{Kind: itemLoad, Key: target, Body: body}, now)
}

// BroadcastUsage disseminates the usage payloads of this instance: local in its data centre, wide to all instances. A nil
// payload is skipped. It fails if a payload is longer than [MaxPayloadBytes].
func (p *Protocol) BroadcastUsage(local, wide []byte, now time.Time) error {
	if local != nil {
		if err := p.publishEphemeral(Item{Kind: itemLocalUsage, Key: p.self.ID, Body: local}, now); err != nil {
			return err
		}
	}
	if wide != nil {
		return p.publishEphemeral(Item{Kind: itemWideUsage, Key: p.self.ID, Body: wide}, now)
	}
	return nil
}

func (p *Protocol) publishEphemeral(it Item, now time.Time) error {
	if len(it.Body) > MaxPayloadBytes || len(it.Key) > maxNameBytes {
		return failer.New("item %.40q too long: got a key of %d bytes (maximum %d) and a body of %d bytes (maximum %d)",
			it.Key, len(it.Key), maxNameBytes, len(it.Body), MaxPayloadBytes)
	}
	p.publish(it, now)
	return nil
}

// publish stamps an item of this instance and disseminates it. An urgent item is sent by the next Tick.
func (p *Protocol) publish(it Item, now time.Time) {
	p.nowMs = now.UnixMilli()
	s := p.opt.Clock.Tick()
	it.WallMs, it.Logical = s.WallMs, s.Logical
	if it.ephemeral() {
		it.RangeEnd = p.table.selfPos
	}
	p.mergeItem(it)
}

// mergeItem stores and disseminates an item that is newer than the stored one.
func (p *Protocol) mergeItem(it Item) {
	items := p.items[it.Kind]
	old, ok := items[it.Key]
	if ok && it.RangeEnd != 0 && it.ephemeral() && !old.forwarded && old.stamp() == it.stamp() {
		// The item arrived in a regular message first, so it was not yet forwarded to the ring range of this copy.
		old.forwarded = true
		items[it.Key] = old
		p.forward(it, it.RangeEnd)
		return
	}
	if it.ephemeral() {
		it.ExpiresUnixMs = p.nowMs + (ephemeralTTLPeriods * p.opt.Period).Milliseconds()
	}
	if (ok && !old.stamp().Before(it.stamp())) || it.ExpiresUnixMs <= p.nowMs || (!ok && len(items) >= maxItems) {
		return
	}
	if ok {
		p.table.hash ^= old.digest()
	}
	it.forwarded = it.RangeEnd != 0
	items[it.Key] = it
	p.table.hash ^= it.digest()
	p.enqueueItem(it)
	if it.ephemeral() && it.RangeEnd != 0 {
		p.forward(it, it.RangeEnd)
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

// SetConfig sets the configuration version of this instance and sends it to every finger in urgent rounds. A version that is
// not newer than the current one is ignored.
func (p *Protocol) SetConfig(version int64) {
	if version <= p.self.ConfigVersion {
		return
	}
	p.self.ConfigVersion = version
	p.events.MembersChanged = true
	p.coverageSent = 0
	p.startUrgent()
}

func stampOf(m *Message) recorder.Stamp { return recorder.Stamp{WallMs: m.WallMs, Logical: m.Logical} }
