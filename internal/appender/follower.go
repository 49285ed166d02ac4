package appender

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// PollWait is the wait of an idle long poll.
	PollWait = 20 * time.Second
	// PollRecords bounds the records of one read.
	PollRecords = 256
)

// Follower reads a stream continuously. The consumer owns the position, so that it can move it.
type Follower struct {
	Log    Log
	Stream string
	// Next returns the offset from which to read.
	Next func() int64
	// Handle takes a batch that was read from an offset; if b.Oldest > from, records between were dropped by the
	// log's retention. It is called for empty batches too.
	Handle func(from int64, b Batch)
	// Failed is called with the error of a read; it may be nil.
	Failed func(error)
	// Wait is the wait of an idle long poll; 0 means PollWait.
	Wait time.Duration
	// Limit bounds the records of one read; 0 means PollRecords.
	Limit int
	// Errors logs the beginning and the end of an outage; it may be nil.
	Errors logger.Logger
}

// Run reads until ctx ends. After an error it tries again, with a growing pause that has jitter.
func (f *Follower) Run(ctx context.Context) {
	wait := f.Wait
	if wait == 0 {
		wait = PollWait
	}
	limit := f.Limit
	if limit == 0 {
		limit = PollRecords
	}
	backOff := time.Duration(0)
	for ctx.Err() == nil {
		from := f.Next()
		b, err := f.Log.Read(ctx, f.Stream, from, limit, wait)
		if err == nil {
			f.recovered(backOff)
			backOff = 0
			f.Handle(from, b)
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
	if f.Failed != nil {
		f.Failed(err)
	}
	if f.Errors != nil && backOff == 0 {
		logger.WithError(f.Errors, err).WithField("stream", f.Stream).Warn("log cannot be read")
	}
}

func (f *Follower) recovered(backOff time.Duration) {
	if f.Errors != nil && backOff > 0 {
		f.Errors.WithField("stream", f.Stream).Info("log can be read again")
	}
}
