package limiter

import (
	"slices"
	"time"
)

const (
	// MaxUsages bounds the entries of one report.
	MaxUsages = 32
	// maxReportBytes bounds the encoded size of one report. If each of the 35 instances of a data centre sends this
	// much every ReportPeriod, the reports take 2.6 KB/s of the 7 KB/s that an instance may send.
	maxReportBytes = 330
	// ReportPeriod is the shortest time between two reports.
	ReportPeriod = 5 * time.Second
	// refreshPeriod is the time after which an unchanged demand is advertised again, for members that missed the last
	// report. It is shorter than SettleTime, so that a restarted instance receives all demands before its own is in
	// force.
	refreshPeriod = 30 * time.Second
	// minRelativeChange is the relative change of a demand above which it is reported.
	minRelativeChange = 0.2
	// reportRepeats is the number of reports that contain a changed demand, so that at least one of them is sent
	// outside an interruption of 10 s, which the membership may not detect.
	reportRepeats = 4
)

// Usage is the advertised demand for one account: of one instance, or of a whole data centre if DataCentre is set.
type Usage struct {
	Account    string
	DataCentre string
	Requests   float32
	Tokens     float32
	Streams    float32
}

func (u Usage) values() LimitValues {
	return LimitValues{float64(u.Requests), float64(u.Tokens), float64(u.Streams)}
}

func newUsage(name, dataCentre string, v LimitValues) Usage {
	return Usage{
		Account: name, DataCentre: dataCentre,
		Requests: roundUp(float32(v[Requests])), Tokens: roundUp(float32(v[Tokens])), Streams: roundUp(float32(v[Streams])),
	}
}

// Report returns the entries to send to other members now: the accounts with changed demand, at most MaxUsages entries.
// It returns nil if the last report was less than ReportPeriod ago. Entries without a data centre are for members of
// the same data centre only; the others are for all members.
func (l *Limiter) Report(now time.Time) []Usage {
	if !l.lastReportAt.IsZero() && now.Sub(l.lastReportAt) < ReportPeriod {
		return nil
	}
	l.lastReportAt = now
	var out []Usage
	var previous Usage
	size := 1
	names := sortedKeys(l.accounts)
	// Start after the last account of the previous report, so that all accounts are reported in turn.
	i, _ := slices.BinarySearch(names, l.cursor+"\x00")
	for _, name := range slices.Concat(names[i:], names[:i]) {
		if len(out) > MaxUsages-2 || size+l.maxSize(name, previous) > maxReportBytes {
			break
		}
		n := len(out)
		out = l.reportAccount(out, name, l.accounts[name], now)
		for _, u := range out[n:] {
			size += u.size(previous)
			previous = u
		}
		l.cursor = name
	}
	return out
}

// maxSize returns the largest encoded size of one account's entries: that of this instance and that of the data centre.
func (l *Limiter) maxSize(name string, previous Usage) int {
	entry := Usage{Account: name}
	n := entry.size(previous)
	if l.leader {
		n += Usage{Account: name, DataCentre: l.dataCentre}.size(entry)
	}
	return n
}

// reportAccount appends up to two entries: the demand of this instance, and that of the data centre if this instance
// reports it.
func (l *Limiter) reportAccount(out []Usage, name string, ac *account, now time.Time) []Usage {
	floor := l.minDemand(ac, 1)
	// No member can be granted more than the whole limit, so the demand is capped at it.
	v := ac.demand.values(ac.streams, now).min(ac.limits).min(ac.advertised.inForce(now).max(floor).scale(maxDemandGrowth))
	refresh := now.Sub(ac.sentAt) >= refreshPeriod && ac.advertised.last != LimitValues{}
	change := changed(ac.advertised.last, v, floor)
	if change {
		ac.pendingReports = reportRepeats
		ac.advertised.record(rounded(v), now)
	}
	if ac.pendingReports > 0 || refresh {
		ac.sentAt = now
		ac.pendingReports = max(0, ac.pendingReports-1)
		out = append(out, newUsage(name, "", ac.advertised.last))
	}
	if !l.leader || !l.multipleCentres() {
		return out
	}
	sum, n := l.sumCentreDemand(name, ac)
	if anyHigher(ac.centreDemand, sum, l.minDemand(ac, n)) || changed(ac.centreDemand, sum, l.minDemand(ac, n)) {
		ac.centreDemand, ac.pendingCentreReports = sum, reportRepeats
	}
	if refresh || ac.pendingCentreReports > 0 {
		ac.pendingCentreReports = max(0, ac.pendingCentreReports-1)
		out = append(out, newUsage(name, l.dataCentre, ac.centreDemand))
	}
	return out
}

// sumCentreDemand returns the demand of this data centre and the number of its members.
func (l *Limiter) sumCentreDemand(name string, ac *account) (LimitValues, int) {
	sum, n := ac.advertised.last.max(l.minDemand(ac, 1)), 1
	for id, p := range l.participants {
		if isInstance(id) {
			sum, n = sum.add(l.lastDemand(p, name, ac)), n+1
		}
	}
	return rounded(sum), n
}

// anyHigher reports whether any value has risen, by however little: a data centre's demand that is reported too low
// would let other data centres spend too much.
func anyHigher(old, v, floor LimitValues) bool {
	for k := range v {
		if v[k] > max(old[k], floor[k])*(1+1e-6) {
			return true
		}
	}
	return false
}

// rounded returns the values as other members decode them.
func rounded(v LimitValues) LimitValues { return newUsage("", "", v).values() }

func isInstance(id string) bool { return len(id) > 9 && id[:9] == "instance/" }

func (l *Limiter) multipleCentres() bool {
	for name := range l.participants {
		if !isInstance(name) {
			return true
		}
	}
	return false
}

// changed reports whether a demand has changed enough to be reported.
func changed(old, v, floor LimitValues) bool {
	for k := range v {
		a, b := max(old[k], floor[k]), max(v[k], floor[k])
		if b > a*(1+minRelativeChange) || b < a*(1-minRelativeChange) {
			return true
		}
	}
	return false
}

// readvertise schedules all demands to be reported again, for members that are new or were unreachable.
func (l *Limiter) readvertise() {
	for _, ac := range l.accounts {
		if ac.advertised.last != (LimitValues{}) || ac.centreDemand != (LimitValues{}) {
			ac.pendingReports, ac.pendingCentreReports = reportRepeats, reportRepeats
		}
	}
}

// Merge applies a report of another member. Invalid entries, and those not meant for this instance, are ignored.
func (l *Limiter) Merge(from Member, usages []Usage, now time.Time) {
	for _, u := range usages[:min(len(usages), MaxUsages)] {
		name := l.participantOf(from.ID, from.DataCentre)
		if (u.DataCentre == "") != isInstance(name) {
			continue
		}
		p := l.participants[name]
		if p == nil || !valid(u.values()) {
			continue
		}
		h := p.demands[u.Account]
		if h == nil {
			h = new(demandHistory)
			p.demands[u.Account] = h
		}
		h.record(u.values(), now)
	}
}

func valid(v LimitValues) bool {
	for _, x := range v {
		if !(x >= 0 && x < 1e12) {
			return false
		}
	}
	return true
}
