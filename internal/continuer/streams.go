package continuer

import (
	"sync"
	"time"
)

// maxStreams bounds the memory for streams. It covers more than 500 streams a second within takeUpWindow.
const maxStreams = 32768

// table holds the streams that were lately begun, by ID. It is safe for concurrent use.
type table struct {
	mu   sync.Mutex
	byID map[string]*entry
	// order holds all entries, oldest first.
	order []*entry
	// queue holds the entries that are to be written, queued a value if some were added to it.
	queue  []*entry
	queued chan struct{}
}

// entry is a stream of a table.
type entry struct {
	stream Stream
	// at is when the stream was begun here or read.
	at time.Duration
	// isOwn reports whether the stream was begun at this instance.
	isOwn bool
	// isConflicting reports that a stream with the same ID differs, so that the version is unknown. Other is that stream; both are
	// written, so that other instances find that out too.
	isConflicting bool
	other         Stream

	isEnded, isQueued, isWritten bool
}

func newTable() *table { return &table{byID: map[string]*entry{}} }

// begin adds a stream that was begun at this instance.
func (t *table) begin(s Stream, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(s, now).isOwn = true
}

// enqueueStream queues a stream that was begun at this instance.
func (t *table) enqueueStream(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byID[id]; e != nil {
		t.enqueue(e)
	}
}

// merge adds streams that were read.
func (t *table) merge(streams []Stream, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range streams {
		t.add(s, now)
	}
}

// add returns the entry of a stream; t.mu is held.
func (t *table) add(s Stream, now time.Duration) *entry {
	if e := t.byID[s.ID]; e != nil {
		if !e.isConflicting && (e.stream.Service != s.Service || e.stream.Software != s.Software) {
			e.isConflicting, e.other = true, s
			e.isWritten, e.isEnded = false, false
		}
		return e
	}
	t.trim(maxStreams-1, now)
	e := &entry{stream: s, at: now}
	t.byID[s.ID] = e
	t.order = append(t.order, e)
	return e
}

// end records that a stream has ended completely.
func (t *table) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byID[id]; e != nil && e.isOwn {
		e.isEnded = true
	}
}

// find returns a stream, and whether records of it differ.
func (t *table) find(id string, now time.Duration) (s Stream, found, isConflicting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	if e == nil || now-e.at >= takeUpWindow {
		return Stream{}, false, false
	}
	return e.stream, !e.isConflicting, e.isConflicting
}

// enqueueService queues the streams of a service that were begun at this instance and have not ended. Again is set if what was written
// may be lost.
func (t *table) enqueueService(service string, again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.order {
		if e.stream.Service == service && e.isOwn && !e.isEnded && (again || !e.isWritten) {
			e.isWritten = false
			t.enqueue(e)
		}
	}
}

// enqueue queues an entry unless it is written or queued; t.mu is held.
func (t *table) enqueue(e *entry) {
	if !e.isWritten && !e.isQueued {
		e.isQueued = true
		t.queue = append(t.queue, e)
		select {
		case t.queued <- struct{}{}:
		default: // there is a value
		}
	}
}

// take removes at most n entries from the queue that still have to be written, and returns them and their records.
func (t *table) take(n int, now time.Duration) (es []*entry, records []Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.queue) > 0 && len(es) < n {
		e := t.queue[0]
		t.queue = t.queue[1:]
		e.isQueued = false
		if e.isEnded || now-e.at >= takeUpWindow {
			continue
		}
		e.isWritten = true
		es, records = append(es, e), append(records, e.stream)
		if e.isConflicting {
			records = append(records, e.other)
		}
	}
	return es, records
}

// requeue queues entries again whose records could not be written.
func (t *table) requeue(es []*entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range es {
		e.isWritten = false
		t.enqueue(e)
	}
}

// prune forgets the streams that cannot be taken up any more.
func (t *table) prune(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trim(maxStreams, now)
}

// trim drops the entries that are too old, and the oldest ones above n; t.mu is held.
func (t *table) trim(n int, now time.Duration) {
	for len(t.order) > 0 && (len(t.order) > n || now-t.order[0].at >= takeUpWindow) {
		delete(t.byID, t.order[0].stream.ID)
		t.order[0] = nil
		t.order = t.order[1:]
	}
}
