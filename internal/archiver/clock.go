package archiver

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/clocker"
)

// SyncClock takes the time on the targets' clock from an answer that has just arrived.
func (a *Archiver) SyncClock(clock time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sync(clock)
}

// sync keeps the greatest offset of late: the way of an answer only makes it smaller. a.mu is held.
func (a *Archiver) sync(clock time.Duration) {
	now := clocker.Elapsed()
	if clock == 0 {
		return
	}
	if off := clock - now; off > a.offset || now-a.offsetAt > clockLife {
		a.offset, a.offsetAt = off, now
	}
}

// TargetClock returns the present time on the targets' clock, and false if it is not known.
func (a *Archiver) TargetClock() (time.Duration, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	now := clocker.Elapsed()
	if a.offsetAt == 0 || now-a.offsetAt > 2*clockLife {
		return 0, false
	}
	return now + a.offset, true
}
