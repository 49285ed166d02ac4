package watcher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const beat = 1200 * time.Millisecond

// timedChange is a change of a target that the store applies at a time after the start of the test.
type timedChange struct {
	at     time.Duration
	change Change
}

// timedLog is the targets' source of all instances of a test: the changes in the order in which the store applies them.
type timedLog struct {
	started time.Time
	changes []timedChange
}

// newTimedLog returns the log of targets that write a record each beat, and of further changes.
func newTimedLog(targets int, further ...timedChange) *timedLog {
	l := &timedLog{started: time.Now(), changes: further}
	for i := range targets {
		for k := int64(1); k < 100; k++ {
			l.changes = append(l.changes, recordAt(fmt.Sprint("t-", i), time.Duration(k)*beat, k, false))
		}
	}
	slices.SortStableFunc(l.changes, func(a, b timedChange) int { return int(a.at - b.at) })
	return l
}

// recordAt is the record with a sequence of a target, applied at a time.
func recordAt(id string, at time.Duration, sequence int64, leaving bool) timedChange {
	return timedChange{at, TargetUpdated{&cataloger.Target{ID: id, Service: "s", StartedUnixMs: 1, Sequence: sequence, Leaving: leaving}}}
}

// Changes implements Source.
func (l *timedLog) Changes(_ context.Context, from int64, _ time.Duration) (Batch, error) {
	b := Batch{NextOffset: from, Era: 1}
	for _, c := range l.changes[from:] {
		if c.at > time.Since(l.started) {
			break
		}
		b.Changes, b.NextOffset = append(b.Changes, c.change), b.NextOffset+1
	}
	return b, nil
}

// Snapshot implements Source.
func (l *timedLog) Snapshot(ctx context.Context) (Batch, error) {
	b, _ := l.Changes(ctx, 0, 0)
	newest := map[string]Change{}
	for _, c := range b.Changes {
		switch c := c.(type) {
		case TargetUpdated:
			newest[c.Target.ID] = c
		case TargetRemoved:
			delete(newest, c.ID)
		}
	}
	b.Changes, b.IsSnapshot = nil, true
	for _, c := range newest {
		b.Changes = append(b.Changes, c)
	}
	return b, nil
}

// startOnLog starts instances that read a log and exchange what they have read every 250 ms. Those in startAt start then, the others at once.
func startOnLog(t *testing.T, log *timedLog, n int, startAt map[int]time.Duration, isHealthy bool) []*Watcher {
	t.Helper()
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("i-%03d", i))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	out := make([]*Watcher, n)
	for i := range out {
		w := New(&countedOperator{started: log.started}, log, logger.Discard())
		w.elapsed = func() time.Duration { return time.Since(log.started) + time.Second }
		w.PollInterval, w.HeartbeatInterval = 1440*time.Millisecond, beat
		w.IsHealthy = func(context.Context, *cataloger.Target, string) bool { return isHealthy }
		w.SetInstances(ids[i], ids)
		out[i] = w
		done.Go(func() {
			if sleeper.Sleep(ctx, startAt[i]+time.Duration(i*13)*time.Millisecond) {
				w.Run(ctx)
			}
		})
	}
	hasStarted := func(i int, before time.Duration) bool {
		return time.Since(log.started) >= startAt[i]+time.Duration(i*13)*time.Millisecond+before
	}
	done.Go(func() {
		for sleeper.Sleep(ctx, 250*time.Millisecond) {
			for i, from := range out {
				if !hasStarted(i, time.Second) {
					continue
				}
				progress, targets, departures := from.Progress(), from.TargetsProgress(), from.Departures()
				for j, to := range out {
					if i != j && hasStarted(j, 0) {
						to.MergeProgress(progress)
						to.MergeTargetsProgress(targets)
						to.MergeDepartures(departures)
					}
				}
			}
		}
	})
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return out
}

