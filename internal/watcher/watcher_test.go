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

// newWatcher returns a watcher with the targets registered.
func newWatcher(ids ...string) *Watcher {
	w := New(nil, nil, logger.Discard())
	for _, id := range ids {
		w.handle(event{batch: Batch{Changes: []Change{registered(id)}}}, epoch)
	}
	return w
}

func registered(id string) TargetUpdated {
	return TargetUpdated{&cataloger.Target{ID: id, Service: "s"}}
}

func leaving(id string) TargetUpdated {
	return TargetUpdated{&cataloger.Target{ID: id, Service: "s", Leaving: true}}
}

// Guards against removing targets whose records expired only because the store was unreachable, and against keeping
// targets that left or did not register again.
func TestExpiredRecords(t *testing.T) {
	removed := []Change{TargetRemoved{"a"}}
	tests := map[string]struct {
		first          []Change
		outage         bool
		batch          Batch
		reregistered   []Change
		at             time.Duration
		wantRegistered bool
	}{
		"no outage":                           {nil, false, Batch{Changes: removed}, nil, 0, false},
		"expired, within the grace":           {nil, true, Batch{Changes: removed}, nil, reregistrationGrace, true},
		"expired, after the grace":            {nil, true, Batch{Changes: removed}, nil, reregistrationGrace + 1, false},
		"expired, registered again":           {nil, true, Batch{Changes: removed}, []Change{registered("a")}, time.Hour, true},
		"was leaving":                         {[]Change{leaving("a")}, true, Batch{Changes: removed}, nil, 0, false},
		"not in a snapshot, within the grace": {nil, true, Batch{Changes: []Change{registered("b")}, IsSnapshot: true}, nil, reregistrationGrace, true},
		"not in a snapshot, after the grace":  {nil, true, Batch{Changes: []Change{registered("b")}, IsSnapshot: true}, nil, reregistrationGrace + 1, false},
		"not in a batch of changes":           {nil, true, Batch{Changes: []Change{registered("b")}}, nil, time.Hour, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWatcher("a", "b")
			w.handle(event{batch: Batch{Changes: tc.first}}, epoch)
			w.handle(event{batch: tc.batch, afterOutage: tc.outage}, epoch)
			if tc.reregistered != nil {
				w.handle(event{batch: Batch{Changes: tc.reregistered}}, epoch.Add(time.Second))
			}
			w.expire(epoch.Add(tc.at))
			_, ok := w.View().Target("a")
			require.Equal(t, tc.wantRegistered, ok)
			_, ok = w.View().Target("b")
			require.True(t, ok)
		})
	}
}

// Guards against invalid records, such as those of other writers of the topic, that change the view.
func TestInvalidRecords(t *testing.T) {
	w := newWatcher("a")
	before := w.View()
	w.handle(event{batch: Batch{Changes: []Change{InvalidRecord{Key: "a", Err: errors.New("no target")}, TargetRemoved{"unregistered"}}}}, epoch)
	require.Same(t, before, w.View())
}

// Guards against a target that is used again after its removal because of a write that was sent before, and against one that is lost
// although it goes on registering.
func TestLateRecordOfRemovedTarget(t *testing.T) {
	record := func(started, sequence int64) []Change {
		return []Change{TargetUpdated{&cataloger.Target{ID: "a", Service: "s", StartedUnixMs: started, Sequence: sequence}}}
	}
	removed := []Change{TargetRemoved{"a"}}
	lateRecordTime := newWatcher().lateRecordTime()
	type step struct {
		at          time.Duration
		afterOutage bool
		changes     []Change
	}
	tests := map[string]struct {
		steps          []step
		wantRegistered bool
	}{
		"late write":                      {[]step{{changes: removed}, {at: 2 * time.Second, changes: record(100, 6)}}, false},
		"write of the last record again":  {[]step{{changes: removed}, {at: 2 * time.Second, changes: record(100, 7)}}, false},
		"late write of an older process":  {[]step{{changes: removed}, {at: 2 * time.Second, changes: record(99, 9)}}, false},
		"late write of a later record":    {[]step{{changes: removed}, {at: 2 * time.Second, changes: record(100, 8)}}, false},
		"newer records":                   {[]step{{changes: removed}, {at: time.Second, changes: record(100, 8)}, {at: 2200 * time.Millisecond, changes: record(100, 9)}}, true},
		"newer record, after late writes": {[]step{{changes: removed}, {at: lateRecordTime + time.Second, changes: record(100, 8)}}, true},
		"started again":                   {[]step{{changes: removed}, {at: 2 * time.Second, changes: record(101, 1)}}, true},
		"late write while its record has expired": {[]step{{afterOutage: true, changes: removed}, {at: time.Second, changes: record(100, 6)},
			{at: reregistrationGrace + time.Millisecond}}, false},
		"removed with an odd sequence": {[]step{{changes: removed}, {at: lateWriteTime + time.Second, changes: record(100, 3)},
			{at: lateWriteTime + 2*time.Second, changes: record(100, 4)}, {at: lateWriteTime + 3*time.Second, changes: record(100, 5)}}, true},
		"three late writes": {[]step{{changes: removed}, {at: time.Second, changes: record(100, 3)},
			{at: 2 * time.Second, changes: record(100, 4)}, {at: 3 * time.Second, changes: record(100, 5)}}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWatcher()
			w.handle(event{batch: Batch{Changes: record(100, 7)}}, epoch)
			for _, s := range tc.steps {
				w.handle(event{batch: Batch{Changes: s.changes}, afterOutage: s.afterOutage}, epoch.Add(s.at))
				w.expire(epoch.Add(s.at))
			}
			_, ok := w.View().Target("a")
			require.Equal(t, tc.wantRegistered, ok)
		})
	}
}

