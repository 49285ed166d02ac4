package logger

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a log whose stuck reader slows requests down, and against lost lines that nobody counts.
func TestBoundedWithStuckReader(t *testing.T) {
	r, w := io.Pipe() // nobody reads
	defer func() { _ = r.Close() }()
	b := NewAsyncWriter(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			_, _ = b.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocked")
	}
	require.GreaterOrEqual(t, b.Dropped(), int64(2*maxQueuedLines-1))
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// Guards against lines that are lost although the reader keeps up, or that come out of order.
func TestBoundedWritesAll(t *testing.T) {
	out := new(lockedBuffer)
	b := NewAsyncWriter(out)
	for range 100 {
		_, _ = b.Write([]byte("a\n"))
		_, _ = b.Write([]byte("b\n"))
	}
	b.Close(10 * time.Second)
	require.Zero(t, b.Dropped())
	require.Equal(t, bytes.Repeat([]byte("a\nb\n"), 100), out.b.Bytes())
}

// Guards against a burst of successes that takes the place of failures, and against left-out lines that are not counted.
func TestQuota(t *testing.T) {
	q := &RateLimiter{LinesPerSecond: map[string]int{"answered": 2, "failed": 3}}
	now := time.Unix(100, 0)
	written := map[string]int{}
	for range 5 {
		for _, kind := range []string{"answered", "failed", "other"} {
			if ok, _ := q.Allow(kind, now); ok {
				written[kind]++
			}
		}
	}
	require.Equal(t, map[string]int{"answered": 2, "failed": 3, "other": 5}, written)
	ok, left := q.Allow("answered", now.Add(rateWindow))
	require.True(t, ok)
	require.Equal(t, map[string]int{"answered": 3, "failed": 2}, left)
}
