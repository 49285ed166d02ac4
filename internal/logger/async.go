package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 2048
	// rateWindow is the span over which lines of a kind are counted.
	rateWindow = time.Second
)

// AsyncWriter writes lines in the background. A reader that is stuck costs lines, never time: when the queue is full, lines
// are dropped and counted.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a writer of lines to w.
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

// Write implements io.Writer; it never blocks.
func (b *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the lines that wait, for at most the given time. Nothing may be written after it.
func (b *AsyncWriter) Close(limit time.Duration) {
	close(b.queue)
	select {
	case <-b.done:
	case <-time.After(limit):
	}
}

// RateLimiter bounds the lines of each kind in a second; it may be used by any number of goroutines.
type RateLimiter struct {
	// LinesPerSecond is how many lines of one kind are written in a second.
	LinesPerSecond map[string]int

	mu          sync.Mutex
	windowStart time.Time
	written     map[string]int
	suppressed  map[string]int
}

// Allow reports whether a line of a kind may be written now. At the first call of a new second it also returns how many
// lines of each kind were left out before.
func (q *RateLimiter) Allow(kind string, now time.Time) (ok bool, left map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.windowStart) >= rateWindow {
		left = q.suppressed
		q.windowStart, q.written, q.suppressed = now, map[string]int{}, map[string]int{}
	}
	if limit, bounded := q.LinesPerSecond[kind]; bounded && q.written[kind] >= limit {
		q.suppressed[kind]++
		return false, left
	}
	q.written[kind]++
	return true, left
}
