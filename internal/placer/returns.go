package placer

import (
	"math"
	"math/bits"
	"time"
)

const (
	gapBuckets = 24
	// firstGapBucket is the width of the first bucket. The bounds of the further ones double, so the last one starts at 24
	// days.
	firstGapBucket = time.Second / 2
	// maxKeys bounds the histories; it suffices for 1,200 accounts with a few applications each.
	maxKeys = 4096
	// maxWeight is the number of finished runs at which a history is halved, so that a change in behaviour takes effect within
	// about as many runs.
	maxWeight = 512.0
	// The prior for keys with little history: half of the conversations return, and half of their gaps are at most priorGap.
	// It weighs as much as priorWeight runs.
	priorReturnProbability = 0.5
	priorWeight            = 4.0
	priorGap               = 5 * time.Minute
)

// Key identifies the runs whose returns share one history.
type Key struct {
	Account     string
	Application string
}

// history holds the decayed counts of one key.
type history struct {
	gaps     [gapBuckets]float64
	ended    float64
	returned float64
	gapCount float64 // sum of gaps
	usedAt   time.Time
}

// ReturnStats estimates how often and after which idle gap conversations return, from a bounded number of decayed histograms.
// It is not safe for concurrent use.
type ReturnStats struct {
	byKey map[Key]*history
}

// NewReturnStats returns a ReturnStats without history.
func NewReturnStats() *ReturnStats { return &ReturnStats{byKey: map[Key]*history{}} }

func gapBucket(gap time.Duration) int {
	return min(gapBuckets-1, bits.Len64(uint64(max(0, gap)/firstGapBucket)))
}

// RecordEnd counts a finished run, whose conversation may return.
func (r *ReturnStats) RecordEnd(k Key, now time.Time) {
	h := r.touch(k, now)
	if h.ended >= maxWeight {
		h.halve()
	}
	h.ended++
}

// RecordReturn counts a run that continues a conversation; gap is the time since the previous run, or 0 if it is unknown. The
// gap must not be taken from a manifest in a KV store: manifests of conversations with long gaps have been evicted more often,
// which would bias the histogram.
func (r *ReturnStats) RecordReturn(k Key, gap time.Duration, now time.Time) {
	h := r.touch(k, now)
	h.returned++
	if gap > 0 {
		h.gaps[gapBucket(gap)]++
		h.gapCount++
	}
}

func (h *history) halve() {
	h.ended /= 2
	h.returned /= 2
	h.gapCount = 0
	for i := range h.gaps {
		h.gaps[i] /= 2
		h.gapCount += h.gaps[i]
	}
}

// touch returns the history of k and creates it if needed, in which case the least recently used one is evicted at the limit.
func (r *ReturnStats) touch(k Key, now time.Time) *history {
	h := r.byKey[k]
	if h == nil {
		if len(r.byKey) >= maxKeys {
			r.evictOldest()
		}
		h = new(history)
		r.byKey[k] = h
	}
	h.usedAt = now
	return h
}

func (r *ReturnStats) evictOldest() {
	var oldest Key
	var oldestUse time.Time
	for k, h := range r.byKey {
		if oldestUse.IsZero() || h.usedAt.Before(oldestUse) {
			oldest, oldestUse = k, h.usedAt
		}
	}
	delete(r.byKey, oldest)
}

// Len returns the number of histories.
func (r *ReturnStats) Len() int { return len(r.byKey) }

// ReturnProbability returns the estimated probability that a conversation returns.
func (r *ReturnStats) ReturnProbability(k Key) float64 {
	h := r.byKey[k]
	if h == nil {
		return priorReturnProbability
	}
	return min(1, (h.returned+priorWeight*priorReturnProbability)/(h.ended+priorWeight))
}

// ReturnShareWithin returns the estimated share of returns whose gap is at most d.
func (r *ReturnStats) ReturnShareWithin(k Key, d time.Duration) float64 {
	prior := 1 - math.Exp2(-float64(d)/float64(priorGap))
	h := r.byKey[k]
	if h == nil {
		return prior
	}
	b, sum := gapBucket(d), 0.0
	for i := range b {
		sum += h.gaps[i]
	}
	// The bucket that contains d counts in proportion to the part of it below d.
	low, high := time.Duration(0), firstGapBucket
	if b > 0 {
		low, high = firstGapBucket<<(b-1), firstGapBucket<<b
	}
	sum += h.gaps[b] * min(1, float64(d-low)/float64(high-low))
	return (sum + priorWeight*prior) / (h.gapCount + priorWeight)
}
