package continuer

import (
	"context"
	"errors"
	"sync"
	"time"
)

// readTimeout bounds one read of a topic.
const readTimeout = 700 * time.Millisecond

// errEraChanged means that the store has begun an era in each of two reads in a row.
var errEraChanged = errors.New("the metadata store has begun an era during the read")

// reader reads a topic. Callers that arrive together share a read, but a read counts only for the callers that arrived before it was
// sent.
type reader[T any] struct {
	topic func() Topic[T]
	// apply gets each page. IsReset reports that all records before are to be forgotten, because the store has begun an era or its
	// page is a snapshot; isNewEra reports the former.
	apply func(records []T, isReset, isNewEra bool)

	mu        sync.Mutex
	isReading bool
	next      *flight
	// The fields below belong to the goroutine that reads. isNewEra reports that the next page is the first one of its era.
	cursor              Cursor
	isStarted, isNewEra bool
}

// flight is a read that has not been sent yet or is on its way.
type flight struct {
	done chan struct{}
	err  error
}

// read applies all records that the store had acknowledged when it was called.
func (r *reader[T]) read(ctx context.Context) error {
	r.mu.Lock()
	if r.next == nil {
		r.next = &flight{done: make(chan struct{})}
	}
	f := r.next
	if !r.isReading {
		r.isReading = true
		go r.run()
	}
	r.mu.Unlock()
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run sends reads until no caller waits for one.
func (r *reader[T]) run() {
	for {
		r.mu.Lock()
		f := r.next
		r.next = nil
		if f == nil {
			r.isReading = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		f.err = r.readOnce()
		close(f.done)
	}
}

// readOnce reads the topic, again from the beginning if the store has begun an era.
func (r *reader[T]) readOnce() error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	for range 2 {
		p, err := r.topic().Read(ctx, r.cursor)
		if err != nil {
			return err
		}
		if r.isStarted && p.Next.Era != r.cursor.Era {
			// The page was made for offsets of another era.
			r.cursor, r.isStarted, r.isNewEra = Cursor{}, false, true
			continue
		}
		r.cursor, r.isStarted = p.Next, true
		r.apply(p.Records, r.isNewEra || p.IsSnapshot, r.isNewEra)
		r.isNewEra = false
		return nil
	}
	return errEraChanged
}
