package archiver

import (
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/hasher"
)

// StoreUpdate is the part of an announcement in which a follower of a KV store reports its blocks to other instances.
// It is encoded as an array, so the order of the fields is part of the format.
type StoreUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Store uint64
	Epoch int64
	// Blocks holds the keys of blocks that became complete since the last update, and of some earlier ones.
	Blocks []uint64
	// ConfirmedAtMs is the last time on the targets' clock at which the follower knows the store to have had the epoch.
	ConfirmedAtMs int64
}

// Updates returns the updates of the followed stores for the next announcement. Each call continues with
// further blocks.
func (a *Archiver) Updates() []StoreUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.instances) <= followersPerStore {
		return nil // every instance follows every store
	}
	var out []StoreUpdate
	for _, s := range a.stores {
		if !s.synced || s.cancel == nil {
			continue
		}
		u := StoreUpdate{Store: s.key, Epoch: s.epoch, ConfirmedAtMs: s.confirmedAt.Milliseconds()}
		k := min(maxNewBlocks, len(s.completed))
		u.Blocks = append(slices.Clone(s.completed[:k]), s.nextResend()...)
		s.completed = s.completed[k:]
		out = append(out, u)
	}
	return out
}

// ShouldSend reports whether this instance is one of the followers of a store that send its updates to a peer.
func (a *Archiver) ShouldSend(store uint64, peer string) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	for _, s := range a.stores {
		if s.key == store && s.cancel != nil {
			first := int(hasher.Mix64(hasher.Hash(peer)^store) % followersPerStore)
			return (s.rank-first+followersPerStore)%followersPerStore < sendersPerPeer
		}
	}
	return false
}

// nextResend returns the next blocks to send again and cycles through all of them. Updates are repeated because
// announcements may be lost, and because instances may start, or become followers, after blocks were completed. a.mu is
// held.
func (s *store) nextResend() []uint64 {
	if len(s.resendQueue) == 0 {
		for key := range s.blocks {
			s.resendQueue = append(s.resendQueue, key)
		}
	}
	n := min(maxResentBlocks, len(s.resendQueue))
	out := s.resendQueue[:n]
	s.resendQueue = s.resendQueue[n:]
	return slices.DeleteFunc(out, func(key uint64) bool { _, ok := s.blocks[key]; return !ok })
}

// Merge applies updates of another instance. Updates of stores that this instance follows are ignored.
func (a *Archiver) Merge(updates []StoreUpdate, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range updates {
		for _, s := range a.stores {
			if s.key != u.Store || s.cancel != nil || u.Epoch == s.previousEpoch {
				continue
			}
			if !s.synced || s.epoch != u.Epoch {
				s.previousEpoch = s.epoch
				s.reset()
			}
			s.observeEpoch(u.Epoch, time.Duration(u.ConfirmedAtMs)*time.Millisecond, now)
			s.synced = true
			for _, key := range u.Blocks {
				s.blocks[key] = Block{}
				delete(a.pendingSaves, key)
			}
		}
	}
}
