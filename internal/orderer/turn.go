package orderer

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/hasher"
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
var orderKey = hasher.Hash("orders")

// Turn is this instance's place among those that may give orders; it is an immutable value.
type Turn struct {
	// Place is the number of instances that come first.
	Place int
	// Pending is the number of targets that shall take new weights.
	Pending int
	// Quiet is since when there has been work without progress.
	Quiet time.Duration
}

// TurnOf returns the turn of an instance among all; where the others are not known yet, some are taken to come first.
func TurnOf(self string, instances []string) Turn {
	if len(instances) == 0 {
		return Turn{Place: warmReaders}
	}
	return Turn{Place: hasher.Rank(orderKey, self, instances)}
}

// WithPending returns the turn after a look at the work: it begins anew with work that is new and with each target that
// is done.
func (t Turn) WithPending(n int, now time.Duration) Turn {
	if n < t.Pending || t.Pending == 0 {
		t.Quiet = now
	}
	t.Pending = n
	return t
}

// WithProgress returns the turn after a sign that another instance gives orders.
func (t Turn) WithProgress(now time.Duration) Turn {
	t.Quiet = now
	return t
}

// WithPlace returns the turn with the place of another one.
func (t Turn) WithPlace(o Turn) Turn {
	t.Place = o.Place
	return t
}

// Come reports whether this instance may claim, since none of those before it does.
func (t Turn) Come(now time.Duration) bool {
	return t.Pending > 0 && now >= t.Quiet+time.Duration(t.Place)*turnDelay
}

// Follows reports whether this instance reads the journal.
func (t Turn) Follows(now time.Duration) bool { return t.Place < warmReaders || t.Come(now) }
