package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/placer"
)

const (
	// maxKept bounds the contexts that are remembered for one tier of one store: 24 GiB of 6 blocks each.
	maxKept = 1024
	// victimsSeen is how many of the oldest contexts compete for being dropped.
	victimsSeen = 64
)

// Kept is a context that this instance had exported.
type Kept struct {
	placer.StoredContext
	Anchor     keyer.Key
	Generation int64
}

type tier struct {
	store string
	disk  bool
}

// Keep notes an export; it replaces what was noted of the conversation before.
func (t *Tracker) Keep(store string, disk bool, k Kept) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := tier{store, disk}
	for _, d := range []bool{false, true} {
		other := tier{store, d}
		t.kept[other] = slices.DeleteFunc(t.kept[other], func(o Kept) bool { return o.Anchor == k.Anchor })
	}
	list := append(t.kept[at], k)
	if len(list) > maxKept {
		list = slices.Delete(list, 0, len(list)-maxKept)
	}
	t.kept[at] = list
}

// Victims returns old contexts of a tier, the least valuable per byte first, and the value of those at the front that
// make room for n bytes. The further ones stand in for those that another instance has replaced since. Ok is false if
// this instance knows too few.
func (t *Tracker) Victims(store string, disk bool, n int64) (victims []Kept, value float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	type valued struct {
		k     Kept
		value float64
	}
	now := t.now()
	list := t.kept[tier{store, disk}]
	seen := make([]valued, 0, victimsSeen)
	for _, k := range list[:min(victimsSeen, len(list))] {
		seen = append(seen, valued{k, placer.ExpectedSavings(k.StoredContext, t.returns, now)})
	}
	slices.SortFunc(seen, func(a, b valued) int {
		return cmp.Compare(a.value*float64(b.k.Bytes), b.value*float64(a.k.Bytes))
	})
	for _, v := range seen {
		victims = append(victims, v.k)
		if n > 0 {
			// A victim that is larger than what is missing makes room for later ones as well.
			value += v.value * min(1, float64(n)/float64(v.k.Bytes))
			n -= v.k.Bytes
		}
	}
	return victims, value, n <= 0
}

// Dropped forgets a context that was removed from a store.
func (t *Tracker) Dropped(store string, disk bool, anchor keyer.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := tier{store, disk}
	t.kept[at] = slices.DeleteFunc(t.kept[at], func(o Kept) bool { return o.Anchor == anchor })
}

// Life returns how long contexts are expected to stay on the accelerators.
func (t *Tracker) Life() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.residency.Life()
}
