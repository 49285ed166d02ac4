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
func (w *Watcher) putTarget(d *cataloger.Draft, t *cataloger.Target) {
	inForce, ok := d.Target(t.ID)
	switch {
	case !ok || !t.IsOlderThan(inForce):
		delete(w.outliers, t.ID)
		delete(w.expired, t.ID)
		w.logTarget(d, t)
		d.Replace(t)
	case w.outliers.overrules(t, inForce):
		w.Log.WithField("target", t.ID).WithField("sequence", inForce.Sequence).Warn("odd record of a target overruled by later ones")
		delete(w.expired, t.ID)
		d.Replace(t)
	}
}

// isBeforeRemoval reports whether a record was written before its target was removed. Several such records in sequence that come too late
// to be late writes show that the sequence of the last record before the removal was odd.
func (w *Watcher) isBeforeRemoval(t *cataloger.Target, era int64, now time.Time) bool {
	removed, ok := w.removed.find(t, era)
	if !ok {
		return false
	}
	l := w.Log.WithField("target", t.ID).WithField("sequence", t.Sequence).WithField("lastSequence", removed.target.Sequence)
	if now.Sub(removed.at) > lateWriteTime && w.outliers.overrules(t, removed.target) {
		l.Warn("odd record of a removed target overruled by later ones")
		delete(w.removed, t.ID)
		return false
	}
	l.Info("record of a removed target ignored")
	return true
}

func (w *Watcher) logTarget(d *cataloger.Draft, t *cataloger.Target) {
	old, ok := d.Target(t.ID)
	l := w.Log.WithField("target", t.ID)
	switch {
	case !ok:
		l.WithField("address", t.Address).WithField("service", t.Service).Info("target registered")
	case t.Leaving && !old.Leaving:
		l.Info("target is leaving")
	case t.StartedUnixMs > old.StartedUnixMs:
		l.WithField("born", t.StartedUnixMs).Info("target restarted")
	}
}

// removeTarget removes a target. If its record may have expired because of an outage of the store, it is removed only
// if it does not register again within reregistrationGrace.
func (w *Watcher) removeTarget(d *cataloger.Draft, id string, afterOutage bool, now time.Time) {
	t, ok := d.Target(id)
	if !ok {
		return
	}
	if afterOutage && !t.Leaving {
		w.expired[id] = now.Add(reregistrationGrace)
		w.Log.WithField("target", id).Info("target record expired")
		return
	}
	w.Log.WithField("target", id).Info("target removed")
	w.removed.add(t, w.era, now)
	d.Remove(id)
}

// removeMissing removes the targets that are not in a snapshot.
func (w *Watcher) removeMissing(d *cataloger.Draft, present map[string]bool, afterOutage bool, now time.Time) {
	for _, id := range d.TargetIDs() {
		if !present[id] {
			w.removeTarget(d, id, afterOutage, now)
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
			w.Log.WithField("target", id).Info("target removed")
			if t, ok := d.Target(id); ok {
				w.removed.add(t, w.era, now)
			}
			d.Remove(id)
		}
	}
	w.removed.prune(now)
	w.publish(old, old.WithDraft(d))
}
