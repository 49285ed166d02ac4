package watcher

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

// removalTTL is how long removals are remembered. The copies from which the metadata store is restored are some seconds old.
const removalTTL = 10 * time.Minute

// removal is the last record of a target that was removed.
type removal struct {
	startedUnixMs, sequence int64
	// era is the era of the metadata store in which the target was removed.
	era int64
	at  time.Time
}

// removals holds the removed targets by their ID.
type removals map[string]removal

// add remembers that a target was removed in an era.
func (r removals) add(t *cataloger.Target, era int64, now time.Time) {
	r[t.ID] = removal{startedUnixMs: t.StartedUnixMs, sequence: t.Sequence, era: era, at: now}
}

// contains reports whether a record read in an era was written before its target was removed in an earlier one. The copy from which
// the store was restored then has the record still.
func (r removals) contains(t *cataloger.Target, era int64) bool {
	old, ok := r[t.ID]
	return ok && era != old.era && (t.StartedUnixMs < old.startedUnixMs || t.StartedUnixMs == old.startedUnixMs && t.Sequence <= old.sequence)
}

// prune forgets old removals.
func (r removals) prune(now time.Time) {
	for id, old := range r {
		if now.Sub(old.at) > removalTTL {
			delete(r, id)
		}
	}
}
