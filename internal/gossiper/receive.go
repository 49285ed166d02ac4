package gossiper

import "time"

// Receive processes a message and returns the packets to send at once. It fails if the message is invalid.
func (p *Protocol) Receive(data []byte, now time.Time) ([]Packet, error) {
	if p.stopped {
		return nil, nil
	}
	msg, err := Decode(data)
	if err != nil {
		return nil, err
	}
	if msg.From.ID == p.self.ID {
		// A seed or the platform's instance list contains this instance's own address, or two instances have the same id.
		p.detectDuplicateID(msg.From)
		return p.flush(), nil
	}
	p.nowMs = now.UnixMilli()
	p.opt.Clock.Observe(stampOf(msg))
	old, known := p.table.members[msg.From.ID]
	wasLive := known && old.State.Live()
	if err := p.merge(msg.From, now); err != nil {
		return nil, err
	}
	misses := false
	for _, c := range msg.Changes {
		if err := p.mergeChange(c, now); err != nil {
			return nil, err
		}
		misses = misses || c.Coverage != nil && p.mergeCoverage(c.Coverage)
	}
	if m := p.table.members[msg.From.ID]; m != nil {
		m.lastReceived = now
		p.detectNewerConfig(m, msg.From)
		p.reply(m, msg, wasLive, now)
		if misses {
			p.sendCoverage(m, now)
		}
	}
	p.sendUrgent(now)
	p.sendOutboxes(now)
	return p.flush(), nil
}

// mergeChange merges one change from a message.
func (p *Protocol) mergeChange(c Change, now time.Time) error {
	if c.Member != nil {
		if err := p.merge(*c.Member, now); err != nil {
			return err
		}
	}
	if c.Item != nil {
		it := *c.Item
		it.RangeEnd <<= rangeEndShift
		p.mergeItem(it)
	}
	return nil
}

// merge applies a claim about a member. The newer claim wins, regardless of the order of arrival.
func (p *Protocol) merge(r Record, now time.Time) error {
	if r.ID == p.self.ID {
		p.refute(r)
		return nil
	}
	m, ok := p.table.members[r.ID]
	if !ok {
		if !r.State.Live() {
			return nil // already forgotten or never discovered here, so there is nothing to update
		}
		p.table.add(r, now)
		p.recordChange(r, true)
		return nil
	}
	p.raiseConfigVersion(m, r.ConfigVersion)
	if !r.supersedes(m.Record) {
		return nil
	}
	if err := p.table.apply(m, r, now); err != nil {
		return err
	}
	p.recordChange(m.Record, false)
	return nil
}

// recordChange disseminates a record and adds the change to the events.
func (p *Protocol) recordChange(r Record, isNew bool) {
	p.enqueueMember(r)
	p.events.MembersChanged = true
	p.events.Changes = append(p.events.Changes, MemberChange{Record: r, New: isNew})
}

// refute raises the incarnation if a claim says that this instance is not alive or has a higher incarnation.
func (p *Protocol) refute(r Record) {
	if r.Incarnation > p.self.Incarnation || (r.State != Alive && r.Incarnation == p.self.Incarnation) {
		p.raiseIncarnation(r.Incarnation)
		p.events.Refutations++
	}
}

// detectDuplicateID reports a message with this instance's own id that comes from another address.
func (p *Protocol) detectDuplicateID(r Record) {
	if r.Address != p.self.Address {
		p.events.DuplicateIDAddress = r.Address
	}
}

// detectNewerConfig reports a peer that has a newer configuration version.
func (p *Protocol) detectNewerConfig(m *member, from Record) {
	if from.ConfigVersion > p.self.ConfigVersion {
		p.events.PeersAhead = append(p.events.PeersAhead, Peer{ID: m.ID, Address: m.Address, Version: from.ConfigVersion})
	}
}

// reply sends an immediate reply to msg if one is needed: the full table, a claim that the sender has to refute, or the reply
// to a probe. It starts a sync if the sender was not live before msg, or if its table hash differs and a sync is due.
func (p *Protocol) reply(m *member, msg *Message, wasLive bool, now time.Time) {
	switch {
	case msg.Kind == kindSync:
		p.out = append(p.out, Packet{To: m.Address, ID: m.ID, Data: p.fullState(kindSyncReply), Stream: true})
	case msg.Kind == kindSyncReply:
		p.lastSync = now
	case m.State != Alive && msg.From.State == Alive && now.Sub(m.lastClaimReply) >= p.opt.Period:
		// The member has not received the claim about it; otherwise it would have raised its incarnation.
		p.send(m, kindGossip, now)
	case msg.Kind == kindProbe:
		p.send(m, kindGossip, now)
	}
	if msg.Kind >= kindSync || !m.State.Live() {
		return
	}
	revived := !wasLive && now.Sub(p.lastRevivalSync) >= p.opt.Period
	if revived {
		p.lastRevivalSync = now
	}
	syncPeriods := min(maxSyncPeriods, max(minSyncPeriods, len(p.table.members)/membersPerSyncPeriod))
	if revived || (msg.TableHash != p.table.hash && now.Sub(p.lastSync) >= time.Duration(syncPeriods)*p.opt.Period) {
		p.lastSync = now
		p.sync(m)
	}
}
