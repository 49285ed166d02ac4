package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/placer"
)

const (
	// maxStoredPerTier is the maximum number of contexts tracked for one tier of one store: 24 GiB at 6
	// blocks of 4 MiB each.
	maxStoredPerTier = 1024
	// maxEvictionCandidates is the number of oldest contexts that are ranked for eviction.
	maxEvictionCandidates = 64
)

// StoredContext is a context whose KV cache was exported to a store for this instance. Generation is that of the manifest
// written by the export.
type StoredContext struct {
	placer.StoredContext
	Anchor     keyer.Key
	Generation int64
}

// storeTier identifies a tier of a KV store: its disk or its memory.
type storeTier struct {
	store string
	disk  bool
}

// RecordStored records an export to a tier. It replaces the record of the conversation's earlier export to the same store.
// Above the maximum number of records of the tier, it drops the oldest.
func (t *Tracker) RecordStored(store string, disk bool, c StoredContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := storeTier{store, disk}
	for _, d := range []bool{false, true} {
		other := storeTier{store, d}
		t.stored[other] = slices.DeleteFunc(t.stored[other], func(o StoredContext) bool { return o.Anchor == c.Anchor })
	}
	list := append(t.stored[at], c)
	if len(list) > maxStoredPerTier {
		list = slices.Delete(list, 0, len(list)-maxStoredPerTier)
	}
	t.stored[at] = list
}

// EvictionCandidates returns the oldest contexts of a tier, the least valuable per byte first, and the total value of the
// first ones, whose eviction frees n bytes. The caller uses the further ones in place of contexts that another instance has
// replaced since. It reports false if all candidates together do not free n bytes.
func (t *Tracker) EvictionCandidates(store string, disk bool, n int64) (candidates []StoredContext, value float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	type valued struct {
		context StoredContext
		value   float64
	}
	now := t.now()
	list := t.stored[storeTier{store, disk}]
	ranked := make([]valued, 0, maxEvictionCandidates)
	for _, c := range list[:min(maxEvictionCandidates, len(list))] {
		ranked = append(ranked, valued{c, placer.ExpectedSavings(c.StoredContext, t.returns, now)})
	}
	slices.SortFunc(ranked, func(a, b valued) int {
		return cmp.Compare(a.value*float64(b.context.Bytes), b.value*float64(a.context.Bytes))
	})
	for _, v := range ranked {
		candidates = append(candidates, v.context)
		if n > 0 {
			// A context that is larger than the bytes still needed counts in proportion, as it frees space for later
			// exports as well.
			value += v.value * min(1, float64(n)/float64(v.context.Bytes))
			n -= v.context.Bytes
		}
	}
	return candidates, value, n <= 0
}

// RecordEvicted removes the record of a context that was evicted from a store.
func (t *Tracker) RecordEvicted(store string, disk bool, anchor keyer.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := storeTier{store, disk}
	t.stored[at] = slices.DeleteFunc(t.stored[at], func(o StoredContext) bool { return o.Anchor == anchor })
}

// ResidencyHalfLife returns the age at which half of the contexts have been evicted from the accelerators' caches.
func (t *Tracker) ResidencyHalfLife() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.residency.HalfLife()
}
