package router

import (
	"math"
	"math/bits"
	"time"
)

const (
	ageBuckets = 24
	// ageUnit is the width of the first bucket; each further one is twice as wide, up to days.
	ageUnit = 100 * time.Millisecond
	// priorLife and priorWeight say what is assumed before anything was seen.
	priorLife   = 30 * time.Second
	priorWeight = 2.0
	// maxTries bounds the weight of the past, so that a change of the load shows after as many runs.
	maxTries = 64.0
)

// Residency learns how long blocks stay on the accelerators, from whether runs found them.
// It is not safe for concurrent use.
type Residency struct {
	hits, tries [ageBuckets]float64
}

func ageBucket(age time.Duration) int {
	return min(ageBuckets-1, bits.Len64(uint64(max(0, age)/ageUnit)))
}

// Observe counts a run that came age after the last one at the same target and found the given share of the blocks.
func (r *Residency) Observe(age time.Duration, found float64) {
	b := ageBucket(age)
	if r.tries[b] >= maxTries {
		r.hits[b] /= 2
		r.tries[b] /= 2
	}
	r.hits[b] += found
	r.tries[b]++
}

// Probability returns the chance that blocks are still on the accelerator after age.
func (r *Residency) Probability(age time.Duration) float64 {
	prior := math.Exp2(-float64(max(0, age)) / float64(priorLife))
	b := ageBucket(age)
	return (r.hits[b] + priorWeight*prior) / (r.tries[b] + priorWeight)
}

// HalfLife returns the age at which the chance falls below one half.
func (r *Residency) HalfLife() time.Duration {
	for b := range ageBuckets {
		age := ageUnit << b / 2
		if r.Probability(age) < 0.5 {
			return age
		}
	}
	return ageUnit << ageBuckets
}
