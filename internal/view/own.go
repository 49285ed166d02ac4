package view

import (
	"sync/atomic"
	"time"
)

const (
	// sentBuckets and sentWidth cover the lag of a load report: one period, the report's own age and a lost report.
	sentBuckets = 16
	sentWidth   = 250 * time.Millisecond
)

// sent counts what was dispatched in one interval. A race when an interval begins loses a few counts, no more.
type sent struct {
	epoch  atomic.Int64
	runs   atomic.Int64
	tokens atomic.Int64
}

// Record counts a dispatch with the prompt tokens that the target has to compute for it.
func (o *Dispatches) Record(now time.Time, tokens int) {
	e := now.UnixNano() / int64(sentWidth)
	b := &o.sent[uint64(e)%sentBuckets]
	if old := b.epoch.Load(); old != e && b.epoch.CompareAndSwap(old, e) {
		b.runs.Store(0)
		b.tokens.Store(0)
	}
	b.runs.Add(1)
	b.tokens.Add(int64(tokens))
}

// Backlog follows the target's queue of prompt tokens from a report to now, with own dispatches since then.
// The rate is what the target computes less what others send to it. It returns the tokens that are still to be
// computed and the runs that were sent since the report.
func (o *Dispatches) Backlog(reported float64, at, now time.Time, tokensPerSec float64) (tokens float64, runs int) {
	last := now.UnixNano() / int64(sentWidth)
	first := max(at.UnixNano()/int64(sentWidth), last-sentBuckets+1)
	drained := tokensPerSec * sentWidth.Seconds()
	tokens = max(0, reported-tokensPerSec*max(0, now.Sub(at).Seconds()-float64(last-first+1)*sentWidth.Seconds()))
	for e := first; e <= last; e++ {
		share := 1.0
		if e == last {
			share = float64(now.UnixNano()%int64(sentWidth)) / float64(sentWidth)
		}
		if b := &o.sent[uint64(e)%sentBuckets]; b.epoch.Load() == e {
			tokens += float64(b.tokens.Load())
			runs += int(b.runs.Load())
		}
		tokens = max(0, tokens-drained*share)
	}
	return tokens, runs
}

// RecentRuns returns the runs that were sent within a time before now; the time is cut to what the buckets cover, and the
// count is scaled up for the rest.
func (o *Dispatches) RecentRuns(now time.Time, within time.Duration) float64 {
	const covered = (sentBuckets - 1) * sentWidth
	window := min(within, covered)
	if window <= 0 {
		return 0
	}
	begin, last := now.Add(-window).UnixNano(), now.UnixNano()/int64(sentWidth)
	runs := 0.0
	for e := begin / int64(sentWidth); e <= last; e++ {
		b := &o.sent[uint64(e)%sentBuckets]
		if b.epoch.Load() != e {
			continue
		}
		share := 1.0
		if from := e * int64(sentWidth); from < begin {
			share = 1 - float64(begin-from)/float64(sentWidth)
		}
		runs += share * float64(b.runs.Load())
	}
	return runs * float64(within) / float64(window)
}
