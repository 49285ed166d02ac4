package server

import (
	"context"
	"time"

	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// pollTimeout bounds one round of polls, in which the targets are polled in parallel.
	pollTimeout = 2 * time.Second
	// failedPollsUntilDown is the number of consecutive failed polls after which a target counts as down.
	failedPollsUntilDown = 3
)

// startPollers starts polling the load and state of the engines that this instance is responsible for, at the interval
// of load reports.
func (s *Server) startPollers(ctx context.Context) {
	go func() {
		failed := map[string]int{}
		for {
			v := s.control.View()
			s.poll(ctx, v, failed)
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

// targetReport is the result of polling a target; ok is false if the poll failed.
type targetReport struct {
	id     string
	status view.Status
	ok     bool
}

// poll queries the engines in parallel, updates their leaving marks, broadcasts their states and publishes them in one
// view update. It counts the consecutive failures of each target in failed.
func (s *Server) poll(ctx context.Context, v *view.View, failed map[string]int) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	out := make(chan targetReport)
	n, ro := 0, s.peers.roster(v)
	for _, t := range v.Config.Targets {
		if t.Kind != configurer.KindEngine || !ro.polls(t.ID, t.DataCentre) {
			continue
		}
		n++
		go func() { out <- s.pollTarget(ctx, t) }()
	}
	changes := map[string]view.Status{}
	for range n {
		r := <-out
		prev, _ := v.Target(r.id)
		if r.ok {
			failed[r.id] = 0
			r.status.Leaving = r.status.Load.Draining
			s.peers.setDraining(r.id, r.status.Leaving)
			changes[r.id] = r.status
			continue
		}
		if failed[r.id]++; failed[r.id] >= failedPollsUntilDown && prev != nil && !prev.Down {
			st := prev.Status
			st.Down = true
			changes[r.id] = st
		}
	}
	s.peers.broadcastLoads(v, ro, changes, time.Now())
	if len(changes) > 0 {
		s.control.Update(func(v *view.View) *view.View { return v.WithTargets(changes) })
	}
}

func (s *Server) pollTarget(ctx context.Context, t configurer.Target) targetReport {
	r := targetReport{id: t.ID}
	load, err := s.client.EngineLoad(ctx, t.Address)
	if err != nil {
		return r
	}
	state, err := s.client.EngineState(ctx, t.Address)
	if err != nil {
		return r
	}
	r.ok = true
	r.status = view.Status{Load: *load, LoadAt: time.Now(), Versions: state.Versions}
	return r
}
