package archiver

import (
	"context"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

// store is the local state of one KV store.
type store struct {
	*cataloger.KVStore
	// dataCentre is that of the newest configuration, which may move a store without a change of its address. a.mu guards it.
	dataCentre string
	// key is the store's hash, by which blocks are assigned to stores and stores to instances.
	key uint64
	// cancel stops following the store; it is nil while this instance does not follow it.
	cancel context.CancelFunc
	// rank is the rank of this instance among the followers of the store; rank 0 frees blocks.
	rank int
	// synced reports whether blocks can be used. A follower has then read the list of complete blocks and all events since;
	// any other instance has received an update from a follower.
	synced    bool
	updatedAt time.Time
	epoch     int64
	// confirmedAt is the last time on the targets' clock at which the store is known to have had the epoch; 0 if unknown.
	confirmedAt time.Duration
	// noSaveBefore is the time before which no save is planned, because blocks may still be fetched that were complete before the
	// store restarted.
	noSaveBefore time.Time
	// previousEpoch is the epoch before the current one. Updates with it are ignored: they come from followers that
	// have not noticed the restart yet.
	previousEpoch int64
	nextOffset    int64
	blocks        map[uint64]Block
	// completed holds the blocks that became complete since the last announcement.
	completed []uint64
	// resendQueue holds the blocks that are repeated in the next announcements.
	resendQueue []uint64
}

// reset discards all blocks and marks the state as not synchronized.
func (s *store) reset() {
	s.synced, s.blocks, s.completed, s.resendQueue = false, map[uint64]Block{}, nil, nil
}

// observeEpoch records that the store had an epoch at a time on the targets' clock, which may be unknown.
func (s *store) observeEpoch(epoch int64, confirmedAt time.Duration, now time.Time) {
	if epoch != s.epoch {
		s.noSaveBefore, s.confirmedAt = now.Add(fetchLease), 0
	}
	s.epoch, s.updatedAt, s.confirmedAt = epoch, now, max(confirmedAt, s.confirmedAt)
}

// contains reports whether a block can be fetched from the store; a.mu is held.
func (s *store) contains(key uint64, now time.Time) bool {
	if !s.usable(now) {
		return false
	}
	_, ok := s.blocks[key]
	return ok
}

// usable reports whether the state of the store is still valid; a.mu is held.
func (s *store) usable(now time.Time) bool {
	return s.synced && now.Sub(s.updatedAt) < updateTTL
}
