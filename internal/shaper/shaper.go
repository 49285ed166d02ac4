// Package shaper schedules the transfers of one instance on the link to a KV store.
//
// Queued transfers start in the order of their deadlines. The classes differ in the
// time to the deadline: a request waits for an import, an export has seconds, and a
// prefetch has until the expected return of the conversation. The deadline of a
// queued transfer is fixed while new transfers get ever later ones, so no class
// starves. Exports and prefetches, the background transfers, share a budget in
// bytes. Most of it is a token bucket that imports are charged to as well, so that
// background transfers yield to imports; a small reserve is for background transfers
// only.
//
// The achieved rate of the link is estimated by a moving average, which reveals a
// slow link within seconds. Without transfers the estimate gradually returns to the
// configured rate; otherwise a link that was slow once would never be tried again.
//
// The policy is pure: time is an argument, and the caller moves the bytes.
//
// # Usage
//
//	l := shaper.New(400<<20, now)
//	l.Submit(shaper.Job{ID: 1, Class: shaper.Export, Bytes: 4 << 20}, now)
//	if j, ok := l.Next(now); ok { ...; l.Done(j.ID, j.Bytes, took, now) }
package shaper

import (
	"math"
	"slices"
	"time"
)

// Class is the kind of a transfer.
type Class int

// Classes of transfers.
const (
	Import Class = iota
	Export
	Prefetch
)

const (
	// sharedShare is the share of the link that background transfers may use while there are no imports.
	sharedShare = 0.4
	// reserveShare is the share of the link that is reserved for background transfers.
	reserveShare = 0.1
	// BackgroundShare is the largest share of the link that background transfers may use.
	BackgroundShare = sharedShare + reserveShare
	// burstWindow is the time over which unused budget accumulates.
	burstWindow = time.Second
	// maxQueued bounds the queue; beyond it, the transfer with the latest deadline is dropped.
	maxQueued = 256
	// maxConcurrent is how many background transfers run at the same time. With two, the link stays busy while one of them
	// is between two blocks.
	maxConcurrent = 2
	// rateTimeConstant is the time constant of the moving average of the rate.
	rateTimeConstant = 2 * time.Second
	// recoveryTimeConstant is the time constant with which the estimate returns to the configured rate without transfers.
	recoveryTimeConstant = 20 * time.Second
)

// defaultSlack is the time to the deadline of a transfer without one, by class.
var defaultSlack = [...]time.Duration{Import: 500 * time.Millisecond, Export: 5 * time.Second, Prefetch: 15 * time.Second}

// Job is one transfer. Bytes is weighted by [WeightedBytes], so that a transfer from a slow tier is charged the link time that
// it takes. A zero Deadline means the default of the class.
type Job struct {
	ID       uint64
	Class    Class
	Bytes    int64
	Deadline time.Time
}

// WeightedBytes returns how many bytes at the full rate of the link take as long as n bytes at the rate of a slower tier.
func WeightedBytes(n int64, tierRate, linkRate float64) int64 {
	if tierRate <= 0 || tierRate >= linkRate {
		return n
	}
	return int64(float64(n) * linkRate / tierRate)
}

// Link holds the queue, the budget and the rate estimate of one link. It is not safe for concurrent use.
type Link struct {
	configuredRate float64 // bytes per second, as the other rates
	achievedRate   float64
	sampledAt      time.Time
	shared         float64 // budget of imports and background transfers, bytes
	reserve        float64 // budget of background transfers only, bytes
	refilledAt     time.Time
	busyUntil      time.Time // expected end of the started transfers
	queue          []Job
	running        map[uint64]Job
}

// New returns an idle Link with the given configured rate.
func New(bytesPerSec float64, now time.Time) *Link {
	return &Link{
		configuredRate: bytesPerSec, achievedRate: bytesPerSec, sampledAt: now, refilledAt: now, running: map[uint64]Job{},
		shared: bytesPerSec * sharedShare * burstWindow.Seconds(), reserve: bytesPerSec * reserveShare * burstWindow.Seconds(),
	}
}

