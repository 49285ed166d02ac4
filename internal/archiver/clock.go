package archiver

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/clocker"
)

// SyncClock updates the estimate of the target clock with the time in a response that has just arrived.
func (a *Archiver) SyncClock(clock time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncClock(clock)
}

// syncClock keeps the largest offset of the last clockSampleTTL, since network delay can only make a sample smaller;
// a.mu is held.
func (a *Archiver) syncClock(clock time.Duration) {
	now := clocker.SinceBoot()
	if clock == 0 {
		return
	}
	if off := clock - now; off > a.offset || now-a.offsetAt > clockSampleTTL {
		a.offset, a.offsetAt = off, now
	}
}

// TargetClock returns the estimated current time on the target clock, and false without a recent sample.
func (a *Archiver) TargetClock() (time.Duration, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	now := clocker.SinceBoot()
	if a.offsetAt == 0 || now-a.offsetAt > 2*clockSampleTTL {
		return 0, false
	}
	return now + a.offset, true
}
