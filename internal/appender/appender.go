// Package appender is the client of the platform's append-only log.
//
// The log holds streams of records addressed by offset, retains each record for
// a limited time and accepts only several hundred appends per second from all
// instances together. [Client] implements its HTTP protocol. [Writer] batches
// the records of many callers into few appends: while one append is in flight,
// the next batch collects. [Follower] tails a stream by long polling.
//
// A failed append may still have taken effect, because the response can be lost
// after the records were written. [MayHaveAppended] reports whether that is
// possible. Users of the log therefore base decisions on the records they read
// back, and ignore duplicate records.
//
// # Usage
//
//	log := &appender.Client{Addr: "127.0.0.1:7000"}
//	w := appender.NewWriter(log, "ledger.0")
//	go w.Run(ctx)
//	offset, err := w.Append(ctx, record)
//
//	f := &appender.Follower{Log: log, Stream: "config", NextOffset: v.NextOffset, OnBatch: onBatch}
//	f.Run(ctx)
package appender

import (
	"context"
	"errors"
	"time"
)

// Record is one record of a stream. AppendedAt is the log's own time stamp.
type Record struct {
	Offset     int64
	AppendedAt time.Time
	Data       []byte
}

// Batch is the result of a read. NextOffset is the offset after the last record; OldestOffset is the oldest offset that
// the log still retains.
type Batch struct {
	Records      []Record
	OldestOffset int64
	NextOffset   int64
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends the records to the stream and returns the offset of the first one. After an error the records may
	// still have been appended, see [MayHaveAppended].
	Append(ctx context.Context, stream string, records [][]byte) (first int64, err error)
	// Read returns at most limit records starting at offset from. If there is none it waits up to wait for one.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}

// AppendError is the error of a failed append. MaybeAppended is false only if it is certain that nothing was appended.
type AppendError struct {
	MaybeAppended bool
	Err           error
}

// Error implements error.
func (e *AppendError) Error() string {
	if e.MaybeAppended {
		return "append failed and may have taken effect: " + e.Err.Error()
	}
	return "nothing was appended: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error { return e.Err }

// MayHaveAppended reports whether the append that returned err may have taken effect.
func MayHaveAppended(err error) bool {
	var ae *AppendError
	if errors.As(err, &ae) {
		return ae.MaybeAppended
	}
	return err != nil
}
