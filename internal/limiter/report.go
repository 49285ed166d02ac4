package limiter

import (
	"slices"
	"time"
)

const (
	// MaxUsages bounds the entries of one report.
	MaxUsages = 32
	// maxReportBytes bounds the encoded entries of one report. 35 instances of a data centre that send as much each
	// ReportPeriod take 2.6 KB/s of the 7 KB/s that an instance may send.
	maxReportBytes = 330
	// ReportPeriod is the shortest time between two reports.
	ReportPeriod = 5 * time.Second
	// refreshPeriod is how often an unchanged demand is advertised again, for members that lost the last report.
	// It is shorter than Settle, so that a restarted instance hears all before its own demand is in force.
	refreshPeriod = 30 * time.Second
	// changedBy is the relative change that is worth a report.
	changedBy = 0.2
	// repeats is how often a changed demand is sent, so that one of them is outside any gap of 10 s, which the
	// membership may not notice.
	repeats = 4
)

// Usage is the advertised demand of one account: of one instance, or of a whole data centre if one is named.
type Usage struct {
	Account    string
	DataCentre string
	Requests   float32
	Tokens     float32
	Streams    float32
}

func (u Usage) vector() LimitValues {
	return LimitValues{float64(u.Requests), float64(u.Tokens), float64(u.Streams)}
}

func usage(name, dataCentre string, v LimitValues) Usage {
	return Usage{
		Account: name, DataCentre: dataCentre,
		Requests: roundUp(float32(v[Requests])), Tokens: roundUp(float32(v[Tokens])), Streams: roundUp(float32(v[Streams])),
	}
}

// Report returns what is to be told to the other members now: the changed accounts, at most MaxUsages. Entries
// without a data centre are for the own data centre only; the others are sums for all.
func (l *Limiter) Report(now time.Time) []Usage {
	if !l.reportAt.IsZero() && now.Sub(l.reportAt) < ReportPeriod {
		return nil
	}
	l.reportAt = now
	var out []Usage
	var last Usage
	size := 1
	names := sorted(l.accounts)
	// The accounts after the last one of the previous report come first, so that all have their turn.
	i, _ := slices.BinarySearch(names, l.cursor+"\x00")
	for _, name := range slices.Concat(names[i:], names[:i]) {
		if len(out) > MaxUsages-2 || size+l.worstSize(name, last) > maxReportBytes {
			break
		}
		n := len(out)
		out = l.reportAccount(out, name, l.accounts[name], now)
		for _, u := range out[n:] {
			size += u.size(last)
			last = u
		}
		l.cursor = name
	}
	return out
}

// worstSize is the most that one account adds to a report: its own entry, and that of the data centre.
func (l *Limiter) worstSize(name string, last Usage) int {
	own := Usage{Account: name}
	n := own.size(last)
	if l.leader {
		n += Usage{Account: name, DataCentre: l.dataCentre}.size(own)
	}
	return n
}

// reportAccount adds up to two entries: the own demand, and the data centre's if this instance reports it.
func (l *Limiter) reportAccount(out []Usage, name string, ac *account, now time.Time) []Usage {
	floor := l.floor(ac, 1)
	// More than the whole limit cannot be had.
	v := ac.demand.vector(ac.streams, now).min(ac.limits).min(ac.own.low(now).max(floor).scale(growth))
	refresh := now.Sub(ac.sentAt) >= refreshPeriod && ac.own.last != LimitValues{}
	change := changed(ac.own.last, v, floor)
	if change {
		ac.dirty = repeats
		ac.own.set(rounded(v), now)
	}
	if ac.dirty > 0 || refresh {
		ac.sentAt = now
		ac.dirty = max(0, ac.dirty-1)
		out = append(out, usage(name, "", ac.own.last))
	}
	if !l.leader || !l.manyCentres() {
		return out
	}
	sum, n := l.centreSum(name, ac)
	if rises(ac.sum, sum, l.floor(ac, n)) || changed(ac.sum, sum, l.floor(ac, n)) {
		ac.sum, ac.dirtySum = sum, repeats
	}
	if refresh || ac.dirtySum > 0 {
		ac.dirtySum = max(0, ac.dirtySum-1)
		out = append(out, usage(name, l.dataCentre, ac.sum))
	}
	return out
}

// centreSum returns the demand of the own data centre and its number of members.
func (l *Limiter) centreSum(name string, ac *account) (LimitValues, int) {
	sum, n := ac.own.last.max(l.floor(ac, 1)), 1
	for unitName, u := range l.units {
		if isInstance(unitName) {
			sum, n = sum.add(l.last(u, name, ac)), n+1
		}
	}
	return rounded(sum), n
}

// rises reports any rise: a sum that is told too low would let other data centres spend too much.
func rises(old, v, floor LimitValues) bool {
	for k := range v {
		if v[k] > max(old[k], floor[k])*(1+1e-6) {
			return true
		}
	}
	return false
}

// rounded returns the value as the other members read it.
func rounded(v LimitValues) LimitValues { return usage("", "", v).vector() }

func isInstance(unit string) bool { return len(unit) > 9 && unit[:9] == "instance/" }

func (l *Limiter) manyCentres() bool {
	for name := range l.units {
		if !isInstance(name) {
			return true
		}
	}
	return false
}

// changed reports whether a demand differs enough to be told.
func changed(old, v, floor LimitValues) bool {
	for k := range v {
		a, b := max(old[k], floor[k]), max(v[k], floor[k])
		if b > a*(1+changedBy) || b < a*(1-changedBy) {
			return true
		}
	}
	return false
}

// readvertise sends every demand again, for members that are new or were out of reach.
func (l *Limiter) readvertise() {
	for _, ac := range l.accounts {
		if ac.own.last != (LimitValues{}) || ac.sum != (LimitValues{}) {
			ac.dirty, ac.dirtySum = repeats, repeats
		}
	}
}

// Merge takes the report of another member. What is not meant for this instance is ignored.
func (l *Limiter) Merge(from Member, us []Usage, now time.Time) {
	for _, x := range us[:min(len(us), MaxUsages)] {
		name := l.unitOf(from.ID, from.DataCentre)
		if (x.DataCentre == "") != isInstance(name) {
			continue
		}
		u := l.units[name]
		if u == nil || !validVector(x.vector()) {
			continue
		}
		t := u.demands[x.Account]
		if t == nil {
			t = new(track)
			u.demands[x.Account] = t
		}
		t.set(x.vector(), now)
	}
}

func validVector(v LimitValues) bool {
	for _, x := range v {
		if !(x >= 0 && x < 1e12) {
			return false
		}
	}
	return true
}
