package continuer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// stepInterval is the time between two looks at which versions have left for long enough.
	stepInterval = time.Second
	// writePause is the longest time that an instance waits before it writes marks, so that few of a hundred instances do.
	writePause = 300 * time.Millisecond
	// readInterval is the time between two reads of the marks while a service has several versions, so that marks that another instance
	// has removed, or that the store has lost, are written again soon.
	readInterval = 5 * time.Second
	// idleReadInterval is the time between two reads of the marks while each service has one version.
	idleReadInterval = time.Minute
	// appendTimeout bounds one attempt to append.
	appendTimeout = time.Second
	// minRetryDelay and maxRetryDelay bound the time before an append is repeated that has failed.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxBatch bounds the streams in one append.
	maxBatch = 1000
)

// Run marks software versions and writes streams until ctx is done.
func (c *Continuer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		c.repeat(ctx, "could not read or write marks of software versions", c.wake, func() time.Duration { return stepInterval }, c.step)
	})
	wg.Go(func() {
		interval := c.FlushInterval
		if interval == nil {
			interval = func() time.Duration { return defaultFlushInterval }
		}
		c.repeat(ctx, "could not write streams", nil, interval, func(ctx context.Context) error {
			// Without streams to write, an instance is not woken up.
			select {
			case <-c.streams.queued:
			case <-ctx.Done():
				return nil
			}
			return c.Flush(ctx)
		})
	})
	wg.Wait()
}

// repeat calls step in each interval, or when it is woken, and later if it fails.
func (c *Continuer) repeat(ctx context.Context, failure string, wake <-chan struct{}, interval func() time.Duration,
	step func(context.Context) error,
) {
	delay := time.Duration(0)
	for ctx.Err() == nil {
		err := step(ctx)
		switch {
		case err == nil:
			delay = 0
		case ctx.Err() != nil:
			return
		default:
			log := logger.WithError(c.Log, err)
			if delay == 0 {
				log.Warn(failure)
			} else {
				log.Debug(failure)
			}
			delay = min(max(2*delay, minRetryDelay), maxRetryDelay)
			sleeper.Sleep(ctx, delay)
			continue
		}
		t := time.NewTimer(interval())
		select {
		case <-t.C:
		case <-wake:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// step writes and removes the marks that have to be, and forgets what is too old.
func (c *Continuer) step(ctx context.Context) error {
	now := c.now()
	c.streams.prune(now)
	c.update(func(h History) History { return h.WithoutGone(now) })
	interval := idleReadInterval
	if c.state.Load().usable != nil {
		interval = readInterval
	}
	readAt := time.Duration(c.marksReadAt.Load())
	if readAt == 0 || now-readAt >= interval {
		if err := c.readMarks(ctx); err != nil {
			return err
		}
	}
	if err := c.writeMarks(ctx); err != nil {
		return err
	}
	if readAt := time.Duration(c.streamsReadAt.Load()); c.state.Load().usable != nil && (readAt == 0 || now-readAt >= takeUpWindow) {
		return c.readStreams(ctx) // keeps the reads short on which calls wait
	}
	return nil
}

// writeMarks writes the marks that are missing and removes those that are not needed any more.
func (c *Continuer) writeMarks(ctx context.Context) error {
	if len(c.changes()) == 0 {
		return nil
	}
	if err := c.readMarks(ctx); err != nil {
		return err
	}
	if len(c.changes()) == 0 || !c.pause(ctx, writePause) {
		return nil
	}
	if err := c.readMarks(ctx); err != nil {
		return err
	}
	marks := c.changes()
	if len(marks) == 0 {
		return nil
	}
	c.update(func(h History) History { return h.WithSent(marks) })
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := c.Marks.Append(ctx, marks); err != nil {
		return fmt.Errorf("could not append %d marks: %w", len(marks), err)
	}
	c.update(func(h History) History { return h.WithAcknowledged(marks, c.now()) })
	names := map[bool][]string{}
	for _, m := range marks {
		names[m.IsRemoved] = append(names[m.IsRemoved], m.Service+" "+m.Software)
	}
	c.Log.WithField("marked", names[false]).WithField("removed", names[true]).Info("marks of software versions written")
	return nil
}

// Flush writes the streams that are queued. An instance that stops calls it once its calls have ended, as their callers may come back to
// others.
func (c *Continuer) Flush(ctx context.Context) error {
	for {
		es, records := c.streams.take(maxBatch, c.now())
		if len(es) == 0 {
			return nil
		}
		actx, cancel := context.WithTimeout(ctx, appendTimeout)
		err := c.Streams.Append(actx, records)
		cancel()
		if err != nil {
			c.streams.requeue(es)
			return fmt.Errorf("could not append %d streams: %w", len(records), err)
		}
	}
}
