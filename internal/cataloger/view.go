package cataloger

import (
	"cmp"
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
	// Born is the start of the target's process in Unix milliseconds; 0 if it is unknown.
	Born int64
	// Versions are the weight versions by model.
	Versions map[string]int64
	// ColdFor is how much longer the target is slow after its start.
	ColdFor time.Duration
}

// Named is a weight version that the operator named.
type Named struct {
	Version int64
	// Seen is when this process read it.
	Seen time.Time
}

// View is the control state that one request looks at; it is immutable.
type View struct {
	// Catalog is nil until a configuration was read.
	Catalog *Catalog
	// Draining is set while this process stops.
	Draining bool

	targets  map[string]*Target
	services map[string][]*Target
	// named are the versions of each model, oldest first.
	named map[string][]Named
}

// NewView returns an empty view.
func NewView() *View {
	return &View{targets: map[string]*Target{}, services: map[string][]*Target{}, named: map[string][]Named{}}
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

// WithNamed returns the view with a weight version; a lower one than the present changes nothing.
func (v *View) WithNamed(model string, version int64, now time.Time) *View {
	if old, ok := v.Named(model); ok && old.Version >= version {
		return v
	}
	n := *v
	n.named = maps.Clone(v.named)
	n.named[model] = append(slices.Clone(v.named[model]), Named{Version: version, Seen: now})
	if len(n.named[model]) > maxNamed {
		n.named[model] = n.named[model][1:]
	}
	return &n
}

// WithTarget returns the view with a target; what an earlier process under the same ID wrote changes nothing.
func (v *View) WithTarget(t *Target) *View {
	if old := v.targets[t.ID]; old != nil && t.Born < old.Born {
		return v
	}
	n := *v
	n.targets = maps.Clone(v.targets)
	n.targets[t.ID] = t
	n.index()
	return &n
}

// WithoutTargets returns the view without the targets.
func (v *View) WithoutTargets(ids ...string) *View {
	n := *v
	n.targets = maps.Clone(v.targets)
	for _, id := range ids {
		delete(n.targets, id)
	}
	n.index()
	return &n
}

func (v *View) index() {
	v.services = map[string][]*Target{}
	for _, t := range v.targets {
		v.services[t.Service] = append(v.services[t.Service], t)
	}
	for _, ts := range v.services {
		slices.SortFunc(ts, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Target returns a target by its ID.
func (v *View) Target(id string) (*Target, bool) {
	t, ok := v.targets[id]
	return t, ok
}

// Targets returns the targets of a service in the order of their IDs, those that are leaving included.
func (v *View) Targets(service string) []*Target { return v.services[service] }

// IDs returns the IDs of all targets.
func (v *View) IDs() []string { return slices.Sorted(maps.Keys(v.targets)) }

// Named returns the newest weight version of a model that the operator named.
func (v *View) Named(model string) (Named, bool) {
	ns := v.named[model]
	if len(ns) == 0 {
		return Named{}, false
	}
	return ns[len(ns)-1], true
}

// Replaced returns for how long a weight version has been replaced: the time since the first newer one was seen. A
// target that missed several versions is as old as the first of them says.
func (v *View) Replaced(model string, version int64, now time.Time) time.Duration {
	for _, n := range v.named[model] {
		if n.Version > version {
			return now.Sub(n.Seen)
		}
	}
	return 0
}

// Models returns the models of which a version was named.
func (v *View) Models() []string { return slices.Sorted(maps.Keys(v.named)) }