// Guards against sound targets that are removed because the newest record of one, or the configuration, cannot be decoded in a snapshot.
func TestInvalidRecordInSnapshotRemovesTarget(t *testing.T) {
	tests := map[string][]Change{
		"of a target":       {InvalidRecord{Key: "a", Err: errors.New("odd")}, registered("b")},
		"of all targets":    {InvalidRecord{Key: "a", Err: errors.New("odd")}, InvalidRecord{Key: "b", Err: errors.New("odd")}},
		"of the operator":   {InvalidRecord{Key: "config", Err: errors.New("odd")}},
		"of another target": {InvalidRecord{Key: "c", Err: errors.New("odd")}, registered("a"), registered("b")},
	}
	for name, changes := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWatcher("a", "b")
			w.handle(event{batch: Batch{Changes: changes, IsSnapshot: true}}, epoch)
			require.Equal(t, []string{"a", "b"}, w.View().TargetIDs())
		})
	}
}

// Guards against an odd record with a high sequence or start that hides all later records of its target, and against older records,
// which the metadata store may apply late, that replace newer ones.
func TestOddRecordHidesLaterOnes(t *testing.T) {
	const born, now = 1_000_000, 2_000_000
	rec := func(born, sequence int64, leaving bool) Change {
		return TargetUpdated{&cataloger.Target{ID: "a", Service: "s", StartedUnixMs: born, Sequence: sequence, Leaving: leaving}}
	}
	tests := map[string]struct {
		changes      []Change
		wantSequence int64
	}{
		"high sequence":                     {[]Change{rec(born, 9000, false), rec(born, 5, false), rec(born, 6, false), rec(born, 7, true)}, 7},
		"high sequence, fewer later ones":   {[]Change{rec(born, 9000, false), rec(born, 5, false), rec(born, 6, false)}, 9000},
		"start in the future":               {[]Change{rec(now+maxClockError.Milliseconds()+1, 1, false), rec(born, 5, false)}, 5},
		"applied late, in order":            {[]Change{rec(born, 8, true), rec(born, 5, false), rec(born, 6, false), rec(born, 9, true), rec(born, 7, false)}, 9},
		"applied late, in reverse":          {[]Change{rec(born, 8, true), rec(born, 7, false), rec(born, 6, false), rec(born, 5, false), rec(born, 4, false)}, 8},
		"of the process before":             {[]Change{rec(born, 1, false), rec(born-1, 5, false), rec(born-1, 6, false), rec(born-1, 7, false), rec(born-1, 8, false)}, 1},
		"leaving, not taken back":           {[]Change{rec(born, 8, true), rec(born, 5, false), rec(born, 6, false), rec(born, 7, false)}, 8},
		"leaving, record after the odd one": {[]Change{rec(born, 8, false), rec(born, 9000, false), rec(born, 9, true), rec(born, 10, true), rec(born, 11, true)}, 11},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWatcher()
			for _, c := range tc.changes {
				w.handle(event{batch: Batch{Changes: []Change{c}}}, time.UnixMilli(now))
			}
			got, ok := w.View().Target("a")
			require.True(t, ok)
			require.Equal(t, tc.wantSequence, got.Sequence)
		})
	}
}

