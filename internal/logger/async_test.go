package logger

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a blocked log output that delays requests, and against dropped lines that are not counted.
func TestAsyncWriterWithBlockedOutput(t *testing.T) {
	r, w := io.Pipe() // never read, so that writes to w block
	defer func() { _ = r.Close() }()
	a := NewAsyncWriter(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			_, _ = a.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked for 10 s")
	}
	require.GreaterOrEqual(t, a.Dropped(), int64(2*maxQueuedLines-1))
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

// Guards against lines that are dropped although the output does not block, and against lines that are out of order.
func TestAsyncWriterWritesAllInOrder(t *testing.T) {
	out := new(lockedBuffer)
	a := NewAsyncWriter(out)
	for range 100 {
		_, _ = a.Write([]byte("a\n"))
		_, _ = a.Write([]byte("b\n"))
	}
	a.Close(10 * time.Second)
	require.Zero(t, a.Dropped())
	require.Equal(t, bytes.Repeat([]byte("a\nb\n"), 100), out.b.Bytes())
}

// Guards against a burst of successes that uses up the limit of failures, and against suppressed lines that are not counted.
func TestRateLimiter(t *testing.T) {
	l := &RateLimiter{LinesPerSecond: map[string]int{"answered": 2, "failed": 3}}
	now := time.Unix(100, 0)
	written := map[string]int{}
	for range 5 {
		for _, kind := range []string{"answered", "failed", "other"} {
			if ok, _ := l.Allow(kind, now); ok {
				written[kind]++
			}
		}
	}
	require.Equal(t, map[string]int{"answered": 2, "failed": 3, "other": 5}, written)
	ok, suppressed := l.Allow("answered", now.Add(rateWindow))
	require.True(t, ok)
	require.Equal(t, map[string]int{"answered": 3, "failed": 2}, suppressed)
}
