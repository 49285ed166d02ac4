package appender

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// errFakeUnavailable is returned while [Faults.Down] is set.
var errFakeUnavailable = errors.New("log is down")

// Faults are the faults that a [Fake] injects.
type Faults struct {
	// Down makes every request fail without effect. The error does not rule out an effect.
	Down bool
	// DropResponses makes appends return an error after they took effect.
	DropResponses bool
	// Duplicate appends every batch twice, as a retry in a proxy would.
	Duplicate bool
	// Delay is added to every request.
	Delay time.Duration
}

// Fake is an in-memory [Log] for tests. It is safe for concurrent use.
type Fake struct {
	// Now is the log's clock; nil means time.Now.
	Now func() time.Time
	// Retention is how long records are kept; 0 means forever.
	Retention time.Duration

	mu      sync.Mutex
	faults  Faults
	streams map[string]*fakeStream
	changed chan struct{}
	appends int
}

type fakeStream struct {
	oldest  int64
	records []Record
}

// NewFake returns an empty fake log; now may be nil.
func NewFake(now func() time.Time) *Fake {
	if now == nil {
		now = time.Now
	}
	return &Fake{Now: now, streams: map[string]*fakeStream{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults and wakes waiting reads.
func (f *Fake) SetFaults(x Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = x
	f.wakeReaders()
}

// AppendCount returns the number of appends that took effect.
func (f *Fake) AppendCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appends
}

func (f *Fake) wakeReaders() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// stream returns a stream after removing expired records; f.mu must be held.
func (f *Fake) stream(name string) *fakeStream {
	s := f.streams[name]
	if s == nil {
		s = &fakeStream{}
		f.streams[name] = s
	}
	if f.Retention > 0 {
		limit := f.Now().Add(-f.Retention)
		for len(s.records) > 0 && s.records[0].AppendedAt.Before(limit) {
			s.oldest = s.records[0].Offset + 1
			s.records = s.records[1:]
		}
	}
	return s
}

func (f *Fake) currentFaults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Append implements [Log].
func (f *Fake) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	x := f.currentFaults()
	if !sleeper.Sleep(ctx, x.Delay) || x.Down {
		return 0, &AppendError{MaybeAppended: true, Err: errFakeUnavailable}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stream(stream)
	first := s.oldest + int64(len(s.records))
	if x.Duplicate {
		records = append(slices.Clone(records), records...)
	}
	for i, d := range records {
		s.records = append(s.records, Record{Offset: first + int64(i), AppendedAt: f.Now(), Data: slices.Clone(d)})
	}
	f.appends++
	f.wakeReaders()
	if x.DropResponses {
		return 0, &AppendError{MaybeAppended: true, Err: errors.New("response lost")}
	}
	return first, nil
}

// Read implements [Log].
func (f *Fake) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error) {
	var expired <-chan time.Time
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		expired = t.C
	}
	if !sleeper.Sleep(ctx, f.currentFaults().Delay) {
		return Batch{}, ctx.Err()
	}
	for {
		b, changed, err := f.readBatch(stream, from, limit)
		if err != nil || len(b.Records) > 0 || wait <= 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-expired:
			return b, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

func (f *Fake) readBatch(stream string, from int64, limit int) (Batch, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Down {
		return Batch{}, nil, errFakeUnavailable
	}
	s := f.stream(stream)
	b := Batch{OldestOffset: s.oldest, NextOffset: max(from, s.oldest)}
	if i := b.NextOffset - s.oldest; i < int64(len(s.records)) {
		end := int64(len(s.records))
		if limit > 0 {
			end = min(end, i+int64(limit))
		}
		b.Records = slices.Clone(s.records[i:end])
		b.NextOffset = s.oldest + end
	}
	return b, f.changed, nil
}
