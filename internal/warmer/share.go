package warmer

import (
	"math"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/hasher"
)

const (
	// boundFraction is the fraction of a bound that senders and rate use. The rest is for instances whose members differ.
	boundFraction = 0.75
	// rateFraction is the rate of all senders together as a fraction of what a cold target accepts. The number of senders uses the rest.
	rateFraction = 0.7
	// maxSingleRate is the rate of one sender that sends at most one request in any second, with room for requests that are delayed on
	// their way. Bounds that leave less beside the one sender allow it all the same.
	maxSingleRate = 0.9
	// handoverTime is how long an instance that becomes a sender waits, so that the one before it has noticed the change of the members
	// as well. Peers are missed or found within 2 s.
	handoverTime = 3 * time.Second
	// departureTTL is how long an instance that is not heard any more keeps its rank. It is above the duration of partitions, whose
	// sides would otherwise each use the whole bound.
	departureTTL = 10 * time.Minute
	// maxDeparted bounds the number of instances that keep their rank though they are not heard.
	maxDeparted = 300
	// unknownWait is the advised wait for a target of which no sender is known.
	unknownWait = time.Second
)

// Bounds are the bounds of the settings on requests to cold targets: in any second, a target gets at most what it accepts times Overage,
// plus Slack.
type Bounds struct {
	Overage, Slack float64
}

// Shares returns the number of senders and the rate per second of all senders together for a target that accepts perSecond requests
// while it is cold.
func (b Bounds) Shares(perSecond float64) (senders int, rate float64) {
	bound := perSecond*b.Overage + b.Slack
	rate = rateFraction * perSecond
	if n := math.Floor(boundFraction*bound - rate); n >= 1 {
		return int(min(n, math.MaxInt32)), rate
	}
	return 1, min(rate, max(boundFraction*bound-1, maxSingleRate*min(1, bound)))
}

// share is the part of this instance in the requests to a cold target.
type share struct {
	// perSecond is the number of requests per second that the target accepts while it is cold.
	perSecond float64
	rate      float64
	senders   int
	isSender  bool
	// senderFrom is when this instance may use its share after it became a sender.
	senderFrom time.Time
	// pacedFrom is when the interval before the next request begins: the last request, or when the target became cold.
	pacedFrom time.Time
}

// assign determines the share of this instance in a target. If it becomes a sender, it may send from senderFrom on; t.mu is held.
func (t *Table) assign(id string, e *entry, senderFrom time.Time) {
	wasSender := e.isSender
	e.senders, e.rate = t.bounds.Shares(e.perSecond)
	e.senders = min(e.senders, len(t.members.ids))
	e.isSender = t.members.rank(id, t.self) < e.senders
	if e.isSender && !wasSender {
		e.senderFrom = senderFrom
	}
}

// interval returns the time between two requests of a sender.
func (s *share) interval() time.Duration {
	if !(s.rate > 0) {
		return maxRemaining
	}
	return time.Duration(min(float64(max(1, s.senders))/s.rate, maxRemaining.Seconds()) * float64(time.Second))
}

// wait returns the time until this instance may send a request, or, if it is no sender, the mean time until another one may. settledAt is
// when the members can first be relied on.
func (s *share) wait(settledAt, now time.Time) time.Duration {
	switch {
	case s.senders == 0:
		return unknownWait
	case !s.isSender:
		return s.interval() / time.Duration(s.senders)
	}
	next := s.pacedFrom.Add(s.interval())
	for _, at := range []time.Time{s.senderFrom, settledAt} {
		if at.After(next) {
			next = at
		}
	}
	return next.Sub(now)
}

// members are the instances among which senders are chosen: those that are heard, and those that were until recently.
type members struct {
	ids    []string
	hashes []uint64
	// departed holds since when instances are not heard any more.
	departed map[string]time.Time
	// settledAt is handoverTime after members were first known. The first ones may be few of them.
	settledAt time.Time
}

// set applies the IDs of the instances that are heard. It reports whether the members have changed.
func (m *members) set(heard []string, self string, now time.Time) bool {
	if m.departed == nil {
		m.departed = map[string]time.Time{}
	}
	for _, id := range m.ids {
		if _, known := m.departed[id]; !known && id != self && len(m.departed) < maxDeparted {
			m.departed[id] = now
		}
	}
	for _, id := range heard {
		delete(m.departed, id)
	}
	ids := slices.Clone(heard)
	for id, since := range m.departed {
		if now.Sub(since) > departureTTL {
			delete(m.departed, id)
			continue
		}
		ids = append(ids, id)
	}
	if len(ids) > 0 && !slices.Contains(ids, self) {
		ids = append(ids, self)
	}
	slices.Sort(ids)
	if slices.Equal(ids, m.ids) {
		return false
	}
	if len(m.ids) == 0 {
		m.settledAt = now.Add(handoverTime)
	}
	m.ids, m.hashes = ids, make([]uint64, len(ids))
	for i, id := range ids {
		m.hashes[i] = hasher.Hash(id)
	}
	return true
}

// rank returns the rank of an instance in the rendezvous order of a target, as [hasher.Rank] does with hashes of the names that are
// computed once.
func (m *members) rank(target, self string) int {
	key := hasher.Hash(target)
	selfHash := hasher.Mix64(hasher.Hash(self) ^ key)
	n := 0
	for _, h := range m.hashes {
		if hasher.Mix64(h^key) > selfHash {
			n++
		}
	}
	return n
}
