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
	// maxSync bounds the read to the log's head before a call; a quarter of the call's time bounds it too.
	maxSync = 2 * time.Second
	// cleanUpTime bounds how long an abandon or an outcome is tried to be appended after the caller was answered.
	cleanUpTime = 10 * time.Minute
	// maxDeadline bounds the time of a call: an intent must not be sent later than its key leaves the window.
	maxDeadline = 4 * time.Minute
	// defaultRetention is that of the configuration.
	defaultRetention = 24 * time.Hour
)

// Request is one try of a non-repeatable call.
type Request struct {
	Account  string
	Key      string
	BodyHash Hash
	Deadline time.Time
}

// Response is the response of a target.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Note says why the body of a recorded response is missing.
	Note string
}

// SendFunc sends the call to its target. If it fails, sent says whether a byte may have reached the target.
type SendFunc func(ctx context.Context) (res *Response, sent bool, err error)

// Result is what the caller is told.
type Result struct {
	Outcome  Outcome
	Reason   string
	Response *Response
	// Replayed: the response is that of an earlier try.
	Replayed bool
}

// Ledger runs non-repeatable calls at most once.
type Ledger struct {
	Log   appender.Log
	Owner string
	// Partitions is the number of streams; all instances must use the same one.
	Partitions int
	// Retention is that of the log.
	Retention time.Duration
	// AppendsPerSec is the number of appends a second that all instances share, and Live returns how many they are.
	AppendsPerSec float64
	InstanceCount func() int
	Now           func() time.Time
	Asserter      *asserter.Asserter
	Recorder      *recorder.Recorder
	ErrorLog      logger.Logger

	ctx        context.Context
	mu         sync.Mutex
	partitions map[int]*partition
	pending    sync.WaitGroup
}

// Start completes the settings; the background work ends with ctx. A partition is read once a call needs it.
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

// StreamName names the stream of a partition.
func StreamName(partition int) string { return "ledger." + strconv.Itoa(partition) }

// PartitionOf returns the partition of an account's key.
func PartitionOf(account, key string, partitions int) int {
	h := keyHash(account, key)
	return int(binary.BigEndian.Uint64(h[:8]) % uint64(max(1, partitions)))
}

// partition returns a partition and starts to follow it when it is used for the first time.
func (l *Ledger) partition(n int) *partition {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partitions[n]
	if p != nil {
		return p
	}
	p = &partition{
		stream: StreamName(n), log: l.Log, now: l.Now, fold: NewFold(l.Retention), changed: make(chan struct{}),
		syncing: make(chan struct{}, 1), writer: appender.NewWriter(l.Log, StreamName(n)),
	}
	p.writer.AppendsPerSec, p.writer.WriterCount = l.AppendsPerSec, l.appenders
	l.partitions[n] = p
	go p.writer.Run(l.ctx)
	go p.follow(l.ctx, &appender.Follower{ErrorLog: l.ErrorLog})
	return p
}

// appenders is the number of writers that share the budget: the partitions in use of each live instance.
func (l *Ledger) appenders() int {
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
		n += p.len()
	}
	return n
}

// Flush waits until the outcomes and abandons in progress are on the log, or ctx ends.
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

// Do runs a call at most once and returns what its caller is told.
func (l *Ledger) Do(ctx context.Context, c Request, send SendFunc) Result {
	now := l.Now()
	key, err := CheckKey(c.Key, now, l.Retention)
	if err != nil {
		return Result{Outcome: InvalidKey, Reason: err.Error()}
	}
	if latest := now.Add(maxDeadline); c.Deadline.After(latest) {
		c.Deadline = latest
	}
	c.Key = key
	var id AttemptID
	_, _ = rand.Read(id[:])
	o := &owner{
		l: l, call: c, send: send, p: l.partition(PartitionOf(c.Account, key, l.Partitions)),
		a: NewAttempt(id, keyHash(c.Account, key), c.BodyHash, now, c.Deadline),
	}
	return o.run(ctx)
}

// append appends a record in the background, after its caller was answered if need be.
func (l *Ledger) append(p *partition, r *Record) {
	ctx, cancel := context.WithTimeout(l.ctx, cleanUpTime)
	l.pending.Go(func() {
		defer cancel()
		if _, err := p.writer.Append(ctx, r.Encode()); err != nil && l.ErrorLog != nil {
			logger.WithError(l.ErrorLog, err).WithField("kind", r.Kind).Warn("ledger record was not written")
		}
	})
}
