package updater

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/mixer"
)

const (
	// warmReaders is how many instances follow the journal at all times, so that a successor knows when the last claim was
	// made. If all did, each claim would cost a read per instance.
	warmReaders = 3
	// turnDelay is how much longer each instance waits than the one before it until it claims; a claim and the first
	// announcement of it take a part of that.
	turnDelay = 400 * time.Millisecond
)

// orderKey is the key of the order in which instances claim the lease.
var orderKey = mixer.Sum("orders")

// Standby is this instance's place among those that may give orders; it is an immutable value.
type Standby struct {
	// Rank is the number of instances that come first.
	Rank int
	// Pending is the number of targets that shall take new weights.
	Pending int
	// StalledSince is since when there has been work without progress.
	StalledSince time.Duration
}

// StandbyOf returns the standby of an instance among all; where the others are not known yet, some are taken to come first.
func StandbyOf(self string, instances []string) Standby {
	if len(instances) == 0 {
		return Standby{Rank: warmReaders}
	}
	return Standby{Rank: mixer.Place(orderKey, self, instances)}
}

// WithPending returns the turn after a look at the work: it begins anew with work that is new and with each target that
// is done.
func (t Standby) WithPending(n int, now time.Duration) Standby {
	if n < t.Pending || t.Pending == 0 {
		t.StalledSince = now
	}
	t.Pending = n
	return t
}

// WithProgress returns the turn after a sign that another instance gives orders.
func (t Standby) WithProgress(now time.Duration) Standby {
	t.StalledSince = now
	return t
}

// WithRank returns the standby with the place of another one.
func (t Standby) WithRank(o Standby) Standby {
	t.Rank = o.Rank
	return t
}

// Eligible reports whether this instance may claim, since none of those before it does.
func (t Standby) Eligible(now time.Duration) bool {
	return t.Pending > 0 && now >= t.StalledSince+time.Duration(t.Rank)*turnDelay
}

// ShouldFollow reports whether this instance reads the journal.
func (t Standby) ShouldFollow(now time.Duration) bool { return t.Rank < warmReaders || t.Eligible(now) }