// Guards against a target that gets no requests because an odd record of another writer names a service that does not exist.
func TestRecordWithUnknownServiceReplacesTarget(t *testing.T) {
	w := newWatcher("a")
	service := func(name string) TargetUpdated { return TargetUpdated{&cataloger.Target{ID: "a", Service: name}} }
	w.handle(event{batch: Batch{Changes: []Change{ConfigChange{cataloger.New(1, nil, []cataloger.Service{{Name: "s"}, {Name: "t"}}, nil, cataloger.Limits{})}}}}, epoch)
	for name, want := range map[string]string{"odd": "s", "t": "t"} {
		w.handle(event{batch: Batch{Changes: []Change{service("s"), service(name)}}}, epoch)
		require.Len(t, w.View().Targets(want), 1, name)
	}
}

// scriptedSource is a source with changes at preset times that can be made unreachable.
type scriptedSource struct {
	reads atomic.Int64
	down  atomic.Bool
	// changesAt holds the times of changes after the start.
	changesAt []time.Duration
	started   time.Time
}

// Snapshot implements Source.
func (s *scriptedSource) Snapshot(ctx context.Context) (Batch, error) { return s.Changes(ctx, 0, 0) }

// Changes implements Source.
func (s *scriptedSource) Changes(ctx context.Context, _ int64, wait time.Duration) (Batch, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return Batch{}, errors.New("connection refused")
	}
	for i, at := range s.changesAt {
		if remaining := at - time.Since(s.started); remaining > 0 && remaining < wait {
			sleeper.Sleep(ctx, remaining)
			return Batch{Changes: []Change{DesiredVersionChange{"m", int64(i)}}}, nil
		}
	}
	sleeper.Sleep(ctx, wait)
	return Batch{}, ctx.Err()
}

// startWatcher starts a watcher in a synctest bubble.
func startWatcher(t *testing.T, op, targets *scriptedSource, wait time.Duration) *Watcher {
	t.Helper()
	w := New(op, targets, logger.Discard())
	w.LongPollTimeout = wait
	w.elapsed = func() time.Duration { return time.Since(op.started) + time.Second }
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

// Guards against API keys that expire although the store is reachable, and against reading the store more often than
// needed to confirm them.
func TestConfigAgeIsBoundedWhileStoreIsReachable(t *testing.T) {
	tests := map[string]struct {
		wait      time.Duration
		changesAt []time.Duration
	}{
		"no changes":                 {defaultLongPollTimeout, nil},
		"changes late in a read":     {defaultLongPollTimeout, []time.Duration{1900 * time.Millisecond, 3800 * time.Millisecond, 3900 * time.Millisecond}},
		"shorter long-poll time-out": {500 * time.Millisecond, []time.Duration{490 * time.Millisecond, 2 * time.Second}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				op := &scriptedSource{changesAt: tc.changesAt, started: time.Now()}
				w := startWatcher(t, op, &scriptedSource{started: time.Now()}, tc.wait)
				time.Sleep(time.Millisecond)
				const samples, interval = 200, 50 * time.Millisecond
				for range samples {
					time.Sleep(interval)
					synctest.Wait()
					require.LessOrEqual(t, w.ConfigAge(), 2*tc.wait+interval)
				}
				// The snapshot, the read in progress, and one more read for each change.
				require.LessOrEqual(t, int(op.reads.Load()), int(samples*interval/tc.wait)+2+len(tc.changesAt))
			})
		})
	}
}

// Guards against retrying all sources throughout an outage, since the store charges for failed calls and limits the
// call rate, and against API keys that stay untrusted for long after recovery.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		op, targets := &scriptedSource{started: time.Now()}, &scriptedSource{started: time.Now()}
		w := startWatcher(t, op, targets, defaultLongPollTimeout)
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
		time.Sleep(maxRetryDelay + 2*recoveryCheckInterval)
		require.Positive(t, targets.reads.Load(), "targets' source not read after recovery")
		require.Less(t, w.ConfigAge(), maxRetryDelay+2*recoveryCheckInterval)
	})
}

