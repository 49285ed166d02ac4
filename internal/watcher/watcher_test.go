package watcher

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// watch returns a watcher that knows the targets.
func watch(ids ...string) *Watcher {
	w := New(nil, nil, logger.Discard())
	for _, id := range ids {
		w.handle(event{batch: Batch{Changes: []Change{seen(id)}}}, epoch)
	}
	return w
}

func seen(id string) TargetUpdated { return TargetUpdated{&cataloger.Target{ID: id, Service: "s"}} }

func leaving(id string) TargetUpdated {
	return TargetUpdated{&cataloger.Target{ID: id, Service: "s", Leaving: true}}
}

// Guards against targets that are forgotten because their entries lapsed while the store was away, and against targets
// that are kept although they left or did not come back.
func TestLapsedEntries(t *testing.T) {
	gone := []Change{TargetRemoved{"a"}}
	tests := map[string]struct {
		first     []Change
		lost      bool
		batch     Batch
		back      []Change
		at        time.Duration
		wantKnown bool
	}{
		"store was not away":          {nil, false, Batch{Changes: gone}, nil, 0, false},
		"lapsed, within the grace":    {nil, true, Batch{Changes: gone}, nil, lapseGrace, true},
		"lapsed, past the grace":      {nil, true, Batch{Changes: gone}, nil, lapseGrace + 1, false},
		"lapsed and came back":        {nil, true, Batch{Changes: gone}, []Change{seen("a")}, time.Hour, true},
		"had said that it leaves":     {[]Change{leaving("a")}, true, Batch{Changes: gone}, nil, 0, false},
		"missing in a snapshot":       {nil, true, Batch{Changes: []Change{seen("b")}, IsSnapshot: true}, nil, lapseGrace, true},
		"missing in it, past the end": {nil, true, Batch{Changes: []Change{seen("b")}, IsSnapshot: true}, nil, lapseGrace + 1, false},
		"not in an ordinary batch":    {nil, true, Batch{Changes: []Change{seen("b")}}, nil, time.Hour, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := watch("a", "b")
			w.handle(event{batch: Batch{Changes: tc.first}}, epoch)
			w.handle(event{batch: tc.batch, afterLoss: tc.lost}, epoch)
			if tc.back != nil {
				w.handle(event{batch: Batch{Changes: tc.back}}, epoch.Add(time.Second))
			}
			w.expire(epoch.Add(tc.at))
			_, ok := w.View().Target("a")
			require.Equal(t, tc.wantKnown, ok)
			_, ok = w.View().Target("b")
			require.True(t, ok)
		})
	}
}

// Guards against records of other writers that change what is known.
func TestUnreadableRecords(t *testing.T) {
	w := watch("a")
	before := w.View()
	w.handle(event{batch: Batch{Changes: []Change{InvalidRecord{Key: "a", Err: errors.New("no target")}, TargetRemoved{"never seen"}}}}, epoch)
	require.Same(t, before, w.View())
}

// script is a source that answers as it is told.
type script struct {
	reads atomic.Int64
	down  atomic.Bool
	// news come at these times after the start.
	news  []time.Duration
	begun time.Time
}

// Snapshot implements Source.
func (s *script) Snapshot(ctx context.Context) (Batch, error) { return s.Changes(ctx, 0, 0) }

// Changes implements Source.
func (s *script) Changes(ctx context.Context, _ int64, wait time.Duration) (Batch, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return Batch{}, errors.New("refused")
	}
	for i, at := range s.news {
		if left := at - time.Since(s.begun); left > 0 && left < wait {
			sleeper.Sleep(ctx, left)
			return Batch{Changes: []Change{DesiredVersionChange{"m", int64(i)}}}, nil
		}
	}
	sleeper.Sleep(ctx, wait)
	return Batch{}, ctx.Err()
}

// run starts a watcher in a bubble of synthetic time.
func run(t *testing.T, op, targets *script, wait time.Duration) *Watcher {
	t.Helper()
	w := New(op, targets, logger.Discard())
	w.LongPollTimeout = wait
	w.elapsed = func() time.Duration { return time.Since(op.begun) + time.Second }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

// Guards against keys that become too old to be trusted while the store answers, and against more calls than that takes.
func TestAgeStaysBoundedWhileTheStoreAnswers(t *testing.T) {
	tests := map[string]struct {
		wait time.Duration
		news []time.Duration
	}{
		"no news":               {defaultWait, nil},
		"news late in the wait": {defaultWait, []time.Duration{1900 * time.Millisecond, 3800 * time.Millisecond, 3900 * time.Millisecond}},
		"a shorter wait":        {500 * time.Millisecond, []time.Duration{490 * time.Millisecond, 2 * time.Second}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				op := &script{news: tc.news, begun: time.Now()}
				w := run(t, op, &script{begun: time.Now()}, tc.wait)
				time.Sleep(time.Millisecond)
				const looks, pause = 200, 50 * time.Millisecond
				for range looks {
					time.Sleep(pause)
					synctest.Wait()
					require.LessOrEqual(t, w.ConfigAge(), 2*tc.wait+pause)
				}
				// The snapshot, the read in progress, and one more for each of the news.
				require.LessOrEqual(t, int(op.reads.Load()), int(looks*pause/tc.wait)+2+len(tc.news))
			})
		})
	}
}

// Guards against an outage in which all sources are tried again and again, since failed calls are charged and the store has
// a rate that it bears, and against keys that stay untrusted for long after it.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		op, targets := &script{begun: time.Now()}, &script{begun: time.Now()}
		w := run(t, op, targets, defaultWait)
		time.Sleep(5 * time.Second)
		op.down.Store(true)
		targets.down.Store(true)
		op.reads.Store(0)
		targets.reads.Store(0)
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, int(targets.reads.Load()), 6)
		require.Greater(t, int(op.reads.Load()), 8)
		op.down.Store(false)
		targets.down.Store(false)
		targets.reads.Store(0)
		time.Sleep(lastRetry + 2*awayPeriod)
		require.Positive(t, targets.reads.Load(), "the store is back")
		require.Less(t, w.ConfigAge(), lastRetry+2*awayPeriod)
	})
}

// BenchmarkTargets handles a read with a beat of each of 830 targets.
func BenchmarkTargets(b *testing.B) {
	var ids []string
	var beats []Change
	for i := range 830 {
		ids = append(ids, fmt.Sprint("t-", i))
		beats = append(beats, seen(ids[i]))
	}
	w := watch(ids...)
	for b.Loop() {
		w.handle(event{batch: Batch{Changes: beats}}, epoch)
	}
}
