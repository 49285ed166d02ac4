package archiver

import (
	"context"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

// store is what is known of one store.
type store struct {
	*cataloger.KVStore
	// key places parts at stores, and stores at instances.
	key uint64
	// cancel ends the following of its events; it is nil while they are not followed.
	cancel context.CancelFunc
	// place is this instance's among those that follow the store; the first one frees parts.
	place int
	// reachable: the store answered the last read of its events, or was told of lately.
	reachable bool
	heard     time.Time
	epoch     int64
	// before is the last epoch before this one that was told; who tells it again has not seen the restart yet.
	before int64
	next   int64
	parts  map[uint64]Block
	// recent are the parts that became complete since the last announcement.
	recent []uint64
	// retold are the parts that are to be told again.
	retold []uint64
}

// drop forgets all parts.
func (s *store) drop() {
	s.reachable, s.parts, s.recent, s.retold = false, map[uint64]Block{}, nil, nil
}

// holds reports whether a part can be fetched from the store; a.mu is held.
func (s *store) holds(key uint64, now time.Time) bool {
	if !s.usable(now) {
		return false
	}
	_, ok := s.parts[key]
	return ok
}

// usable reports whether what is known of the store still holds; a.mu is held.
func (s *store) usable(now time.Time) bool {
	return s.reachable && now.Sub(s.heard) < silentLife
}
