package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is what [NewFairShare] needs of one active account.
type Demand struct {
	Share    int
	Offered  float64
	Admitted float64
	// Slack is the time that the account's target leaves for waiting; 0 if it is not known.
	Slack time.Duration
}

// FairShare is the max-min fair division of the capacity at one time.
type FairShare struct {
	// RatePerShare is the fair work per second for each unit of share; infinite if all demand is met.
	RatePerShare float64
	// Slack is the shortest waiting time that an active account's target allows; 0 if there is none.
	Slack time.Duration
}

func (l FairShare) slack() time.Duration {
	if l.Slack <= 0 {
		return math.MaxInt64
	}
	return l.Slack
}

// NewFairShare divides what was admitted lately, which under overload is the capacity, between the accounts.
func NewFairShare(ds []Demand) FairShare {
	l := FairShare{RatePerShare: math.Inf(1)}
	ds = slices.Clone(ds)
	capacity, weight := 0.0, 0.0
	for _, d := range ds {
		capacity += d.Admitted
		weight += float64(max(1, d.Share))
		if d.Slack > 0 && (l.Slack == 0 || d.Slack < l.Slack) {
			l.Slack = d.Slack
		}
	}
	perShare := func(d Demand) float64 { return d.Offered / float64(max(1, d.Share)) }
	slices.SortStableFunc(ds, func(a, b Demand) int { return cmp.Compare(perShare(a), perShare(b)) })
	for _, d := range ds {
		rate := capacity / weight
		if perShare(d) > rate {
			l.RatePerShare = rate
			return l
		}
		capacity -= d.Offered
		weight -= float64(max(1, d.Share))
	}
	return l
}
