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
	a := &AsyncWriter{queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.queue {
			if _, err := w.Write(line); err != nil {
				a.dropped.Add(1)
			}
		}
	}()
	return a
}

// Write implements io.Writer. It copies p, never blocks and always reports success.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and waits at most for the given time. Write must not be called after it.
func (a *AsyncWriter) Close(limit time.Duration) {
	close(a.queue)
	select {
	case <-a.done:
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
func (l *RateLimiter) Allow(kind string, now time.Time) (ok bool, suppressed map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= rateWindow {
		suppressed = l.suppressed
		l.windowStart, l.written, l.suppressed = now, map[string]int{}, map[string]int{}
	}
	if limit, bounded := l.LinesPerSecond[kind]; bounded && l.written[kind] >= limit {
		l.suppressed[kind]++
		return false, suppressed
	}
	l.written[kind]++
	return true, suppressed
}
