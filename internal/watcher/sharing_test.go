package watcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// sharedLog is the targets' source of several instances: each target writes a record each second, and one starts to leave at leavesAt.
type sharedLog struct {
	started  time.Time
	targets  int
	leavesAt time.Duration
}

// count returns the number of records that were written until now.
func (l *sharedLog) count() int64 { return int64(time.Since(l.started)/time.Second) * int64(l.targets) }

func (l *sharedLog) change(offset int64) Change {
	i := int(offset) % l.targets
	second := time.Duration(offset/int64(l.targets)) * time.Second
	return TargetUpdated{Target: &cataloger.Target{
		ID: fmt.Sprint("t-", i), Service: "s", Address: "10.0.0.1:1", DataCentre: "z", Sequence: offset/int64(l.targets) + 1,
		Leaving: i == 0 && l.leavesAt > 0 && second >= l.leavesAt, Versions: map[string]int64{},
	}}
}

// countedTargets is sharedLog as read by one instance.
type countedTargets struct {
	*sharedLog
	mu        sync.Mutex
	reads     int
	snapshots int
}

func (s *countedTargets) batch(from int64, snapshot bool) Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	end := s.count()
	if snapshot {
		s.snapshots++
		from = max(0, end-int64(s.targets))
	}
	b := Batch{NextOffset: end, Era: 1, IsSnapshot: snapshot}
	for o := from; o < end; o++ {
		b.Changes = append(b.Changes, s.change(o))
	}
	return b
}

// Snapshot implements Source.
func (s *countedTargets) Snapshot(context.Context) (Batch, error) { return s.batch(0, true), nil }

// Changes implements Source.
func (s *countedTargets) Changes(_ context.Context, from int64, _ time.Duration) (Batch, error) {
	return s.batch(from, false), nil
}

// countedOperator is an operator's source whose configuration changes once; a data centre is evacuated at the same time.
type countedOperator struct {
	started   time.Time
	changesAt time.Duration
	mu        sync.Mutex
	reads     int
}

func (s *countedOperator) batch() Batch {
	b := Batch{NextOffset: 1, Era: 1, Changes: []Change{ConfigChange{cataloger.New(1, nil, []cataloger.Service{{Name: "s", HealthPath: "/health"}}, nil, cataloger.Limits{})}}}
	if s.changesAt > 0 && time.Since(s.started) >= s.changesAt {
		b.NextOffset = 2
		b.Changes = append(b.Changes, ConfigChange{cataloger.New(2, nil, nil, nil, cataloger.Limits{})}, EvacuationChange{"z", true})
	}
	return b
}

// Snapshot implements Source.
func (s *countedOperator) Snapshot(ctx context.Context) (Batch, error) { return s.Changes(ctx, 0, 0) }

// Changes implements Source.
func (s *countedOperator) Changes(ctx context.Context, from int64, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	if s.batch().NextOffset == from {
		if left := s.changesAt - time.Since(s.started); left > 0 && left < wait {
			wait = left
		}
		sleeper.Sleep(ctx, wait)
	}
	return s.batch(), ctx.Err()
}

// sharingInstance is one instance of a deployment in which reads are shared.
type sharingInstance struct {
	*Watcher
	op      *countedOperator
	targets *countedTargets
}

// reads returns how often the instance has read its sources.
func (in *sharingInstance) reads() int {
	in.op.mu.Lock()
	defer in.op.mu.Unlock()
	in.targets.mu.Lock()
	defer in.targets.mu.Unlock()
	return in.op.reads + in.targets.reads
}

