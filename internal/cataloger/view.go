package cataloger

import (
	"maps"
	"slices"
	"time"
)

// maxDesiredVersions bounds the history of desired weight versions of each model.
const maxDesiredVersions = 64

// Target is the registration record that a target publishes.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	// StartedUnixMs is the start time of the target's process in Unix milliseconds; 0 if unknown.
	StartedUnixMs int64
	// Versions holds the loaded weight version of each model.
	Versions map[string]int64
	// WarmupRemaining is how much longer the target is expected to be slow after its start.
	WarmupRemaining time.Duration
}

// DesiredVersion is a weight version that the operator requested for a model.
type DesiredVersion struct {
	Version int64
	// ObservedAt is when this process read the version from the metadata store.
	ObservedAt time.Time
}

// View is an immutable snapshot of the control state.
type View struct {
	// Catalog is nil until a configuration has been read.
	Catalog *Catalog
	// Draining reports whether this process is shutting down.
	Draining bool

	targets map[string]*Target
	// ids and the targets of each service are sorted by target ID.
	ids      []string
	services map[string][]*Target
	// desired holds the desired versions of each model, oldest first.
	desired map[string][]DesiredVersion
}

// NewView returns an empty view.
func NewView() *View {
	return &View{targets: map[string]*Target{}, services: map[string][]*Target{}, desired: map[string][]DesiredVersion{}}
}

// WithCatalog returns the view with a configuration. It returns v itself unless the configuration is newer.
func (v *View) WithCatalog(c *Catalog) *View {
	if v.Catalog != nil && c.Version <= v.Catalog.Version {
		return v
	}
	n := *v
	n.Catalog = c
	return &n
}

// WithDraining returns the view of a process that is shutting down.
func (v *View) WithDraining() *View {
	n := *v
	n.Draining = true
	return &n
}

// WithDesiredVersion returns the view with a desired weight version. It returns v itself unless the version is higher
// than the current one.
func (v *View) WithDesiredVersion(model string, version int64, now time.Time) *View {
	if old, ok := v.DesiredVersion(model); ok && old.Version >= version {
		return v
	}
	n := *v
	n.desired = maps.Clone(v.desired)
	n.desired[model] = append(slices.Clone(v.desired[model]), DesiredVersion{Version: version, ObservedAt: now})
	if len(n.desired[model]) > maxDesiredVersions {
		n.desired[model] = n.desired[model][1:]
	}
	return &n
}

// WithTarget returns the view with a target added or replaced. A record of an earlier process with the same ID is
// ignored.
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

// Draft collects changes of targets, so that a batch copies and sorts the target list only once. It is not safe for
// concurrent use.
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

// Put adds or replaces a target. A record of an earlier process with the same ID is ignored.
func (d *Draft) Put(t *Target) {
	if old := d.targets[t.ID]; old != nil && t.StartedUnixMs < old.StartedUnixMs {
		return
	}
	d.edit()
	d.targets[t.ID] = t
}

// Remove removes a target; an unknown ID is ignored.
func (d *Draft) Remove(id string) {
	if _, ok := d.targets[id]; ok {
		d.edit()
		delete(d.targets, id)
	}
}

// edit copies the view's targets before the first change.
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

// Targets returns the targets of a service in the order of their IDs, leaving targets included.
func (v *View) Targets(service string) []*Target { return v.services[service] }

// TargetIDs returns the sorted IDs of all targets. The caller must not modify the slice.
func (v *View) TargetIDs() []string { return v.ids }

// DesiredVersion returns the newest desired weight version of a model.
func (v *View) DesiredVersion(model string) (DesiredVersion, bool) {
	ns := v.desired[model]
	if len(ns) == 0 {
		return DesiredVersion{}, false
	}
	return ns[len(ns)-1], true
}

// SupersededFor returns how long a weight version has been superseded: the time since the first newer version was
// observed, also if several newer versions followed. It returns 0 for the newest version.
func (v *View) SupersededFor(model string, version int64, now time.Time) time.Duration {
	for _, n := range v.desired[model] {
		if n.Version > version {
			return now.Sub(n.ObservedAt)
		}
	}
	return 0
}

// DesiredModels returns the sorted names of the models that have a desired version.
func (v *View) DesiredModels() []string { return slices.Sorted(maps.Keys(v.desired)) }
