package cataloger

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// maxDesiredVersions bounds the history of desired weight versions of each model.
const maxDesiredVersions = 64

// UnknownTime is the publish time of a version that was published before this process first read the metadata store.
const UnknownTime = time.Duration(math.MinInt64)

// publishTimeResolution is the least difference between two publish times that matters. Smaller ones follow from the varying
// latency of the messages between instances, and each would create a new view.
const publishTimeResolution = 20 * time.Millisecond

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
	// Sequence rises with the records of a process; 0 if unknown.
	Sequence int64
	// Software is the version of the target's software; empty if its record has none. Targets of several may serve one service side by
	// side. It says nothing about the weights.
	Software string
	// Versions holds the loaded weight version of each model.
	Versions map[string]int64
	// WarmupRemaining is how much longer the target is expected to be slow after its start.
	WarmupRemaining time.Duration
}

// IsOlderThan reports whether the record was written before another one of the same target. A process that has announced that it
// is leaving does not withdraw that in a record with the same sequence.
func (t *Target) IsOlderThan(other *Target) bool {
	switch {
	case t.StartedUnixMs != other.StartedUnixMs:
		return t.StartedUnixMs < other.StartedUnixMs
	case t.Sequence != other.Sequence:
		return t.Sequence < other.Sequence
	}
	return other.Leaving && !t.Leaving && t.Sequence > 0
}

// WithLeaving returns the target as one that is leaving.
func (t *Target) WithLeaving() *Target {
	n := *t
	n.Leaving = true
	return &n
}

// DesiredVersion is a weight version that the operator requested for a model.
type DesiredVersion struct {
	Version int64
	// PublishedAt is when the version was published, on the clock of package clocker, or [UnknownTime].
	PublishedAt time.Duration
	// Source says how PublishedAt is known.
	Source PublishTimeSource
}

// PublishTimeSource says how the publish time of a version is known.
type PublishTimeSource int

// Sources of publish times.
const (
	// Bounded is the earliest possible time, for a version that was read late.
	Bounded PublishTimeSource = iota
	// Learned is a time that another process has observed.
	Learned
	// Observed is the time at which this process read the version, when it was published.
	Observed
)

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
	// evacuated holds the sorted data centres whose targets must not get further calls.
	evacuated []string
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

// WithDesiredVersion returns the view with a desired weight version. It returns v itself unless the version is higher than the
// current one.
func (v *View) WithDesiredVersion(model string, d DesiredVersion) *View {
	if old, ok := v.DesiredVersion(model); ok && old.Version >= d.Version {
		return v
	}
	return v.withDesired(model, append(slices.Clone(v.desired[model]), d))
}

// WithPublishTime returns the view with the publish time of a weight version that another process has observed, or
// [UnknownTime], also of a version that this process did not read because newer ones followed. It returns v itself if that is no
// news or the version is higher than the desired one.
func (v *View) WithPublishTime(model string, version int64, publishedAt time.Duration) *View {
	ds := v.desired[model]
	i, found := slices.BinarySearchFunc(ds, version, func(d DesiredVersion, version int64) int { return cmp.Compare(d.Version, version) })
	learned := DesiredVersion{Version: version, PublishedAt: publishedAt, Source: Learned}
	if publishedAt == UnknownTime {
		learned.Source = Bounded
	}
	switch {
	case i == len(ds):
		return v
	case !found:
		ds = slices.Insert(slices.Clone(ds), i, learned)
	case publishedAt != UnknownTime && (ds[i].Source == Bounded || ds[i].PublishedAt-publishedAt >= publishTimeResolution):
		ds = slices.Clone(ds)
		ds[i] = learned
	default:
		return v
	}
	return v.withDesired(model, ds)
}

// withDesired returns the view with the desired versions of a model, the oldest of which are dropped if there are too many.
func (v *View) withDesired(model string, ds []DesiredVersion) *View {
	n := *v
	n.desired = maps.Clone(v.desired)
	n.desired[model] = ds[max(0, len(ds)-maxDesiredVersions):]
	return &n
}

// WithTarget returns the view with a target added or replaced. An older record of the same target is ignored.
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

// Put adds or replaces a target. An older record of the same target is ignored.
func (d *Draft) Put(t *Target) {
	if old := d.targets[t.ID]; old == nil || !t.IsOlderThan(old) {
		d.Replace(t)
	}
}

// Replace adds or replaces a target, also by an older record.
func (d *Draft) Replace(t *Target) {
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

// SoftwareVersions returns the sorted software versions of the targets of a service, leaving ones included.
func (v *View) SoftwareVersions(service string) []string {
	var out []string
	for _, t := range v.services[service] {
		if !slices.Contains(out, t.Software) {
			out = append(out, t.Software)
		}
	}
	slices.Sort(out)
	return out
}

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

// DesiredVersions returns the desired versions of a model, the oldest first. The caller must not modify the slice.
func (v *View) DesiredVersions(model string) []DesiredVersion { return v.desired[model] }

// SupersededFor returns how long a weight version has been superseded: the time since the first newer version was
// published, also if several newer versions followed. It returns the maximum duration if that time is unknown, and 0 for the
// newest version.
func (v *View) SupersededFor(model string, version int64, now time.Duration) time.Duration {
	superseded, since := false, time.Duration(math.MaxInt64)
	for _, d := range v.desired[model] {
		if d.Version > version {
			superseded, since = true, min(since, d.PublishedAt)
		}
	}
	switch {
	case !superseded:
		return 0
	case since == UnknownTime:
		return math.MaxInt64
	}
	return now - since
}

// DesiredModels returns the sorted names of the models that have a desired version.
func (v *View) DesiredModels() []string { return slices.Sorted(maps.Keys(v.desired)) }
