// Package view provides the immutable snapshot of the deployment that request handling reads.
//
// The controller goroutine owns the control state. It builds a new [View] for
// each change and publishes it through an atomic pointer. A request goroutine
// loads the pointer once, so it sees one consistent state for the whole request.
// The counters of an instance's own dispatches (see [Dispatches]) are the
// exception: they change with every request, so they are atomics that all views
// of a target share.
//
// A view also ranks the targets of a model for a conversation by rendezvous
// hashing. The first targets in this order are the preferred targets of the
// conversation; instances with the same configuration agree on them without
// coordination.
//
// # Usage
//
//	v := view.New(cfg, version, "kochi-a")
//	v = v.WithTargets(map[string]view.Status{"letters-1": {Load: load}})
//	t, ok := v.Target("letters-1")
package view

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// Status is the current status of a target.
type Status struct {
	Load dialer.Load
	// LoadAt is when the load report arrived.
	LoadAt time.Time
	// Versions are the reported weight versions by model.
	Versions map[string]int64
	// Leaving reports whether the target is leaving, according to its last load report. A leaving target gets no new work.
	Leaving bool
	// Down reports whether several polls of the target in a row have failed.
	Down bool
}

// Dispatches counts the runs that this instance dispatched to a target recently. Running and PendingTokens are unused.
type Dispatches struct {
	Running       atomic.Int64
	PendingTokens atomic.Int64

	buckets [bucketCount]dispatchBucket
}

// Target is a target of the configuration with its current status.
type Target struct {
	configurer.Target
	Status
	// LeavingSince is when this instance was notified by another instance or by the platform's list that the target is
	// leaving, and zero if there was no such notification. Unlike Status.Leaving, it is not reset by a load report that
	// predates the notification.
	LeavingSince time.Time
	Dispatches   *Dispatches
}

// Version returns the weight version of a model that the target serves, or 0 if the target has not reported one.
func (t *Target) Version(model string) int64 { return t.Versions[model] }

// Usable reports whether new work may be sent to the target.
func (t *Target) Usable() bool {
	return !t.Target.Leaving && !t.Status.Leaving && t.LeavingSince.IsZero() && !t.Down
}

// StoreStatus is the current status of a KV store and its link.
type StoreStatus struct {
	State dialer.StoreState
	// BytesPerSec is the expected rate of the link.
	BytesPerSec float64
	// Down reports whether several polls of the store in a row have failed.
	Down bool
}

// Member is an instance in the member list.
type Member struct {
	ID            string `json:"id"`
	DataCentre    string `json:"dataCentre"`
	Address       string `json:"address"`
	State         string `json:"state"`
	ConfigVersion int64  `json:"configVersion"`
}

// View is an immutable snapshot of the deployment. Draining reports whether this instance is draining, that is, accepts no
// new requests.
type View struct {
	Config        *configurer.Config
	ConfigVersion int64
	DataCentre    string
	Draining      bool
	Members       []Member

	targets      map[string]*Target
	byModel      map[string][]*Target
	services     map[string][]*Target
	stores       map[string]StoreStatus
	modelIndexes map[string]*modelIndex
	regions      map[string]string
	storeConfigs map[string]configurer.Store
}

// New returns a view of a configuration in which no target has a status yet.
func New(cfg *configurer.Config, version int64, dataCentre string) *View {
	v := &View{DataCentre: dataCentre, stores: map[string]StoreStatus{}}
	return v.WithConfig(cfg, version)
}

