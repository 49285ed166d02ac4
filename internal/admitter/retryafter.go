package admitter

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryJitter is the jitter of a Retry-After: its value is multiplied by a random factor in [1-retryJitter, 1+retryJitter].
	retryJitter = 0.25
)

// retryAfter returns the time until the queue delay has fallen to the limit and the account's refused work has been served.
func (in Input) retryAfter(limit time.Duration, now time.Time, r *rand.Rand) time.Duration {
	d := max(0, in.Estimate.QueueDelay-limit)
	fair := in.FairShare.RatePerShare * float64(max(1, in.Account.Share))
	if fair > 0 && !math.IsInf(fair, 1) {
		// Earlier refused requests are retried too; at the fair rate their work takes this long.
		retries := min(maxRetryAfter.Seconds(), in.Meter.Refused(now)/fair)
		d += time.Duration(retries * float64(time.Second))
	}
	return jitter(d, r)
}

// Jitter limits a Retry-After to between 100 ms and 30 s and adds random jitter, so that refused callers do not all retry at
// the same time.
func Jitter(d time.Duration, seed uint64) time.Duration {
	return jitter(d, rand.New(rand.NewPCG(seed, 0)))
}

func jitter(d time.Duration, r *rand.Rand) time.Duration {
	d = max(minRetryAfter, min(maxRetryAfter, d))
	return time.Duration(float64(d) * (1 - retryJitter + 2*retryJitter*r.Float64()))
}
