package gossiper

import "time"

// Receive takes in a message and returns the packets to send at once.
func (p *Protocol) Receive(data []byte, now time.Time) ([]Packet, error) {
	if p.stopped {
		return nil, nil
	}
	msg, err := Decode(data)
	if err != nil {
		return nil, err
	}
	if msg.From.ID == p.self.ID {
		// The platform's list or a seed named this instance itself, or two instances share an id.
		p.twin(msg.From)
		return p.flush(), nil
	}
	p.wall = now.UnixMilli()
	p.opt.Clock.Observe(stampOf(msg))
	old, known := p.table.members[msg.From.ID]
	wasLive := known && old.State.Live()
	if err := p.merge(msg.From, now); err != nil {
		return nil, err
	}
	misses := false
	for _, c := range msg.Changes {
		if err := p.change(c, now); err != nil {
			return nil, err
		}
		misses = misses || c.Coverage != nil && p.mergeSeen(c.Coverage)
	}
	if m := p.table.members[msg.From.ID]; m != nil {
		m.heard = now
		p.behind(m, msg.From)
		p.answer(m, msg, wasLive, now)
		if misses {
			p.tellSeen(m, now)
		}
	}
	p.urgent(now)
	p.deliver(now)
	return p.flush(), nil
}

// change takes in one change.
func (p *Protocol) change(c Change, now time.Time) error {
	if c.Member != nil {
		if err := p.merge(*c.Member, now); err != nil {
			return err
		}
	}
	if c.Item != nil {
		it := *c.Item
		it.RangeEnd <<= limitShift
		p.mergeItem(it)
	}
	return nil
}

// merge takes in a claim about a member; the newer claim wins, whatever the order of arrival.
func (p *Protocol) merge(r Record, now time.Time) error {
	if r.ID == p.self.ID {
		p.claimed(r)
		return nil
	}
	m, ok := p.table.members[r.ID]
	if !ok {
		if !r.State.Live() {
			return nil // forgotten here already, or never seen: nothing to undo
		}
		p.table.add(r, now)
		p.changed(r, true)
		return nil
	}
	p.sawVersion(m, r.ConfigVersion)
	if !r.newer(m.Record) {
		return nil
	}
	if err := p.table.apply(m, r, now); err != nil {
		return err
	}
	p.changed(m.Record, false)
	return nil
}

// changed spreads a record and reports the change.
func (p *Protocol) changed(r Record, isNew bool) {
	p.enqueueMember(r)
	p.events.MembersChanged = true
	p.events.Changes = append(p.events.Changes, MemberChange{Record: r, New: isNew})
}

// claimed refutes a claim that this instance is not alive.
func (p *Protocol) claimed(r Record) {
	if r.Incarnation > p.self.Incarnation || (r.State != Alive && r.Incarnation == p.self.Incarnation) {
		p.raise(r.Incarnation)
		p.events.Refutations++
	}
}

// twin handles a message that carries this instance's own id.
func (p *Protocol) twin(r Record) {
	if r.Address != p.self.Address {
		p.events.DuplicateIDAddress = r.Address
	}
}

// behind reports a peer with a newer configuration.
func (p *Protocol) behind(m *member, from Record) {
	if from.ConfigVersion > p.self.ConfigVersion {
		p.events.PeersAhead = append(p.events.PeersAhead, Peer{ID: m.ID, Address: m.Address, Version: from.ConfigVersion})
	}
}

// answer sends what the sender of a message must get at once.
func (p *Protocol) answer(m *member, msg *Message, wasLive bool, now time.Time) {
	switch {
	case msg.Kind == kindSync:
		p.out = append(p.out, Packet{To: m.Address, ID: m.ID, Data: p.fullState(kindSyncReply), Stream: true})
	case msg.Kind == kindSyncReply:
		p.lastSync = now
	case m.State != Alive && msg.From.State == Alive && now.Sub(m.answered) >= p.opt.Period:
		// It does not know of the claim yet, otherwise its incarnation would be higher.
		p.send(m, kindGossip, now)
	case msg.Kind == kindProbe:
		p.send(m, kindGossip, now)
	}
	if msg.Kind >= kindSync || !m.State.Live() {
		return
	}
	revived := !wasLive && now.Sub(p.lastForced) >= p.opt.Period
	if revived {
		p.lastForced = now
	}
	every := min(maxSyncEvery, max(minSyncEvery, len(p.table.members)/membersPerSyncPeriod))
	if revived || (msg.TableHash != p.table.hash && now.Sub(p.lastSync) >= time.Duration(every)*p.opt.Period) {
		p.lastSync = now
		p.sync(m)
	}
}
