// Package appender is the client of the platform's append-only log.
//
// The log holds streams of records with offsets, keeps each record for a limited
// time and takes only several hundred appends a second from all instances
// together. [Client] speaks its HTTP protocol. [Writer] groups the records of
// many callers into few appends: one append is in flight, the next batch
// collects meanwhile. [Follower] reads a stream continuously.
//
// An append that fails may have taken effect, because the response can be lost
// after the effect. [MayHaveAppended] tells whether that is possible. Users of
// the log therefore decide by what they read back, and their folds ignore a
// record that occurs twice.
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

// Record is one record of a stream.
type Record struct {
	Offset     int64
	AppendedAt time.Time
	Data       []byte
}

// Batch is the answer to a read. Next is the offset after the last record; Oldest is the oldest offset that is kept.
type Batch struct {
	Records      []Record
	OldestOffset int64
	NextOffset   int64
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends the records to the stream; an error may hide success, see [MayHaveAppended].
	Append(ctx context.Context, stream string, records [][]byte) (first int64, err error)
	// Read returns at most limit records from an offset on and waits for the first one if there is none.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}

// AppendError is the error of an append. Maybe is false only if it is certain that nothing was appended.
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
