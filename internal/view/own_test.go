package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against own dispatches that are forgotten before their runs must have ended, or are counted after that.
func TestOwnRecent(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	for name, tc := range map[string]struct {
		age, within time.Duration
		want        float64
	}{
		"still running":             {2 * time.Second, 3 * time.Second, 10},
		"must have ended":           {3 * time.Second, 2 * time.Second, 0},
		"no run time known":         {time.Second, 0, 0},
		"half of an interval":       {2 * time.Second, 1875 * time.Millisecond, 5},
		"longer than what is kept":  {2 * time.Second, 7500 * time.Millisecond, 20},
		"sent in the same interval": {0, time.Second, 10},
	} {
		t.Run(name, func(t *testing.T) {
			var o Dispatches
			for range 10 {
				o.Record(at, 100)
			}
			require.InDelta(t, tc.want, o.RecentRuns(at.Add(tc.age), tc.within), 1e-9)
		})
	}
}
