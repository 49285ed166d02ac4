package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is the demand of one active account; the rates are in work per second.
type Demand struct {
	Share    int
	Offered  float64
	Admitted float64
	// Slack is the queue delay that the account's first-token target allows; 0 if it is unknown.
	Slack time.Duration
}

// FairShare is the max-min fair allocation of the capacity at one time.
type FairShare struct {
	// RatePerShare is the fair rate of work per second for each unit of share; infinite if all demand can be met.
	RatePerShare float64
	// Slack is the shortest queue delay that the first-token target of any active account allows; 0 if none is known.
	Slack time.Duration
}

// slackOrMax returns the slack, or the longest duration if none is known.
func (f FairShare) slackOrMax() time.Duration {
	if f.Slack <= 0 {
		return math.MaxInt64
	}
	return f.Slack
}

// NewFairShare divides the capacity between the accounts. Recently admitted work per second stands for the capacity,
// which it equals under overload.
func NewFairShare(ds []Demand) FairShare {
	f := FairShare{RatePerShare: math.Inf(1)}
	ds = slices.Clone(ds)
	capacity, weight := 0.0, 0.0
	for _, d := range ds {
		capacity += d.Admitted
		weight += float64(max(1, d.Share))
		if d.Slack > 0 && (f.Slack == 0 || d.Slack < f.Slack) {
			f.Slack = d.Slack
		}
	}
	perShare := func(d Demand) float64 { return d.Offered / float64(max(1, d.Share)) }
	slices.SortStableFunc(ds, func(a, b Demand) int { return cmp.Compare(perShare(a), perShare(b)) })
	for _, d := range ds {
		rate := capacity / weight
		if perShare(d) > rate {
			f.RatePerShare = rate
			return f
		}
		capacity -= d.Offered
		weight -= float64(max(1, d.Share))
	}
	return f
}
