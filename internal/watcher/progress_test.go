package watcher

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// quietSource has a single configuration and no changes.
type quietSource struct {
	mu    sync.Mutex
	waits []time.Duration
}

// Snapshot implements Source. It takes longer than peerLeadTime.
func (s *quietSource) Snapshot(ctx context.Context) (Batch, error) {
	sleeper.Sleep(ctx, 2*peerLeadTime)
	return Batch{NextOffset: 5, Era: 1, IsSnapshot: true}, ctx.Err()
}

// Changes implements Source.
func (s *quietSource) Changes(ctx context.Context, _ int64, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	sleeper.Sleep(ctx, wait)
	return Batch{NextOffset: 5, Era: 1}, ctx.Err()
}

func (s *quietSource) recordedWaits() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waits
}

// Guards against reads that are repeated without a pause, or never finish, because another instance claims to have read further.
func TestOneReadForEachLeadOfAnotherInstance(t *testing.T) {
	const wait = time.Second
	tests := map[string]struct {
		lead      Progress
		wantWaits []time.Duration
	}{
		"further":                {Progress{Era: 1, Offset: 6}, []time.Duration{wait, 0, wait}},
		"newer era, less read":   {Progress{Era: 2, Offset: 1}, []time.Duration{wait, 0, wait}},
		"as far":                 {Progress{Era: 1, Offset: 5}, []time.Duration{wait, wait}},
		"earlier era, more read": {Progress{Era: 0, Offset: 9}, []time.Duration{wait, wait}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				op := &quietSource{}
				w := New(op, &scriptedSource{started: time.Now()}, logger.Discard())
				w.LongPollTimeout = wait
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go w.Run(ctx)
				w.MergeProgress(tc.lead)
				sleeper.Sleep(ctx, 2*peerLeadTime+wait/2)
				if tc.wantWaits[1] == 0 {
					require.Equal(t, []time.Duration{0, wait}, op.recordedWaits(), "the lead was known before the first long poll")
					tc.wantWaits = append([]time.Duration{0}, tc.wantWaits...)
					w.MergeProgress(Progress{Era: tc.lead.Era, Offset: tc.lead.Offset + 1})
				}
				sleeper.Sleep(ctx, wait)
				require.Equal(t, tc.wantWaits, op.recordedWaits())
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a version that counts as in force elsewhere although no instance has announced it for long.
func TestVersionOfAnotherInstanceExpires(t *testing.T) {
	p := newPeerProgress()
	p.merge(Progress{Version: 7}, epoch)
	p.merge(Progress{Version: 5}, epoch.Add(peerVersionTTL))
	require.EqualValues(t, 7, p.versionInForce(epoch.Add(peerVersionTTL)))
	require.Zero(t, p.versionInForce(epoch.Add(peerVersionTTL+1)))
	p.merge(Progress{Version: 5}, epoch.Add(peerVersionTTL+1))
	require.EqualValues(t, 5, p.versionInForce(epoch.Add(peerVersionTTL+1)))
}

// Guards against an announced progress that lacks the version in force.
func TestProgressHasVersionInForce(t *testing.T) {
	w := newWatcher()
	require.Equal(t, Progress{}, w.Progress())
	w.handle(event{batch: Batch{Changes: []Change{ConfigChange{cataloger.New(3, nil, nil, nil, cataloger.Limits{})}}}}, epoch)
	require.EqualValues(t, 3, w.Progress().Version)
}

// Guards against weights that count as superseded long before a newer version was published, because the metadata store was restored
// shortly before: an instance took every version that it read then for one that was lost and written again.
func TestPublishTimeOfVersionAfterRestore(t *testing.T) {
	tests := map[string]struct {
		peer             Progress
		heardUntil       time.Duration
		earliest, latest time.Duration
	}{
		"no instance has read more":          {Progress{Era: 1, Offset: 0}, 9 * time.Second, 10 * time.Second, 10 * time.Second},
		"another has read a lost version":    {Progress{Era: 1, Offset: 1}, 9 * time.Second, 2 * time.Second, 5 * time.Second},
		"none was heard during the outage":   {Progress{Era: 1, Offset: 0}, 4 * time.Second, 2 * time.Second, 5 * time.Second},
		"others were in the new era already": {Progress{Era: 2, Offset: 0}, 9 * time.Second, 2 * time.Second, 5 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &versionSource{started: time.Now(), publishedAt: 10 * time.Second, restoredAt: 8 * time.Second, downFrom: 5 * time.Second, downFor: 4 * time.Second}
				w := New(source, &scriptedSource{started: time.Now()}, logger.Discard())
				w.elapsed = func() time.Duration { return time.Since(source.started) }
				ctx, cancel := context.WithCancel(t.Context())
				go w.Run(ctx)
				for time.Since(source.started) < 20*time.Second {
					if time.Since(source.started) < tc.heardUntil {
						w.MergeProgress(tc.peer)
					}
					sleeper.Sleep(ctx, 300*time.Millisecond)
				}
				d, ok := w.View().DesiredVersion("m")
				require.True(t, ok)
				require.GreaterOrEqual(t, d.PublishedAt, tc.earliest)
				require.LessOrEqual(t, d.PublishedAt, tc.latest)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against callers that are sent to other instances although these cannot read the store either, and against callers that wait
// although others can serve them.
func TestIsReadElsewhere(t *testing.T) {
	const maxAge = 3 * time.Second
	tests := map[string]struct {
		unreachable bool
		merged      []Progress
		want        bool
	}{
		"reachable here":               {false, []Progress{{ConfirmedAgeMs: 100}}, false},
		"nothing heard":                {true, nil, false},
		"read elsewhere since":         {true, []Progress{{ConfirmedAgeMs: 100}}, true},
		"read elsewhere before":        {true, []Progress{{ConfirmedAgeMs: 1500}}, false},
		"age not stated":               {true, []Progress{{Version: 3}}, false},
		"one of several":               {true, []Progress{{ConfirmedAgeMs: 1500}, {ConfirmedAgeMs: 100}, {ConfirmedAgeMs: 9000}}, true},
		"age that cannot be expressed": {true, []Progress{{ConfirmedAgeMs: 1 << 62}}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := New(&quietSource{}, &quietSource{}, logger.Discard())
				time.Sleep(10 * time.Second)
				if tc.unreachable {
					f := &follower{w: w, source: w.Operator}
					ctx, cancel := context.WithCancel(t.Context())
					cancel()
					f.retryLater(ctx, 0, context.DeadlineExceeded)
				}
				time.Sleep(time.Second)
				for _, p := range tc.merged {
					w.MergeProgress(p)
				}
				require.Equal(t, tc.want, w.IsReadElsewhere(maxAge))
				time.Sleep(maxAge)
				require.False(t, w.IsReadElsewhere(maxAge), "nothing heard for a long time")
			})
		})
	}
}
