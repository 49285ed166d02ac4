package archiver

import (
	"slices"
	"time"
)

// News is what the first follower of a store tells the others.
type News struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Store uint64
	Epoch int64
	// Parts became complete lately.
	Parts []uint64
}

// News returns what this instance tells the others of the stores that it follows first.
func (a *Archiver) News(now time.Time) []News {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.instances) <= followers {
		return nil // all of them follow every store
	}
	var out []News
	for _, s := range a.stores {
		if !s.first || !s.reachable || s.cancel == nil {
			continue
		}
		n := News{Store: s.key, Epoch: s.epoch}
		s.recent = slices.DeleteFunc(s.recent, func(r recentPart) bool { return now.Sub(r.at) > newsLife })
		for _, r := range s.recent {
			n.Parts = append(n.Parts, r.key)
		}
		n.Parts = append(n.Parts, s.again()...)
		out = append(out, n)
	}
	return out
}

// again returns some of the parts that were told before, all of them in turn: an announcement may be lost, and an
// instance may become the first follower, or start, after parts were complete. a.mu is held.
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

// Hear takes what another instance tells; stores that this one follows itself are passed over.
func (a *Archiver) Hear(news []News, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range news {
		for _, s := range a.stores {
			if s.key != n.Store || s.cancel != nil {
				continue
			}
			if !s.reachable || s.epoch != n.Epoch || now.Sub(s.heard) > silentLife {
				s.drop()
			}
			s.reachable, s.epoch, s.heard = true, n.Epoch, now
			for _, key := range n.Parts {
				s.parts[key] = Part{}
				delete(a.saves, key)
			}
		}
	}
}
