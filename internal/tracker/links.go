package tracker

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/shaper"
)

// budgetRetryInterval is the delay before a queue without budget tries again to start a transfer.
const budgetRetryInterval = 50 * time.Millisecond

// linkTo returns the link of a store and creates it if necessary. The caller holds the lock.
func (t *Tracker) linkTo(store string, bytesPerSec float64) *link {
	l := t.links[store]
	if l == nil {
		l = &link{Link: shaper.New(bytesPerSec, t.now()), startFuncs: map[uint64]func(done func(ok bool)){}}
		t.links[store] = l
	}
	return l
}

// AchievedShare returns the share of the limit that the link to a store is expected to achieve, and the backlog of the
// link. The limit is the configured rate in bytes/s; both results are 0 if it is not positive.
func (t *Tracker) AchievedShare(store string, limit float64) (share float64, backlog time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit <= 0 {
		return 0, 0
	}
	l, now := t.linkTo(store, limit), t.now()
	return min(1, l.BytesPerSec(now)/limit), l.Backlog(now)
}

// LinkRate returns the expected rate of the link to a store and its backlog. The limit is the configured rate; both rates are
// in bytes/s.
func (t *Tracker) LinkRate(store string, limit float64) (bytesPerSec float64, backlog time.Duration) {
	share, backlog := t.AchievedShare(store, limit)
	return share * limit, backlog
}

// RecordImport records that an engine imports n weighted bytes for a run, see [shaper.WeightedBytes].
func (t *Tracker) RecordImport(store string, limit float64, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.linkTo(store, limit).RecordImport(n, t.now())
}

// RecordRate records a rate, in bytes/s, that was derived from the reported state of the store.
func (t *Tracker) RecordRate(store string, limit, bytesPerSec float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.linkTo(store, limit).RecordRate(bytesPerSec, t.now())
}

// Transfer queues a transfer. When the shaper admits it, start is called with the lock held: it must not block, and it
// must arrange for done to be called exactly once, from another goroutine or a later event, with whether the transfer
// succeeded. If the queue is full, the least urgent transfer is dropped and its start is never called.
func (t *Tracker) Transfer(store string, limit float64, j shaper.Job, start func(done func(ok bool))) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.linkTo(store, limit)
	t.lastJobID++
	j.ID = t.lastJobID
	l.startFuncs[j.ID] = start
	if dropped, full := l.Submit(j, t.now()); full {
		delete(l.startFuncs, dropped.ID)
	}
	t.startTransfers(l)
}

// startTransfers starts the transfers that the budget allows and sets a timer if others remain queued. The caller holds
// the lock.
func (t *Tracker) startTransfers(l *link) {
	for {
		j, ok := l.Next(t.now())
		if !ok {
			break
		}
		start, startedAt := l.startFuncs[j.ID], t.now()
		delete(l.startFuncs, j.ID)
		start(func(ok bool) { t.finishTransfer(l, j, startedAt, ok) })
	}
	if l.QueueLen() > 0 && !l.timerSet {
		l.timerSet = true
		t.AfterFunc(budgetRetryInterval, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			l.timerSet = false
			t.startTransfers(l)
		})
	}
}

// finishTransfer accounts for a transfer that ended and starts the next ones. A failed transfer does not count as an
// observation of the link's rate.
func (t *Tracker) finishTransfer(l *link, j shaper.Job, startedAt time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	duration := t.now().Sub(startedAt)
	if !ok {
		duration = 0
	}
	l.Done(j.ID, j.Bytes, duration, t.now())
	t.startTransfers(l)
}
