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
	// maxBatchRecords bounds the number of records per append.
	maxBatchRecords = 256
	// maxQueuedRecords bounds the queue: 64 MiB with the ledger's done records of 16 KiB, 600 KiB with the usual
	// records of 150 B.
	maxQueuedRecords = 4096
	initialBackoff   = 20 * time.Millisecond
	maxBackoff       = 2 * time.Second
)

// ErrQueueFull is returned if the writer's queue is full; nothing was appended.
var ErrQueueFull = &AppendError{Err: errors.New("too many records wait for the log")}

// Writer batches records of many callers into appends to one stream. It retries a failed batch until it succeeds or
// the callers' contexts end, so a record can occur in the log more than once. It is safe for concurrent use.
type Writer struct {
	Log    Log
	Stream string
	// AppendsPerSec is the append budget that all writers share; 0 means unlimited.
	AppendsPerSec float64
	// WriterCount returns the number of writers that share the budget; nil means one.
	WriterCount func() int
	// Rand is the source of the backoff jitter; only Run uses it.
	Rand *rand.Rand

	mu    sync.Mutex
	queue []*queuedRecord
	wake  chan struct{}
}

// queuedRecord is a record that has not been appended yet, as far as is known.
type queuedRecord struct {
	ctx           context.Context
	data          []byte
	maybeAppended bool // a failed append with it may have taken effect
	done          chan appendResult
}

type appendResult struct {
	offset int64
	err    error
}

// NewWriter returns a writer; set its exported fields before Run.
func NewWriter(log Log, stream string) *Writer {
	return &Writer{Log: log, Stream: stream, wake: make(chan struct{}, 1)}
}

// Append queues a record and blocks until it is appended or ctx ends. It returns the record's offset. Use
// [MayHaveAppended] on the error to find out whether the record may be on the log.
func (w *Writer) Append(ctx context.Context, data []byte) (int64, error) {
	p := &queuedRecord{ctx: ctx, data: data, done: make(chan appendResult, 1)}
	w.mu.Lock()
	if len(w.queue) >= maxQueuedRecords {
		w.mu.Unlock()
		return 0, ErrQueueFull
	}
	w.queue = append(w.queue, p)
	w.mu.Unlock()
	w.signal()
	select {
	case r := <-p.done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, &AppendError{MaybeAppended: !w.dequeue(p), Err: ctx.Err()}
	}
}

// dequeue removes a queued record and reports whether it is certain that no append included it.
func (w *Writer) dequeue(p *queuedRecord) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, q := range w.queue {
		if q == p {
			w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
			return !p.maybeAppended
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

// minInterval returns the minimum time between the starts of two appends.
func (w *Writer) minInterval() time.Duration {
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
	backoff := time.Duration(0)
	for {
		batch := w.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-w.wake:
			}
			continue
		}
		start := time.Now()
		delay := time.Duration(0)
		if err := w.appendBatch(ctx, batch); err != nil {
			backoff = min(maxBackoff, max(initialBackoff, 2*backoff))
			delay = backoff/2 + time.Duration(w.Rand.Int64N(int64(backoff/2)))
		} else {
			backoff = 0
		}
		if !sleeper.Sleep(ctx, max(delay, w.minInterval()-time.Since(start))) {
			return
		}
	}
}

// nextBatch removes the next batch from the queue. Records whose context has ended are dropped and their callers
// notified.
func (w *Writer) nextBatch() []*queuedRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []*queuedRecord
	rest := w.queue
	for len(rest) > 0 && len(batch) < maxBatchRecords {
		p := rest[0]
		rest = rest[1:]
		if p.ctx.Err() == nil {
			batch = append(batch, p)
		} else {
			p.done <- appendResult{err: &AppendError{MaybeAppended: p.maybeAppended, Err: p.ctx.Err()}}
		}
	}
	w.queue = append([]*queuedRecord(nil), rest...)
	return batch
}

// appendBatch makes one attempt to append a batch. After an error its records return to the front of the queue.
func (w *Writer) appendBatch(ctx context.Context, batch []*queuedRecord) error {
	data := make([][]byte, len(batch))
	for i, p := range batch {
		data[i] = p.data
	}
	first, err := w.Log.Append(ctx, w.Stream, data)
	if err != nil {
		w.mu.Lock()
		for _, p := range batch {
			p.maybeAppended = p.maybeAppended || MayHaveAppended(err)
		}
		w.queue = append(batch, w.queue...)
		w.mu.Unlock()
		w.signal()
		return err
	}
	for i, p := range batch {
		p.done <- appendResult{offset: first + int64(i)}
	}
	return nil
}
