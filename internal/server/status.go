package server

import (
	"encoding/json"
	"net/http"

	"github.com/papayaworks/papayaworks/internal/view"
)

// Status is the JSON body of the admin page /status.
type Status struct {
	Instance      string         `json:"instance"`
	DataCentre    string         `json:"dataCentre"`
	PeerAddress   string         `json:"peerAddress,omitempty"`
	ConfigVersion int64          `json:"configVersion"`
	Draining      bool           `json:"draining"`
	Members       []view.Member  `json:"members"`
	Targets       []TargetStatus `json:"targets"`
	Links         []LinkStatus   `json:"links"`
	Limits        []LimitStatus  `json:"limits"`
	Leases        []LeaseStatus  `json:"leases"`
}

// TargetStatus is the entry of a target on the page /status.
type TargetStatus struct {
	ID         string           `json:"id"`
	Kind       string           `json:"kind"`
	Address    string           `json:"address"`
	DataCentre string           `json:"dataCentre"`
	State      string           `json:"state"`
	Versions   map[string]int64 `json:"versions,omitempty"`
	Load       *LoadStatus      `json:"load,omitempty"`
}

// Status returns the state of the deployment as this instance sees it. It may be called concurrently.
func (s *Server) Status() Status {
	v := s.control.View()
	out := Status{
		Instance: s.Settings.Instance.ID, DataCentre: s.Settings.Instance.DataCentre, PeerAddress: s.PeerAddr(),
		ConfigVersion: v.ConfigVersion, Draining: v.Draining, Members: v.Members, Targets: []TargetStatus{},
		Links: s.linkStatus(v), Limits: limitStatus(v), Leases: s.leaseStatus(),
	}
	if out.Members == nil {
		out.Members = []view.Member{}
	}
	for _, ct := range v.Config.Targets {
		t, _ := v.Target(ct.ID)
		out.Targets = append(out.Targets, TargetStatus{
			ID: t.ID, Kind: t.Kind, Address: t.Address, DataCentre: t.DataCentre, State: targetState(t), Versions: t.Versions, Load: loadStatus(t),
		})
	}
	return out
}

func targetState(t *view.Target) string {
	switch {
	case t.Down:
		return "down"
	case !t.Usable():
		return "leaving"
	}
	return "serving"
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Status())
}
