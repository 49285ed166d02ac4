package watcher

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

const (
	// departureTTL is how long departures are remembered. The copies from which the metadata store is restored are some seconds old.
	departureTTL = 10 * time.Minute
	// expiryMargin is for how many heartbeat intervals more than expiryBeats a record has to stay in the store until its target is
	// regarded as alive. The store may be slow.
	expiryMargin = 0.5
	// lateWriteTime is how long after a removal the metadata store may still apply writes that were sent before it.
	lateWriteTime = 10 * time.Second
	// expiryBeats is the number of heartbeat intervals without a record after which the platform removes the record of a target.
	expiryBeats = 3
	// maxAnnouncedDepartures bounds the departures in an announcement. The newest ones are announced.
	maxAnnouncedDepartures = 64
)

// Departure is the end of the use of a target's process: its record was removed, or says that it is leaving. It is encoded as an array, so
// the order of the fields is part of the format.
type Departure struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Target        string
	StartedUnixMs int64
	// Sequence is that of the last record that was read; for a leaving target, that of the first one that says so.
	Sequence int64
	// MaxSequence is the highest sequence that the process can have reached at the departure.
	MaxSequence int64
	// IsLeaving reports whether the target still has a record, which says that it is leaving.
	IsLeaving bool
	AgeMs     int64
	// IsBack reports whether the process has registered again since, with a sequence above MaxSequence.
	IsBack bool
}

// withReturn returns the departure of a process that has registered again with a record.
func (d Departure) withReturn(t *cataloger.Target) Departure {
	d.MaxSequence, d.IsBack = min(d.MaxSequence, t.Sequence-1), true
	return d
}

// isOf reports whether the departure is that of the process that has written a record, or of a later one.
func (d Departure) isOf(t *cataloger.Target) bool { return t.StartedUnixMs <= d.StartedUnixMs }

// isNewsTo reports whether more is known of the departure than of another one of the same target.
func (d Departure) isNewsTo(o Departure) bool {
	switch {
	case d.StartedUnixMs != o.StartedUnixMs:
		return d.StartedUnixMs > o.StartedUnixMs
	case d.Sequence != o.Sequence:
		return d.Sequence > o.Sequence
	case d.IsLeaving != o.IsLeaving:
		return o.IsLeaving
	case d.MaxSequence != o.MaxSequence:
		return d.MaxSequence < o.MaxSequence
	}
	return d.IsBack && !o.IsBack
}

// departure is a departure as one instance knows it.
type departure struct {
	Departure
	// era is the era of the metadata store in which the departure was read; 0 if another instance has read it.
	era int64
	at  time.Time
	// expectedSequence is the one that the process should have reached at the departure, as far as this instance can tell; MaxSequence if
	// another one has read the departure.
	expectedSequence int64
	// isOverruled reports whether later records have shown that the sequence is odd.
	isOverruled bool
}

// isAssumed reports whether no instance is known to have read the departure.
func (d departure) isAssumed() bool { return d.Sequence == 0 }

// departures holds the last departure of each target by its ID. What one instance has read of a departure is knowledge of the deployment: an
// instance that reads rarely, or has just started, learns it from the announcements of the others. It is safe for concurrent use.
type departures struct {
	mu   sync.Mutex
	byID map[string]departure
	// restoredAt is when the metadata store was last restored from a copy, which may have records of departed targets.
	restoredAt time.Time
	// learned is sent a value when another instance has announced a departure that is new here.
	learned chan struct{}
}

func newDepartures() *departures {
	return &departures{byID: map[string]departure{}, learned: make(chan struct{}, 1)}
}

// add remembers a departure.
func (r *departures) add(d departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[d.Target] = d
}

// overrule records that later records have shown the sequence of a departure to be odd.
func (r *departures) overrule(d departure) {
	d.isOverruled = true
	r.add(d)
}

// merge adds a departure that another instance has announced, unless this one knows as much.
func (r *departures) merge(in Departure, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.byID[in.Target]
	if ok && old.isOverruled && in.StartedUnixMs <= old.StartedUnixMs {
		return
	}
	if ok && !in.isNewsTo(old.Departure) {
		return
	}
	age := time.Duration(min(max(in.AgeMs, 0), departureTTL.Milliseconds())) * time.Millisecond
	r.byID[in.Target] = departure{Departure: in, era: old.era, at: now.Add(-age), expectedSequence: in.MaxSequence}
	select {
	case r.learned <- struct{}{}:
	default: // already triggered
	}
}

// find returns the departure of the process that has written a record, or of a later one.
func (r *departures) find(t *cataloger.Target) (departure, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.byID[t.ID]
	return d, ok && !d.isOverruled && d.isOf(t)
}

// all returns all departures.
func (r *departures) all() []departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.byID))
}

// announced returns the newest departures after which writes from before may still be applied, or may be back after a restoration.
func (r *departures) announced(now time.Time, lateRecordTime time.Duration) []Departure {
	var out []Departure
	r.mu.Lock()
	defer r.mu.Unlock()
	isRestored := now.Sub(r.restoredAt) <= lateRecordTime
	for _, d := range r.byID {
		if !d.isAssumed() && !d.isOverruled && (isRestored || now.Sub(d.at) <= lateRecordTime) {
			d.AgeMs = now.Sub(d.at).Milliseconds()
			out = append(out, d.Departure)
		}
	}
	slices.SortFunc(out, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Target, b.Target))
	})
	return out[:min(len(out), maxAnnouncedDepartures)]
}

// restore records that the metadata store was restored from a copy.
func (r *departures) restore(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restoredAt = now
}

// prune forgets old departures.
func (r *departures) prune(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.byID, func(_ string, d departure) bool { return now.Sub(d.at) > departureTTL })
}

