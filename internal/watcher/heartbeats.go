package watcher

import (
	"cmp"
	"math"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

const (
	// defaultHeartbeatInterval is the time between two records of a target, unless it is set.
	defaultHeartbeatInterval = 1200 * time.Millisecond
	// maxHeartbeatDrift is by which fraction the time between two records of a target may differ from the interval.
	maxHeartbeatDrift = 0.1
	// maxSilentBeats is the number of heartbeat intervals after which the record of a target has been removed, and the removal was read,
	// where the store shows each record.
	maxSilentBeats = expiryBeats + 2
)

// heartbeatEstimate estimates the highest sequence that a process of a target has written, from the records that were read. An instance that reads
// rarely, or whose reads miss records that the store has lost, can only estimate which records may come from before a removal.
type heartbeatEstimate struct {
	startedUnixMs int64
	// last is the sequence of the last record.
	last int64
	// sequence is the highest one at a time, as a fraction since it rises with time.
	sequence float64
	at       time.Time
	// isAgeUnknown reports whether the only record was there at the first read. The store may not change the record of a target for hours.
	isAgeUnknown bool
}

// withRecord returns the estimate after a record was read. A record that the store has applied late has a low sequence, which must not
// replace a higher estimate. isFirstRead reports whether it was there at the first read.
func (h heartbeatEstimate) withRecord(t *cataloger.Target, now time.Time, interval time.Duration, isFirstRead bool) heartbeatEstimate {
	n := heartbeatEstimate{startedUnixMs: t.StartedUnixMs, last: t.Sequence, sequence: float64(t.Sequence), at: now, isAgeUnknown: isFirstRead}
	if h.startedUnixMs == t.StartedUnixMs && !h.at.IsZero() {
		n.isAgeUnknown = h.isAgeUnknown && h.last == t.Sequence
		n.sequence = max(n.sequence, h.sequence+(1-maxHeartbeatDrift)*now.Sub(h.at).Seconds()/interval.Seconds())
	}
	return n
}

// maxSequence returns the highest sequence that the process can have reached at a time. The last record was written up to readInterval before
// it was read.
func (h heartbeatEstimate) maxSequence(now time.Time, interval, readInterval time.Duration) int64 {
	if h.isAgeUnknown {
		return math.MaxInt64
	}
	return int64(h.sequence+(1+maxHeartbeatDrift)*(now.Sub(h.at)+readInterval).Seconds()/interval.Seconds()) + 1
}

// expectedSequence returns the sequence that the process has reached at a time at most if it wrote a record in each interval. It is that of the
// last record if the store has not shown each record.
func (h heartbeatEstimate) expectedSequence(now time.Time, interval, readInterval time.Duration) int64 {
	if now.Sub(h.at) > maxSilentBeats*interval {
		return h.last
	}
	return int64(h.sequence + (now.Sub(h.at)+readInterval).Seconds()/interval.Seconds())
}

// heartbeatInterval returns the time between two records of a target.
func (w *Watcher) heartbeatInterval() time.Duration {
	return cmp.Or(w.HeartbeatInterval, defaultHeartbeatInterval)
}

// recordHeartbeat applies a record of a target in use to the estimate of its sequence.
func (w *Watcher) recordHeartbeat(t *cataloger.Target, now time.Time, isFirstRead bool) {
	w.heartbeats[t.ID] = w.heartbeats[t.ID].withRecord(t, now, w.heartbeatInterval(), isFirstRead)
}
