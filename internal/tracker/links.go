package tracker

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/shaper"
)

// budgetPause is how long a queue waits for its budget before it looks again.
const budgetPause = 50 * time.Millisecond

// at returns the link of a store, with the lock held.
func (t *Tracker) at(store string, bytesPerSec float64) *link {
	l := t.links[store]
	if l == nil {
		l = &link{Link: shaper.New(bytesPerSec, t.now()), starts: map[uint64]func(done func(ok bool)){}}
		t.links[store] = l
	}
	return l
}

// Achieved returns the share of its configured rate that the link to a store achieves, and its backlog.
func (t *Tracker) Achieved(store string, limit float64) (share float64, backlog time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit <= 0 {
		return 0, 0
	}
	l, now := t.at(store, limit), t.now()
	return min(1, l.BytesPerSec(now)/limit), l.Backlog(now)
}

// Rate returns the expected rate of the link to a store in bytes a second, and its backlog.
func (t *Tracker) Rate(store string, limit float64) (bytesPerSec float64, backlog time.Duration) {
	share, backlog := t.Achieved(store, limit)
	return share * limit, backlog
}

// Importing counts an import that was ordered with a run; n is weighted, see [shaper.WeightedBytes].
func (t *Tracker) Importing(store string, limit float64, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at(store, limit).RecordImport(n, t.now())
}

// Sample takes a rate that was seen from the state of the store.
func (t *Tracker) Sample(store string, limit, bytesPerSec float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at(store, limit).RecordRate(bytesPerSec, t.now())
}

// Move queues a transfer. Start is called with the lock held once its turn comes; it must not block, and the transfer
// calls done once from another goroutine or a later event, with whether the bytes were moved.
func (t *Tracker) Move(store string, limit float64, j shaper.Job, start func(done func(ok bool))) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.at(store, limit)
	t.ids++
	j.ID = t.ids
	l.starts[j.ID] = start
	if dropped, full := l.Submit(j, t.now()); full {
		delete(l.starts, dropped.ID)
	}
	t.pump(l)
}

// pump starts what may start, with the lock held.
func (t *Tracker) pump(l *link) {
	for {
		j, ok := l.Next(t.now())
		if !ok {
			break
		}
		start, begun := l.starts[j.ID], t.now()
		delete(l.starts, j.ID)
		start(func(ok bool) { t.moved(l, j, begun, ok) })
	}
	if l.QueueLen() > 0 && !l.timer {
		l.timer = true
		t.After(budgetPause, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			l.timer = false
			t.pump(l)
		})
	}
}

func (t *Tracker) moved(l *link, j shaper.Job, begun time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	took := t.now().Sub(begun)
	if !ok {
		took = 0
	}
	l.Done(j.ID, j.Bytes, took, t.now())
	t.pump(l)
}
