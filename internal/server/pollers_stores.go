package server

import (
	"context"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// storePollTimeout is shorter than that of targets: a store that is this slow is no use for an import.
	storePollTimeout = 500 * time.Millisecond
	// failedStorePollsDown is how many polls in a row must fail before a store counts as down.
	failedStorePollsDown = 2
	bytesPerMiB          = 1 << 20
)

// storePoller reads the states of the stores and learns the rates of their links.
type storePoller struct {
	server *Server
	failed map[string]int
	last   map[string]storeReport
	// rates are what links achieved since their state was passed on, told is what was passed on.
	rates map[string]float64
	told  map[string]told
}

type storeReport struct {
	id    string
	state dialer.StoreState
	at    time.Time
	ok    bool
}

func (s *Server) newStorePoller() *storePoller {
	return &storePoller{
		server: s, failed: map[string]int{}, last: map[string]storeReport{}, rates: map[string]float64{}, told: map[string]told{},
	}
}

// startStorePollers reads the state of the stores at the period of load reports.
func (s *Server) startStorePollers(ctx context.Context) {
	p := s.newStorePoller()
	go func() {
		for {
			v := s.control.View()
			p.poll(ctx, v)
			t := time.NewTimer(configurer.Milliseconds(v.Config.Timing.LoadReportMs))
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
		}
	}()
}

// poll asks the stores that this instance is responsible for; with few instances these are all.
func (p *storePoller) poll(ctx context.Context, v *view.View) {
	ctx, cancel := context.WithTimeout(ctx, storePollTimeout)
	defer cancel()
	out := make(chan storeReport)
	n, ro := 0, p.server.peers.roster(v)
	for _, st := range v.Config.Stores {
		if !ro.polls(st.ID, st.DataCentre) {
			delete(p.last, st.ID) // a rate needs two reports in a row
			continue
		}
		n++
		go func() {
			state, err := p.server.client.StoreState(ctx, st.Address)
			r := storeReport{id: st.ID, at: time.Now(), ok: err == nil}
			if r.ok {
				r.state = *state
			}
			out <- r
		}()
	}
	changes := map[string]view.StoreStatus{}
	for range n {
		p.note(<-out, v, changes)
	}
	p.share(v, ro, changes, time.Now())
	if len(changes) > 0 {
		p.server.control.Update(func(v *view.View) *view.View { return v.WithStores(changes) })
	}
}

// note turns a report into the status of its store.
func (p *storePoller) note(r storeReport, v *view.View, changes map[string]view.StoreStatus) {
	if !r.ok {
		if p.failed[r.id]++; p.failed[r.id] >= failedStorePollsDown {
			st := v.Store(r.id)
			st.Down = true
			changes[r.id] = st
		}
		return
	}
	p.failed[r.id] = 0
	cfg, _ := v.StoreConfig(r.id)
	limit := float64(cfg.LinkMiBPerSec) * bytesPerMiB
	if last, ok := p.last[r.id]; ok {
		if rate, known := linkRate(last, r); known {
			p.server.tracker.RecordRate(r.id, limit, rate)
			p.rates[r.id] = rate
		}
	}
	p.last[r.id] = r
	share, _ := p.server.tracker.AchievedShare(r.id, limit)
	changes[r.id] = view.StoreStatus{State: r.state, BytesPerSec: share * limit}
}

// linkRate returns the rate of a link that was busy from one report to the next. What was added to its queue was
// either moved in that time or made the backlog longer.
func linkRate(a, b storeReport) (float64, bool) {
	if a.state.LinkBacklogMs <= 0 || b.state.LinkBacklogMs <= 0 {
		return 0, false
	}
	took := b.at.Sub(a.at).Seconds() + configurer.Milliseconds(int(b.state.LinkBacklogMs-a.state.LinkBacklogMs)).Seconds()
	moved := b.state.LinkBytes - a.state.LinkBytes
	if took <= 0 || moved <= 0 {
		return 0, false
	}
	return float64(moved) / took, true
}
