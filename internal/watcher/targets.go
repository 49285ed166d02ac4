package watcher

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/failer"
)

// checkTarget returns why a record cannot be that of its target, as far as this shows only from what else is known.
func checkTarget(v *cataloger.View, d *cataloger.Draft, t *cataloger.Target, now time.Time) error {
	if t.StartedUnixMs > now.Add(maxClockError).UnixMilli() {
		return failer.New("start of the target is %d, far in the future", t.StartedUnixMs)
	}
	inForce, ok := d.Target(t.ID)
	if ok && v.Catalog != nil && v.Catalog.Services[t.Service] == nil && v.Catalog.Services[inForce.Service] != nil {
		return failer.New("service %q of the target does not exist; it was %q", t.Service, inForce.Service)
	}
	return nil
}

// putTarget adds or replaces a target, unless the record is older than the one in force.
func (w *Watcher) putTarget(d *cataloger.Draft, t *cataloger.Target, now time.Time, isFirstRead bool) {
	inForce, ok := d.Target(t.ID)
	switch {
	case !ok || !t.IsOlderThan(inForce):
		delete(w.outliers, t.ID)
		delete(w.expired, t.ID)
		w.logTarget(d, t)
		w.recordHeartbeat(t, now, isFirstRead)
		if t.Leaving && t.Sequence > 0 && (!ok || !inForce.Leaving || t.StartedUnixMs != inForce.StartedUnixMs) {
			w.depart(t, true, now)
		}
		d.Replace(t)
	case w.outliers.overrules(t, inForce):
		w.Log.WithField("target", t.ID).WithField("sequence", inForce.Sequence).Warn("odd record of a target overruled by later ones")
		delete(w.expired, t.ID)
		delete(w.heartbeats, t.ID)
		w.recordHeartbeat(t, now, isFirstRead)
		d.Replace(t)
	}
}

// checkDeparture returns the record as it counts after what is known of departures of its target, and false if it does not count: it was
// written before the target was removed, or may have been. Several such records in sequence that come too late to be late writes show that
// the sequence of the last record before the removal was odd.
func (w *Watcher) checkDeparture(draft *cataloger.Draft, t *cataloger.Target, e event, now time.Time) (*cataloger.Target, bool) {
	d, ok := w.departures.find(t)
	if !ok && !w.mayHaveDepartedBefore(draft, t, e, now) {
		return t, true
	}
	if !ok {
		d = w.departBefore(t)
	}
	if !w.isFromBefore(t, d, e.batch.Era, now) {
		if !d.IsLeaving && !d.IsBack {
			d.Departure = d.withReturn(t)
			w.departures.add(d)
		}
		return t, true
	}
	if d.IsLeaving {
		if inForce, ok := draft.Target(t.ID); ok && inForce.Leaving {
			return t, true
		}
		return t.WithLeaving(), true
	}
	l := w.Log.WithField("target", t.ID).WithField("sequence", t.Sequence).WithField("lastSequence", d.Sequence).WithField("maxSequence", d.MaxSequence)
	last := &cataloger.Target{StartedUnixMs: d.StartedUnixMs, Sequence: d.Sequence}
	if now.Sub(d.at) > lateWriteTime && w.outliers.overrules(t, last) {
		l.Warn("odd record of a removed target overruled by later ones")
		w.departures.overrule(d)
		return t, true
	}
	if t.StartedUnixMs == d.StartedUnixMs && t.Sequence > d.Sequence {
		w.hold(t, now)
	}
	l.WithField("removalRead", !d.isAssumed()).Info("record of a removed target ignored")
	return t, false
}

func (w *Watcher) logTarget(d *cataloger.Draft, t *cataloger.Target) {
	old, ok := d.Target(t.ID)
	l := w.Log.WithField("target", t.ID)
	switch {
	case !ok:
		l.WithField("address", t.Address).WithField("service", t.Service).WithField("sequence", t.Sequence).Info("target registered")
	case t.Leaving && !old.Leaving:
		l.Info("target is leaving")
	case t.StartedUnixMs > old.StartedUnixMs:
		l.WithField("born", t.StartedUnixMs).Info("target restarted")
	}
}

// removeTarget removes a target. If its record may have expired because of an outage of the store, it is removed only
// if it does not register again within reregistrationGrace.
func (w *Watcher) removeTarget(d *cataloger.Draft, id string, afterOutage bool, now time.Time) {
	delete(w.unproven, id)
	t, ok := d.Target(id)
	if !ok {
		return
	}
	if afterOutage && !t.Leaving {
		w.expired[id] = now.Add(reregistrationGrace)
		w.Log.WithField("target", id).Info("target record expired")
		return
	}
	w.remove(d, t, now)
}

// remove removes a target whose record was found to be missing at a time.
func (w *Watcher) remove(d *cataloger.Draft, t *cataloger.Target, missingAt time.Time) {
	w.depart(t, false, missingAt)
	w.Log.WithField("target", t.ID).WithField("lastSequence", t.Sequence).Info("target removed")
	d.Remove(t.ID)
}

// removeMissing removes the targets that are not in a snapshot.
func (w *Watcher) removeMissing(d *cataloger.Draft, present map[string]bool, afterOutage bool, now time.Time) {
	for _, id := range d.TargetIDs() {
		if !present[id] {
			w.removeTarget(d, id, afterOutage, now)
		}
	}
	for id := range w.unproven {
		if !present[id] {
			delete(w.unproven, id)
		}
	}
}

// expire removes the targets that did not register again within reregistrationGrace.
func (w *Watcher) expire(now time.Time) {
	old := w.view.Load()
	d := old.Draft()
	for id, until := range w.expired {
		if now.After(until) {
			delete(w.expired, id)
			if t, ok := d.Target(id); ok {
				w.remove(d, t, until.Add(-reregistrationGrace))
			}
		}
	}
	w.departures.prune(now)
	w.publish(old, old.WithDraft(d))
}