// Submit queues a transfer. If the queue is full, the transfer with the latest deadline is dropped and returned.
func (l *Link) Submit(j Job, now time.Time) (dropped Job, full bool) {
	if j.Deadline.IsZero() {
		j.Deadline = now.Add(defaultSlack[j.Class])
	}
	l.queue = append(l.queue, j)
	if len(l.queue) <= maxQueued {
		return Job{}, false
	}
	last := 0
	for i := range l.queue {
		if l.queue[last].Deadline.Before(l.queue[i].Deadline) {
			last = i
		}
	}
	return l.dequeue(last), true
}

// dequeue removes the i-th transfer from the queue.
func (l *Link) dequeue(i int) Job {
	j := l.queue[i]
	l.queue = slices.Delete(l.queue, i, i+1)
	return j
}

// RecordImport charges an import of n weighted bytes that an engine makes on its own, without the queue.
func (l *Link) RecordImport(n int64, now time.Time) {
	l.refill(now)
	l.charge(Job{Class: Import, Bytes: n}, now)
}

// Next removes the transfer that should start now from the queue and charges it to the budget. It returns false if none may
// start.
func (l *Link) Next(now time.Time) (Job, bool) {
	l.refill(now)
	background := l.shared > 0 || l.reserve > 0
	// The transfer with the earliest deadline may have to wait for budget or for a running one to end; imports never do.
	next := -1
	for i, j := range l.queue {
		allowed := j.Class == Import || (background && len(l.running) < maxConcurrent)
		if allowed && (next < 0 || j.Deadline.Before(l.queue[next].Deadline)) {
			next = i
		}
	}
	if next < 0 {
		return Job{}, false
	}
	j := l.dequeue(next)
	if j.Class != Import {
		l.running[j.ID] = j
	}
	l.charge(j, now)
	return j, true
}

// refill adds the budget that has accumulated since the last call.
func (l *Link) refill(now time.Time) {
	d := now.Sub(l.refilledAt).Seconds()
	if d <= 0 {
		return
	}
	l.refilledAt = now
	rate := l.BytesPerSec(now)
	l.shared = min(l.shared+d*rate*sharedShare, rate*sharedShare*burstWindow.Seconds())
	l.reserve = min(l.reserve+d*rate*reserveShare, rate*reserveShare*burstWindow.Seconds())
}

// charge subtracts a transfer from the budget and extends the backlog by its expected duration.
func (l *Link) charge(j Job, now time.Time) {
	n := float64(j.Bytes)
	switch {
	case j.Class == Import:
		// The debt is bounded, so that background transfers resume soon after the last import.
		l.shared = max(l.shared-n, min(l.shared, -l.configuredRate*sharedShare*burstWindow.Seconds()))
	case l.shared > 0:
		l.shared -= n
	default:
		l.reserve -= n
	}
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(n / max(1, l.BytesPerSec(now)) * float64(time.Second)))
}

// Done ends a transfer that Next returned. The n bytes and the duration of the transfer go into the rate estimate; took is 0 if
// the transfer failed or was not timed.
func (l *Link) Done(id uint64, n int64, took time.Duration, now time.Time) {
	delete(l.running, id)
	if n > 0 && took > 0 {
		l.RecordRate(float64(n)/took.Seconds(), now)
	}
}

// RecordRate adds an observed rate to the moving average. A transfer that waited behind others appears slow on a fast link, but
// no transfer appears fast on a slow link. Therefore a higher rate takes effect immediately and a lower one with the time
// constant.
func (l *Link) RecordRate(bytesPerSec float64, now time.Time) {
	rate, w := l.BytesPerSec(now), 1.0
	if bytesPerSec < rate {
		w = 1 - math.Exp(-now.Sub(l.sampledAt).Seconds()/rateTimeConstant.Seconds())
	}
	l.achievedRate = rate + w*(min(bytesPerSec, l.configuredRate)-rate)
	l.sampledAt = now
}

// BytesPerSec returns the estimated rate of the link.
func (l *Link) BytesPerSec(now time.Time) float64 {
	idle := max(0, now.Sub(l.sampledAt).Seconds())
	return l.configuredRate + (l.achievedRate-l.configuredRate)*math.Exp(-idle/recoveryTimeConstant.Seconds())
}

// Backlog returns how long the started transfers will occupy the link at the estimated rate.
func (l *Link) Backlog(now time.Time) time.Duration { return max(0, l.busyUntil.Sub(now)) }

// QueueLen returns the number of queued transfers.
func (l *Link) QueueLen() int { return len(l.queue) }
