package watcher

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/hasher"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// readers is how many instances read both sources as often as their bounds want. In larger deployments the others read when a
	// reader has seen a change, and rarely otherwise.
	readers = 10
	// minSharedInstances is the number of instances from which on the reads are shared.
	minSharedInstances = 26
	// maxUnreadTime is the longest time between two reads of the targets' source. The store keeps its history for longer.
	maxUnreadTime = 15 * time.Second
	// snapshotAge is the time since the last read from which on the current records are fewer bytes than the changes.
	snapshotAge = 4 * time.Second
	// coverageCheckInterval is the time between two checks whether the targets' source has to be read.
	coverageCheckInterval = 200 * time.Millisecond
	// minWakeFraction is the least time between two reads because of changes that readers have seen, as a fraction of the interval.
	minWakeFraction = 0.5
)

// DefaultReadInterval is the longest time between two reads of the operator's source, unless SetSharedReadInterval sets a longer one.
const DefaultReadInterval = defaultLongPollTimeout

// readersKey is the hash key of the rank order of readers. All instances share it.
var readersKey = hasher.Hash("readers")

// TargetsProgress states how current a reader's view of the targets is. It is encoded as an array, so the order of the fields is part of
// the format.
type TargetsProgress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Era and the offsets belong to the targets' source. 0 for Since means that nothing is known.
	Era int64
	// Since is the offset from which on no target was added, replaced or removed, and none said that it is leaving, before a read that
	// was sent ReadAgeMs ago.
	Since     int64
	ReadAgeMs int64
	// Changed is the offset after the last such change that a reader has seen; 0 if it has seen none.
	Changed int64
}

// targetsCoverage is what this instance knows of the targets' source from its own reads and those of the readers. It is safe for
// concurrent use.
type targetsCoverage struct {
	mu sync.Mutex
	// era and offset are the position of this instance, since and changed those of the last changes in the era.
	era, offset, since, changed int64
	// readAt is when the newest read was sent after which no change is missing here.
	readAt time.Duration
	// isUndecided reports whether the next records of a target decide whether it is used.
	isUndecided bool
}

// recordRead applies a read of this instance that was sent at a time. changed reports whether a target was added, replaced or removed or
// said that it is leaving, undecided whether the next records of a target decide whether it is used.
func (c *targetsCoverage) recordRead(era, offset int64, sentAt time.Duration, changed, first, undecided bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isUndecided = undecided
	if first || era != c.era {
		c.since, c.changed = offset, 0
	}
	c.era, c.offset, c.readAt = era, offset, max(sentAt, c.readAt)
	if changed && !first {
		c.since, c.changed = offset, max(c.changed, offset)
	}
}

// awaitRead makes the next read as early as that of a reader.
func (c *targetsCoverage) awaitRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isUndecided = true
}

// recordConfirmed applies that a target is used again because of a record that was read before.
func (c *targetsCoverage) recordConfirmed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.changed = c.offset, max(c.changed, c.offset)
}

// merge applies what another instance states. It postpones the next read of this instance at most as if this one had read when the other
// did.
func (c *targetsCoverage) merge(in TargetsProgress, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in.Since == 0 || in.Era != c.era || in.ReadAgeMs < 0 {
		return
	}
	c.changed = max(c.changed, in.Changed)
	if in.Since <= c.offset && c.changed <= c.offset {
		c.readAt = max(c.readAt, now-time.Duration(min(in.ReadAgeMs, maxUnreadTime.Milliseconds()))*time.Millisecond)
	}
}

// progress returns what this instance can state to the others.
func (c *targetsCoverage) progress(now time.Duration) TargetsProgress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return TargetsProgress{Era: c.era, Since: c.since, ReadAgeMs: (now - c.readAt).Milliseconds(), Changed: c.changed}
}

// nextRead returns when this instance has to read the targets' source after a read that was sent at a time.
func (c *targetsCoverage) nextRead(sentAt, interval time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed > c.offset {
		return sentAt + time.Duration(minWakeFraction*float64(interval))
	}
	if c.isUndecided {
		return sentAt + interval
	}
	return min(max(sentAt, c.readAt)+interval, sentAt+maxUnreadTime)
}

// sharing is the part of an instance in the reads of all.
type sharing struct {
	isShared atomic.Bool
	targets  targetsCoverage
}

// SetInstances sets the IDs of all instances, of which self is this one. Until it is called, this instance reads both sources as often as
// a reader.
func (w *Watcher) SetInstances(self string, ids []string) {
	w.sharing.isShared.Store(len(ids) >= minSharedInstances && hasher.Rank(readersKey, self, ids) >= readers)
}

// TargetsProgress returns how current this instance's view of the targets is, for the other instances.
func (w *Watcher) TargetsProgress() TargetsProgress { return w.sharing.targets.progress(w.elapsed()) }

// MergeTargetsProgress applies what another instance states.
func (w *Watcher) MergeTargetsProgress(p TargetsProgress) { w.sharing.targets.merge(p, w.elapsed()) }

// pause waits until the next read of the source after one that was sent at a time.
func (f *follower) pause(ctx context.Context, sentAt time.Duration) {
	w := f.w
	switch {
	case !w.sharing.isShared.Load():
		sleeper.Sleep(ctx, f.interval)
	case f.isOperator():
		interval := cmp.Or(time.Duration(w.sharedReadInterval.Load()), defaultLongPollTimeout)
		ctx, cancel := context.WithTimeout(ctx, sentAt+interval-w.elapsed())
		defer cancel()
		w.peers.awaitLead(ctx, f.pos)
	default:
		for w.sharing.isShared.Load() && w.elapsed() < w.sharing.targets.nextRead(sentAt, f.interval) {
			if !sleeper.Sleep(ctx, coverageCheckInterval) {
				return
			}
		}
	}
}

// positionToRead returns the position from which to read. It is none if the current records are fewer bytes than the changes.
func (f *follower) positionToRead(now time.Duration) cursor {
	if !f.isOperator() && f.w.sharing.isShared.Load() && now-f.readAt > snapshotAge {
		return cursor{}
	}
	return f.pos
}

// hasRemovals reports whether records of targets were removed in a batch. Those of targets that this instance does not use count as well:
// another one may have read their record before it knew that it was written before a removal.
func hasRemovals(b Batch) bool {
	return slices.ContainsFunc(b.Changes, func(c Change) bool {
		_, ok := c.(TargetRemoved)
		return ok
	})
}

// isSameTargets reports whether both views have the same targets with the same addresses and software, which are ready or leaving in both.
func isSameTargets(a, b *cataloger.View) bool {
	ids := a.TargetIDs()
	if len(ids) != len(b.TargetIDs()) {
		return false
	}
	for _, id := range ids {
		x, _ := a.Target(id)
		y, ok := b.Target(id)
		if !ok || x != y && (x.Leaving != y.Leaving || x.StartedUnixMs != y.StartedUnixMs || x.Address != y.Address || x.Service != y.Service ||
			x.Software != y.Software) {
			return false
		}
	}
	return true
}
