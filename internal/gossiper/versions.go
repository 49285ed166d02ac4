package gossiper

import "time"

// ConfigCoverage states which live members have the newest configuration version. For 420 members it takes 80 bytes, while their
// records would take 25 KB for each change of the configuration.
type ConfigCoverage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Version int64
	// RingHash is the hash of the sender's live members. The bitmap is valid only for a receiver with the same hash.
	RingHash uint64
	// Bitmap has a bit for each live member, ordered by ring position.
	Bitmap []byte
}

// coverageRepeatPeriods is the interval, in periods, at which an instance repeats an incomplete coverage.
const coverageRepeatPeriods = 5

// configVersionOf returns the configuration version of a member of byPosition, where nil is this instance.
func (p *Protocol) configVersionOf(m *member) int64 {
	if m == nil {
		return p.self.ConfigVersion
	}
	return m.ConfigVersion
}

// coverage returns which members have the newest configuration version, and whether all have it. c is nil if there is no
// version.
func (p *Protocol) coverage() (c *ConfigCoverage, complete bool) {
	p.table.ringOrder()
	c = &ConfigCoverage{RingHash: p.table.ringHash, Bitmap: make([]byte, (len(p.table.byPosition)+7)/8)}
	for _, m := range p.table.byPosition {
		c.Version = max(c.Version, p.configVersionOf(m))
	}
	if c.Version == 0 {
		return nil, true
	}
	complete = true
	for i, m := range p.table.byPosition {
		if p.configVersionOf(m) >= c.Version {
			c.Bitmap[i/8] |= 1 << (i % 8)
		} else {
			complete = false
		}
	}
	return c, complete
}

// coverageToSend returns the coverage to add to a message, or nil. It is sent while it is new, in a reply, and every
// coverageRepeatPeriods while it is incomplete.
func (p *Protocol) coverageToSend() *ConfigCoverage {
	if p.coverageLimitReached() && !p.replyCoverage && p.periods%coverageRepeatPeriods != 0 {
		return nil
	}
	c, complete := p.coverage()
	if c == nil || (complete && p.coverageLimitReached() && !p.replyCoverage) {
		return nil
	}
	p.coverageSent++
	return c
}

// coverageLimitReached reports whether the coverage has been sent as often as a change is sent at most.
func (p *Protocol) coverageLimitReached() bool { return p.coverageSent >= 3*log2(len(p.table.ring)+1) }

// raiseConfigVersion records that a member has a configuration version and disseminates this if it is new.
func (p *Protocol) raiseConfigVersion(m *member, version int64) {
	if version <= m.ConfigVersion {
		return
	}
	m.ConfigVersion = version
	p.events.MembersChanged = true
	p.coverageSent = 0
	if p.queue.urgentRounds == 0 {
		p.startUrgent()
	}
}

// mergeCoverage merges the coverage of another instance and reports whether that instance lacks a version known here.
func (p *Protocol) mergeCoverage(in *ConfigCoverage) (misses bool) {
	p.table.ringOrder()
	if in.RingHash != p.table.ringHash || len(in.Bitmap) != (len(p.table.byPosition)+7)/8 {
		return false // the member tables differ; a sync will reconcile them
	}
	for i, m := range p.table.byPosition {
		has := in.Bitmap[i/8]&(1<<(i%8)) != 0
		if has && m != nil {
			p.raiseConfigVersion(m, in.Version)
		}
		misses = misses || p.configVersionOf(m) > in.Version || (!has && p.configVersionOf(m) == in.Version)
	}
	return misses
}

// sendCoverage sends the coverage to a member that lacks versions, unless regular messages still carry it.
func (p *Protocol) sendCoverage(m *member, now time.Time) {
	if !p.coverageLimitReached() || now.Sub(m.lastCoverageReply) < p.opt.Period {
		return
	}
	m.lastCoverageReply, p.replyCoverage = now, true
	p.send(m, kindGossip, now)
	p.replyCoverage = false
}
