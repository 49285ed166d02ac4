package server

import (
	"context"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/fencer"
	"github.com/papayaworks/papayaworks/internal/swapper"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// leaseCandidates is how many instances request a lease when there are too many for all to do it: of 420, each would
// append a request when the holder dies. Eight are in several data centres, so that one of them reaches the log.
const leaseCandidates = 8

// candidate reports whether this instance requests a lease. Each part of a partitioned system has candidates.
func (s *Server) candidate(resource string) bool {
	ids := live(s.control.View(), "")
	return len(ids) <= pollAllUpTo || slices.Contains(chosen(ids, resource, leaseCandidates), s.Settings.Instance.ID)
}

// wallClock is the clock of leases; time.Now carries a monotonic reading.
type wallClock struct{}

// Now implements fencer.Clock.
func (wallClock) Now() time.Time { return time.Now() }

// startOrders takes part in the lease under which orders to targets are sent.
func (s *Server) startOrders(ctx context.Context, log fencer.Log) {
	timing := s.Initial.Timing
	holder := s.Settings.Instance.ID + "-" + s.boot
	s.leases = fencer.New(log, holder, configurer.Milliseconds(timing.LeaseMs), wallClock{})
	s.leases.Logger, s.leases.Recorder, s.leases.Candidate = s.Log, s.Recorder, s.candidate
	s.leases.Request(swapper.LeaseResource)
	go s.leases.Run(ctx)
	sw := &swapper.Swapper{
		Client: s.client, Leases: s.leases, View: s.control.View, Logger: s.Log, Recorder: s.Recorder,
		Interval: configurer.Milliseconds(timing.LoadReportMs),
	}
	go sw.Run(ctx)
}
