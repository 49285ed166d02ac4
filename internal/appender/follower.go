package appender

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// DefaultLongPollTimeout is the wait of an idle long poll.
	DefaultLongPollTimeout = 20 * time.Second
	// DefaultMaxRecords bounds the records of one read.
	DefaultMaxRecords = 256
)

// Follower reads a stream continuously. The consumer owns the position, so that it can move it.
type Follower struct {
	Log    Log
	Stream string
	// NextOffset returns the offset from which to read.
	NextOffset func() int64
	// OnBatch takes a batch that was read from an offset; if b.Oldest > from, records between were dropped by the
	// log's retention. It is called for empty batches too.
	OnBatch func(from int64, b Batch)
	// OnError is called with the error of a read; it may be nil.
	OnError func(error)
	// LongPollTimeout is the wait of an idle long poll; 0 means DefaultLongPollTimeout.
	LongPollTimeout time.Duration
	// MaxRecords bounds the records of one read; 0 means DefaultMaxRecords.
	MaxRecords int
	// Logger logs the beginning and the end of an outage; it may be nil.
	Logger logger.Logger
}

// Run reads until ctx ends. After an error it tries again, with a growing pause that has jitter.
func (f *Follower) Run(ctx context.Context) {
	wait := f.LongPollTimeout
	if wait == 0 {
		wait = DefaultLongPollTimeout
	}
	limit := f.MaxRecords
	if limit == 0 {
		limit = DefaultMaxRecords
	}
	backOff := time.Duration(0)
	for ctx.Err() == nil {
		from := f.NextOffset()
		b, err := f.Log.Read(ctx, f.Stream, from, limit, wait)
		if err == nil {
			f.recovered(backOff)
			backOff = 0
			f.OnBatch(from, b)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.failed(err, backOff)
		backOff = min(maxBackOff, max(firstBackOff, 2*backOff))
		if !sleeper.Sleep(ctx, backOff/2+rand.N(backOff/2)) {
			return
		}
	}
}

func (f *Follower) failed(err error, backOff time.Duration) {
	if f.OnError != nil {
		f.OnError(err)
	}
	if f.Logger != nil && backOff == 0 {
		logger.WithError(f.Logger, err).WithField("stream", f.Stream).Warn("log cannot be read")
	}
}

func (f *Follower) recovered(backOff time.Duration) {
	if f.Logger != nil && backOff > 0 {
		f.Logger.WithField("stream", f.Stream).Info("log can be read again")
	}
}
