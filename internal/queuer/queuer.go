// Package queuer decides which requests wait in an instance while the targets of a service have no room, which of them is sent
// next, and which is refused.
//
// A [Queue] is a pure policy: it has no clock, no goroutine and no lock. Its methods take the time and return the requests that
// leave the queue, with a reason if they are refused. The caller serializes the calls to it, sends what [Queue.Next] returns, and
// calls it again at the time of [Queue.Wake].
//
// # Order
//
// More urgent requests go first. Requests of the same priority are ordered by deficit round robin over the client accounts: each
// account gets the same work in each round, and what an account doesn't use goes to the others. Within an account, the request
// with the earliest latest start goes first. A request that can't be on time any more counts with the latest start for its
// deadline, so that it doesn't make requests late that still can be on time.
//
// # Pacing
//
// All instances see the same capacity. If each released its queue when it appears, targets would refuse most of the
// requests. A request therefore leaves the queue for each response that this instance has seen end, which freed a place, and one
// more for each interval, which starts as the instance's part of the capacity. Refusals by targets lengthen it, departures shorten it.
//
// # Load patterns
//
// Five targets with six slots, a request takes 60 ms. 72 instances together send them 390 requests per second, and 1.7 times as
// many for 3 s, which is a third more than they can run. Each instance knows little more than its own requests. Without a queue, the
// targets refuse requests until the retry budgets are used up.
//
// # Usage
//
//	q := queuer.New[*call](queuer.Limits{Calls: 512, Bytes: 8 << 20})
//	q.RecordRefusal(now)                          // a target has refused a request
//	if q.InUse(now) {                             // otherwise send at once
//		res := q.Push(&queuer.Request[*call]{...}, now) // res.Reason, res.Evicted
//	}
//	r := q.Next(now, queuer.Freed, room)          // a response has ended
//	r := q.Next(now, queuer.Paced, room)          // at the time of q.Wake(now)
package queuer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// UseAfterRefusal is how long after a refusal by a target the queue of its service is in use.
	UseAfterRefusal = 5 * time.Second
	// DefaultPriority is the priority of requests whose route and account have none, the middle of 0 to 9.
	DefaultPriority = 5
	// maxChecks is the maximum number of requests for which [Queue.Next] calls its room function, which bounds the cost of a decision.
	maxChecks = 2
	// MinWake is the least time between two calls of [Queue.Next] with [Paced] that the caller needs; releases add up meanwhile.
	MinWake = 50 * time.Millisecond
	// minInterval and maxInterval bound the time between two paced releases.
	minInterval = time.Millisecond
	maxInterval = time.Second
	// refusalFactor multiplies the interval with each refusal by a target, and departureFactor with each departure, between minSlowdown
	// and maxSlowdown. The interval grows while more than four in ten sends are refused.
	refusalFactor, departureFactor = 1.5, 0.75
	minSlowdown, maxSlowdown       = 0.25, 4
	// maxProbeFactor bounds the interval of single releases while targets refuse all, in MinWake: each costs a call an attempt.
	maxProbeFactor = 4
	// rateWindow is the time over which departures are counted, and maxDepartures their maximum number.
	rateWindow    = 2 * time.Second
	maxDepartures = 64
	// priorTime is the weight of the expected rate against the observed one, as time of observation.
	priorTime = 500 * time.Millisecond
)

// Reason is why a request left the queue without being sent.
type Reason string

// Reasons of refusals.
const (
	// Hopeless means that, by the present rate, the request would not leave the queue before the limit of its wait.
	Hopeless Reason = "hopeless"
	// Full means that the queue was full and the request was the least urgent of the account with the most requests.
	Full Reason = "full"
	// Expired means that the limit of the wait has passed.
	Expired Reason = "expired"
	// Stopped means that the instance is stopping.
	Stopped Reason = "stopped"
)

// Trigger is the event for which [Queue.Next] is called.
type Trigger int

// Triggers of a release.
const (
	// Paced is a call at any time; the interval must have passed.
	Paced Trigger = iota
	// Freed is the end of a response, which freed a place at a target.
	Freed
)

// Request is one waiting request with a value of the caller.
type Request[T any] struct {
	Value T
	// Account shares the capacity with the other accounts; requests without one share the empty name.
	Account string
	// Priority 0 is the most urgent.
	Priority int
	// Cost is the work of the request in any unit; at least 1 is counted.
	Cost float64
	// Bytes is the memory that the request holds.
	Bytes int
	// OnTimeStart is the latest start with which the request is on time, LastStart that with which it meets its deadline.
	OnTimeStart, LastStart time.Time
	// WaitUntil is the limit of the wait.
	WaitUntil time.Time
}

