package limiter

import (
	"cmp"
	"slices"
	"time"
)

// epsilon guards divisions; a limit of an account is at least 1.
const epsilon = 1e-9

// participant is one party in the division of limits: another instance in the same data centre, or another data centre
// as a whole.
type participant struct {
	members int
	dead    bool
	// fixedUntil is the time until which the fractions of a reconnected participant remain fixed, since its current
	// demand is not in force yet.
	fixedUntil time.Time
	demands    map[string]*demandHistory
	// fixedFractions holds the fixed fractions of the limits by account; it is nil if the participant was never
	// disconnected.
	fixedFractions map[string]LimitValues
}

// SetMembers sets the list of members. This instance may be missing from it.
func (l *Limiter) SetMembers(ms []Member, now time.Time) {
	alive := map[string]bool{}
	count := map[string]int{}
	n, leader := 1, l.id
	for _, m := range ms {
		if m.ID == l.id || !m.DeadSince.IsZero() && now.Sub(m.DeadSince) >= DeadMemberTTL {
			continue
		}
		n++
		name := l.participantOf(m.ID, m.DataCentre)
		count[name]++
		if m.DeadSince.IsZero() {
			alive[name] = true
			if m.DataCentre == l.dataCentre {
				leader = min(leader, m.ID)
			}
		}
	}
	l.members, l.leader = n, leader == l.id
	l.updateParticipants(count, alive, now)
	for _, ac := range l.accounts {
		ac.shareAt = time.Time{}
	}
}

// participantOf returns the name of the participant to which a member belongs. The prefix distinguishes instances and
// data centres with the same name.
func (l *Limiter) participantOf(id, dataCentre string) string {
	if dataCentre == l.dataCentre {
		return "instance/" + id
	}
	return "dataCentre/" + dataCentre
}

// updateParticipants sets the participants from the number of members of each and from those with a live member. It
// fixes the fractions of newly disconnected ones, and advertises all demands again if any joined or reconnected.
func (l *Limiter) updateParticipants(count map[string]int, alive map[string]bool, now time.Time) {
	for name := range l.participants {
		if count[name] == 0 {
			delete(l.participants, name)
		}
	}
	joined := false
	for name, n := range count {
		if l.participants[name] == nil {
			l.participants[name] = &participant{demands: map[string]*demandHistory{}}
			joined = true
		}
		l.participants[name].members = n
	}
	// The fractions of all newly disconnected participants are computed together, from the demands of those that are
	// still connected.
	var disconnected []string
	for name, p := range l.participants {
		switch {
		case !alive[name] && !p.dead && !now.Before(p.fixedUntil):
			disconnected = append(disconnected, name)
		case alive[name] && p.dead:
			p.fixedUntil, joined = now.Add(SettleTime), true
		}
		p.dead = !alive[name]
	}
	l.fixFractions(disconnected, now)
	if joined {
		l.readvertise()
	}
}

// fixFractions sets the fixed fractions of participants that were disconnected together.
func (l *Limiter) fixFractions(disconnected []string, now time.Time) {
	if len(disconnected) == 0 {
		return
	}
	for name, fractions := range l.computeFractions(disconnected, now) {
		l.participants[name].fixedFractions = fractions
	}
}

// computeFractions returns the fixed fractions of disconnected participants for each known account.
func (l *Limiter) computeFractions(disconnected []string, now time.Time) map[string]map[string]LimitValues {
	out := make(map[string]map[string]LimitValues, len(disconnected))
	for _, name := range disconnected {
		out[name] = map[string]LimitValues{}
	}
	for a, ac := range l.accounts {
		local := ac.advertised.inForce(now).max(l.minDemand(ac, 1))
		remaining := LimitValues{1, 1, 1}
		total := local
		for name, p := range l.participants {
			switch {
			case slices.Contains(disconnected, name):
				total = total.add(l.lastDemand(p, a, ac))
			case p.isFixed(now):
				for k, f := range p.fixedFractions[a] {
					remaining[k] -= f
				}
			default:
				total = total.add(l.demandInForce(p, a, ac, now))
			}
		}
		for _, name := range disconnected {
			f := l.lastDemand(l.participants[name], a, ac)
			for k := range f {
				f[k] *= max(0, remaining[k]) / max(total[k], epsilon)
			}
			out[name][a] = f
		}
	}
	return out
}

// isFixed reports whether the participant's fractions are fixed.
func (p *participant) isFixed(now time.Time) bool {
	return p.fixedFractions != nil && (p.dead || now.Before(p.fixedUntil))
}

// lastDemand returns the last advertised demand of a participant.
func (l *Limiter) lastDemand(p *participant, name string, ac *account) LimitValues {
	if h := p.demands[name]; h != nil {
		return h.last.max(l.minDemand(ac, p.members))
	}
	return l.minDemand(ac, p.members)
}

// demandInForce returns the smallest demand that a participant advertised during the last SettleTime.
func (l *Limiter) demandInForce(p *participant, name string, ac *account, now time.Time) LimitValues {
	if h := p.demands[name]; h != nil {
		return h.inForce(now).max(l.minDemand(ac, p.members))
	}
	return l.minDemand(ac, p.members)
}

// minDemand returns the smallest demand that counts for n members.
func (l *Limiter) minDemand(ac *account, n int) LimitValues {
	return ac.limits.scale(minDemandShare * float64(n) / float64(l.members))
}

// share returns this instance's share of an account's limits. It is recomputed after shareTTL.
func (l *Limiter) share(name string, ac *account, now time.Time) LimitValues {
	if !ac.shareAt.IsZero() && now.Sub(ac.shareAt) < shareTTL {
		return ac.share
	}
	// A reconnected participant that did not detect the partition spends by its demand at once. The smaller share
	// therefore applies until SettleTime has passed.
	part := l.demandShare(name, ac, now, true).min(l.demandShare(name, ac, now, false))
	for k := range ac.share {
		ac.share[k] = ac.limits[k] * (evenShare/float64(l.members) + (1-evenShare)*part[k])
	}
	ac.shareAt = now
	return ac.share
}

// demandShare returns this instance's fraction of the part of the limits that is divided by demand. useFixed determines
// whether reconnected participants still count with their fixed fractions.
func (l *Limiter) demandShare(name string, ac *account, now time.Time, useFixed bool) LimitValues {
	local := ac.advertised.inForce(now).max(l.minDemand(ac, 1))
	total, remaining := local, LimitValues{1, 1, 1}
	for _, p := range l.participants {
		if !p.isFixed(now) || !p.dead && !useFixed {
			total = total.add(l.lastDemand(p, name, ac))
			continue
		}
		f, known := p.fixedFractions[name]
		if !known {
			// All members divide an account evenly if its demand was unknown when the participant was disconnected.
			f = LimitValues{1, 1, 1}.scale(float64(p.members) / float64(l.members))
		}
		for k := range remaining {
			remaining[k] -= f[k]
		}
	}
	for k := range local {
		local[k] *= max(0, remaining[k]) / max(total[k], epsilon)
	}
	return local
}

// sortedKeys returns the sorted keys of a map.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