// Guards against targets that instances use although they were removed or are leaving, because of writes from before that the store applies
// late: at instances that read rarely, that have not read the last records, or that have just started; and against sound targets that stay
// unused after they have registered again.
func TestLateWritesInDeployment(t *testing.T) {
	startAt := map[int]time.Duration{
		3: 30 * time.Second, 7: 31700 * time.Millisecond, 11: 32700 * time.Millisecond, 15: 33500 * time.Millisecond,
		19: 34500 * time.Millisecond, 23: 35100 * time.Millisecond,
	}
	const (
		lastAt    = 30 * time.Second // the 25th beat
		removedAt = 31 * time.Second
		detection = 3 * time.Second
	)
	beats := func(from, to int64) []timedChange {
		var out []timedChange
		for k := from; k <= to; k++ {
			out = append(out, recordAt("t", time.Duration(k)*beat, k, false))
		}
		return out
	}
	removed := func(at time.Duration) timedChange { return timedChange{at, TargetRemoved{"t"}} }
	late := func(after time.Duration, sequence int64) timedChange {
		return recordAt("t", removedAt+after, sequence, false)
	}
	tests := map[string]struct {
		changes []timedChange
		// unusedFrom and unusedUntil bound the time in which no instance may use the target, usedFrom is when all must use it again.
		unusedFrom, unusedUntil, usedFrom time.Duration
		// isUnhealthy reports whether the target calls itself unhealthy.
		isUnhealthy bool
	}{
		"an earlier record": {
			changes:    slices.Concat(beats(1, 19), beats(21, 25), []timedChange{removed(removedAt), late(1400*time.Millisecond, 20), removed(removedAt + 5*time.Second)}),
			unusedFrom: removedAt + detection, unusedUntil: time.Minute,
		},
		"the last records": {
			changes:    slices.Concat(beats(1, 22), []timedChange{removed(removedAt), late(time.Second, 24), removed(removedAt + 4600*time.Millisecond)}),
			unusedFrom: removedAt + detection, unusedUntil: time.Minute,
		},
		"the last records, in sequence": {
			changes:    slices.Concat(beats(1, 22), []timedChange{removed(removedAt), late(time.Second, 23), late(2*time.Second, 24), late(4*time.Second, 25), removed(removedAt + 7600*time.Millisecond)}),
			unusedFrom: removedAt + detection, unusedUntil: time.Minute,
		},
		"one written just before the removal": {
			changes:    slices.Concat(beats(1, 24), []timedChange{removed(lastAt + 50*time.Millisecond), late(time.Second, 25), removed(removedAt + 4600*time.Millisecond)}),
			unusedFrom: lastAt + detection, unusedUntil: time.Minute,
		},
		"two written just before the removal": {
			changes:    slices.Concat(beats(1, 23), []timedChange{removed(lastAt + 50*time.Millisecond), late(time.Second, 25), removed(removedAt + 4600*time.Millisecond)}),
			unusedFrom: lastAt + detection, unusedUntil: time.Minute,
		},
		"a record from before it was leaving": {
			changes: slices.Concat(beats(1, 19), beats(21, 24), []timedChange{
				recordAt("t", lastAt, 25, true), recordAt("t", lastAt+500*time.Millisecond, 20, false), recordAt("t", lastAt+beat, 26, true),
				recordAt("t", lastAt+1300*time.Millisecond, 20, false), recordAt("t", lastAt+2*beat, 27, true), recordAt("t", lastAt+3*beat, 28, true), recordAt("t", lastAt+4*beat, 29, true),
			}),
			unusedFrom: lastAt + detection, unusedUntil: time.Minute,
		},
		"the only one, as records do not change": {
			changes:    slices.Concat(beats(1, 1), []timedChange{removed(26 * beat), recordAt("t", 27*beat, 26, false), removed(30*beat + 200*time.Millisecond)}),
			unusedFrom: 26*beat + detection, unusedUntil: time.Minute, isUnhealthy: true,
		},
		"of a target that started before the instances": {
			changes:    []timedChange{recordAt("t", 0, 1, false), removed(26 * beat), recordAt("t", 27*beat, 200, false), removed(30*beat + 200*time.Millisecond)},
			unusedFrom: 26*beat + detection, unusedUntil: time.Minute, isUnhealthy: true,
		},
		"none, and the target registers again": {
			changes:    slices.Concat(beats(1, 23), []timedChange{removed(26 * beat)}, beats(29, 60)),
			unusedFrom: 26*beat + detection, unusedUntil: 29 * beat, usedFrom: 29*beat + 3*time.Second,
		},
		"the last one, and the target registers again": {
			changes:    slices.Concat(beats(1, 23), []timedChange{removed(26 * beat), recordAt("t", 26*beat+500*time.Millisecond, 24, false)}, beats(30, 60)),
			unusedFrom: 26*beat + detection, unusedUntil: 30 * beat, usedFrom: 30*beat + 3*time.Second,
		},
		"none, and the target registers again, as records do not change": {
			changes:    slices.Concat(beats(1, 1), []timedChange{removed(26 * beat), recordAt("t", 29*beat, 29, false)}),
			unusedFrom: 26*beat + detection, unusedUntil: 29 * beat, usedFrom: 29*beat + 3*time.Second,
		},
		"none, and the target registers again after it has paused": {
			changes:    slices.Concat(beats(1, 1), []timedChange{removed(26 * beat), recordAt("t", 27*beat, 21, false)}),
			unusedFrom: 26*beat + detection, unusedUntil: 27 * beat, usedFrom: 27*beat + 3*time.Second,
		},
		"none, and the target registers again, but does not answer health requests": {
			changes:    slices.Concat(beats(1, 1), []timedChange{removed(26 * beat), recordAt("t", 27*beat, 21, false)}),
			unusedFrom: 26*beat + detection, unusedUntil: 27 * beat, usedFrom: 27*beat + 6*time.Second, isUnhealthy: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// A target that starts after the removal makes all instances read.
				further := slices.Concat(tc.changes, []timedChange{recordAt("new", removedAt+2*time.Second, 1, false), recordAt("new", removedAt+3200*time.Millisecond, 2, false)})
				log := newTimedLog(20, further...)
				all := startOnLog(t, log, 40, startAt, !tc.isUnhealthy)
				for time.Since(log.started) < 50*time.Second {
					time.Sleep(100 * time.Millisecond)
					now := time.Since(log.started)
					for i, w := range all {
						tgt, ok := w.View().Target("t")
						used := ok && !tgt.Leaving
						hasHeard := now >= startAt[i]+600*time.Millisecond
						if hasHeard && now >= tc.unusedFrom && now < tc.unusedUntil {
							require.False(t, used, "instance %d at %v", i, now)
						}
						if tc.usedFrom > 0 && now >= tc.usedFrom {
							require.True(t, used, "instance %d at %v", i, now)
						}
					}
				}
			})
		})
	}
}

