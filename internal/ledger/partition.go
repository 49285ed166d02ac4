package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
)

// partition is one stream of the ledger with its fold.
type partition struct {
	stream string
	log    appender.Log
	writer *appender.Writer
	now    func() time.Time

	mu      sync.Mutex
	fold    *Fold
	changed chan struct{} // closed when the fold has advanced

	syncing chan struct{} // holds a token while a read to the head is in progress
	synced  uint64        // number of reads to the head that were completed; guarded by mu
}

// get returns the state of a key and the channel that is closed with the next change.
func (p *partition) get(key Hash, id AttemptID) (Entry, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Get(key, id), p.changed
}

func (p *partition) next() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.NextOffset()
}

func (p *partition) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Len()
}

// take folds a batch and wakes the waiting attempts.
func (p *partition) take(_ int64, b appender.Batch) {
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

// sync reads to the head of the stream by reads that begin after the call. Callers that wait for a read in progress
// share the one after it.
func (p *partition) sync(ctx context.Context) error {
	p.mu.Lock()
	seen := p.synced
	p.mu.Unlock()
	select {
	case p.syncing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.syncing }()
	p.mu.Lock()
	// The read numbered seen+1 may have begun before this call; the one after it has not.
	shared := p.synced >= seen+2
	p.mu.Unlock()
	if shared {
		return nil
	}
	for {
		from := p.next()
		b, err := p.log.Read(ctx, p.stream, from, appender.DefaultMaxRecords, 0)
		if err != nil {
			return err
		}
		p.take(from, b)
		if len(b.Records) < appender.DefaultMaxRecords {
			break
		}
	}
	p.mu.Lock()
	p.synced++
	p.mu.Unlock()
	return nil
}

// follow keeps the fold near the head until ctx ends.
func (p *partition) follow(ctx context.Context, f *appender.Follower) {
	f.Log, f.Stream, f.NextOffset, f.OnBatch = p.log, p.stream, p.next, p.take
	f.Run(ctx)
}
