package tracker

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/placer"
	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
	"github.com/papayaworks/papayaworks/internal/shaper"
)

var testNow = time.Unix(1_000_000, 0)

func anchor(i int) (k keyer.Key) {
	binary.BigEndian.PutUint64(k[:8], uint64(i))
	return k
}

// Guards against unbounded numbers of hints and stored contexts, and against eviction of the newest instead of the oldest.
func TestMemoryIsBounded(t *testing.T) {
	tr := New(func() time.Time { return testNow })
	for i := range 2 * maxHints {
		tr.SetHint(anchor(i), Hint{Target: "t"})
		tr.RecordStored("s", false, StoredContext{Anchor: anchor(i), StoredContext: placer.StoredContext{Bytes: 1}})
	}
	require.Len(t, tr.hints, maxHints)
	require.Len(t, tr.stored[storeTier{"s", false}], maxStoredPerTier)
	_, ok := tr.Hint(anchor(0))
	require.False(t, ok)
	_, ok = tr.Hint(anchor(2*maxHints - 1))
	require.True(t, ok)
}

// Guards against exports that never start, or start twice, while the budget of the link is exhausted.
func TestRandomTransfersStartOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testNow
		tr := New(func() time.Time { return now })
		var timers []func()
		tr.AfterFunc = func(_ time.Duration, f func()) { timers = append(timers, f) }
		var ends []func(bool)
		n, started := rapid.IntRange(1, 40).Draw(t, "transfers"), map[int]int{}
		for i := range n {
			j := shaper.Job{Class: shaper.Export, Bytes: rapid.Int64Range(1, 50e6).Draw(t, "bytes")}
			tr.Transfer("s", 100e6, j, func(done func(bool)) {
				started[i]++
				ends = append(ends, done)
			})
		}
		for range 20 * 60 * 5 { // five minutes of budget for at most 40 transfers of 50 MB
			now = now.Add(budgetRetryInterval)
			due, finished := timers, ends
			timers, ends = nil, nil
			for _, f := range finished {
				f(rapid.Bool().Draw(t, "ok"))
			}
			for _, f := range due {
				f()
			}
		}
		require.Len(t, started, n)
		for i, times := range started {
			require.Equal(t, 1, times, "transfer %d", i)
		}
	})
}

// Guards against an instance that refuses all requests from then on: the lateness is updated by admitted requests only, so
// it must decay without them.
func TestLatenessDecaysWithoutRequests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tr := New(func() time.Time { return now })
	for range 100 {
		tr.RecordFirstToken("m", 0, 2*time.Second)
	}
	require.Greater(t, tr.Averages("m").Lateness, 1900*time.Millisecond)
	now = now.Add(10 * latenessDecay)
	require.Less(t, tr.Averages("m").Lateness, 10*time.Millisecond)
}
