package appender

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// DefaultLongPollTimeout is how long a read waits for new records.
	DefaultLongPollTimeout = 20 * time.Second
	// DefaultMaxRecords bounds the number of records per read.
	DefaultMaxRecords = 256
)

// Follower tails a stream by long polling. The consumer holds the read offset, so that it can seek.
type Follower struct {
	Log    Log
	Stream string
	// NextOffset returns the offset of the next read.
	NextOffset func() int64
	// OnBatch is called with every batch, including empty ones, and the offset it was read from. If
	// b.OldestOffset > from, the records in between have expired from the log.
	OnBatch func(from int64, b Batch)
	// OnError is called with the error of each failed read; it may be nil.
	OnError func(error)
	// LongPollTimeout is how long a read waits for new records; 0 means DefaultLongPollTimeout.
	LongPollTimeout time.Duration
	// MaxRecords bounds the number of records per read; 0 means DefaultMaxRecords.
	MaxRecords int
	// ErrorLog receives one line at the start and one at the end of an outage; it may be nil.
	ErrorLog logger.Logger
}

// Run reads until ctx ends. After an error it retries with exponential backoff and jitter.
func (f *Follower) Run(ctx context.Context) {
	wait := f.LongPollTimeout
	if wait == 0 {
		wait = DefaultLongPollTimeout
	}
	limit := f.MaxRecords
	if limit == 0 {
		limit = DefaultMaxRecords
	}
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		from := f.NextOffset()
		b, err := f.Log.Read(ctx, f.Stream, from, limit, wait)
		if err == nil {
			f.reportRecovery(backoff)
			backoff = 0
			f.OnBatch(from, b)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.reportFailure(err, backoff)
		backoff = min(maxBackoff, max(initialBackoff, 2*backoff))
		if !sleeper.Sleep(ctx, backoff/2+rand.N(backoff/2)) {
			return
		}
	}
}

func (f *Follower) reportFailure(err error, backoff time.Duration) {
	if f.OnError != nil {
		f.OnError(err)
	}
	if f.ErrorLog != nil && backoff == 0 {
		logger.WithError(f.ErrorLog, err).WithField("stream", f.Stream).Warn("log cannot be read")
	}
}

func (f *Follower) reportRecovery(backoff time.Duration) {
	if f.ErrorLog != nil && backoff > 0 {
		f.ErrorLog.WithField("stream", f.Stream).Info("log can be read again")
	}
}