func (r *Request[T]) cost() float64 { return max(1, r.Cost) }

// latestStart returns the latest start by which requests of an account are ordered.
func (r *Request[T]) latestStart(now time.Time) time.Time {
	if r.OnTimeStart.IsZero() || now.After(r.OnTimeStart) {
		return r.LastStart
	}
	return r.OnTimeStart
}

// Limits bound a queue.
type Limits struct{ Calls, Bytes int }

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue[T any] struct {
	limits Limits
	// accounts are those with waiting requests, each priority in the order of its round.
	accounts   []*account[T]
	len, bytes int
	// interval is the time between two paced releases, lastPaced that of the last one.
	interval  time.Duration
	lastPaced time.Time
	// slowdown is the factor of the interval that follows from refusals and departures.
	slowdown float64
	// refusals is the number of refusals since the last departure. Unless it is 0, one paced release at a time shows whether there is room.
	refusals  int
	refusedAt time.Time
	// inUseSince is when the queue came into use.
	inUseSince time.Time
	departures []time.Time
}

// New returns an empty Queue.
func New[T any](l Limits) *Queue[T] {
	return &Queue[T]{limits: l, interval: MinWake, slowdown: 1}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.len }

// RecordRefusal records that a target refused a request of this instance.
func (q *Queue[T]) RecordRefusal(now time.Time) {
	if !q.InUse(now) {
		q.inUseSince, q.departures = now, nil
	}
	q.refusedAt = now
	q.refusals++
	q.slowdown = min(maxSlowdown, refusalFactor*q.slowdown)
}

// InUse reports whether requests that find no room wait. It stays true while requests wait.
func (q *Queue[T]) InUse(now time.Time) bool { return q.len > 0 || q.IsRefused(now) }

// IsRefused reports whether a target has refused a request within UseAfterRefusal. If none has, an estimate that all are full is wrong.
func (q *Queue[T]) IsRefused(now time.Time) bool {
	return !q.refusedAt.IsZero() && now.Sub(q.refusedAt) < UseAfterRefusal
}

// SetCapacity sets the number of slots of the usable targets, the mean duration of a request and the number of instances, from
// which the interval of paced releases follows.
func (q *Queue[T]) SetCapacity(slots int, mean time.Duration, instances int) {
	q.interval = mean * time.Duration(max(1, instances)) / time.Duration(max(1, slots))
}

// paceInterval returns the present interval between two paced releases.
func (q *Queue[T]) paceInterval() time.Duration {
	least := minInterval
	if q.refusals > 0 {
		least = MinWake * time.Duration(min(q.refusals, maxProbeFactor))
	}
	return max(least, min(maxInterval, time.Duration(q.slowdown*float64(q.interval))))
}

// RecordDeparture records that a request which was sent to a target has been run there. Their rate is that at which the queue drains.
func (q *Queue[T]) RecordDeparture(now time.Time) {
	if len(q.departures) >= maxDepartures {
		q.departures = slices.Delete(q.departures, 0, 1)
	}
	q.departures = append(q.departures, now)
	q.refusals = 0
	q.slowdown = max(minSlowdown, departureFactor*q.slowdown)
}

// Rate returns the departures per second. The instance's part of the capacity counts as priorTime of observation.
func (q *Queue[T]) Rate(now time.Time) float64 {
	from := now.Add(-rateWindow)
	if len(q.departures) == maxDepartures && q.departures[0].After(from) {
		from = q.departures[0]
	}
	if q.inUseSince.After(from) {
		from = q.inUseSince
	}
	n := 0
	for _, at := range q.departures {
		if !at.Before(from) {
			n++
		}
	}
	prior := priorTime.Seconds() / max(minInterval, q.interval).Seconds()
	return (float64(n) + prior) / (now.Sub(from) + priorTime).Seconds()
}

// RoomExpectedIn returns the time after which a request that arrives now would leave the queue behind all others.
func (q *Queue[T]) RoomExpectedIn(now time.Time) time.Duration { return q.expectedWait(q.len, now) }

