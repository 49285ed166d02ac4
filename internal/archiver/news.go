package archiver

import (
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/hasher"
)

// StoreUpdate is what a follower of a store tells some of the others.
type StoreUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Store uint64
	Epoch int64
	// Blocks became complete lately, or were told before.
	Blocks []uint64
}

// Updates returns what this instance tells others of the stores that it follows, each time other parts.
func (a *Archiver) Updates() []StoreUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.instances) <= followers {
		return nil // all of them follow every store
	}
	var out []StoreUpdate
	for _, s := range a.stores {
		if !s.reachable || s.cancel == nil {
			continue
		}
		n := StoreUpdate{Store: s.key, Epoch: s.epoch}
		k := min(maxNews, len(s.recent))
		n.Blocks = append(slices.Clone(s.recent[:k]), s.again()...)
		s.recent = s.recent[k:]
		out = append(out, n)
	}
	return out
}

// ShouldSend reports whether this instance is one of those that tell another one of a store.
func (a *Archiver) ShouldSend(store uint64, other string) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	for _, s := range a.stores {
		if s.key == store && s.cancel != nil {
			first := int(hasher.Mix64(hasher.Hash(other)^store) % followers)
			return (s.place-first+followers)%followers < tellers
		}
	}
	return false
}

// again returns some of the parts that were told before, all of them in turn: an announcement may be lost, and an
// instance may start, or begin to follow, after parts were complete. a.mu is held.
func (s *store) again() []uint64 {
	if len(s.retold) == 0 {
		for key := range s.parts {
			s.retold = append(s.retold, key)
		}
	}
	n := min(retoldParts, len(s.retold))
	out := s.retold[:n]
	s.retold = s.retold[n:]
	return slices.DeleteFunc(out, func(key uint64) bool { _, ok := s.parts[key]; return !ok })
}

// Merge takes what another instance tells; stores that this one follows itself are passed over.
func (a *Archiver) Merge(news []StoreUpdate, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range news {
		for _, s := range a.stores {
			if s.key != n.Store || s.cancel != nil || n.Epoch == s.before {
				continue
			}
			if !s.reachable || s.epoch != n.Epoch {
				s.before = s.epoch
				s.drop()
			}
			s.reachable, s.epoch, s.heard = true, n.Epoch, now
			for _, key := range n.Blocks {
				s.parts[key] = Block{}
				delete(a.saves, key)
			}
		}
	}
}
