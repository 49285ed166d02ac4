package archiver

import (
	"math"
	"time"

	"github.com/papayaworks/papayaworks/internal/hasher"
)

// Plan holds, for each block of a prompt, the addresses of the stores to fetch it from and to save it to; empty for
// none.
type Plan struct {
	FetchFrom, SaveTo []string
}

// Lookup returns the number of leading blocks that can be fetched.
func (a *Archiver) Lookup(scope string, ids []string, now time.Time) int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	for i, id := range ids {
		key := Block{scope, id}.Key()
		if s := a.storeFor(key); s == nil || !s.contains(key, now) {
			return i
		}
	}
	return len(ids)
}

// Plan returns where to fetch and save the blocks of a prompt. The saves are recorded as pending, so that concurrent
// requests do not save the same blocks.
func (a *Archiver) Plan(scope string, ids []string, now time.Time) Plan {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := Plan{FetchFrom: make([]string, len(ids)), SaveTo: make([]string, len(ids))}
	for i, id := range ids {
		key := Block{scope, id}.Key()
		s := a.storeFor(key)
		switch {
		case s == nil || !s.usable(now):
		case s.contains(key, now):
			p.FetchFrom[i] = s.Address
		case now.Sub(a.pendingSaves[key]) > saveTimeout:
			a.recordSave(key, now)
			p.SaveTo[i] = s.Address
		}
	}
	return p
}

// recordSave records that a block is being saved; a.mu is held.
func (a *Archiver) recordSave(key uint64, now time.Time) {
	if len(a.pendingSaves) >= maxPendingSaves {
		for k, at := range a.pendingSaves {
			if now.Sub(at) > saveTimeout {
				delete(a.pendingSaves, k)
			}
		}
	}
	a.pendingSaves[key] = now
}

// storeFor returns the store of a block by weighted rendezvous hashing; a.mu is held.
func (a *Archiver) storeFor(key uint64) *store {
	var best *store
	top := math.Inf(-1)
	for _, s := range a.stores {
		u := (float64(hasher.Mix64(key^s.key)>>11) + 1) / (1 << 53)
		if score := -float64(s.CapacityTokens) / math.Log(u); best == nil || score > top {
			top, best = score, s
		}
	}
	return best
}
