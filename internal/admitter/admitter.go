// Package admitter is the policy that admits a request or refuses it at once.
//
// A request is admitted if it can be answered in full and on time: its expected
// wait and service must fit the first-token target and the deadline of its
// client account. Nothing queues here; the queue is at the targets, and the
// caller passes in how long it expects the request to wait there.
//
// Under overload the wait that an account may cause depends on its weighted fair
// share. An account within its share may use the whole time that the tightest
// target of the active accounts leaves for waiting. An account above its share
// may use only the lower part of it, so it is served while there is room and
// stops before it pushes others past their targets. The fair share is max-min:
// what one account leaves unused is lent to those that want more. A higher
// priority moves the bound of lent capacity up.
//
// The wait that instances know lags behind. So that lent capacity is not overdrawn
// by all of them at once, a request above the share is also dropped early, with a
// probability that leaves the account's demand at its share, once there is a
// backlog. docs/admission.md holds the measurement that led to this.
//
// The package has no clock, goroutine or random source: meters and levels are
// immutable values, and [Decide] is a function of them, the time and a seed.
//
// # Usage
//
//	a := admitter.New()
//	d := a.Decide(account, admitter.Estimate{QueueDelay: wait, FirstTokenTime: first, ServiceTime: full, Cost: tokens}, now, seed)
//	if !d.Admitted { refuse(d.Reason, d.RetryAfter) }
//
// An [Admitter] holds the meters of all accounts and belongs to one goroutine or lock.
package admitter

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// lentFraction is the part of the waiting time that lent capacity may use; the rest is kept for accounts within
	// their share.
	lentFraction = 0.5
	// priorityFraction is the further part that the highest priorities may use of lent capacity.
	priorityFraction = 0.25
	// nearShare is the part of its share from which an account's bound falls linearly; at its whole share it has the
	// bound of lent capacity. A bound that only falls above the share lets large accounts settle above it, at the cost of
	// small ones.
	nearShare = 0.9
	// earlyDropWait is the part of the longest wait from which requests above the share are dropped early. Dropping
	// at shorter waits would leave targets idle.
	earlyDropWait = 0.25
)

// Reason says why a request was admitted or refused.
type Reason string

// The reasons of decisions.
const (
	// WithinShare: the account uses less than its fair share.
	WithinShare Reason = "within share"
	// Borrowed: the account uses more than its share, and there is room.
	Borrowed Reason = "lent"
	// PromptTooLong: the prompt alone takes longer than the first-token target, and there is room to answer it by the deadline.
	PromptTooLong Reason = "longer than the target without a wait"
	// PastDeadline: the whole answer would be late.
	PastDeadline Reason = "past the deadline"
	// PastTarget: the first token would be late.
	PastTarget Reason = "past the first-token target"
	// OverShare: the account uses more than its share, and others need the room.
	OverShare Reason = "over the account's share"
)

// Estimate is what the caller expects of a request at its best target.
type Estimate struct {
	// QueueDelay is the time before the target begins with it.
	QueueDelay time.Duration
	// FirstTokenTime is the time from then to the first token.
	FirstTokenTime time.Duration
	// ServiceTime is the time from then to the end of the answer.
	ServiceTime time.Duration
	// Cost is the work of the request in any unit that is the same for all, such as tokens to compute.
	Cost float64
}

// Decision is the result for one request.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is when a retry of a refused request is worth while.
	RetryAfter time.Duration
}

// Input is what [Decide] looks at.
type Input struct {
	Account   configurer.Account
	Estimate  Estimate
	Meter     Meter
	FairShare FairShare
	// EarlyDrop drops requests above the share before their wait is too long.
	EarlyDrop bool
}

// Decide admits or refuses one request; seed spreads the Retry-After of simultaneous refusals.
func Decide(in Input, now time.Time, seed uint64) Decision {
	e := in.Estimate
	r := rand.New(rand.NewPCG(seed, uint64(now.UnixNano())))
	within, limit := in.limit(now)
	reason := in.refusal(within, limit)
	if reason == "" && !within && in.drop(now, r) {
		reason = OverShare
	}
	if reason != "" {
		return Decision{Reason: reason, RetryAfter: in.retryAfter(limit, now, r)}
	}
	switch {
	case e.FirstTokenTime > configurer.Milliseconds(in.Account.FirstTokenMs):
		return Decision{Admitted: true, Reason: PromptTooLong}
	case within:
		return Decision{Admitted: true, Reason: WithinShare}
	}
	return Decision{Admitted: true, Reason: Borrowed}
}

// refusal returns why the request cannot be admitted, or "".
func (in Input) refusal(within bool, limit time.Duration) Reason {
	e := in.Estimate
	switch {
	case e.QueueDelay+e.ServiceTime > configurer.Milliseconds(in.Account.DeadlineMs):
		return PastDeadline
	case e.QueueDelay <= limit:
		return ""
	case within:
		return PastTarget
	}
	return OverShare
}

// limit returns whether the account is within its share, and the longest wait that the request may have.
func (in Input) limit(now time.Time) (bool, time.Duration) {
	slack := slackOf(in.Account, in.Estimate)
	within, fraction := true, 1.0
	if in.Estimate.FirstTokenTime > configurer.Milliseconds(in.Account.FirstTokenMs) {
		// No wait makes such a request punctual. Refusing it for ever would lose it, so it runs while there is room.
		slack = configurer.Milliseconds(in.Account.FirstTokenMs)
		fraction = lentFraction
	}
	slack = min(slack, in.FairShare.slack())
	if used := in.used(now); used > nearShare {
		within = used <= 1
		lent := lentFraction + priorityFraction*priorityWeight(in.Account.Priority)
		near := min(1, (used-nearShare)/(1-nearShare))
		fraction = min(fraction, 1-near*(1-lent))
	}
	return within, time.Duration(fraction * float64(slack))
}

// drop reports whether a request above the share is dropped early.
func (in Input) drop(now time.Time, r *rand.Rand) bool {
	slack := min(slackOf(in.Account, in.Estimate), in.FairShare.slack())
	if !in.EarlyDrop || float64(in.Estimate.QueueDelay) < earlyDropWait*float64(slack) {
		return false
	}
	return r.Float64()*in.Meter.Offered(now) > in.FairShare.RatePerShare*float64(max(1, in.Account.Share))
}

// used returns the account's admitted work relative to its fair share.
func (in Input) used(now time.Time) float64 {
	fair := in.FairShare.RatePerShare * float64(max(1, in.Account.Share))
	if math.IsInf(fair, 1) || fair <= 0 {
		return 0
	}
	return in.Meter.Admitted(now) / fair
}

// slackOf returns the time that the first-token target leaves for waiting.
func slackOf(a configurer.Account, e Estimate) time.Duration {
	return max(0, configurer.Milliseconds(a.FirstTokenMs)-e.FirstTokenTime)
}

// priorityWeight maps a priority to 0 (lowest) up to, but not including, 1.
func priorityWeight(p int) float64 {
	if p <= 0 {
		return 0
	}
	return float64(p) / float64(p+1)
}
