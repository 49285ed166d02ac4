package archiver

import (
	"math"
	"time"

	"github.com/papayaworks/papayaworks/internal/hasher"
)

// Plan says for each part of a prompt where to fetch it from and where to save it; empty where nowhere.
type Plan struct {
	FetchFrom, SaveTo []string
}

// Lookup returns how many of the parts, in order from the first, can be fetched.
func (a *Archiver) Lookup(scope string, ids []string, now time.Time) int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	for i, id := range ids {
		key := Block{scope, id}.Key()
		if s := a.home(key); s == nil || !s.holds(key, now) {
			return i
		}
	}
	return len(ids)
}

// Plan returns where the parts of a prompt are fetched from and saved to.
func (a *Archiver) Plan(scope string, ids []string, now time.Time) Plan {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := Plan{FetchFrom: make([]string, len(ids)), SaveTo: make([]string, len(ids))}
	for i, id := range ids {
		key := Block{scope, id}.Key()
		s := a.home(key)
		switch {
		case s == nil || !s.usable(now):
		case s.holds(key, now):
			p.FetchFrom[i] = s.Address
		case now.Sub(a.saves[key]) > saveLife:
			a.save(key, now)
			p.SaveTo[i] = s.Address
		}
	}
	return p
}

// save remembers that a part is being saved; a.mu is held.
func (a *Archiver) save(key uint64, now time.Time) {
	if len(a.saves) >= maxSaves {
		for k, at := range a.saves {
			if now.Sub(at) > saveLife {
				delete(a.saves, k)
			}
		}
	}
	a.saves[key] = now
}

// home returns the store of a part; a.mu is held.
func (a *Archiver) home(key uint64) *store {
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
