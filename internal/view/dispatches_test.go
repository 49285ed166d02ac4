package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against dispatches that stop counting while their runs are still in progress, or count after the runs have ended.
func TestRecentRuns(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	for name, tc := range map[string]struct {
		age, within time.Duration
		want        float64
	}{
		"still running":           {2 * time.Second, 3 * time.Second, 10},
		"run has ended":           {3 * time.Second, 2 * time.Second, 0},
		"unknown run time":        {time.Second, 0, 0},
		"half of a bucket":        {2 * time.Second, 1875 * time.Millisecond, 5},
		"longer than the buckets": {2 * time.Second, 7500 * time.Millisecond, 20},
		"sent in the same bucket": {0, time.Second, 10},
	} {
		t.Run(name, func(t *testing.T) {
			var d Dispatches
			for range 10 {
				d.Record(at, 100)
			}
			require.InDelta(t, tc.want, d.RecentRuns(at.Add(tc.age), tc.within), 1e-9)
		})
	}
}
