package watcher

import (
	"slices"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

// applyEvacuations returns the view after the evacuations in an event, and logs those that begin and end. A snapshot of the operator's
// source names all evacuated data centres, so any other one is no longer evacuated.
func (w *Watcher) applyEvacuations(v *cataloger.View, e event) *cataloger.View {
	if e.fromTargets || e.apply != nil {
		return v
	}
	var dcs []string
	if !e.batch.IsSnapshot {
		dcs = slices.Clone(v.Evacuated())
	}
	for _, c := range e.batch.Changes {
		if c, ok := c.(EvacuationChange); ok {
			dcs = slices.DeleteFunc(dcs, func(dc string) bool { return dc == c.DataCentre })
			if c.IsEvacuated {
				dcs = append(dcs, c.DataCentre)
			}
		}
	}
	n := v.WithEvacuated(dcs)
	for _, dc := range n.Evacuated() {
		if !v.IsEvacuated(dc) {
			w.Log.WithField("dataCentre", dc).WithField("targets", targetsIn(n, dc)).Warn("evacuation of a data centre begins")
		}
	}
	for _, dc := range v.Evacuated() {
		if !n.IsEvacuated(dc) {
			w.Log.WithField("dataCentre", dc).WithField("targets", targetsIn(n, dc)).Warn("evacuation of a data centre ends")
		}
	}
	return n
}

// targetsIn returns the number of targets in a data centre.
func targetsIn(v *cataloger.View, dc string) int {
	n := 0
	for _, id := range v.TargetIDs() {
		if t, ok := v.Target(id); ok && t.DataCentre == dc {
			n++
		}
	}
	return n
}
