package server

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/view"
)

// LoadStatus is the last reported load of a target on the page /status; AgeMs is the age of the report.
type LoadStatus struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	AgeMs   int64 `json:"ageMs"`
}

// LinkStatus is the entry of a KV store and its link on the page /status.
type LinkStatus struct {
	Store          string  `json:"id"`
	DataCentre     string  `json:"dataCentre"`
	State          string  `json:"state"`
	MiBPerSec      float64 `json:"mibPerSecond"`
	BacklogMs      int64   `json:"backlogMs"`
	MemoryUsed     int64   `json:"memoryUsedBytes"`
	StoredContexts int     `json:"conversations"`
}

// LimitStatus is the entry of an account on the page /status, with its deployment-wide limits.
type LimitStatus struct {
	Account           string `json:"name"`
	Share             int    `json:"share"`
	RequestsPerSecond int    `json:"requestsPerSecond"`
	TokensPerSecond   int    `json:"tokensPerSecond"`
	Streams           int    `json:"streams"`
}

// LeaseStatus is the entry of a lease on the page /status.
type LeaseStatus struct {
	Resource string    `json:"id"`
	Holder   string    `json:"holder"`
	Fence    int64     `json:"fence"`
	Until    time.Time `json:"until"`
}

// loadStatus returns the load of a target, or nil if it has not reported one.
func loadStatus(t *view.Target) *LoadStatus {
	if t.LoadAt.IsZero() {
		return nil
	}
	return &LoadStatus{Running: t.Load.Running, Waiting: t.Load.Waiting, AgeMs: time.Since(t.LoadAt).Milliseconds()}
}

func (s *Server) linkStatus(v *view.View) []LinkStatus {
	out := []LinkStatus{}
	for _, c := range v.Config.Stores {
		st := v.Store(c.ID)
		rate, backlog := s.tracker.LinkRate(c.ID, float64(c.LinkMiBPerSec)*bytesPerMiB)
		l := LinkStatus{Store: c.ID, DataCentre: c.DataCentre, State: "serving", MiBPerSec: rate / bytesPerMiB,
			BacklogMs: max(backlog.Milliseconds(), st.State.LinkBacklogMs), MemoryUsed: st.State.MemoryUsed, StoredContexts: st.State.Manifests}
		if c.DisabledReason != "" {
			l.State = "disabled: " + c.DisabledReason
		}
		if st.Down || s.tracker.Suspected(c.ID) {
			l.State = "down"
		}
		out = append(out, l)
	}
	return out
}

func limitStatus(v *view.View) []LimitStatus {
	out := []LimitStatus{}
	for _, a := range v.Config.Accounts {
		out = append(out, LimitStatus{a.Name, a.Share, a.RequestsPerSecond, a.TokensPerSecond, a.Streams})
	}
	return out
}

func (s *Server) leaseStatus() []LeaseStatus {
	out := []LeaseStatus{}
	if s.leases == nil {
		return out
	}
	for id, g := range s.leases.Leases() {
		out = append(out, LeaseStatus{Resource: id, Holder: g.Holder, Fence: g.FencingToken, Until: g.ValidUntil})
	}
	slices.SortFunc(out, func(a, b LeaseStatus) int { return cmp.Compare(a.Resource, b.Resource) })
	return out
}
