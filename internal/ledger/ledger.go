package ledger

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const (
	// maxSyncTime bounds the read to the head of the log before a request, as does a quarter of the request's time.
	maxSyncTime = 2 * time.Second
	// backgroundAppendTimeout bounds how long the append of an abandon or done record is retried in the background.
	backgroundAppendTimeout = 10 * time.Minute
	// maxTimeout bounds the time of a request: its intent must not be appended after its key has become too old.
	maxTimeout = 4 * time.Minute
	// defaultRetention is the retention if none is set; the configuration has the same default.
	defaultRetention = 24 * time.Hour
)

// Request is one attempt to execute a non-repeatable request.
type Request struct {
	Account  string
	Key      string
	BodyHash Hash
	Deadline time.Time
}

// Response is a target's response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Note says why a replayed response has no body.
	Note string
}

// SendFunc sends the request to its target. After an error, sent reports whether a byte may have reached the target.
type SendFunc func(ctx context.Context) (res *Response, sent bool, err error)

// Result is the result of an attempt as returned to its caller.
type Result struct {
	Outcome  Outcome
	Reason   string
	Response *Response
	// Replayed reports whether the response is that of an earlier attempt.
	Replayed bool
}

// Ledger executes non-repeatable requests at most once. Its methods are safe for concurrent use after Start.
type Ledger struct {
	Log appender.Log
	// Owner is the ID of this instance. It is written to each intent.
	Owner string
	// Partitions is the number of streams; all instances must use the same number.
	Partitions int
	// Retention is the log's retention time; 0 means 24 h.
	Retention time.Duration
	// AppendsPerSec is the append budget that all instances share; 0 means unlimited. InstanceCount returns the number of
	// live instances; nil means one.
	AppendsPerSec float64
	InstanceCount func() int
	// Now is the clock; nil means time.Now. Asserter, Recorder and ErrorLog may be nil.
	Now      func() time.Time
	Asserter *asserter.Asserter
	Recorder *recorder.Recorder
	ErrorLog logger.Logger

	ctx        context.Context
	mu         sync.Mutex
	partitions map[int]*partition
	pending    sync.WaitGroup
}

// Start applies defaults; it must be called before the other methods. Background work runs until ctx ends. A partition is
// followed from its first use on.
func (l *Ledger) Start(ctx context.Context) {
	l.ctx = ctx
	l.partitions = map[int]*partition{}
	l.Partitions = max(1, l.Partitions)
	if l.Retention == 0 {
		l.Retention = defaultRetention
	}
	if l.Now == nil {
		l.Now = time.Now
	}
}

// StreamName returns the name of the log stream of a partition.
func StreamName(partition int) string { return "ledger." + strconv.Itoa(partition) }

// PartitionOf returns the partition of an account's key.
func PartitionOf(account, key string, partitions int) int {
	h := keyHash(account, key)
	return int(binary.BigEndian.Uint64(h[:8]) % uint64(max(1, partitions)))
}

// partition returns partition n and starts following its stream on first use.
func (l *Ledger) partition(n int) *partition {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partitions[n]
	if p != nil {
		return p
	}
	p = &partition{
		stream: StreamName(n), log: l.Log, now: l.Now, fold: NewFold(l.Retention), changed: make(chan struct{}),
		syncToken: make(chan struct{}, 1), writer: appender.NewWriter(l.Log, StreamName(n)),
	}
	p.writer.AppendsPerSec, p.writer.WriterCount = l.AppendsPerSec, l.writerCount
	l.partitions[n] = p
	go p.writer.Run(l.ctx)
	go p.follow(l.ctx, &appender.Follower{ErrorLog: l.ErrorLog})
	return p
}

// writerCount estimates the number of writers that share the budget: partitions in use here times live instances.
func (l *Ledger) writerCount() int {
	live := 1
	if l.InstanceCount != nil {
		live = max(1, l.InstanceCount())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return live * max(1, len(l.partitions))
}

// KeyCount returns the number of keys in memory.
func (l *Ledger) KeyCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, p := range l.partitions {
		n += p.keyCount()
	}
	return n
}

// Flush waits until the background appends and dispatches in progress have ended, or ctx ends.
func (l *Ledger) Flush(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		l.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do executes a request at most once and returns the result of this attempt. It blocks until the outcome is decided, at
// most until the deadline, which is limited to 4 minutes from now. Reading the response of an earlier attempt from the
// log may add up to 2 s.
func (l *Ledger) Do(ctx context.Context, r Request, send SendFunc) Result {
	now := l.Now()
	key, err := CheckKey(r.Key, now, l.Retention)
	if err != nil {
		return Result{Outcome: InvalidKey, Reason: err.Error()}
	}
	if latest := now.Add(maxTimeout); r.Deadline.After(latest) {
		r.Deadline = latest
	}
	r.Key = key
	var id AttemptID
	_, _ = rand.Read(id[:])
	o := &owner{
		ledger: l, request: r, sendRequest: send, p: l.partition(PartitionOf(r.Account, key, l.Partitions)),
		attempt: NewAttempt(id, keyHash(r.Account, key), r.BodyHash, now, r.Deadline),
	}
	return o.run(ctx)
}

// appendInBackground appends a record without blocking; it may end after the caller received its result.
func (l *Ledger) appendInBackground(p *partition, r *Record) {
	ctx, cancel := context.WithTimeout(l.ctx, backgroundAppendTimeout)
	l.pending.Go(func() {
		defer cancel()
		if _, err := p.writer.Append(ctx, r.Encode()); err != nil && l.ErrorLog != nil {
			logger.WithError(l.ErrorLog, err).WithField("kind", r.Kind).Warn("ledger record was not written")
		}
	})
}
