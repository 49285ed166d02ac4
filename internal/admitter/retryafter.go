package admitter

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryJitter spreads a Retry-After from 1 - retryJitter to 1 + retryJitter times its value.
	retryJitter = 0.25
)

// retryAfter returns when the backlog has drained to the limit and the account's refused work had its turn.
func (in Input) retryAfter(limit time.Duration, now time.Time, r *rand.Rand) time.Duration {
	d := max(0, in.Estimate.QueueDelay-limit)
	fair := in.FairShare.RatePerShare * float64(max(1, in.Account.Share))
	if fair > 0 && !math.IsInf(fair, 1) {
		// The refused work comes back as well; at the fair rate it needs this long.
		turns := min(maxRetryAfter.Seconds(), in.Meter.Refused(now)/fair)
		d += time.Duration(turns * float64(time.Second))
	}
	return jitter(d, r)
}

// Jitter bounds and spreads a Retry-After.
func Jitter(d time.Duration, seed uint64) time.Duration {
	return jitter(d, rand.New(rand.NewPCG(seed, 0)))
}

func jitter(d time.Duration, r *rand.Rand) time.Duration {
	d = max(minRetryAfter, min(maxRetryAfter, d))
	return time.Duration(float64(d) * (1 - retryJitter + 2*retryJitter*r.Float64()))
}
