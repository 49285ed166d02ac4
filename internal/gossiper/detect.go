package gossiper

import (
	"slices"
	"strings"
	"time"
)

// watch suspects silent predecessors and declares suspects dead whose time is over. A member watches the nearest
// predecessor, which sends to it each period. While that one is suspected, it also probes those before it, several for
// each suspect, so that the loss of a whole data centre, which leaves long runs of the ring silent, is noticed as soon
// as that of one member. It stops at the first that answers, since that one watches those before it.
func (p *Protocol) watch(now time.Time) {
	p.bury(now)
	all, _ := p.table.order()
	watched := map[string]time.Time{}
	suspects, open := 0, 0
	for i := len(all) - 1; i >= 0; i-- {
		m := all[i]
		from, ok := p.watched[m.ID]
		if !ok {
			from = now
		}
		watched[m.ID] = from
		if p.silent(m, from, suspects > 0, now) {
			suspects++
			continue
		}
		open++
		if now.Sub(m.heard) < chainedAfter*p.opt.Period || open > probesPerSuspect*suspects {
			break
		}
	}
	p.watched = watched
}

// silent probes a member that is watched from a time on if it is silent, and suspects it if it is so for too long. It
// reports whether the member is suspected. A chained member is one behind a suspect: it does not send to this instance
// by itself, so it is probed at once.
func (p *Protocol) silent(m *member, from time.Time, chained bool, now time.Time) bool {
	if m.heard.After(from) {
		from = m.heard
	}
	silent, limit, probe := now.Sub(from), suspectAfter*p.opt.Period, (suspectAfter-1)*p.opt.Period
	if chained {
		limit, probe = chainedAfter*p.opt.Period, 0
	}
	if m.State == Alive && silent >= limit {
		p.claim(m, Suspect, now)
	}
	if silent >= probe && (m.State == Alive || !chained) && now.Sub(m.heard) >= p.opt.Period {
		p.send(m, kindProbe, now)
	}
	return m.State == Suspect
}

// bury declares dead whoever was suspected for too long.
func (p *Protocol) bury(now time.Time) {
	all, _ := p.table.order()
	for _, m := range all {
		if m.State == Suspect && now.Sub(m.since) >= deadAfter*p.opt.Period {
			p.claim(m, Dead, now)
		}
	}
}

// claim states something about a member at its present incarnation.
func (p *Protocol) claim(m *member, s State, now time.Time) {
	r := m.Record
	r.State = s
	if err := p.merge(r, now); err != nil {
		p.events.Errors = append(p.events.Errors, err)
	}
}

// expire forgets members that are out for long and items whose time is over.
func (p *Protocol) expire(now time.Time) {
	for _, m := range p.table.members {
		if !m.State.Live() && now.Sub(m.since) >= keepDead {
			if err := p.table.remove(m); err != nil {
				p.events.Errors = append(p.events.Errors, err)
			}
			p.events.MembersChanged = true
		}
	}
	for kind := range p.items {
		for key, it := range p.items[kind] {
			if it.ExpiresUnixMs <= p.wall {
				delete(p.items[kind], key)
				p.table.hash ^= it.digest()
				p.events.LeavingChanged = p.events.LeavingChanged || (uint8(kind) == itemLeaving && !it.Withdrawn)
			}
		}
	}
}

// sorted returns all members in the order of their ids, so that equal inputs give equal outputs.
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
