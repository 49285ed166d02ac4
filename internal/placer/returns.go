package placer

import (
	"math"
	"math/bits"
	"time"
)

const (
	gapBuckets = 24
	// gapUnit is the width of the first bucket; each further one is twice as wide, the last begins after 48 days.
	gapUnit = time.Second / 2
	// maxKeys bounds the accounts and applications that are followed: 1,200 accounts with a few applications each.
	maxKeys = 4096
	// maxWeight halves a history when it is reached, so that a change of habit shows after as many runs.
	maxWeight = 512.0
	// The prior: before anything was seen, half of the conversations come back, after minutes.
	priorReturn = 0.5
	priorWeight = 4.0
	priorGap    = 5 * time.Minute
)

// Key names whose returns are learned together.
type Key struct {
	Account     string
	Application string
}

type history struct {
	gaps     [gapBuckets]float64
	ended    float64
	returned float64
	seen     float64
	last     time.Time
}

// ReturnStats learns how often and after which time conversations come back, in a bounded number of decayed histograms.
// It is not safe for concurrent use.
type ReturnStats struct {
	byKey map[Key]*history
}

// NewReturnStats returns an empty memory.
func NewReturnStats() *ReturnStats { return &ReturnStats{byKey: map[Key]*history{}} }

func gapBucket(gap time.Duration) int {
	return min(gapBuckets-1, bits.Len64(uint64(max(0, gap)/gapUnit)))
}

// RecordEnd counts a finished run, which may come back.
func (r *ReturnStats) RecordEnd(k Key, now time.Time) {
	h := r.at(k, now)
	if h.ended >= maxWeight {
		h.halve()
	}
	h.ended++
}

// RecordReturn counts a run that continues a conversation; gap is the time since the last run, 0 if it is not
// known. It must not come from a stored manifest, as those of long gaps have been dropped more often.
func (r *ReturnStats) RecordReturn(k Key, gap time.Duration, now time.Time) {
	h := r.at(k, now)
	h.returned++
	if gap > 0 {
		h.gaps[gapBucket(gap)]++
		h.seen++
	}
}

func (h *history) halve() {
	h.ended /= 2
	h.returned /= 2
	h.seen = 0
	for i := range h.gaps {
		h.gaps[i] /= 2
		h.seen += h.gaps[i]
	}
}

// at returns the history of k and forgets the one that was used least recently if there are too many.
func (r *ReturnStats) at(k Key, now time.Time) *history {
	h := r.byKey[k]
	if h == nil {
		if len(r.byKey) >= maxKeys {
			r.forget()
		}
		h = new(history)
		r.byKey[k] = h
	}
	h.last = now
	return h
}

func (r *ReturnStats) forget() {
	var oldest Key
	var at time.Time
	for k, h := range r.byKey {
		if at.IsZero() || h.last.Before(at) {
			oldest, at = k, h.last
		}
	}
	delete(r.byKey, oldest)
}

// Len returns the number of histories.
func (r *ReturnStats) Len() int { return len(r.byKey) }

// ReturnProbability returns the chance that a conversation comes back at all.
func (r *ReturnStats) ReturnProbability(k Key) float64 {
	h := r.byKey[k]
	if h == nil {
		return priorReturn
	}
	return min(1, (h.returned+priorWeight*priorReturn)/(h.ended+priorWeight))
}

// ReturnShareWithin returns the share of returns that come within a time.
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
	// The bucket of d counts in proportion to how far d reaches into it.
	low, high := time.Duration(0), gapUnit
	if b > 0 {
		low, high = gapUnit<<(b-1), gapUnit<<b
	}
	sum += h.gaps[b] * min(1, float64(d-low)/float64(high-low))
	return (sum + priorWeight*prior) / (h.seen + priorWeight)
}
