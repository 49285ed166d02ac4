package router

import (
	"math"
	"math/bits"
	"time"
)

const (
	// ageBuckets is the number of buckets of the age of cached blocks.
	ageBuckets = 24
	// firstBucketWidth is the width of the first age bucket; the bounds of further buckets double, up to days.
	firstBucketWidth = 100 * time.Millisecond
	// priorHalfLife and priorWeight define the estimate before there are observations; the weight is in observations.
	priorHalfLife = 30 * time.Second
	priorWeight   = 2.0
	// maxObservations is the count at which a bucket is halved, so that the estimate follows a change of the load within
	// about as many runs.
	maxObservations = 64.0
)

// Residency estimates how long blocks stay in the accelerators' caches, from the cache hits of later runs.
// It is not safe for concurrent use.
type Residency struct {
	hits, observations [ageBuckets]float64
}

func ageBucket(age time.Duration) int {
	return min(ageBuckets-1, bits.Len64(uint64(max(0, age)/firstBucketWidth)))
}

// Observe records a run that started at the given time after the previous one at the same target and found the given share
// of the blocks in the cache.
func (r *Residency) Observe(age time.Duration, hitShare float64) {
	b := ageBucket(age)
	if r.observations[b] >= maxObservations {
		r.hits[b] /= 2
		r.observations[b] /= 2
	}
	r.hits[b] += hitShare
	r.observations[b]++
}

// Probability returns the probability that blocks are still cached on the accelerator at the given age.
func (r *Residency) Probability(age time.Duration) float64 {
	prior := math.Exp2(-float64(max(0, age)) / float64(priorHalfLife))
	b := ageBucket(age)
	return (r.hits[b] + priorWeight*prior) / (r.observations[b] + priorWeight)
}

// HalfLife returns the age at which [Residency.Probability] falls below one half, to the resolution of the age buckets.
func (r *Residency) HalfLife() time.Duration {
	for b := range ageBuckets {
		age := firstBucketWidth << b / 2
		if r.Probability(age) < 0.5 {
			return age
		}
	}
	return firstBucketWidth << ageBuckets
}
