package watcher

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

const (
	// removalTTL is how long removals are remembered. The copies from which the metadata store is restored are some seconds old.
	removalTTL = 10 * time.Minute
	// lateWriteTime is how long after a removal the metadata store may still apply writes that were sent before it.
	lateWriteTime = 10 * time.Second
)

// removal is the last record of a target that was removed.
type removal struct {
	target *cataloger.Target
	// era is the era of the metadata store in which the target was removed.
	era int64
	at  time.Time
}

// removals holds the removed targets by their ID.
type removals map[string]removal

// add remembers that a target was removed in an era.
func (r removals) add(t *cataloger.Target, era int64, now time.Time) {
	r[t.ID] = removal{target: t, era: era, at: now}
}

// find returns the removal of a target if a record read in an era was written before it. The copy from which the store was restored
// may have such a record still, and a write that got no response may be applied after the removal. A record without a sequence cannot be
// ordered against a removal in its own era.
func (r removals) find(t *cataloger.Target, era int64) (removal, bool) {
	old, ok := r[t.ID]
	if !ok {
		return removal{}, false
	}
	last := old.target
	if t.StartedUnixMs != last.StartedUnixMs {
		return old, t.StartedUnixMs < last.StartedUnixMs
	}
	return old, t.Sequence <= last.Sequence && (t.Sequence > 0 || era != old.era)
}

// prune forgets old removals.
func (r removals) prune(now time.Time) {
	for id, old := range r {
		if now.Sub(old.at) > removalTTL {
			delete(r, id)
		}
	}
}