// Departures returns what this instance has read of recent departures, for the other instances. Where the reads are shared, only those
// that read often announce them.
func (w *Watcher) Departures() []Departure {
	if w.sharing.isShared.Load() {
		return nil
	}
	return w.departures.announced(w.now(), w.lateRecordTime())
}

// MergeDepartures applies what another instance has read of departures.
func (w *Watcher) MergeDepartures(ds []Departure) {
	if len(ds) == 0 {
		return
	}
	now := w.now()
	for _, d := range ds {
		w.departures.merge(d, now)
	}
}

// depart remembers the departure of a target in use at a time.
func (w *Watcher) depart(t *cataloger.Target, isLeaving bool, at time.Time) {
	d := departure{era: w.era, at: at, expectedSequence: t.Sequence, Departure: Departure{
		Target: t.ID, StartedUnixMs: t.StartedUnixMs, Sequence: t.Sequence, MaxSequence: t.Sequence, IsLeaving: isLeaving,
	}}
	if h, ok := w.heartbeats[t.ID]; ok && !isLeaving && t.Sequence > 0 {
		d.MaxSequence = max(t.Sequence, h.maxSequence(at, w.heartbeatInterval(), w.pollInterval()))
		d.expectedSequence = max(t.Sequence, h.expectedSequence(at, w.heartbeatInterval(), w.pollInterval()))
	}
	if !isLeaving {
		delete(w.heartbeats, t.ID)
	}
	w.departures.add(d)
}

// mayHaveDepartedBefore reports whether a target may have been removed before the first read of this instance, after which its record has
// appeared: its process is older than that, as far as its sequence shows.
func (w *Watcher) mayHaveDepartedBefore(d *cataloger.Draft, t *cataloger.Target, e event, now time.Time) bool {
	_, inUse := d.Target(t.ID)
	if inUse || t.Leaving || e.isFirst || w.firstReadAt.IsZero() {
		return false
	}
	readFor := now.Sub(w.firstReadAt)
	age := time.Duration(float64(t.Sequence-1) * (1 - maxHeartbeatDrift) * float64(w.heartbeatInterval()))
	return readFor <= w.lateRecordTime() && age > readFor
}

// departBefore remembers an assumed departure before the first read of this instance.
func (w *Watcher) departBefore(t *cataloger.Target) departure {
	d := departure{era: w.era, at: w.firstReadAt, Departure: Departure{Target: t.ID, StartedUnixMs: t.StartedUnixMs, MaxSequence: math.MaxInt64}}
	w.departures.add(d)
	return d
}

// lateRecordTime is how long after a departure the metadata store may have a record from before: until the last late write is applied, and
// its record is removed because no further one follows.
func (w *Watcher) lateRecordTime() time.Duration {
	return lateWriteTime + expiryBeats*w.heartbeatInterval()
}

// applyLearned applies what other instances have announced of departures. Targets whose records were read before their departure stay in use
// until the next read of this instance, which comes soon: it shows whether they have registered again.
func (w *Watcher) applyLearned(now time.Time) {
	old := w.view.Load()
	d := old.Draft()
	for id, u := range w.unproven {
		if dep, ok := w.departures.find(u.target); !ok || !w.isFromBefore(u.target, dep, w.era, now) {
			w.confirm(d, id, "another instance", now)
		}
	}
	w.dropDeparted(d, now, false)
	w.sharing.targets.awaitRead()
	w.publish(old, old.WithDraft(d))
}

// dropDeparted removes the targets in use whose records were written before their departure, and marks those that are leaving. That shows
// when another instance has announced a departure of which this one has not read. Without a read since the announcement, only records that
// were read after the departure are decided, as [Watcher.checkDeparture] would have done.
func (w *Watcher) dropDeparted(d *cataloger.Draft, now time.Time, hasRead bool) {
	for _, dep := range w.departures.all() {
		t, ok := d.Target(dep.Target)
		if !ok || dep.isOverruled || dep.IsBack || !w.isFromBefore(t, dep, w.era, now) {
			continue
		}
		if !hasRead && !w.heartbeats[t.ID].at.After(dep.at) {
			continue
		}
		if _, isExpired := w.expired[t.ID]; isExpired && !dep.IsLeaving {
			continue // it is removed unless it registers again in time
		}
		l := w.Log.WithField("target", t.ID).WithField("sequence", t.Sequence).WithField("lastSequence", dep.Sequence).WithField("maxSequence", dep.MaxSequence)
		switch {
		case !dep.IsLeaving:
			l.Info("target removed, as another instance has read")
			d.Remove(t.ID)
			if t.StartedUnixMs == dep.StartedUnixMs && t.Sequence > dep.Sequence {
				w.hold(t, now)
			}
		case !t.Leaving:
			l.Info("target is leaving, as another instance has read")
			d.Replace(t.WithLeaving())
		}
	}
}

// isFromBefore reports whether a record read in an era was written before a departure of its target. The copy from which the store was
// restored may have such a record still, and a write that got no response may be applied after the departure. A record without a sequence
// cannot be ordered against a removal in its own era.
func (w *Watcher) isFromBefore(t *cataloger.Target, d departure, era int64, now time.Time) bool {
	switch {
	case t.StartedUnixMs != d.StartedUnixMs:
		return t.StartedUnixMs < d.StartedUnixMs
	case t.Sequence == 0:
		return !d.IsLeaving && era != d.era
	case d.IsLeaving:
		return t.Sequence < d.Sequence
	case t.Sequence <= d.Sequence:
		return true
	}
	// Later records may not have been read here.
	return t.Sequence <= d.MaxSequence && now.Sub(d.at) <= w.lateRecordTime()
}
