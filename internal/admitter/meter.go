package admitter

import (
	"math"
	"time"
)

const (
	// meterTimeConstant is the time constant of the decayed sums. It covers several times the longest queue delay at a target.
	meterTimeConstant = 10 * time.Second
	// minActiveRequests is the decayed number of requests below which an account counts as inactive.
	minActiveRequests = 0.01
)

// Meter holds exponentially decayed sums of the work that one account offered and that was admitted or refused. It is an
// immutable value; the zero value is an empty meter.
type Meter struct {
	offered, admitted, refused float64
	// requests is the decayed number of requests.
	requests float64
	// slack is a moving average of the queue delay that the first-token target allows; 0 if it is unknown.
	slack time.Duration
	// at is the time to which the sums are decayed.
	at time.Time
}

// With returns the meter after one decision; slack is the queue delay that the first-token target allows.
func (m Meter) With(cost float64, isAdmitted bool, slack time.Duration, now time.Time) Meter {
	n := m.decayed(now)
	n.offered += cost
	n.requests++
	if isAdmitted {
		n.admitted += cost
	} else {
		n.refused += cost
	}
	if slack > 0 {
		n.slack = slack
		if m.slack > 0 {
			// A weight of a quarter for the new value makes the average follow changes within a few requests.
			n.slack = m.slack + (slack-m.slack)/4
		}
	}
	return n
}

// decayed returns the meter decayed to a later time.
func (m Meter) decayed(now time.Time) Meter {
	if m.at.IsZero() || !now.After(m.at) {
		if m.at.IsZero() {
			m.at = now
		}
		return m
	}
	f := math.Exp(-float64(now.Sub(m.at)) / float64(meterTimeConstant))
	m.offered, m.admitted, m.refused, m.requests = m.offered*f, m.admitted*f, m.refused*f, m.requests*f
	m.at = now
	return m
}

// Offered returns the rate of work that the account requested, per second.
func (m Meter) Offered(now time.Time) float64 {
	return m.decayed(now).offered / meterTimeConstant.Seconds()
}

// Admitted returns the rate of work that was admitted for the account, per second.
func (m Meter) Admitted(now time.Time) float64 {
	return m.decayed(now).admitted / meterTimeConstant.Seconds()
}

// Refused returns the decayed sum of the account's refused work.
func (m Meter) Refused(now time.Time) float64 { return m.decayed(now).refused }

// Active reports whether the account had demand recently.
func (m Meter) Active(now time.Time) bool { return m.decayed(now).requests > minActiveRequests }