// expectedWait returns the expected wait of a request with a number of others ahead.
func (q *Queue[T]) expectedWait(ahead int, now time.Time) time.Duration {
	seconds := float64(ahead+1) / q.Rate(now)
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// PushResult is the result of [Queue.Push].
type PushResult[T any] struct {
	// Reason is why the request was refused; it is empty if the request waits.
	Reason Reason
	// Evicted are waiting requests that must be refused because the queue is full.
	Evicted []*Request[T]
}

// HasCheaper reports whether a request waits that costs at most as much. Room for a new request shows room for that one, too.
func (q *Queue[T]) HasCheaper(cost float64) bool {
	if q.len == 0 {
		return false
	}
	_, r := q.cheapest()
	return r.cost() <= max(1, cost)
}

// Push adds a request, unless it can't be expected to leave the queue in time or the queue is full.
func (q *Queue[T]) Push(r *Request[T], now time.Time) PushResult[T] {
	if now.Add(q.expectedWait(q.ahead(r, now), now)).After(r.WaitUntil) {
		return PushResult[T]{Reason: Hopeless}
	}
	a := q.find(r.Account, r.Priority)
	if a == nil {
		a = &account[T]{name: r.Account, priority: r.Priority}
		q.accounts = append(q.accounts, a)
		slices.SortStableFunc(q.accounts, func(x, y *account[T]) int { return cmp.Compare(x.priority, y.priority) })
	}
	if q.len == 0 {
		// The first request waits for the interval, too: a target has just refused it, or is expected to.
		q.lastPaced = now
	}
	a.requests = append(a.requests, r)
	q.len++
	q.bytes += r.Bytes
	var res PushResult[T]
	for q.len > q.limits.Calls || q.bytes > q.limits.Bytes {
		v := q.leastUrgent(now)
		q.Drop(v)
		if v == r {
			res.Reason = Full
			break
		}
		res.Evicted = append(res.Evicted, v)
	}
	return res
}

// Next removes and returns the first request in the order for which room returns true; nil if there is none or the interval
// between paced releases has not passed. Room is called for the
// first request of at most maxChecks accounts, and then for the one with the lowest cost.
func (q *Queue[T]) Next(now time.Time, trigger Trigger, room func(T) bool) *Request[T] {
	if q.len == 0 || trigger == Paced && now.Before(q.nextPaced()) {
		return nil
	}
	for i, a := range q.order(now) {
		if i >= maxChecks {
			break
		}
		if r := a.first(now); room(r.Value) {
			q.release(a, r, trigger, now)
			return r
		}
	}
	// A request that needs much of a target must not hold back the others.
	if a, r := q.cheapest(); room(r.Value) {
		q.release(a, r, trigger, now)
		return r
	}
	if trigger == Paced {
		q.lastPaced = now
	}
	return nil
}

// release removes a request that is sent, and counts it against the interval if it is paced.
func (q *Queue[T]) release(a *account[T], r *Request[T], trigger Trigger, now time.Time) {
	if trigger == Paced {
		q.lastPaced = now
		if q.refusals == 0 {
			q.lastPaced = latest(q.nextPaced(), now.Add(-MinWake))
		}
	}
	q.serve(a, r)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (q *Queue[T]) nextPaced() time.Time { return q.lastPaced.Add(q.paceInterval()) }

// Wake returns when Next and Expire must be called at the latest; zero if no request waits.
func (q *Queue[T]) Wake() time.Time {
	if q.len == 0 {
		return time.Time{}
	}
	at := q.nextPaced()
	for _, a := range q.accounts {
		for _, r := range a.requests {
			if r.WaitUntil.Before(at) {
				at = r.WaitUntil
			}
		}
	}
	return at
}

// Drop removes a request, and reports whether it was waiting.
func (q *Queue[T]) Drop(r *Request[T]) bool {
	a := q.find(r.Account, r.Priority)
	if a == nil {
		return false
	}
	i := slices.Index(a.requests, r)
	if i < 0 {
		return false
	}
	a.requests = slices.Delete(a.requests, i, i+1)
	if len(a.requests) == 0 {
		q.accounts = slices.DeleteFunc(q.accounts, func(o *account[T]) bool { return o == a })
	}
	q.len--
	q.bytes -= r.Bytes
	return true
}

// Expire removes and returns the requests whose wait has reached its limit.
func (q *Queue[T]) Expire(now time.Time) []*Request[T] {
	return q.dropAll(func(r *Request[T]) bool { return !now.Before(r.WaitUntil) })
}

// Clear removes and returns all requests.
func (q *Queue[T]) Clear() []*Request[T] {
	return q.dropAll(func(*Request[T]) bool { return true })
}

func (q *Queue[T]) dropAll(match func(*Request[T]) bool) []*Request[T] {
	var out []*Request[T]
	for _, a := range q.accounts {
		for _, r := range a.requests {
			if match(r) {
				out = append(out, r)
			}
		}
	}
	for _, r := range out {
		q.Drop(r)
	}
	return out
}
