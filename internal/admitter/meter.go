package admitter

import (
	"math"
	"time"
)

const (
	// meterTime is the time constant of the decayed sums; it covers a few of the longest waits at a target.
	meterTime = 10 * time.Second
	// activeRate is the part of a request below which the decayed offer counts as no demand.
	activeRate = 0.01
)

// Meter holds the decayed work of one account; it is an immutable value.
type Meter struct {
	offered, admitted, refused float64
	requests                   float64
	slack                      time.Duration
	at                         time.Time
}

// With returns the meter after one decision.
func (m Meter) With(cost float64, accepted bool, slack time.Duration, now time.Time) Meter {
	n := m.decayed(now)
	n.offered += cost
	n.requests++
	if accepted {
		n.admitted += cost
	} else {
		n.refused += cost
	}
	if slack > 0 {
		n.slack = slack
		if m.slack > 0 {
			// A quarter of the newest request follows changes within a few requests.
			n.slack = m.slack + (slack-m.slack)/4
		}
	}
	return n
}

// decayed returns the meter as it is at a later time.
func (m Meter) decayed(now time.Time) Meter {
	if m.at.IsZero() || !now.After(m.at) {
		if m.at.IsZero() {
			m.at = now
		}
		return m
	}
	f := math.Exp(-float64(now.Sub(m.at)) / float64(meterTime))
	m.offered, m.admitted, m.refused, m.requests = m.offered*f, m.admitted*f, m.refused*f, m.requests*f
	m.at = now
	return m
}

// Offered returns the account's demand in work per second.
func (m Meter) Offered(now time.Time) float64 { return m.decayed(now).offered / meterTime.Seconds() }

// Admitted returns the account's admitted work per second.
func (m Meter) Admitted(now time.Time) float64 { return m.decayed(now).admitted / meterTime.Seconds() }

// Refused returns the decayed sum of the account's refused work.
func (m Meter) Refused(now time.Time) float64 { return m.decayed(now).refused }

// Active reports whether the account had demand lately.
func (m Meter) Active(now time.Time) bool { return m.decayed(now).requests > activeRate }