// versionSource is a source with a weight version that is published at a preset time, and that is unreachable for a while.
type versionSource struct {
	started                        time.Time
	publishedAt, downFrom, downFor time.Duration
	// restoredAt is when the store is restored from a copy without the version, which is then written again at publishedAt; 0 means never.
	restoredAt time.Duration
	// missWakeUp makes a read wait for its whole time even if the version is published meanwhile.
	missWakeUp bool
}

// Snapshot implements Source.
func (s *versionSource) Snapshot(ctx context.Context) (Batch, error) {
	b, err := s.Changes(ctx, 0, 0)
	b.IsSnapshot = true
	return b, err
}

// Changes implements Source.
func (s *versionSource) Changes(ctx context.Context, from int64, wait time.Duration) (Batch, error) {
	if remaining := s.publishedAt - time.Since(s.started); from == 0 && remaining > 0 && !s.missWakeUp {
		sleeper.Sleep(ctx, min(wait, remaining))
	} else if from > 0 || remaining > 0 {
		sleeper.Sleep(ctx, wait)
	}
	now := time.Since(s.started)
	if now >= s.downFrom && now < s.downFrom+s.downFor {
		return Batch{}, errors.New("connection refused")
	}
	era := int64(1)
	if s.restoredAt > 0 && now >= s.restoredAt {
		era++
	}
	if from == 0 && now >= s.publishedAt {
		return Batch{Changes: []Change{DesiredVersionChange{"m", 2}}, NextOffset: 1, Era: era}, nil
	}
	return Batch{NextOffset: from, Era: era}, ctx.Err()
}

// Guards against an age of superseded weights that counts from when the newer version was read, although it may have been
// published long before.
func TestPublishTimeOfVersionReadLate(t *testing.T) {
	tests := map[string]struct {
		source versionSource
		// earliest and latest bound the publish time after the start; both are 0 if it must be unknown.
		earliest, latest time.Duration
	}{
		"read when published":           {versionSource{publishedAt: 5 * time.Second}, 5 * time.Second, 5 * time.Second},
		"published before the start":    {versionSource{publishedAt: -time.Second}, 0, 0},
		"published during an outage":    {versionSource{publishedAt: 7 * time.Second, downFrom: 5 * time.Second, downFor: 4 * time.Second}, 2 * time.Second, 7 * time.Second},
		"published and read after one":  {versionSource{publishedAt: 12500 * time.Millisecond, downFrom: 5 * time.Second, downFor: 4 * time.Second}, 12500 * time.Millisecond, 12500 * time.Millisecond},
		"returned at the end of a read": {versionSource{publishedAt: 7 * time.Second, missWakeUp: true}, 6 * time.Second, 7 * time.Second},
		"written again after a restore": {versionSource{publishedAt: 10 * time.Second, restoredAt: 8 * time.Second, downFrom: 5 * time.Second, downFor: 4 * time.Second}, 2 * time.Second, 5 * time.Second},
		"published long after one":      {versionSource{publishedAt: 14 * time.Second, restoredAt: 8 * time.Second, downFrom: 5 * time.Second, downFor: 4 * time.Second}, 14 * time.Second, 14 * time.Second},
		"first snapshot after an error": {versionSource{publishedAt: time.Second, downFor: 3 * time.Second}, 0, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc.source.started = time.Now()
				targets := &scriptedSource{started: time.Now()}
				w := New(&tc.source, targets, logger.Discard())
				w.elapsed = func() time.Duration { return time.Since(tc.source.started) }
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					w.Run(ctx)
					close(done)
				}()
				time.Sleep(20 * time.Second)
				synctest.Wait()
				d, ok := w.View().DesiredVersion("m")
				require.True(t, ok)
				if tc.latest == 0 {
					require.Equal(t, cataloger.UnknownTime, d.PublishedAt)
				} else {
					require.GreaterOrEqual(t, d.PublishedAt, tc.earliest)
					require.LessOrEqual(t, d.PublishedAt, tc.latest)
				}
				cancel()
				<-done
			})
		})
	}
}

// BenchmarkTargets handles a batch with a heartbeat of each of 830 targets.
func BenchmarkTargets(b *testing.B) {
	var ids []string
	var heartbeats []Change
	for i := range 830 {
		ids = append(ids, fmt.Sprint("t-", i))
		heartbeats = append(heartbeats, registered(ids[i]))
	}
	w := newWatcher(ids...)
	for b.Loop() {
		w.handle(event{batch: Batch{Changes: heartbeats}}, epoch)
	}
}
