package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/estimator"
)

// Guards against an expected wait that is lost or negative: the expectation is compared with samples.
func TestArrivalsExcess(t *testing.T) {
	for _, mean := range []float64{0, 0.3, 2.4, 7} {
		a := newArrivals(mean)
		r := rand.New(rand.NewPCG(1, 2))
		const samples = 20_000
		for _, free := range []int{-2, 0, 1, 3, 8, maxArrivals + 1} {
			sum := 0.0
			for range samples {
				// The number of events in unit time with exponential gaps has the Poisson distribution.
				n, at := 0, 0.0
				for mean > 0 {
					if at += r.ExpFloat64() / mean; at > 1 {
						break
					}
					n++
				}
				sum += float64(max(0, n-free))
			}
			require.InDelta(t, sum/samples, a.excess(free), 0.1, "mean %v, %d free", mean, free)
		}
	}
}

// Guards against engines that are filled to their last slot although requests of other instances are on their way there: at the peak of a
// wave, with a picture of the load that is 150 ms old, such requests wait for a slot.
func TestHiddenRequestsKeepEnginesFromFilling(t *testing.T) {
	rates := estimator.InitialRates()
	candidate := func(id string, outstanding int) Candidate {
		return Candidate{Target: &cataloger.Target{ID: id, Slots: 12}, Outstanding: outstanding, MeanDuration: 1200 * time.Millisecond, HashRank: 1}
	}
	in := Input{IsEngine: true, Rates: &rates, UniqueTokens: 800, Candidates: []Candidate{candidate("full soon", 10), candidate("free", 7)}}
	count := func() int {
		n := 0
		for seed := range uint64(200) {
			in.Seed = seed
			d, err := Choose(in)
			require.NoError(t, err)
			if d.Target.ID == "full soon" {
				n++
			}
		}
		return n
	}
	require.NotZero(t, count(), "both look alike as far as they are known")
	in.HiddenRequests = 2.4
	require.Zero(t, count())
}

// Guards against conversations that go to a busy preferred target although their blocks were not computed yet, as after a weight update.
func TestUnstoredBlocksAreRarelyCached(t *testing.T) {
	rates := estimator.InitialRates()
	in := Input{IsEngine: true, Rates: &rates, SharedTokens: 9000, StoresKnown: true, Candidates: []Candidate{{Target: &cataloger.Target{ID: "t", Slots: 12}}}}
	cached := func(stored int) float64 {
		in.Candidates[0].StoredTokens = stored
		return in.cachedTokens(&in.Candidates[0])
	}
	require.InDelta(t, unstoredHitRate*9000, cached(0), 1)
	require.InDelta(t, preferredHitRate*9000, cached(9000), 1)
	in.StoresKnown = false
	require.InDelta(t, preferredHitRate*9000, cached(0), 1)
	in.StoresKnown, in.Rates = true, nil
	require.InDelta(t, preferredHitRate*9000, cached(0), 1, "without learned rates decisions are as before")
}
