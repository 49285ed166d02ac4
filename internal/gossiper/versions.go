package gossiper

import "time"

// ConfigCoverage states which live members have a configuration version. At 420 members it has 80 bytes; the records of the
// members would have 25 KB for each change of the configuration.
type ConfigCoverage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Version int64
	// RingHash is the hash of the live members, without which the bits have no meaning.
	RingHash uint64
	// Bitmap has a bit for each live member in the order of positions.
	Bitmap []byte
}

// repeatSeen is how often, in periods, an instance that misses members' versions says so.
const repeatSeen = 5

// configOf returns the version of a member in the order of positions, where nil stands for this instance.
func (p *Protocol) configOf(m *member) int64 {
	if m == nil {
		return p.self.ConfigVersion
	}
	return m.ConfigVersion
}

// seen returns which members have the newest version, and whether all have it; nil if there is none.
func (p *Protocol) seen() (s *ConfigCoverage, complete bool) {
	p.table.order()
	s = &ConfigCoverage{RingHash: p.table.ringHash, Bitmap: make([]byte, (len(p.table.placed)+7)/8)}
	for _, m := range p.table.placed {
		s.Version = max(s.Version, p.configOf(m))
	}
	if s.Version == 0 {
		return nil, true
	}
	complete = true
	for i, m := range p.table.placed {
		if p.configOf(m) >= s.Version {
			s.Bitmap[i/8] |= 1 << (i % 8)
		} else {
			complete = false
		}
	}
	return s, complete
}

// seenChange returns the change to add to a message: while what is known is new, and now and then while it is incomplete.
func (p *Protocol) seenChange() *ConfigCoverage {
	if p.seenQuiet() && !p.answerSeen && p.periods%repeatSeen != 0 {
		return nil
	}
	s, complete := p.seen()
	if s == nil || (complete && p.seenQuiet() && !p.answerSeen) {
		return nil
	}
	p.seenSent++
	return s
}

// seenQuiet reports whether what is known was sent often enough.
func (p *Protocol) seenQuiet() bool { return p.seenSent >= 3*log2(len(p.table.ring)+1) }

// sawVersion notes that a member has a version and spreads it if that is new.
func (p *Protocol) sawVersion(m *member, version int64) {
	if version <= m.ConfigVersion {
		return
	}
	m.ConfigVersion = version
	p.events.MembersChanged = true
	p.seenSent = 0
	if p.queue.urgentRounds == 0 {
		p.startUrgent()
	}
}

// mergeSeen takes in what another instance knows and reports whether it misses something that is known here.
func (p *Protocol) mergeSeen(in *ConfigCoverage) (misses bool) {
	p.table.order()
	if in.RingHash != p.table.ringHash || len(in.Bitmap) != (len(p.table.placed)+7)/8 {
		return false // a sync brings the records of both together
	}
	for i, m := range p.table.placed {
		has := in.Bitmap[i/8]&(1<<(i%8)) != 0
		if has && m != nil {
			p.sawVersion(m, in.Version)
		}
		misses = misses || p.configOf(m) > in.Version || (!has && p.configOf(m) == in.Version)
	}
	return misses
}

// tellSeen answers a member that misses versions, unless it learns of them from the messages to all.
func (p *Protocol) tellSeen(m *member, now time.Time) {
	if !p.seenQuiet() || now.Sub(m.told) < p.opt.Period {
		return
	}
	m.told, p.answerSeen = now, true
	p.send(m, kindGossip, now)
	p.answerSeen = false
}
