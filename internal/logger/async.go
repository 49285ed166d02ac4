package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that are waiting to be written.
	maxQueuedLines = 2048
	// rateWindow is the window in which the lines of each kind are counted.
	rateWindow = time.Second
)

// AsyncWriter writes lines in the background, so that a blocked output does not block the callers of Write. When the queue
// is full, lines are dropped and counted. Its methods, except Close, may be called concurrently.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a writer that copies lines to w from a goroutine of its own; Close ends it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	b := &AsyncWriter{queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.queue {
			if _, err := w.Write(line); err != nil {
				b.dropped.Add(1)
			}
		}
	}()
	return b
}

// Write implements io.Writer. It copies p, never blocks and always reports success.
func (b *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines and waits at most for the given time. Write must not be called after it.
func (b *AsyncWriter) Close(limit time.Duration) {
	close(b.queue)
	select {
	case <-b.done:
	case <-time.After(limit):
	}
}

// RateLimiter limits the log lines of each kind to a number per second. It is safe for concurrent use.
type RateLimiter struct {
	// LinesPerSecond is the maximum number of lines by kind; kinds that are not in the map are not limited.
	LinesPerSecond map[string]int

	mu          sync.Mutex
	windowStart time.Time
	written     map[string]int
	suppressed  map[string]int
}

// Allow reports whether a line of the kind may be written now. On the first call in a new window it also returns the number
// of lines of each kind that were suppressed in the previous one.
func (q *RateLimiter) Allow(kind string, now time.Time) (ok bool, suppressed map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.windowStart) >= rateWindow {
		suppressed = q.suppressed
		q.windowStart, q.written, q.suppressed = now, map[string]int{}, map[string]int{}
	}
	if limit, bounded := q.LinesPerSecond[kind]; bounded && q.written[kind] >= limit {
		q.suppressed[kind]++
		return false, suppressed
	}
	q.written[kind]++
	return true, suppressed
}
