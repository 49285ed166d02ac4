package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

// Guards against requests that wait at a target that is warming up while an equal one is free, and against such a target that is left
// idle while others have queues.
func TestWarmingTargetCostsMore(t *testing.T) {
	target := func(id string) *cataloger.Target { return &cataloger.Target{ID: id, Slots: 16} }
	for name, isEngine := range map[string]bool{"engine": true, "plain": false} {
		t.Run(name, func(t *testing.T) {
			in := Input{IsEngine: isEngine, UniqueTokens: 9000, Candidates: []Candidate{
				{Target: target("warming"), HashRank: 1, MeanDuration: 50 * time.Millisecond, Warming: true}, {Target: target("warm"), HashRank: 1, MeanDuration: 50 * time.Millisecond},
			}}
			for in.Seed = range 50 {
				d, err := Choose(in)
				require.NoError(t, err)
				require.Equal(t, "warm", d.Target.ID)
			}
			in.Candidates[1].Outstanding, in.Candidates[1].QueuedPrefillTokens = 16, 30_000
			for in.Seed = range 50 {
				d, err := Choose(in)
				require.NoError(t, err)
				require.Equal(t, "warming", d.Target.ID)
			}
		})
	}
}
