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
	// FetchBefore is the time on the targets' clock at which an unfinished fetch must be aborted; 0 if it is unknown.
	FetchBefore time.Duration
	// Save is the save of the blocks with SaveTo, which waits until Save.End is called; nil if nothing is saved.
	Save *Save
}

// Allowed reports whether the KV stores of a data centre may be used; nil allows all.
type Allowed func(dataCentre string) bool

// Lookup returns the number of leading blocks that can be fetched from the allowed stores.
func (a *Archiver) Lookup(scope string, ids []string, allowed Allowed, now time.Time) int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	for i, id := range ids {
		key := Block{scope, id}.Key()
		if s := a.storeFor(key, allowed); s == nil || !s.contains(key, now) {
			return i
		}
	}
	return len(ids)
}

// HasStores reports whether there are KV stores.
func (a *Archiver) HasStores() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return len(a.stores) > 0
}

// Plan returns where to fetch and save the blocks of a prompt, among the allowed stores. The saves are recorded as pending, so that concurrent
// requests do not save the same blocks. A block is not fetched while a save of it waits anywhere.
func (a *Archiver) Plan(scope string, ids []string, allowed Allowed, now time.Time) Plan {
	return a.plan(scope, ids, allowed, true, now)
}

// PlanFetch returns where to fetch the blocks of a prompt and saves none, for a request that is expected to wait at its target.
func (a *Archiver) PlanFetch(scope string, ids []string, allowed Allowed, now time.Time) Plan {
	return a.plan(scope, ids, allowed, false, now)
}

func (a *Archiver) plan(scope string, ids []string, allowed Allowed, save bool, now time.Time) Plan {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := Plan{FetchFrom: make([]string, len(ids)), SaveTo: make([]string, len(ids))}
	own := a.ownSaves(now)
	var saved []uint64
	for i, id := range ids {
		key := Block{scope, id}.Key()
		s := a.storeFor(key, allowed)
		switch {
		case s == nil || !s.usable(now):
		case s.contains(key, now):
			if a.isSaveWaiting(key, own, now) {
				continue
			}
			p.FetchFrom[i] = s.Address
			if before := s.confirmedAt + fetchLease; s.confirmedAt > 0 && (p.FetchBefore == 0 || before < p.FetchBefore) {
				p.FetchBefore = before
			}
		case !save, now.Before(s.noSaveBefore):
		case now.Sub(a.pendingSaves[key]) > saveTimeout:
			a.recordSave(key, now)
			p.SaveTo[i] = s.Address
			saved = append(saved, key)
		}
	}
	if len(saved) > 0 {
		p.Save = &Save{a: a, keys: saved, expiresAt: now.Add(saveTimeout)}
		a.waiting[p.Save] = struct{}{}
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

// storeFor returns the store of a block by weighted rendezvous hashing among the allowed ones; nil if there is none. a.mu is held.
func (a *Archiver) storeFor(key uint64, allowed Allowed) *store {
	var best *store
	top := math.Inf(-1)
	for _, s := range a.stores {
		if allowed != nil && !allowed(s.dataCentre) {
			continue
		}
		u := (float64(hasher.Mix64(key^s.key)>>11) + 1) / (1 << 53)
		if score := -float64(s.CapacityTokens) / math.Log(u); best == nil || score > top {
			top, best = score, s
		}
	}
	return best
}
