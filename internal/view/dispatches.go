package view

import (
	"sync/atomic"
	"time"
)

const (
	// The buckets cover the lag of a load report: one reporting period, the age of the report and one lost report.
	bucketCount = 16
	bucketWidth = 250 * time.Millisecond
)

// dispatchBucket counts the dispatches of one interval. Concurrent dispatches at the start of an interval may lose a few
// counts.
type dispatchBucket struct {
	epoch  atomic.Int64 // number of the interval since the Unix epoch
	runs   atomic.Int64
	tokens atomic.Int64
}

// Record counts a dispatch and the prompt tokens that the target has to prefill for it. It is safe for concurrent use.
func (d *Dispatches) Record(now time.Time, tokens int) {
	e := now.UnixNano() / int64(bucketWidth)
	b := &d.buckets[uint64(e)%bucketCount]
	if prev := b.epoch.Load(); prev != e && b.epoch.CompareAndSwap(prev, e) {
		b.runs.Store(0)
		b.tokens.Store(0)
	}
	b.runs.Add(1)
	b.tokens.Add(int64(tokens))
}

// Backlog extrapolates the target's backlog of prompt tokens from the value reported at the time at to now, adding this
// instance's dispatches since the report. The rate tokensPerSec is the target's prefill rate minus the rate at which other
// instances send tokens. It returns the tokens left to prefill and the runs dispatched since the report.
func (d *Dispatches) Backlog(reported float64, at, now time.Time, tokensPerSec float64) (tokens float64, runs int) {
	last := now.UnixNano() / int64(bucketWidth)
	first := max(at.UnixNano()/int64(bucketWidth), last-bucketCount+1)
	drained := tokensPerSec * bucketWidth.Seconds()
	tokens = max(0, reported-tokensPerSec*max(0, now.Sub(at).Seconds()-float64(last-first+1)*bucketWidth.Seconds()))
	for e := first; e <= last; e++ {
		share := 1.0
		if e == last {
			share = float64(now.UnixNano()%int64(bucketWidth)) / float64(bucketWidth)
		}
		if b := &d.buckets[uint64(e)%bucketCount]; b.epoch.Load() == e {
			tokens += float64(b.tokens.Load())
			runs += int(b.runs.Load())
		}
		tokens = max(0, tokens-drained*share)
	}
	return tokens, runs
}

// RecentRuns returns the number of runs dispatched within the given time before now. If the buckets do not cover that
// time, the count is extrapolated from the part that they cover.
func (d *Dispatches) RecentRuns(now time.Time, within time.Duration) float64 {
	const covered = (bucketCount - 1) * bucketWidth
	window := min(within, covered)
	if window <= 0 {
		return 0
	}
	start, last := now.Add(-window).UnixNano(), now.UnixNano()/int64(bucketWidth)
	runs := 0.0
	for e := start / int64(bucketWidth); e <= last; e++ {
		b := &d.buckets[uint64(e)%bucketCount]
		if b.epoch.Load() != e {
			continue
		}
		share := 1.0
		if from := e * int64(bucketWidth); from < start {
			share = 1 - float64(start-from)/float64(bucketWidth)
		}
		runs += share * float64(b.runs.Load())
	}
	return runs * float64(within) / float64(window)
}
