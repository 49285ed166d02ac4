// Package retrier decides about retries and ejects failing targets.
//
// A failed attempt is retried only if it certainly did not run or if it may be
// repeated. Retries are limited in three ways: by the number of attempts, by the
// deadline of the request, and by a budget shared by all requests of an instance.
// The budget is a token bucket that earns a fraction of a retry with each request,
// so retries add at most that fraction to the load, and a retry storm cannot keep
// the targets overloaded. The delay between attempts grows exponentially with
// jitter. [WindowCounter] limits retries over a sliding window instead.
//
// A target with several consecutive failures is ejected for a while and then
// probed with one request, as described by the state chart target.toml. At most
// [MaxEjected] of a pool is ejected at the same time: many targets that fail
// together indicate a cause that ejection does not solve, and the remaining targets
// could not carry the load.
//
// The package uses no clock, goroutine or random source. [Budget] is an immutable
// value; an [Ejector] and a [WindowCounter] are not safe for concurrent use.
//
// There is no hedging: a second run of a prompt costs its whole prefill, and under
// load prefill is the scarce resource.
//
// # Usage
//
//	b = b.WithRequest()
//	d := retrier.Decide(retrier.Attempt{Number: 1, Outcome: retrier.NotRun, Remaining: remaining}, b, seed)
//	if d.Retry { b = b.WithRetry(); wait(d.Delay) }
package retrier

import (
	"math/rand/v2"
	"time"
)

const (
	// MaxAttempts is the largest number of attempts of one request, including the first.
	MaxAttempts = 4
	// baseDelay and maxDelay bound the delay between attempts.
	baseDelay = 10 * time.Millisecond
	maxDelay  = time.Second
	// BudgetShare is the number of retries that each request adds to the budget.
	BudgetShare = 0.1
	// budgetBurst is the number of retries that may occur in a burst; it lets an instance with little traffic retry.
	budgetBurst = 10
)

// Outcome is what is known about an attempt.
type Outcome int

// Outcomes of attempts.
const (
	// Done means that the attempt succeeded or that its failure is the final response.
	Done Outcome = iota
	// NotRun means that the target refused the request or was not reached.
	NotRun
	// Repeatable means that the request may have run and may run again.
	Repeatable
	// Unknown means that the request may have run and must not run again.
	Unknown
)

// Attempt is a failed attempt.
type Attempt struct {
	// Number is the number of attempts so far, including this one.
	Number  int
	Outcome Outcome
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// Decision is the result of [Decide]: whether to retry, after which delay, and why.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason string
}

// Decide decides whether to retry after a failed attempt; seed seeds the jitter of the delay.
func Decide(a Attempt, b Budget, seed uint64) Decision {
	switch {
	case a.Outcome == Done:
		return Decision{Reason: "done"}
	case a.Outcome == Unknown:
		return Decision{Reason: "it may have run"}
	case a.Number >= MaxAttempts:
		return Decision{Reason: "no attempts left"}
	case !b.Allows():
		return Decision{Reason: "retry budget is used up"}
	}
	delay := Backoff(a.Number, seed)
	if delay >= a.Remaining {
		return Decision{Reason: "deadline"}
	}
	return Decision{Retry: true, Delay: delay, Reason: "retry"}
}

// Backoff returns the delay after attempt n, counted from 1: a random duration between half and all of an exponentially
// growing bound.
func Backoff(n int, seed uint64) time.Duration {
	bound := min(maxDelay, baseDelay<<min(max(n-1, 0), 20))
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	return bound/2 + time.Duration(r.Int64N(int64(bound/2)+1))
}

// Budget is a token bucket for retries. It is an immutable value; the zero value is a full bucket.
type Budget struct {
	used float64
}

// WithRequest returns the budget after the first attempt of a request.
func (b Budget) WithRequest() Budget {
	b.used = max(0, b.used-BudgetShare)
	return b
}

// WithRetry returns the budget after a retry.
func (b Budget) WithRetry() Budget {
	b.used++
	return b
}

// Allows reports whether a retry is within the budget.
func (b Budget) Allows() bool { return b.used+1 <= budgetBurst }
