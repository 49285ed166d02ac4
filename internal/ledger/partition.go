package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
)

// partition is one stream of the ledger with its state.
type partition struct {
	stream string
	log    appender.Log
	writer *appender.Writer
	now    func() time.Time

	mu      sync.Mutex
	fold    *Fold
	changed chan struct{} // closed and replaced when the fold has advanced

	syncToken chan struct{} // semaphore of size 1, held during a read to the head
	syncCount uint64        // number of completed reads to the head; guarded by mu
}

// entry returns the state of a key and a channel that is closed on the next change of the fold.
func (p *partition) entry(key Hash, id AttemptID) (Entry, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Get(key, id), p.changed
}

func (p *partition) nextOffset() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.NextOffset()
}

func (p *partition) keyCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Len()
}

// apply applies a batch to the fold and wakes waiting attempts.
func (p *partition) apply(_ int64, b appender.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold.Expire(p.now())
	before := p.fold.NextOffset()
	p.fold.Apply(b)
	if p.fold.NextOffset() != before {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// sync reads to the head of the stream with reads that start after the call of sync. Callers that wait for a read in
// progress share the next one.
func (p *partition) sync(ctx context.Context) error {
	p.mu.Lock()
	completed := p.syncCount
	p.mu.Unlock()
	select {
	case p.syncToken <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.syncToken }()
	p.mu.Lock()
	// Read completed+1 may have started before this call; the one after it has not.
	shared := p.syncCount >= completed+2
	p.mu.Unlock()
	if shared {
		return nil
	}
	for {
		from := p.nextOffset()
		b, err := p.log.Read(ctx, p.stream, from, appender.DefaultMaxRecords, 0)
		if err != nil {
			return err
		}
		p.apply(from, b)
		if len(b.Records) < appender.DefaultMaxRecords {
			break
		}
	}
	p.mu.Lock()
	p.syncCount++
	p.mu.Unlock()
	return nil
}

// follow applies new records of the stream to the fold until ctx ends.
func (p *partition) follow(ctx context.Context, f *appender.Follower) {
	f.Log, f.Stream, f.NextOffset, f.OnBatch = p.log, p.stream, p.nextOffset, p.apply
	f.Run(ctx)
}
