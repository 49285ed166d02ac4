package gossiper

import (
	"slices"
	"strings"
	"time"
)

// watch suspects unresponsive predecessors and declares suspects dead after their time-out. A member watches its nearest
// predecessor, which sends to it each period. While that predecessor is suspected, it also probes the preceding members,
// several for each suspect. The loss of a data centre leaves long unresponsive runs in the ring and is then detected as
// fast as the loss of one member. Probing stops at the first member that responds, since that one watches the members
// before it.
func (p *Protocol) watch(now time.Time) {
	p.declareDead(now)
	all, _ := p.table.ringOrder()
	watched := map[string]time.Time{}
	suspects, unsuspected := 0, 0
	for i := len(all) - 1; i >= 0; i-- {
		m := all[i]
		from, ok := p.watchedSince[m.ID]
		if !ok {
			from = now
		}
		watched[m.ID] = from
		if p.probeOrSuspect(m, from, suspects > 0, now) {
			suspects++
			continue
		}
		unsuspected++
		if now.Sub(m.lastReceived) < chainedSuspectAfter*p.opt.Period || unsuspected > probesPerSuspect*suspects {
			break
		}
	}
	p.watchedSince = watched
}

// probeOrSuspect probes a member that has been watched since from if it is unresponsive, and suspects it after the time-out.
// It reports whether the member is suspected. A chained member precedes a suspect in the ring. It does not send to this
// instance unless probed, so it is probed at once.
func (p *Protocol) probeOrSuspect(m *member, from time.Time, chained bool, now time.Time) bool {
	if m.lastReceived.After(from) {
		from = m.lastReceived
	}
	elapsed, timeout, probeAfter := now.Sub(from), suspectAfter*p.opt.Period, (suspectAfter-1)*p.opt.Period
	if chained {
		timeout, probeAfter = chainedSuspectAfter*p.opt.Period, 0
	}
	if m.State == Alive && elapsed >= timeout {
		p.claim(m, Suspect, now)
	}
	if elapsed >= probeAfter && (m.State == Alive || !chained) && now.Sub(m.lastReceived) >= p.opt.Period {
		p.send(m, kindProbe, now)
	}
	return m.State == Suspect
}

// declareDead declares members dead that have been suspected for deadAfter periods.
func (p *Protocol) declareDead(now time.Time) {
	all, _ := p.table.ringOrder()
	for _, m := range all {
		if m.State == Suspect && now.Sub(m.stateSince) >= deadAfter*p.opt.Period {
			p.claim(m, Dead, now)
		}
	}
}

// claim records and disseminates the claim that a member has a state at its current incarnation.
func (p *Protocol) claim(m *member, s State, now time.Time) {
	r := m.Record
	r.State = s
	if err := p.merge(r, now); err != nil {
		p.events.Errors = append(p.events.Errors, err)
	}
}

// expire removes members that have been dead or left for deadMemberTTL, and expired items.
func (p *Protocol) expire(now time.Time) {
	for _, m := range p.table.members {
		if !m.State.Live() && now.Sub(m.stateSince) >= deadMemberTTL {
			if err := p.table.remove(m); err != nil {
				p.events.Errors = append(p.events.Errors, err)
			}
			p.events.MembersChanged = true
		}
	}
	for kind := range p.items {
		for key, it := range p.items[kind] {
			if it.ExpiresUnixMs <= p.nowMs {
				delete(p.items[kind], key)
				p.table.hash ^= it.digest()
				p.events.LeavingChanged = p.events.LeavingChanged || (uint8(kind) == itemLeaving && !it.Withdrawn)
			}
		}
	}
}

// sorted returns all members ordered by id, so that the output is deterministic.
func (t *MemberTable) sorted() []*member {
	out := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m)
	}
	sortMembers(out)
	return out
}

func sortMembers(ms []*member) {
	slices.SortFunc(ms, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
}
