package cataloger

import (
	"maps"
	"slices"
	"time"
)

// maxNamed bounds the weight versions of a model that are remembered.
const maxNamed = 64

// Target is one target as it published itself.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	// StartedUnixMs is the start of the target's process in Unix milliseconds; 0 if it is unknown.
	StartedUnixMs int64
	// Versions are the weight versions by model.
	Versions map[string]int64
	// WarmupRemaining is how much longer the target is slow after its start.
	WarmupRemaining time.Duration
}

// DesiredVersion is a weight version that the operator named.
type DesiredVersion struct {
	Version int64
	// ObservedAt is when this process read it.
	ObservedAt time.Time
}

// View is the control state that one request looks at; it is immutable.
type View struct {
	// Catalog is nil until a configuration was read.
	Catalog *Catalog
	// Draining is set while this process stops.
	Draining bool

	targets map[string]*Target
	// ids and services are in the order of the IDs.
	ids      []string
	services map[string][]*Target
	// named are the versions of each model, oldest first.
	named map[string][]DesiredVersion
}

// NewView returns an empty view.
func NewView() *View {
	return &View{targets: map[string]*Target{}, services: map[string][]*Target{}, named: map[string][]DesiredVersion{}}
}

// WithCatalog returns the view with a configuration; an older one than the present changes nothing.
func (v *View) WithCatalog(c *Catalog) *View {
	if v.Catalog != nil && c.Version <= v.Catalog.Version {
		return v
	}
	n := *v
	n.Catalog = c
	return &n
}

// WithDraining returns the view of a process that stops.
func (v *View) WithDraining() *View {
	n := *v
	n.Draining = true
	return &n
}

// WithDesiredVersion returns the view with a weight version; a lower one than the present changes nothing.
func (v *View) WithDesiredVersion(model string, version int64, now time.Time) *View {
	if old, ok := v.DesiredVersion(model); ok && old.Version >= version {
		return v
	}
	n := *v
	n.named = maps.Clone(v.named)
	n.named[model] = append(slices.Clone(v.named[model]), DesiredVersion{Version: version, ObservedAt: now})
	if len(n.named[model]) > maxNamed {
		n.named[model] = n.named[model][1:]
	}
	return &n
}

// WithTarget returns the view with a target; what an earlier process under the same ID wrote changes nothing.
func (v *View) WithTarget(t *Target) *View {
	d := v.Draft()
	d.Put(t)
	return v.WithDraft(d)
}

// WithDraft returns the view with the targets of a draft.
func (v *View) WithDraft(d *Draft) *View {
	if !d.changed {
		return v
	}
	n := *v
	n.targets, n.ids, n.services = d.targets, slices.Sorted(maps.Keys(d.targets)), map[string][]*Target{}
	for _, id := range n.ids {
		t := n.targets[id]
		n.services[t.Service] = append(n.services[t.Service], t)
	}
	return &n
}

// Draft returns a draft of the view's targets.
func (v *View) Draft() *Draft { return &Draft{targets: v.targets} }

// Draft collects changes of targets, so that those of a long list are copied and put in order once. It belongs to one
// goroutine.
type Draft struct {
	targets map[string]*Target
	changed bool
}

// Target returns a target by its ID.
func (d *Draft) Target(id string) (*Target, bool) {
	t, ok := d.targets[id]
	return t, ok
}

// TargetIDs returns the IDs of all targets.
func (d *Draft) TargetIDs() []string { return slices.Sorted(maps.Keys(d.targets)) }

// Put adds a target or replaces it; what an earlier process under the same ID wrote changes nothing.
func (d *Draft) Put(t *Target) {
	if old := d.targets[t.ID]; old != nil && t.StartedUnixMs < old.StartedUnixMs {
		return
	}
	d.edit()
	d.targets[t.ID] = t
}

// Remove drops a target.
func (d *Draft) Remove(id string) {
	if _, ok := d.targets[id]; ok {
		d.edit()
		delete(d.targets, id)
	}
}

// edit copies the targets of the view before the first change.
func (d *Draft) edit() {
	if !d.changed {
		d.targets, d.changed = maps.Clone(d.targets), true
	}
}

// Target returns a target by its ID.
func (v *View) Target(id string) (*Target, bool) {
	t, ok := v.targets[id]
	return t, ok
}

// Targets returns the targets of a service in the order of their IDs, those that are leaving included.
func (v *View) Targets(service string) []*Target { return v.services[service] }

// TargetIDs returns the IDs of all targets in order; the list must not be changed.
func (v *View) TargetIDs() []string { return v.ids }

// DesiredVersion returns the newest weight version of a model that the operator named.
func (v *View) DesiredVersion(model string) (DesiredVersion, bool) {
	ns := v.named[model]
	if len(ns) == 0 {
		return DesiredVersion{}, false
	}
	return ns[len(ns)-1], true
}

// SupersededFor returns for how long a weight version has been replaced: the time since the first newer one was seen. A
// target that missed several versions is as old as the first of them says.
func (v *View) SupersededFor(model string, version int64, now time.Time) time.Duration {
	for _, n := range v.named[model] {
		if n.Version > version {
			return now.Sub(n.ObservedAt)
		}
	}
	return 0
}

// DesiredModels returns the models of which a version was named.
func (v *View) DesiredModels() []string { return slices.Sorted(maps.Keys(v.named)) }
