package continuer

import "context"

// Topic is a topic of the metadata store that all instances share. Its methods may be called by several goroutines.
type Topic[T any] interface {
	// Append appends the records in one call, all or nothing. Without an error the store has acknowledged them; with one they may
	// have been appended all the same, or may be later.
	Append(ctx context.Context, records []T) error
	// Read returns the records after a position, without waiting for new ones. All records that the store had acknowledged when it
	// was called are in the page, or were before the position.
	Read(ctx context.Context, after Cursor) (Page[T], error)
}

// Cursor is how far a topic has been read; the zero value is its beginning. Only the implementation of [Topic] reads its fields.
type Cursor struct {
	// Offsets holds the offset of the next record of each partition, in the history of Era.
	Offsets []int64
	Era     int64
}

// Page is the result of a read.
type Page[T any] struct {
	Records []T
	Next    Cursor
	// IsSnapshot reports whether the records replace all that were read before, since the store does not have the records after the
	// cursor any more.
	IsSnapshot bool
}

// Mark states that targets of a service run, or have lately run, a software version. It is a record of a keyed topic: the store
// retains it until it is removed.
type Mark struct {
	Service, Software string
	// IsRemoved reports whether the software version has left the service for longer than a stream may be taken up.
	IsRemoved bool
}

// Stream states at which software version a stream began.
type Stream struct {
	// ID is the ID of the request that brought the first event of the stream.
	ID string
	// Service and Software are those of the target from which the first event came.
	Service, Software string
	// BegunUnixMs is when the first event was forwarded, in Unix milliseconds on the clock of the instance.
	BegunUnixMs int64
}