// Guards against targets that all instances use although they were removed, because none of them ran at the removal; and against sound targets
// that stay unused after they have registered again, or are new.
func TestLateWritesAfterRestart(t *testing.T) {
	const (
		readAt    = 31 * time.Second
		appliedAt = readAt + 5*time.Second
	)
	removal := timedChange{30 * time.Second, TargetRemoved{"t"}}
	tests := map[string]struct {
		changes []timedChange
		// unusedUntil is until when no instance may use the target, usedFrom when all must use it.
		unusedUntil, usedFrom time.Duration
		isHealthy             bool
	}{
		"a late record":                  {[]timedChange{recordAt("t", 0, 1, false), removal, recordAt("t", appliedAt, 24, false), {appliedAt + 4*time.Second, TargetRemoved{"t"}}}, time.Minute, 0, false},
		"the target registers again":     {[]timedChange{recordAt("t", 0, 1, false), removal, recordAt("t", appliedAt, 30, false)}, 0, appliedAt + 3*time.Second, true},
		"it does not answer":             {[]timedChange{recordAt("t", 0, 1, false), removal, recordAt("t", appliedAt, 30, false)}, 0, appliedAt + 6*time.Second, false},
		"a target that starts":           {[]timedChange{recordAt("t", appliedAt, 1, false)}, 0, appliedAt + 2500*time.Millisecond, false},
		"the first records of it missed": {[]timedChange{recordAt("t", appliedAt+2*time.Second, 3, false)}, 0, appliedAt + 4500*time.Millisecond, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startAt := map[int]time.Duration{}
				for i := range 40 {
					startAt[i] = readAt
				}
				// Targets that start make all instances read.
				log := newTimedLog(20, slices.Concat(tc.changes, []timedChange{recordAt("new-1", appliedAt+time.Second, 1, false), recordAt("new-2", appliedAt+2100*time.Millisecond, 1, false)})...)
				all := startOnLog(t, log, 40, startAt, tc.isHealthy)
				for time.Since(log.started) < 50*time.Second {
					time.Sleep(100 * time.Millisecond)
					now := time.Since(log.started)
					for i, w := range all {
						_, used := w.View().Target("t")
						require.False(t, used && now < tc.unusedUntil, "instance %d uses it at %v", i, now)
						require.False(t, !used && tc.usedFrom > 0 && now >= tc.usedFrom, "instance %d does not use it at %v", i, now)
					}
				}
			})
		})
	}
}

