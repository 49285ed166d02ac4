package server

import (
	"context"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// storePollTimeout is shorter than pollTimeout: a KV store that responds more slowly is of no use for an import.
	storePollTimeout = 500 * time.Millisecond
	// failedStorePollsUntilDown is the number of consecutive failed polls after which a store counts as down.
	failedStorePollsUntilDown = 2
	bytesPerMiB               = 1 << 20
)

// storePoller polls the states of the KV stores and estimates the throughput of their links. It is used by one goroutine.
type storePoller struct {
	server *Server
	// failed counts the consecutive failed polls and last holds the last successful one, by store.
	failed map[string]int
	last   map[string]storeReport
	// rates holds the last link throughput that was observed and not yet broadcast, by store, in bytes per second;
	// lastSent holds the last broadcast states.
	rates    map[string]float64
	lastSent map[string]sentState
}

// storeReport is the result of polling a store; ok is false if the poll failed.
type storeReport struct {
	id    string
	state dialer.StoreState
	at    time.Time
	ok    bool
}

func (s *Server) newStorePoller() *storePoller {
	return &storePoller{
		server: s, failed: map[string]int{}, last: map[string]storeReport{}, rates: map[string]float64{}, lastSent: map[string]sentState{},
	}
}

// startStorePollers starts polling the KV stores at the interval of load reports.
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

// poll queries the stores that this instance is responsible for, which are all stores in a small deployment, and
// broadcasts and publishes their states.
func (p *storePoller) poll(ctx context.Context, v *view.View) {
	ctx, cancel := context.WithTimeout(ctx, storePollTimeout)
	defer cancel()
	out := make(chan storeReport)
	n, ro := 0, p.server.peers.roster(v)
	for _, st := range v.Config.Stores {
		if !ro.polls(st.ID, st.DataCentre) {
			delete(p.last, st.ID) // a rate needs two consecutive reports
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
		p.apply(<-out, v, changes)
	}
	p.broadcast(v, ro, changes, time.Now())
	if len(changes) > 0 {
		p.server.control.Update(func(v *view.View) *view.View { return v.WithStores(changes) })
	}
}

// apply adds the status that follows from a report to changes, and records the link rate. A failed poll changes no
// status until the store counts as down.
func (p *storePoller) apply(r storeReport, v *view.View, changes map[string]view.StoreStatus) {
	if !r.ok {
		if p.failed[r.id]++; p.failed[r.id] >= failedStorePollsUntilDown {
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

// linkRate returns the throughput of a link in bytes per second, if it was busy from one report to the next. The growth
// of the backlog counts as time, since LinkBytes includes the queued bytes.
func linkRate(a, b storeReport) (float64, bool) {
	if a.state.LinkBacklogMs <= 0 || b.state.LinkBacklogMs <= 0 {
		return 0, false
	}
	elapsed := b.at.Sub(a.at).Seconds() + configurer.Milliseconds(int(b.state.LinkBacklogMs-a.state.LinkBacklogMs)).Seconds()
	bytes := b.state.LinkBytes - a.state.LinkBytes
	if elapsed <= 0 || bytes <= 0 {
		return 0, false
	}
	return float64(bytes) / elapsed, true
}
