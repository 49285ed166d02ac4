// Package admitter implements admission control: it admits a request or refuses it immediately.
//
// A request is admitted if its response is expected to be complete and on time:
// its queue delay and service time must fit the first-token target and the
// deadline of its client account. Requests do not queue here but at the targets;
// the caller passes in an estimate of the queue delay there.
//
// Under overload the permitted queue delay depends on the weighted fair share of
// the account. The tightest first-token target of the active accounts determines
// the longest delay. An account within its share may use all of it. An account
// above its share may use only a lower part: it is served while there is free
// capacity and is refused before it makes others miss their first-token targets.
// The fair share is max-min: capacity that one account leaves unused is
// available for others to borrow. A higher priority raises the bound for
// borrowed capacity.
//
// The estimates of the queue delay lag behind the load. To keep all instances
// from overusing borrowed capacity at the same time, requests above the share
// are also dropped early once there is a backlog, with a probability that
// reduces the account's demand to its share. docs/admission.md compares this
// with the alternatives.
//
// The package has no clock, goroutine or random source: meters and fair shares
// are immutable values, and [Decide] is a function of them, the time and a seed.
//
// # Usage
//
//	a := admitter.New()
//	e := admitter.Estimate{QueueDelay: wait, FirstTokenTime: first, ServiceTime: service, Cost: tokens}
//	d := a.Decide(account, e, now, seed)
//	if !d.Admitted { refuse(d.Reason, d.RetryAfter) }
//
// An [Admitter] holds the meters of all accounts; calls to it must be serialised.
package admitter

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// borrowedFraction is the part of the longest queue delay up to which borrowed capacity is available; the rest is
	// reserved for accounts within their share.
	borrowedFraction = 0.5
	// priorityFraction is the further part that becomes available to the highest priorities.
	priorityFraction = 0.25
	// shareThreshold is the part of its share from which an account's bound decreases linearly, down to the bound for
	// borrowed capacity at the full share. If the bound decreased only above the share, large accounts would settle above
	// their share at the expense of small ones.
	shareThreshold = 0.9
	// earlyDropFraction is the part of the longest queue delay from which requests above the share are dropped early.
	// Dropping at shorter delays would leave targets idle.
	earlyDropFraction = 0.25
)

// Reason is the reason why a request was admitted or refused.
type Reason string

// Reasons of decisions.
const (
	// WithinShare means that the request was admitted within the fair share of its account.
	WithinShare Reason = "within share"
	// Borrowed means that the request was admitted above the share of its account, since there is free capacity.
	Borrowed Reason = "lent"
	// PromptTooLong means that the request was admitted although its prefill alone exceeds the first-token target, since
	// there is free capacity to complete it by the deadline.
	PromptTooLong Reason = "longer than the target without a wait"
	// PastDeadline means that the request was refused since its response would not be complete by the deadline.
	PastDeadline Reason = "past the deadline"
	// PastTarget means that the request was refused since its first token would miss the first-token target.
	PastTarget Reason = "past the first-token target"
	// OverShare means that the request was refused since its account is above its share and others need the capacity.
	OverShare Reason = "over the account's share"
)

// Estimate is the caller's estimate of a request at its best target.
type Estimate struct {
	// QueueDelay is the time until the target starts the request.
	QueueDelay time.Duration
	// FirstTokenTime is the time from the start to the first token.
	FirstTokenTime time.Duration
	// ServiceTime is the time from the start to the end of the response.
	ServiceTime time.Duration
	// Cost is the work of the request, in a unit that is the same for all requests, such as tokens to prefill.
	Cost float64
}

// Decision is the decision on one request.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is the time after which a refused request should be retried.
	RetryAfter time.Duration
}

// Input holds the arguments of [Decide].
type Input struct {
	Account   configurer.Account
	Estimate  Estimate
	Meter     Meter
	FairShare FairShare
	// EarlyDrop enables the early drop of requests above the share.
	EarlyDrop bool
}

// Decide admits or refuses one request. It has no side effects. The seed determines the early drop and the jitter of
// RetryAfter.
func Decide(in Input, now time.Time, seed uint64) Decision {
	e := in.Estimate
	r := rand.New(rand.NewPCG(seed, uint64(now.UnixNano())))
	within, limit := in.queueDelayLimit(now)
	reason := in.refusalReason(within, limit)
	if reason == "" && !within && in.dropEarly(now, r) {
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

// refusalReason returns the reason to refuse the request by its estimates, or "".
func (in Input) refusalReason(within bool, limit time.Duration) Reason {
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

// queueDelayLimit returns whether the account is within its share, and the longest queue delay permitted for the request.
func (in Input) queueDelayLimit(now time.Time) (bool, time.Duration) {
	slack := waitSlack(in.Account, in.Estimate)
	within, fraction := true, 1.0
	if in.Estimate.FirstTokenTime > configurer.Milliseconds(in.Account.FirstTokenMs) {
		// Such a request misses the first-token target even without any delay. It is admitted while there is free
		// capacity, as it would otherwise be refused on every retry.
		slack = configurer.Milliseconds(in.Account.FirstTokenMs)
		fraction = borrowedFraction
	}
	slack = min(slack, in.FairShare.slackOrMax())
	if used := in.shareUsed(now); used > shareThreshold {
		within = used <= 1
		borrowed := borrowedFraction + priorityFraction*priorityWeight(in.Account.Priority)
		excess := min(1, (used-shareThreshold)/(1-shareThreshold))
		fraction = min(fraction, 1-excess*(1-borrowed))
	}
	return within, time.Duration(fraction * float64(slack))
}

// dropEarly reports whether to drop a request above the share early.
func (in Input) dropEarly(now time.Time, r *rand.Rand) bool {
	slack := min(waitSlack(in.Account, in.Estimate), in.FairShare.slackOrMax())
	if !in.EarlyDrop || float64(in.Estimate.QueueDelay) < earlyDropFraction*float64(slack) {
		return false
	}
	return r.Float64()*in.Meter.Offered(now) > in.FairShare.RatePerShare*float64(max(1, in.Account.Share))
}

// shareUsed returns the rate of the account's admitted work relative to its fair share; 0 if the share is unlimited.
func (in Input) shareUsed(now time.Time) float64 {
	fair := in.FairShare.RatePerShare * float64(max(1, in.Account.Share))
	if math.IsInf(fair, 1) || fair <= 0 {
		return 0
	}
	return in.Meter.Admitted(now) / fair
}

// waitSlack returns the longest queue delay with which the request still meets the first-token target.
func waitSlack(a configurer.Account, e Estimate) time.Duration {
	return max(0, configurer.Milliseconds(a.FirstTokenMs)-e.FirstTokenTime)
}

// priorityWeight maps a priority to a weight in [0, 1).
func priorityWeight(p int) float64 {
	if p <= 0 {
		return 0
	}
	return float64(p) / float64(p+1)
}
