package limiter

import (
	"cmp"
	"slices"
	"time"
)

// tiny guards divisions; a limit of an account is at least 1.
const tiny = 1e-9

// unit is another instance of the own data centre, or another data centre as a whole.
type unit struct {
	members int
	dead    bool
	// keepUntil: the fixed fractions of a unit that is back stay in force until its demand is known again.
	keepUntil time.Time
	demands   map[string]*track
	fixed     map[string]LimitValues
}

// SetMembers takes the list of members. The own instance may be missing from it.
func (l *Limiter) SetMembers(ms []Member, now time.Time) {
	alive := map[string]bool{}
	count := map[string]int{}
	n, leader := 1, l.id
	for _, m := range ms {
		if m.ID == l.id || !m.DeadSince.IsZero() && now.Sub(m.DeadSince) >= DeadMemberTTL {
			continue
		}
		n++
		name := l.unitOf(m.ID, m.DataCentre)
		count[name]++
		if m.DeadSince.IsZero() {
			alive[name] = true
			if m.DataCentre == l.dataCentre {
				leader = min(leader, m.ID)
			}
		}
	}
	l.members, l.leader = n, leader == l.id
	l.updateUnits(count, alive, now)
	for _, ac := range l.accounts {
		ac.shareAt = time.Time{}
	}
}

// unitOf names the unit of a member; the prefix keeps instances and data centres of the same name apart.
func (l *Limiter) unitOf(id, dataCentre string) string {
	if dataCentre == l.dataCentre {
		return "instance/" + id
	}
	return "dataCentre/" + dataCentre
}

func (l *Limiter) updateUnits(count map[string]int, alive map[string]bool, now time.Time) {
	for name := range l.units {
		if count[name] == 0 {
			delete(l.units, name)
		}
	}
	fresh := false
	for name, n := range count {
		if l.units[name] == nil {
			l.units[name] = &unit{demands: map[string]*track{}}
			fresh = true
		}
		l.units[name].members = n
	}
	// Fractions are fixed before any unit changes, with the demands of those that are still connected.
	var lost []string
	for name, u := range l.units {
		switch {
		case !alive[name] && !u.dead && !now.Before(u.keepUntil):
			lost = append(lost, name)
		case alive[name] && u.dead:
			u.keepUntil, fresh = now.Add(SettleTime), true
		}
		u.dead = !alive[name]
	}
	l.fix(lost, now)
	if fresh {
		l.readvertise()
	}
}

// fix sets the fractions of units that were lost together.
func (l *Limiter) fix(lost []string, now time.Time) {
	if len(lost) == 0 {
		return
	}
	for name, fractions := range l.fractions(lost, now) {
		l.units[name].fixed = fractions
	}
}

// fractions returns the fixed fraction of each lost unit for each account that this instance knows.
func (l *Limiter) fractions(lost []string, now time.Time) map[string]map[string]LimitValues {
	out := make(map[string]map[string]LimitValues, len(lost))
	for _, name := range lost {
		out[name] = map[string]LimitValues{}
	}
	for a, ac := range l.accounts {
		own := ac.own.low(now).max(l.floor(ac, 1))
		free := LimitValues{1, 1, 1}
		all := own
		for name, u := range l.units {
			switch {
			case slices.Contains(lost, name):
				all = all.add(l.last(u, a, ac))
			case u.isFixed(now):
				for k, f := range u.fixed[a] {
					free[k] -= f
				}
			default:
				all = all.add(l.low(u, a, ac, now))
			}
		}
		for _, name := range lost {
			f := l.last(l.units[name], a, ac)
			for k := range f {
				f[k] *= max(0, free[k]) / max(all[k], tiny)
			}
			out[name][a] = f
		}
	}
	return out
}

// isFixed reports whether the unit has a fixed fraction.
func (u *unit) isFixed(now time.Time) bool {
	return u.fixed != nil && (u.dead || now.Before(u.keepUntil))
}

// last returns the last advertised demand of a unit, low the smallest of the last Settle.
func (l *Limiter) last(u *unit, name string, ac *account) LimitValues {
	if t := u.demands[name]; t != nil {
		return t.last.max(l.floor(ac, u.members))
	}
	return l.floor(ac, u.members)
}

func (l *Limiter) low(u *unit, name string, ac *account, now time.Time) LimitValues {
	if t := u.demands[name]; t != nil {
		return t.low(now).max(l.floor(ac, u.members))
	}
	return l.floor(ac, u.members)
}

// floor returns the least demand that n members count with.
func (l *Limiter) floor(ac *account, n int) LimitValues {
	return ac.limits.scale(floorPart * float64(n) / float64(l.members))
}

// share returns the parts of the limits, computed anew after shareLife.
func (l *Limiter) share(name string, ac *account, now time.Time) LimitValues {
	if !ac.shareAt.IsZero() && now.Sub(ac.shareAt) < shareLife {
		return ac.share
	}
	// A unit that is back may not have noticed the break and then spends by its demand at once. So the smaller part
	// counts until both sides are settled.
	part := l.part(name, ac, now, true).min(l.part(name, ac, now, false))
	for k := range ac.share {
		ac.share[k] = ac.limits[k] * (evenPart/float64(l.members) + (1-evenPart)*part[k])
	}
	ac.shareAt = now
	return ac.share
}

// part returns this instance's part of what is divided by demand; settling tells whether units that are back still
// count with their fixed fractions.
func (l *Limiter) part(name string, ac *account, now time.Time, settling bool) LimitValues {
	own := ac.own.low(now).max(l.floor(ac, 1))
	all, free := own, LimitValues{1, 1, 1}
	for _, u := range l.units {
		if !u.isFixed(now) || !u.dead && !settling {
			all = all.add(l.last(u, name, ac))
			continue
		}
		f, known := u.fixed[name]
		if !known {
			// Every member divides an account without known demand evenly.
			f = LimitValues{1, 1, 1}.scale(float64(u.members) / float64(l.members))
		}
		for k := range free {
			free[k] -= f[k]
		}
	}
	for k := range own {
		own[k] *= max(0, free[k]) / max(all[k], tiny)
	}
	return own
}

// sorted returns the keys of a map in order.
func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
