package watcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/logger"
)

// missedWakeUpSource is a source whose first long poll after publishedAt misses the wake-up for the version and returns it
// together with another change at otherAt.
type missedWakeUpSource struct {
	started              time.Time
	publishedAt, otherAt time.Duration
}

// Snapshot implements Source.
func (s *missedWakeUpSource) Snapshot(context.Context) (Batch, error) {
	return Batch{IsSnapshot: true}, nil
}

// Changes implements Source.
func (s *missedWakeUpSource) Changes(ctx context.Context, from int64, wait time.Duration) (Batch, error) {
	now := time.Since(s.started)
	if from > 0 || now+wait < s.otherAt {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return Batch{NextOffset: from}, ctx.Err()
	}
	time.Sleep(s.otherAt - now)
	return Batch{Changes: []Change{DesiredVersionChange{"m", 2}, InvalidRecord{Key: "x", Err: context.Canceled}}, NextOffset: 2}, nil
}

// Guards against taking the wake-up of a long poll by a later change for the time of publication of a version whose own
// wake-up the store missed.
func TestPublishTimeOfVersionReadWithLaterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 1600 * time.Millisecond
		// A poll starts at 4.8 s; the version is appended while it arrives.
		s := &missedWakeUpSource{started: time.Now(), publishedAt: 4805 * time.Millisecond, otherAt: 6200 * time.Millisecond}
		w := New(s, &scriptedSource{started: time.Now()}, logger.Discard())
		w.LongPollTimeout = wait
		w.elapsed = func() time.Duration { return time.Since(s.started) }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(20 * time.Second)
		synctest.Wait()
		d, ok := w.View().DesiredVersion("m")
		require.True(t, ok)
		require.LessOrEqual(t, d.PublishedAt, s.publishedAt, "the age of superseded weights is too short")
	})
}
