package gossiper

import (
	"slices"
	"strings"
	"time"
)

// watch suspects silent predecessors and declares suspects dead whose time is over.
func (p *Protocol) watch(now time.Time) {
	p.bury(now)
	all, _ := p.table.order()
	watched := map[string]time.Time{}
	for i := len(all) - 1; i >= 0; i-- {
		m := all[i]
		from, ok := p.watched[m.ID]
		if !ok {
			from = now
		}
		watched[m.ID] = from
		if m.heard.After(from) {
			from = m.heard
		}
		silent := now.Sub(from)
		if silent >= (suspectAfter-1)*p.opt.Period {
			p.send(m, kindProbe, now)
		}
		if m.State == Alive && silent >= suspectAfter*p.opt.Period {
			p.claim(m, Suspect, now)
		}
		if m.State == Alive {
			break // this one watches those before it
		}
	}
	p.watched = watched
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
			if it.UntilMs <= p.wall {
				delete(p.items[kind], key)
				p.table.hash ^= it.digest()
				p.events.LeavingChanged = p.events.LeavingChanged || (uint8(kind) == itemLeaving && !it.Off)
			}
		}
	}
}

// sorted returns all members in the order of their ids, so that equal inputs give equal outputs.
func (t *Table) sorted() []*member {
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
