// Package retrier is the policy of retries and of the ejection of failing targets.
//
// A failed attempt is tried again only if it provably did not run, or if it may
// be repeated. Retries are bounded three times: by the number of attempts, by
// the request's deadline, and by a budget that all requests of an instance
// share, a token bucket that earns a share of a retry with each request. So
// retries add at most that share to the load, and a retry storm cannot keep the
// targets overloaded. The pause between attempts grows exponentially and is
// jittered.
//
// A target whose requests fail in a row is ejected for a while and then probed
// with one request, by the chart target.toml. At most [MaxEjected] of a pool is
// ejected together, because many failing targets at once point to a cause that
// ejection does not mend, and the rest could not carry the load.
//
// The package has no clock, goroutine or random source. [Budget] is an immutable
// value; an [Ejector] belongs to one goroutine or lock.
//
// # Usage
//
//	b = b.WithRequest()
//	d := retrier.Decide(retrier.Attempt{Number: 1, Outcome: retrier.NotRun, Remaining: left}, b, seed)
//	if d.Retry { b = b.WithRetry(); wait(d.Delay) }
//
// Hedging is left out: a second run of a prompt costs its whole prefill, and under load that is what there is none of.
package retrier

import (
	"math/rand/v2"
	"time"
)

const (
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts = 4
	// basePause and maxPause bound the pause between attempts.
	basePause = 10 * time.Millisecond
	maxPause  = time.Second
	// BudgetShare is the share of retries in all requests.
	BudgetShare = 0.1
	// budgetBurst is the number of retries that may come at once; it lets an instance with little traffic retry.
	budgetBurst = 10
)

// Outcome says what is known of a failed attempt.
type Outcome int

// The outcomes of attempts.
const (
	// Done: the attempt succeeded, or its failure is an answer.
	Done Outcome = iota
	// NotRun: the target refused it or was not reached.
	NotRun
	// Repeatable: it may have run and may run again.
	Repeatable
	// Unknown: it may have run and must not run again.
	Unknown
)

// Attempt is a failed attempt.
type Attempt struct {
	// Number counts the attempts so far.
	Number  int
	Outcome Outcome
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
}

// Decision says whether and when to try again.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason string
}

// Decide decides about another attempt.
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
	p := Backoff(a.Number, seed)
	if p >= a.Remaining {
		return Decision{Reason: "deadline"}
	}
	return Decision{Retry: true, Delay: p, Reason: "retry"}
}

// Backoff returns the jittered pause after attempt n, which counts from 1: half to all of an exponential bound.
func Backoff(n int, seed uint64) time.Duration {
	bound := min(maxPause, basePause<<min(max(n-1, 0), 20))
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	return bound/2 + time.Duration(r.Int64N(int64(bound/2)+1))
}

// Budget is the token bucket of retries; it is an immutable value.
type Budget struct {
	used float64
}

// WithRequest returns the budget after a first attempt.
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