// Guards against instances that keep a removed target because those that know of its removal do not tell them: that its late record was removed
// again, or that a restored store has it again long after.
func TestRemovalsAreStated(t *testing.T) {
	w := newWatcher()
	w.elapsed = func() time.Duration { return 0 }
	read := func(era, end int64, sinceBoot time.Duration, changes ...Change) {
		w.elapsed = func() time.Duration { return sinceBoot }
		w.handle(event{fromTargets: true, batch: Batch{Era: era, NextOffset: end, Changes: changes}}, w.now())
	}
	record := recordAt("t", 0, 7, false).change
	read(1, 1, time.Second, record)
	read(1, 2, 2*time.Second, TargetRemoved{"t"})
	require.Len(t, w.Departures(), 1)
	read(1, 3, 4*time.Second, record)
	require.EqualValues(t, 2, w.TargetsProgress().Changed)
	read(1, 4, 8*time.Second, TargetRemoved{"t"})
	require.EqualValues(t, 4, w.TargetsProgress().Changed)
	read(1, 5, time.Minute)
	require.Empty(t, w.Departures())
	read(2, 5, 61*time.Second)
	require.Len(t, w.Departures(), 1)
}

// Guards against an instance that is cut off from the store and loses a target that was removed and has registered again meanwhile.
func TestAnnouncedDeparture(t *testing.T) {
	tests := map[string]struct {
		announced Departure
		wantUsed  bool
	}{
		"removed":                    {Departure{Target: "t", Sequence: 7, MaxSequence: 9}, false},
		"leaving":                    {Departure{Target: "t", Sequence: 8, MaxSequence: 8, IsLeaving: true}, false},
		"removed and back":           {Departure{Target: "t", Sequence: 7, MaxSequence: 9, IsBack: true}, true},
		"removal of another process": {Departure{Target: "t", StartedUnixMs: -1, Sequence: 7, MaxSequence: 9}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWatcher()
			w.handle(event{fromTargets: true, batch: Batch{Changes: []Change{recordAt("t", 0, 7, false).change}}}, w.now())
			tc.announced.StartedUnixMs++
			w.MergeDepartures([]Departure{tc.announced})
			w.handle(event{fromTargets: true}, w.now())
			tgt, ok := w.View().Target("t")
			require.Equal(t, tc.wantUsed, ok && !tgt.Leaving)
		})
	}
}
