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
		l = &link{Link: shaper.New(bytesPerSec, t.now()), moves: map[uint64]func() bool{}}
		t.links[store] = l
	}
	return l
}

// Rate returns the expected rate and backlog of the link to a store; limit is the configured rate.
func (t *Tracker) Rate(store string, limit float64) (bytesPerSec float64, backlog time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, now := t.at(store, limit), t.now()
	return min(limit, l.Rate(now)), l.Backlog(now)
}

// Importing counts an import that was ordered with a run.
func (t *Tracker) Importing(store string, limit float64, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at(store, limit).Begin(n, t.now())
}

// Sample takes a rate that was seen from the state of the store.
func (t *Tracker) Sample(store string, limit, bytesPerSec float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at(store, limit).Sample(bytesPerSec, t.now())
}

// Move queues a transfer; move runs once its turn comes and reports whether the bytes were moved.
func (t *Tracker) Move(store string, limit float64, j shaper.Job, move func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.at(store, limit)
	t.ids++
	j.ID = t.ids
	l.moves[j.ID] = move
	if dropped, full := l.Submit(j, t.now()); full {
		delete(l.moves, dropped.ID)
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
		move := l.moves[j.ID]
		delete(l.moves, j.ID)
		if move != nil {
			go t.move(l, j, move)
		}
	}
	if l.Waiting() > 0 && !l.timer {
		l.timer = true
		time.AfterFunc(budgetPause, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			l.timer = false
			t.pump(l)
		})
	}
}

func (t *Tracker) move(l *link, j shaper.Job, move func() bool) {
	begun := t.now()
	ok := move()
	took := t.now().Sub(begun)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ok {
		took = 0
	}
	l.Done(j.ID, j.Bytes, took, t.now())
	t.pump(l)
}
