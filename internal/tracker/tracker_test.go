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

// Guards against hints and kept contexts without bound, and against forgetting the newest instead of the oldest.
func TestMemoryIsBounded(t *testing.T) {
	tr := New(func() time.Time { return testNow })
	for i := range 2 * maxHints {
		tr.Remember(anchor(i), Hint{Target: "t"})
		tr.Keep("s", false, Kept{Anchor: anchor(i), StoredContext: placer.StoredContext{Bytes: 1}})
	}
	require.Len(t, tr.hints, maxHints)
	require.Len(t, tr.kept[tier{"s", false}], maxKept)
	_, ok := tr.Hint(anchor(0))
	require.False(t, ok)
	_, ok = tr.Hint(anchor(2*maxHints - 1))
	require.True(t, ok)
}

// Guards against exports that never start or start twice while the budget of the link is used up.
func TestRandomMovesAllStartOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testNow
		tr := New(func() time.Time { return now })
		var timers []func()
		tr.After = func(_ time.Duration, f func()) { timers = append(timers, f) }
		var ends []func(bool)
		n, started := rapid.IntRange(1, 40).Draw(t, "moves"), map[int]int{}
		for i := range n {
			j := shaper.Job{Class: shaper.Export, Bytes: rapid.Int64Range(1, 50e6).Draw(t, "bytes")}
			tr.Move("s", 100e6, j, func(done func(bool)) {
				started[i]++
				ends = append(ends, done)
			})
		}
		for range 20 * 60 * 5 { // five minutes of budget for at most 40 times 50 MB
			now = now.Add(budgetPause)
			run, finished := timers, ends
			timers, ends = nil, nil
			for _, f := range finished {
				f(rapid.Bool().Draw(t, "ok"))
			}
			for _, f := range run {
				f()
			}
		}
		require.Len(t, started, n)
		for i, times := range started {
			require.Equal(t, 1, times, "move %d", i)
		}
	})
}

// Guards against an instance that refuses everything for ever: without admitted requests it learns no new lateness.
func TestLatenessFadesWithoutRequests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tr := New(func() time.Time { return now })
	for range 100 {
		tr.First("m", 0, 2*time.Second)
	}
	require.Greater(t, tr.Means("m").Late, 1900*time.Millisecond)
	now = now.Add(10 * lateFade)
	require.Less(t, tr.Means("m").Late, 10*time.Millisecond)
}
