package warmer

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/throttler"
)

// IsCold reports whether a target is cold or unreachable, so that only its senders may send to it.
func (t *Table) IsCold(p throttler.Process, now time.Time) bool {
	if !t.hasTargets() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[p.Target]
	return e != nil && e.isRestricted(now)
}

// IsBack reports whether a target is cold and, by what is known, reachable.
func (t *Table) IsBack(p throttler.Process, now time.Time) bool {
	if !t.hasTargets() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[p.Target]
	return e != nil && !e.unreachable && e.isRestricted(now)
}

// ColdCount returns the number of targets that are cold or unreachable.
func (t *Table) ColdCount(now time.Time) int {
	if !t.hasTargets() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.targets {
		if e.isRestricted(now) {
			n++
		}
	}
	return n
}