// WithConfig returns a view with another configuration. Targets that are in both configurations keep their status.
func (v *View) WithConfig(cfg *configurer.Config, version int64) *View {
	n := *v
	n.Config, n.ConfigVersion = cfg, version
	n.targets = make(map[string]*Target, len(cfg.Targets))
	for _, ct := range cfg.Targets {
		t := &Target{Target: ct, Dispatches: new(Dispatches)}
		if prev, ok := v.targets[ct.ID]; ok {
			t.Status, t.LeavingSince, t.Dispatches = prev.Status, prev.LeavingSince, prev.Dispatches
		}
		n.targets[ct.ID] = t
	}
	n.modelIndexes, n.regions = buildModelIndexes(cfg), make(map[string]string, len(cfg.DataCentres))
	for _, dc := range cfg.DataCentres {
		n.regions[dc.Name] = dc.Region
	}
	n.storeConfigs = make(map[string]configurer.Store, len(cfg.Stores))
	for _, st := range cfg.Stores {
		n.storeConfigs[st.ID] = st
	}
	n.indexTargets()
	return &n
}

// WithTargets returns a view with the given targets' statuses replaced; ids that are not configured are ignored.
func (v *View) WithTargets(changes map[string]Status) *View {
	n := *v
	n.targets = maps.Clone(v.targets)
	for id, s := range changes {
		if prev, ok := v.targets[id]; ok {
			t := *prev
			t.Status = s
			n.targets[id] = &t
		}
	}
	n.indexTargets()
	return &n
}

// WithLeaving returns a view in which exactly the given targets are marked as leaving. A target that is marked already
// keeps its LeavingSince.
func (v *View) WithLeaving(ids map[string]time.Time, now time.Time) *View {
	n := *v
	n.targets = maps.Clone(v.targets)
	for id, prev := range v.targets {
		_, marked := ids[id]
		if marked != prev.LeavingSince.IsZero() {
			continue
		}
		t := *prev
		t.LeavingSince = time.Time{}
		if marked {
			t.LeavingSince = now
		}
		n.targets[id] = &t
	}
	n.indexTargets()
	return &n
}

// WithStores returns a view with the given stores' statuses replaced.
func (v *View) WithStores(changes map[string]StoreStatus) *View {
	n := *v
	n.stores = maps.Clone(v.stores)
	maps.Copy(n.stores, changes)
	return &n
}

// The states of live members; a suspected member may still refute the suspicion.
const (
	memberAlive   = "alive"
	memberSuspect = "suspect"
)

// LiveMemberCount returns the number of live instances, including this one.
func (v *View) LiveMemberCount() int {
	n := 0
	for _, m := range v.Members {
		if m.State == memberAlive || m.State == memberSuspect {
			n++
		}
	}
	return max(1, n)
}

// WithMembers returns a view with the given member list.
func (v *View) WithMembers(ms []Member) *View {
	n := *v
	n.Members = ms
	return &n
}

// WithDraining returns a view with the given value of Draining.
func (v *View) WithDraining(on bool) *View {
	n := *v
	n.Draining = on
	return &n
}

// indexTargets groups the targets by model and by service, in the order of the configuration.
func (v *View) indexTargets() {
	v.byModel, v.services = map[string][]*Target{}, map[string][]*Target{}
	for _, ct := range v.Config.Targets {
		t := v.targets[ct.ID]
		for _, m := range ct.Models {
			v.byModel[m] = append(v.byModel[m], t)
		}
		for _, s := range ct.Services {
			v.services[s] = append(v.services[s], t)
		}
	}
}

// Target returns a target by id.
func (v *View) Target(id string) (*Target, bool) {
	t, ok := v.targets[id]
	return t, ok
}

// StoreConfig returns the configuration of a KV store by id.
func (v *View) StoreConfig(id string) (configurer.Store, bool) {
	s, ok := v.storeConfigs[id]
	return s, ok
}

// Store returns the status of a KV store, and the zero value if there is none yet.
func (v *View) Store(id string) StoreStatus { return v.stores[id] }

// ModelTargets returns the targets configured for a model. The caller must not change the slice.
func (v *View) ModelTargets(model string) []*Target { return v.byModel[model] }

// ServiceTargets returns the targets configured for a service. The caller must not change the slice.
func (v *View) ServiceTargets(name string) []*Target { return v.services[name] }
