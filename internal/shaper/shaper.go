// Package shaper shares the link in front of a store between the transfers of one instance.
//
// Transfers wait in the order of their deadlines. The classes differ in how far
// away their deadlines are: an import has a request waiting for it, an export
// has seconds, a prefetch has until the expected return. Since the deadline of
// a waiting transfer comes nearer while those of new ones do not, no class
// starves. Exports and prefetches together are bounded by a budget in bytes.
// Most of it is a token bucket that also pays for imports, so that they yield
// to imports; a small reserve is theirs alone.
//
// The rate that transfers achieve is followed by a moving average, which shows a
// slowed link within seconds. Without transfers the estimate returns slowly to
// the configured rate, or a link that was slow once would never be tried again.
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

// The classes of transfers.
const (
	Import Class = iota
	Export
	Prefetch
)

const (
	// sharedShare is the share of the link that exports and prefetches may use while no import does.
	sharedShare = 0.4
	// reserveShare is the share that imports cannot take from them.
	reserveShare = 0.1
	// BackgroundShare is the share of the link that exports and prefetches may use together.
	BackgroundShare = sharedShare + reserveShare
	// burst is how long the budget may be saved up.
	burst = time.Second
	// maxWaiting bounds the queue; the transfer with the latest deadline is dropped.
	maxWaiting = 256
	// maxAtOnce is how many transfers of the queue run at once; two keep the link busy between blocks.
	maxAtOnce = 2
	// rateMemory is the time constant of the moving average.
	rateMemory = 2 * time.Second
	// recovery is the time constant with which an estimate without transfers returns to the configured rate.
	recovery = 20 * time.Second
)

// slack is the time to the deadline of a transfer that names none.
var slack = [...]time.Duration{Import: 500 * time.Millisecond, Export: 5 * time.Second, Prefetch: 15 * time.Second}

// Job is one transfer. Bytes are weighted, so that a transfer from a slow tier counts as the link time that it takes.
type Job struct {
	ID       uint64
	Class    Class
	Bytes    int64
	Deadline time.Time
}

// WeightedBytes returns how many bytes at the link's full rate take as long as n bytes at the rate of a slower tier.
func WeightedBytes(n int64, tierRate, linkRate float64) int64 {
	if tierRate <= 0 || tierRate >= linkRate {
		return n
	}
	return int64(float64(n) * linkRate / tierRate)
}

// Link is the queue, the budget and the achieved rate of one link. It is not safe for concurrent use.
type Link struct {
	rate     float64 // configured, bytes a second
	achieved float64
	sampled  time.Time
	shared   float64 // bytes
	reserve  float64 // bytes
	filled   time.Time
	busy     time.Time // until when the transfers that were started keep the link busy
	waiting  []Job
	running  map[uint64]Job
}

// New returns an idle link.
func New(bytesPerSec float64, now time.Time) *Link {
	return &Link{
		rate: bytesPerSec, achieved: bytesPerSec, sampled: now, filled: now, running: map[uint64]Job{},
		shared: bytesPerSec * sharedShare * burst.Seconds(), reserve: bytesPerSec * reserveShare * burst.Seconds(),
	}
}

// Submit queues a transfer. If the queue is full, the least urgent transfer is dropped and returned.
func (l *Link) Submit(j Job, now time.Time) (dropped Job, full bool) {
	if j.Deadline.IsZero() {
		j.Deadline = now.Add(slack[j.Class])
	}
	l.waiting = append(l.waiting, j)
	if len(l.waiting) <= maxWaiting {
		return Job{}, false
	}
	last := 0
	for i := range l.waiting {
		if l.waiting[last].Deadline.Before(l.waiting[i].Deadline) {
			last = i
		}
	}
	return l.take(last), true
}

func (l *Link) take(i int) Job {
	j := l.waiting[i]
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return j
}

// RecordImport counts an import that an engine makes for a run and that does not pass through the queue.
func (l *Link) RecordImport(n int64, now time.Time) {
	l.fill(now)
	l.pay(Job{Class: Import, Bytes: n}, now)
}

// Next returns the transfer that should start now.
func (l *Link) Next(now time.Time) (Job, bool) {
	l.fill(now)
	background := l.shared > 0 || l.reserve > 0
	// The most urgent transfer may have to wait for the budget or a place, an import behind it has not.
	next := -1
	for i, j := range l.waiting {
		allowed := j.Class == Import || (background && len(l.running) < maxAtOnce)
		if allowed && (next < 0 || j.Deadline.Before(l.waiting[next].Deadline)) {
			next = i
		}
	}
	if next < 0 {
		return Job{}, false
	}
	j := l.take(next)
	if j.Class != Import {
		l.running[j.ID] = j
	}
	l.pay(j, now)
	return j, true
}

// fill adds what the budget gained since the last call.
func (l *Link) fill(now time.Time) {
	d := now.Sub(l.filled).Seconds()
	if d <= 0 {
		return
	}
	l.filled = now
	rate := l.BytesPerSec(now)
	l.shared = min(l.shared+d*rate*sharedShare, rate*sharedShare*burst.Seconds())
	l.reserve = min(l.reserve+d*rate*reserveShare, rate*reserveShare*burst.Seconds())
}

// pay charges the budget and keeps the link busy.
func (l *Link) pay(j Job, now time.Time) {
	n := float64(j.Bytes)
	switch {
	case j.Class == Import:
		// The debt is bounded, so that background transfers go on soon after the last import.
		l.shared = max(l.shared-n, min(l.shared, -l.rate*sharedShare*burst.Seconds()))
	case l.shared > 0:
		l.shared -= n
	default:
		l.reserve -= n
	}
	if l.busy.Before(now) {
		l.busy = now
	}
	l.busy = l.busy.Add(time.Duration(n / max(1, l.BytesPerSec(now)) * float64(time.Second)))
}

// Done ends a transfer of the queue; took is 0 if the transfer failed or was not timed.
func (l *Link) Done(id uint64, n int64, took time.Duration, now time.Time) {
	delete(l.running, id)
	if n > 0 && took > 0 {
		l.RecordRate(float64(n)/took.Seconds(), now)
	}
}

// RecordRate takes an observed rate into the average. A transfer that waited behind others looks slow on a good link,
// but none looks fast on a bad one, so a higher rate counts at once and a lower one with the time constant.
func (l *Link) RecordRate(bytesPerSec float64, now time.Time) {
	rate, w := l.BytesPerSec(now), 1.0
	if bytesPerSec < rate {
		w = 1 - math.Exp(-now.Sub(l.sampled).Seconds()/rateMemory.Seconds())
	}
	l.achieved = rate + w*(min(bytesPerSec, l.rate)-rate)
	l.sampled = now
}

// BytesPerSec returns the expected rate of the link in bytes a second.
func (l *Link) BytesPerSec(now time.Time) float64 {
	idle := max(0, now.Sub(l.sampled).Seconds())
	return l.rate + (l.achieved-l.rate)*math.Exp(-idle/recovery.Seconds())
}

// Backlog returns how long the transfers that were started keep the link busy at the expected rate.
func (l *Link) Backlog(now time.Time) time.Duration { return max(0, l.busy.Sub(now)) }

// QueueLen returns the number of transfers in the queue.
func (l *Link) QueueLen() int { return len(l.waiting) }
