package appender

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// maxBatch bounds the records of one append.
	maxBatch = 256
	// maxWaiting bounds the records that wait; 4,096 done records of 16 KiB are 64 MiB, the usual 150 B ones 600 KiB.
	maxWaiting   = 4096
	firstBackOff = 20 * time.Millisecond
	maxBackOff   = 2 * time.Second
)

// ErrQueueFull is returned if too many records wait for the log; nothing was appended.
var ErrQueueFull = &AppendError{Err: errors.New("too many records wait for the log")}

// Writer groups records of many callers into appends to one stream. It appends a failed batch again until it
// succeeds or the callers give up, so a record can occur twice in the log.
type Writer struct {
	Log    Log
	Stream string
	// AppendsPerSec is the number of appends a second that all live instances share; 0 means no bound.
	AppendsPerSec float64
	// WriterCount returns the number of appenders that share the budget; nil counts as one.
	WriterCount func() int
	// Rand is the source of the back-off's jitter; only Run uses it.
	Rand *rand.Rand

	mu      sync.Mutex
	waiting []*pending
	wake    chan struct{}
}

// pending is a record that waits to be appended.
type pending struct {
	ctx   context.Context
	data  []byte
	tried bool // an append with it may have taken effect
	done  chan result
}

type result struct {
	offset int64
	err    error
}

// NewWriter returns a writer; set its exported fields before Run.
func NewWriter(log Log, stream string) *Writer {
	return &Writer{Log: log, Stream: stream, wake: make(chan struct{}, 1)}
}

// Append hands over a record and waits until an append with it succeeded or ctx ended.
func (w *Writer) Append(ctx context.Context, data []byte) (int64, error) {
	p := &pending{ctx: ctx, data: data, done: make(chan result, 1)}
	w.mu.Lock()
	if len(w.waiting) >= maxWaiting {
		w.mu.Unlock()
		return 0, ErrQueueFull
	}
	w.waiting = append(w.waiting, p)
	w.mu.Unlock()
	w.signal()
	select {
	case r := <-p.done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, &AppendError{MaybeAppended: !w.withdraw(p), Err: ctx.Err()}
	}
}

// withdraw removes a record that no append has included yet and reports whether that was possible.
func (w *Writer) withdraw(p *pending) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, q := range w.waiting {
		if q == p {
			w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
			return !p.tried
		}
	}
	return false
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// interval is the least time between the starts of two appends.
func (w *Writer) interval() time.Duration {
	if w.AppendsPerSec <= 0 {
		return 0
	}
	n := 1
	if w.WriterCount != nil {
		n = max(1, w.WriterCount())
	}
	return time.Duration(float64(n) / w.AppendsPerSec * float64(time.Second))
}

// Run appends batches until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	if w.Rand == nil {
		w.Rand = rand.New(rand.NewPCG(rand.Uint64(), 1))
	}
	backOff := time.Duration(0)
	for {
		batch := w.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-w.wake:
			}
			continue
		}
		begun := time.Now()
		pause := time.Duration(0)
		if err := w.append(ctx, batch); err != nil {
			backOff = min(maxBackOff, max(firstBackOff, 2*backOff))
			pause = backOff/2 + time.Duration(w.Rand.Int64N(int64(backOff/2)))
		} else {
			backOff = 0
		}
		if !sleeper.Sleep(ctx, max(pause, w.interval()-time.Since(begun))) {
			return
		}
	}
}

// take removes the next batch from the waiting records; records whose callers gave up are dropped.
func (w *Writer) take() []*pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []*pending
	rest := w.waiting
	for len(rest) > 0 && len(batch) < maxBatch {
		p := rest[0]
		rest = rest[1:]
		if p.ctx.Err() == nil {
			batch = append(batch, p)
		} else {
			p.done <- result{err: &AppendError{MaybeAppended: p.tried, Err: p.ctx.Err()}}
		}
	}
	w.waiting = append([]*pending(nil), rest...)
	return batch
}

// append appends a batch once; after an error its records wait again, in front.
func (w *Writer) append(ctx context.Context, batch []*pending) error {
	data := make([][]byte, len(batch))
	for i, p := range batch {
		data[i] = p.data
	}
	first, err := w.Log.Append(ctx, w.Stream, data)
	if err != nil {
		w.mu.Lock()
		for _, p := range batch {
			p.tried = p.tried || MayHaveAppended(err)
		}
		w.waiting = append(batch, w.waiting...)
		w.mu.Unlock()
		w.signal()
		return err
	}
	for i, p := range batch {
		p.done <- result{offset: first + int64(i)}
	}
	return nil
}
