package server

import (
	"context"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/fencer"
	"github.com/papayaworks/papayaworks/internal/swapper"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// leaseCandidates is the number of instances that request a lease in a large deployment. Without this limit, each of 420
// instances would append a request to the log when the holder fails. Eight candidates span several data centres, so at
// least one of them is likely to reach the log.
const leaseCandidates = 8

// isLeaseCandidate reports whether this instance requests a lease. In a small deployment, every instance does. The
// candidates are chosen among the live members of the view, so each side of a network partition has some.
func (s *Server) isLeaseCandidate(resource string) bool {
	ids := liveMemberIDs(s.control.View(), "")
	return len(ids) <= pollAllMaxMembers || slices.Contains(topByHash(ids, resource, leaseCandidates), s.Settings.Instance.ID)
}

// systemClock is the clock of leases. Its times carry a monotonic reading, as fencer.Clock requires.
type systemClock struct{}

// Now implements fencer.Clock.
func (systemClock) Now() time.Time { return time.Now() }

// startSwapper requests the lease under which commands are sent to targets, and starts the weight swapper.
func (s *Server) startSwapper(ctx context.Context, log fencer.Log) {
	timing := s.Initial.Timing
	holder := s.Settings.Instance.ID + "-" + s.bootID
	s.leases = fencer.New(log, holder, configurer.Milliseconds(timing.LeaseMs), systemClock{})
	s.leases.Logger, s.leases.Recorder, s.leases.Candidate = s.Log, s.Recorder, s.isLeaseCandidate
	s.leases.Request(swapper.LeaseResource)
	go s.leases.Run(ctx)
	sw := &swapper.Swapper{
		Client: s.client, Leases: s.leases, View: s.control.View, Logger: s.Log, Recorder: s.Recorder,
		Interval: configurer.Milliseconds(timing.LoadReportMs),
	}
	go sw.Run(ctx)
}