// startSharing starts instances that exchange what they have read every 250 ms, of which readers are those of the lowest rank. The others
// know of no readers if silent is true.
func startSharing(t *testing.T, n int, leavesAt, changesAt time.Duration, silent bool) []sharingInstance {
	t.Helper()
	started := time.Now()
	log := &sharedLog{started: started, targets: 40, leavesAt: leavesAt}
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("i-%03d", i))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	var out []sharingInstance
	for i := range n {
		in := sharingInstance{op: &countedOperator{started: started, changesAt: changesAt}, targets: &countedTargets{sharedLog: log}}
		in.Watcher = New(in.op, in.targets, logger.Discard())
		in.elapsed = func() time.Duration { return time.Since(started) + time.Second }
		in.LongPollTimeout, in.PollInterval = 1980*time.Millisecond, 1920*time.Millisecond
		in.SetSharedReadInterval(2750 * time.Millisecond)
		in.SetInstances(ids[i], ids)
		done.Go(func() {
			time.Sleep(time.Duration(i*13) * time.Millisecond)
			in.Run(ctx)
		})
		out = append(out, in)
	}
	done.Go(func() {
		for sleeper.Sleep(ctx, 250*time.Millisecond) {
			if silent {
				continue
			}
			for i, from := range out {
				p, tp := from.Progress(), from.TargetsProgress()
				for j, to := range out {
					if i != j {
						to.MergeProgress(p)
						to.MergeTargetsProgress(tp)
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

// Guards against calls to the store that grow with the number of instances: in calm, only readers read as often as the bounds want.
func TestSharedReadsInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 60
		all := startSharing(t, 60, 0, 0, false)
		time.Sleep(10 * time.Second)
		before := make([]int, len(all))
		for i, in := range all {
			before[i] = in.reads()
		}
		time.Sleep(seconds * time.Second)
		n := 0
		for i, in := range all {
			perSecond := float64(in.reads()-before[i]) / seconds
			if in.sharing.isShared.Load() {
				n++
				require.Less(t, perSecond, 0.5, "instance %d", i)
			} else {
				require.Less(t, perSecond, 1.2, "reader %d", i)
			}
			require.Less(t, in.ConfigAge(), 2900*time.Millisecond, "API keys are valid because of own reads alone")
		}
		require.Equal(t, len(all)-readers, n)
	})
}

// Guards against a leaving target, a new configuration or an evacuation that instances which read rarely notice too late, with readers and without any
// that they hear of.
func TestSharedReadsNoticeChanges(t *testing.T) {
	const changesAt = 30 * time.Second
	tests := map[string]struct {
		silent      bool
		wantTarget  time.Duration
		wantVersion time.Duration
	}{
		"readers":                 {false, 2 * time.Second, time.Second},
		"readers that are silent": {true, 3 * time.Second, 2800 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startSharing(t, 60, changesAt, changesAt, tc.silent)
				start := time.Now()
				// A target writes its record at the end of the second.
				time.Sleep(changesAt + time.Second + max(tc.wantTarget, tc.wantVersion-time.Second))
				for i, in := range all {
					tgt, ok := in.View().Target("t-0")
					require.True(t, ok)
					require.True(t, tgt.Leaving, "instance %d after %v", i, time.Since(start)-changesAt)
				}
				for i, in := range all {
					require.EqualValues(t, 2, in.View().Catalog.Version, "instance %d", i)
					require.True(t, in.View().IsEvacuated("z"), "instance %d", i)
				}
			})
		})
	}
}

// Guards against the word of another instance that postpones reads although changes were missed, and against one that postpones them for
// ever.
func TestTargetsCoverage(t *testing.T) {
	const interval = 2 * time.Second
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	tests := map[string]struct {
		merged []TargetsProgress
		want   time.Duration
	}{
		"none":                           {nil, at(12)},
		"nothing missed":                 {[]TargetsProgress{{Era: 1, Since: 90, ReadAgeMs: 500}}, at(14.5)},
		"the reader started later":       {[]TargetsProgress{{Era: 1, Since: 101, ReadAgeMs: 500}}, at(12)},
		"a change after the own read":    {[]TargetsProgress{{Era: 1, Since: 120, Changed: 120, ReadAgeMs: 500}}, at(11)},
		"a change before the own read":   {[]TargetsProgress{{Era: 1, Since: 100, Changed: 100, ReadAgeMs: 500}}, at(14.5)},
		"another era":                    {[]TargetsProgress{{Era: 2, Since: 90, ReadAgeMs: 500}}, at(12)},
		"negative age":                   {[]TargetsProgress{{Era: 1, Since: 90, ReadAgeMs: -90_000}}, at(12)},
		"nothing known":                  {[]TargetsProgress{{Era: 1}}, at(12)},
		"a change and one who missed it": {[]TargetsProgress{{Era: 1, Since: 120, Changed: 120}, {Era: 1, Since: 90}}, at(11)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var c targetsCoverage
			c.recordRead(1, 80, at(9), false, true, false)
			c.recordRead(1, 100, at(10), false, false, false)
			for _, p := range tc.merged {
				c.merge(p, at(13))
			}
			require.Equal(t, tc.want, c.nextRead(at(10), interval))
		})
	}
	var c targetsCoverage
	c.recordRead(1, 100, at(10), false, true, false)
	for s := 10.0; s < 60; s++ {
		c.merge(TargetsProgress{Era: 1, Since: 90}, at(s))
	}
	require.Equal(t, at(10)+maxUnreadTime, c.nextRead(at(10), interval))
}

// Guards against a target that comes back with another software version, which instances that read rarely notice too late.
func TestOtherSoftwareIsChange(t *testing.T) {
	view := func(software string) *cataloger.View {
		v := cataloger.NewView()
		d := v.Draft()
		d.Replace(&cataloger.Target{ID: "w-1", Service: "s", Software: software})
		return v.WithDraft(d)
	}
	require.True(t, isSameTargets(view("v1"), view("v1")))
	require.False(t, isSameTargets(view("v1"), view("v2")))
}
