// Package view holds the immutable snapshot of the deployment that traffic reads.
//
// One goroutine, the controller, owns control state. It builds a new [View] for
// each change and publishes it through an atomic pointer; request goroutines
// load the pointer once and see one consistent state for the whole request.
// Counters of an instance's own dispatches are the exception: they are atomics
// that all views of a target share, because they change with every request.
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

// Status is what is known of a target at present.
type Status struct {
	Load     dialer.Load
	LoadAt   time.Time
	Versions map[string]int64
	// Leaving: the target gets no new work.
	Leaving bool
	// Down: the target did not answer lately.
	Down bool
}

// Dispatches counts what this instance sent to a target and has not finished.
type Dispatches struct {
	Running       atomic.Int64
	PendingTokens atomic.Int64

	sent [sentBuckets]sent
}

// Target is a target of the configuration with its present status.
type Target struct {
	configurer.Target
	Status
	// LeavingSince is when this instance learned from another or from the platform's list that the target is leaving;
	// zero if it is not. Unlike Status.Leaving it stays when a load report from before the mark arrives.
	LeavingSince time.Time
	Dispatches   *Dispatches
}

// Version returns the weight version that the target serves of a model; 0 if it is not known.
func (t *Target) Version(model string) int64 { return t.Versions[model] }

// Usable reports whether new work may be sent to the target.
func (t *Target) Usable() bool {
	return !t.Target.Leaving && !t.Status.Leaving && t.LeavingSince.IsZero() && !t.Down
}

// StoreStatus is what is known of a store and its link at present.
type StoreStatus struct {
	State       dialer.StoreState
	BytesPerSec float64
	Down        bool
}

// Member is one instance of the system as the membership sees it.
type Member struct {
	ID            string `json:"id"`
	DataCentre    string `json:"dataCentre"`
	Address       string `json:"address"`
	State         string `json:"state"`
	ConfigVersion int64  `json:"configVersion"`
}

// View is one immutable snapshot.
type View struct {
	Config        *configurer.Config
	ConfigVersion int64
	DataCentre    string
	Draining      bool
	Members       []Member

	targets  map[string]*Target
	byModel  map[string][]*Target
	services map[string][]*Target
	stores   map[string]StoreStatus
	fleets   map[string]*fleet
	regions  map[string]string
	storeOf  map[string]configurer.Store
}

// New returns a view of a configuration in which nothing is known of the targets.
func New(cfg *configurer.Config, version int64, dataCentre string) *View {
	v := &View{DataCentre: dataCentre, stores: map[string]StoreStatus{}}
	return v.WithConfig(cfg, version)
}

// WithConfig returns a view of another configuration; the status of targets that stay is kept.
func (v *View) WithConfig(cfg *configurer.Config, version int64) *View {
	n := *v
	n.Config, n.ConfigVersion = cfg, version
	n.targets = make(map[string]*Target, len(cfg.Targets))
	for _, ct := range cfg.Targets {
		t := &Target{Target: ct, Dispatches: new(Dispatches)}
		if old, ok := v.targets[ct.ID]; ok {
			t.Status, t.LeavingSince, t.Dispatches = old.Status, old.LeavingSince, old.Dispatches
		}
		n.targets[ct.ID] = t
	}
	n.fleets, n.regions = buildFleets(cfg), make(map[string]string, len(cfg.DataCentres))
	for _, dc := range cfg.DataCentres {
		n.regions[dc.Name] = dc.Region
	}
	n.storeOf = make(map[string]configurer.Store, len(cfg.Stores))
	for _, st := range cfg.Stores {
		n.storeOf[st.ID] = st
	}
	n.index()
	return &n
}

// WithTargets returns a view with other statuses of some targets.
func (v *View) WithTargets(changes map[string]Status) *View {
	n := *v
	n.targets = maps.Clone(v.targets)
	for id, s := range changes {
		if old, ok := v.targets[id]; ok {
			t := *old
			t.Status = s
			n.targets[id] = &t
		}
	}
	n.index()
	return &n
}

// WithLeaving returns a view in which exactly the given targets are marked as leaving.
func (v *View) WithLeaving(ids map[string]time.Time, now time.Time) *View {
	n := *v
	n.targets = maps.Clone(v.targets)
	for id, old := range v.targets {
		_, marked := ids[id]
		if marked != old.LeavingSince.IsZero() {
			continue
		}
		t := *old
		t.LeavingSince = time.Time{}
		if marked {
			t.LeavingSince = now
		}
		n.targets[id] = &t
	}
	n.index()
	return &n
}

// WithStores returns a view with other statuses of some stores.
func (v *View) WithStores(changes map[string]StoreStatus) *View {
	n := *v
	n.stores = maps.Clone(v.stores)
	maps.Copy(n.stores, changes)
	return &n
}

// The states in which a member takes part; a suspect may refute the suspicion.
const (
	memberAlive   = "alive"
	memberSuspect = "suspect"
)

// LiveMemberCount returns how many instances take part, this one included.
func (v *View) LiveMemberCount() int {
	n := 0
	for _, m := range v.Members {
		if m.State == memberAlive || m.State == memberSuspect {
			n++
		}
	}
	return max(1, n)
}

// WithMembers returns a view with other members.
func (v *View) WithMembers(ms []Member) *View {
	n := *v
	n.Members = ms
	return &n
}

// WithDraining returns a view of an instance that takes no new requests.
func (v *View) WithDraining(on bool) *View {
	n := *v
	n.Draining = on
	return &n
}

// index groups the targets in the order of the configuration.
func (v *View) index() {
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

// StoreConfig returns the configuration of a store by id.
func (v *View) StoreConfig(id string) (configurer.Store, bool) {
	s, ok := v.storeOf[id]
	return s, ok
}

// Store returns what is known of a store.
func (v *View) Store(id string) StoreStatus { return v.stores[id] }

// ModelTargets returns the targets that serve a model; the caller must not change the slice.
func (v *View) ModelTargets(model string) []*Target { return v.byModel[model] }

// ServiceTargets returns the targets that offer a service; the caller must not change the slice.
func (v *View) ServiceTargets(name string) []*Target { return v.services[name] }
