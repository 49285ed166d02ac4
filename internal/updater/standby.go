package updater

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/hasher"
)

const (
	// activeFollowers is how many instances follow the claim log at all times, so that a successor knows when the last claim
	// was made. If all did, each claim would cost a read per instance.
	activeFollowers = 3
	// standbyDelay is the additional time that an instance of each further rank waits before it claims. A claim and its
	// first announcement must fit within it.
	standbyDelay = 400 * time.Millisecond
)

// rankKey is the hash key of the rank order. All instances share it.
var rankKey = hasher.Hash("orders")

// Standby decides when this instance may claim the lease, by its rank among all instances and the time without progress. It
// is an immutable value.
type Standby struct {
	// Rank is the position of this instance in the hash order; 0 claims first.
	Rank int
	// Pending is the number of targets with a pending update.
	Pending int
	// StalledSince is the start of the current period of pending updates without progress.
	StalledSince time.Duration
}

// StandbyOf returns the standby of an instance among all. As long as no instances are known, activeFollowers others are
// assumed to rank before it.
func StandbyOf(self string, instances []string) Standby {
	if len(instances) == 0 {
		return Standby{Rank: activeFollowers}
	}
	return Standby{Rank: hasher.Rank(rankKey, self, instances)}
}

// WithPending returns the standby with n pending updates. The wait restarts when the first updates become pending and
// whenever their number falls.
func (s Standby) WithPending(n int, now time.Duration) Standby {
	if n < s.Pending || s.Pending == 0 {
		s.StalledSince = now
	}
	s.Pending = n
	return s
}

// WithProgress returns the standby after evidence that another instance sends commands; the wait restarts.
func (s Standby) WithProgress(now time.Duration) Standby {
	s.StalledSince = now
	return s
}

// WithRank returns the standby with the rank of another one.
func (s Standby) WithRank(o Standby) Standby {
	s.Rank = o.Rank
	return s
}

// Eligible reports whether this instance may claim because updates are pending and no instance of a lower rank has made
// progress in time.
func (s Standby) Eligible(now time.Duration) bool {
	return s.Pending > 0 && now >= s.StalledSince+time.Duration(s.Rank)*standbyDelay
}

// ShouldFollow reports whether this instance should read the claim log.
func (s Standby) ShouldFollow(now time.Duration) bool {
	return s.Rank < activeFollowers || s.Eligible(now)
}
