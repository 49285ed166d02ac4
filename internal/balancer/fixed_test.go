package balancer

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

// chooseFixed is Choose as it was before there were learned rates, with all constants as numbers where they are learned now.
func chooseFixed(in Input) (Decision, error) {
	r := rand.New(rand.NewPCG(in.Seed, 1))
	best := Decision{}
	least := time.Duration(math.MaxInt64)
	jitter := costJitter
	if in.LoadUnknown {
		jitter = unknownLoadJitter
	}
	for _, c := range in.Candidates {
		d := estimateFixed(in, c)
		if jittered := time.Duration(float64(d.Cost) * (1 + jitter*r.Float64())); jittered < least {
			least, best = jittered, d
		}
	}
	if best.Target == nil {
		return Decision{}, ErrNoTarget
	}
	if in.LoadUnknown {
		best.Reason += ReasonLoadUnknown
	}
	if in.IsEngine && in.Objective > 0 && best.Cost > in.Objective {
		return best, ErrObjectiveMissed
	}
	return best, nil
}

// estimateFixed returns the decision that would choose c.
func estimateFixed(in Input, c Candidate) Decision {
	d := Decision{Target: c.Target, Reason: ReasonLeastLatency, Outstanding: c.Outstanding}
	slots := max(1, c.Target.Slots)
	if excess := c.Outstanding + 1 - slots; excess > 0 {
		d.QueueDelay = time.Duration(float64(c.MeanDuration) * float64(excess) / float64(slots))
	}
	if c.Remote {
		d.Cost += crossDataCentreRTT
	}
	if c.Superseded {
		d.Cost += supersededPenalty
	}
	if !in.IsEngine {
		fill := float64(c.Outstanding) / float64(slots)
		d.Cost += d.QueueDelay + time.Duration(float64(c.MeanDuration)*(1+fill*fill))
		return d
	}
	if c.HashRank == 0 {
		d.Reason = ReasonPreferred
	}
	if excess := c.Tokens + in.SharedTokens + in.UniqueTokens + in.OutputTokens - int(maxFillRatio*float64(in.CapacityTokens)); in.CapacityTokens > 0 && excess > 0 {
		d.QueueDelay = max(d.QueueDelay, time.Duration(float64(in.MeanHoldTime)*float64(excess)/float64(in.CapacityTokens)))
	}
	cached := recentHitRate * float64(c.RecentlySentTokens)
	if c.HashRank == 0 {
		cached = max(cached, preferredHitRate*float64(in.SharedTokens))
	}
	fetch := max(0, float64(c.StoredTokens)-cached) / 400_000.0
	d.PrefillTokens = in.SharedTokens + in.UniqueTokens - int(max(cached, float64(c.StoredTokens)))
	slowdown := 1 + 0.03*float64(c.Outstanding)
	prefill := (float64(c.QueuedPrefillTokens)+prefillCostWeight*float64(d.PrefillTokens))/90_000.0*slowdown + fetch
	d.Cost += d.QueueDelay + time.Duration(prefill*float64(time.Second))
	return d
}

// randomInput returns an input with up to 40 candidates, of either kind of service.
func randomInput(r *rand.Rand) Input {
	in := Input{IsEngine: r.IntN(2) == 0, SharedTokens: r.IntN(10_000), UniqueTokens: r.IntN(4000), OutputTokens: r.IntN(100), LoadUnknown: r.IntN(4) == 0, Seed: r.Uint64()}
	if r.IntN(2) == 0 {
		in.Objective, in.CapacityTokens, in.MeanHoldTime = time.Duration(r.IntN(800))*time.Millisecond, 82_308, time.Second
	}
	for i := range r.IntN(40) {
		in.Candidates = append(in.Candidates, Candidate{
			Target: &cataloger.Target{ID: fmt.Sprint(i), Slots: r.IntN(17)}, Remote: r.IntN(3) > 0, Superseded: r.IntN(9) == 0, Outstanding: r.IntN(30), HashRank: i,
			Tokens: r.IntN(120_000), QueuedPrefillTokens: r.IntN(40_000), RecentlySentTokens: r.IntN(2) * in.SharedTokens, StoredTokens: r.IntN(2) * in.SharedTokens,
			MeanDuration: time.Duration(r.IntN(500)) * time.Millisecond,
		})
	}
	return in
}

// Guards against decisions that change in services whose targets state no slowdown.
func TestFixedDecisionsAreUnchanged(t *testing.T) {
	r := rand.New(rand.NewPCG(11, 11))
	refused := 0
	for range 20_000 {
		in := randomInput(r)
		want, wantErr := chooseFixed(in)
		got, err := Choose(in)
		require.ErrorIs(t, err, wantErr)
		require.Equal(t, want.Cost, got.Expected)
		want.Expected, want.Wait = got.Expected, got.Wait
		require.Equal(t, want, got)
		if errors.Is(err, ErrObjectiveMissed) {
			refused++
		}
	}
	require.Greater(t, refused, 1000)
}
