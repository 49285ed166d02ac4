package shaper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
)

const testBytesPerSec = 100e6

var testStart = time.Unix(1_000_000, 0)

// Guards against starvation of a class, and against background transfers beyond their budget, for any rate of imports.
func TestRandomNoClassStarvesAndBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		l := New(testBytesPerSec, now)
		imports := rapid.IntRange(0, 3).Draw(t, "imports per step")
		size := rapid.Int64Range(1e5, 8e6).Draw(t, "bytes")
		const step, steps = 50 * time.Millisecond, 1200 // one minute
		var id uint64
		submitted := map[uint64]time.Time{}
		var background int64
		for i := range steps {
			now = now.Add(step)
			for _, c := range []Class{Import, Import, Import}[:imports] {
				id++
				l.Submit(Job{ID: id, Class: c, Bytes: size}, now)
			}
			if i%40 == 0 {
				for _, c := range []Class{Export, Prefetch} {
					id++
					l.Submit(Job{ID: id, Class: c, Bytes: size}, now)
					submitted[id] = now
				}
			}
			for j, ok := l.Next(now); ok; j, ok = l.Next(now) {
				if j.Class != Import {
					background += j.Bytes
					delete(submitted, j.ID)
					l.Done(j.ID, 0, 0, now)
				}
			}
		}
		for id, at := range submitted {
			require.Less(t, now.Sub(at), 20*time.Second, "transfer %d starves", id)
		}
		elapsed := now.Sub(testStart) + burstWindow
		limit := int64(testBytesPerSec*BackgroundShare*elapsed.Seconds()) + 2*size
		require.LessOrEqual(t, background, limit, "background transfers exceed their budget")
	})
}

// Guards against an unbounded queue, and against dropping a more urgent transfer for a less urgent one.
func TestRandomQueueIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(testBytesPerSec, testStart)
		for i := range 2 * maxQueued {
			d := testStart.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "deadline")) * time.Second)
			dropped, full := l.Submit(Job{ID: uint64(i), Class: Export, Bytes: 1, Deadline: d}, testStart)
			if full {
				require.False(t, dropped.Deadline.Before(d))
			}
			require.LessOrEqual(t, l.QueueLen(), maxQueued)
		}
	})
}

// Guards against late detection of a slow link, against a fast link that appears slow because of one queued transfer, and
// against a link that is avoided forever because no further transfer updates its estimate.
func TestRateFollowsLink(t *testing.T) {
	for name, tc := range map[string]struct {
		samples  int
		rate     float64
		idle     time.Duration
		low, top float64
	}{
		"slowed for five seconds": {samples: 10, rate: testBytesPerSec / 10, low: 0.1, top: 0.25},
		"one slow transfer":       {samples: 1, rate: testBytesPerSec / 10, low: 0.7, top: 1},
		"recovers without use":    {samples: 10, rate: testBytesPerSec / 10, idle: time.Minute, low: 0.9, top: 1},
		"never above configured":  {samples: 10, rate: testBytesPerSec * 3, low: 1, top: 1},
	} {
		t.Run(name, func(t *testing.T) {
			now := testStart
			l := New(testBytesPerSec, now)
			for range tc.samples {
				now = now.Add(500 * time.Millisecond)
				l.RecordRate(tc.rate, now)
			}
			got := l.BytesPerSec(now.Add(tc.idle)) / testBytesPerSec
			require.GreaterOrEqual(t, got, tc.low)
			require.LessOrEqual(t, got, tc.top)
		})
	}
}
