package watcher

import (
	"context"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

const (
	// healthTimeout is the time for the response to a health request.
	healthTimeout = 800 * time.Millisecond
	// maxHealthRequests bounds the health requests that wait to be sent. Further ones are sent after the next read.
	maxHealthRequests = 16
)

// unprovenRecord is a record of a removed target that may have been written before the removal. A target that lives keeps its record in the
// store; otherwise the platform removes the record again, as no further one follows.
type unprovenRecord struct {
	target *cataloger.Target
	// readAt is since when the store has had the record without an interruption of the reads.
	readAt time.Time
}

// hold keeps a record that may have been written before the removal of its target.
func (w *Watcher) hold(t *cataloger.Target, now time.Time) {
	if old, ok := w.unproven[t.ID]; !ok || old.target.IsOlderThan(t) {
		w.unproven[t.ID] = unprovenRecord{target: t, readAt: now}
	}
}

// confirm puts the target of an unproven record into use. The other instances learn from the departure that its records are newer.
func (w *Watcher) confirm(d *cataloger.Draft, id, reason string, now time.Time) {
	t := w.unproven[id].target
	w.Log.WithField("target", id).WithField("sequence", t.Sequence).WithField("reason", reason).Info("record of a removed target confirmed")
	delete(w.unproven, id)
	if dep, ok := w.departures.find(t); ok && t.StartedUnixMs == dep.StartedUnixMs {
		dep.Departure = dep.withReturn(t)
		w.departures.add(dep)
	}
	w.putTarget(d, t, now, false)
}

// confirmUnproven puts the targets into use whose unproven records the store has kept for longer than those of silent targets, as a read
// shows that was sent at a time.
func (w *Watcher) confirmUnproven(d *cataloger.Draft, e event, now time.Time) {
	for id, u := range w.unproven {
		if e.afterOutage {
			// The platform may have removed no records meanwhile.
			u.readAt = now
			w.unproven[id] = u
			continue
		}
		sentAt := now.Add(e.sentAt - w.elapsed())
		if sentAt.Sub(u.readAt) >= time.Duration((expiryBeats+expiryMargin)*float64(w.heartbeatInterval())) {
			w.confirm(d, id, "record kept", now)
		}
	}
}

// checkHealth asks the targets of unproven records whether they are healthy and not leaving, unless the sequence suggests that the record was
// written before the removal. Where the reads are shared, the readers ask and tell the others, unless the departure is assumed here only.
func (w *Watcher) checkHealth() {
	if w.IsHealthy == nil {
		return
	}
	for _, u := range w.unproven {
		d, ok := w.departures.find(u.target)
		if !ok || u.target.Sequence <= d.expectedSequence || w.sharing.isShared.Load() && !d.isAssumed() {
			continue
		}
		select {
		case w.healthRequests <- u.target:
		default: // sent after the next read
		}
	}
}

// handleHealthy applies that the target of an unproven record has called itself healthy.
func (w *Watcher) handleHealthy(t *cataloger.Target, now time.Time) {
	if w.unproven[t.ID].target != t {
		return // it was removed meanwhile, or has written a newer record
	}
	old := w.view.Load()
	d := old.Draft()
	w.confirm(d, t.ID, "healthy", now)
	w.publish(old, old.WithDraft(d))
	w.sharing.targets.recordConfirmed()
}

// runHealthRequests sends health requests until ctx is done.
func (w *Watcher) runHealthRequests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-w.healthRequests:
			go w.requestHealth(ctx, t)
		}
	}
}

func (w *Watcher) requestHealth(ctx context.Context, t *cataloger.Target) {
	c := w.View().Catalog
	if c == nil || c.Services[t.Service] == nil || c.Services[t.Service].HealthPath == "" {
		return
	}
	hctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	if !w.IsHealthy(hctx, t, c.Services[t.Service].HealthPath) {
		return
	}
	select {
	case w.events <- event{healthy: t}:
	case <-ctx.Done():
	}
}
