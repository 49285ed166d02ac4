package server

import (
	"context"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/fencer"
	"github.com/papayaworks/papayaworks/internal/swapper"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// leaseCandidates is the number of instances that request a lease in a large deployment: of 420 instances, each would
// append a request to the log when the holder fails. Eight candidates span several data centres, so that at least one
// of them reaches the log.
const leaseCandidates = 8

// isLeaseCandidate reports whether this instance requests a lease. Candidates are taken from the live members of the
// view, so each side of a network partition has some.
func (s *Server) isLeaseCandidate(resource string) bool {
	ids := liveMemberIDs(s.control.View(), "")
	return len(ids) <= pollAllMaxMembers || slices.Contains(topByHash(ids, resource, leaseCandidates), s.Settings.Instance.ID)
}

// wallClock is the clock of leases; the times from time.Now carry a monotonic reading.
type wallClock struct{}

// Now implements fencer.Clock.
func (wallClock) Now() time.Time { return time.Now() }

// startSwapper requests the lease under which commands are sent to targets, and starts the weight swapper.
func (s *Server) startSwapper(ctx context.Context, log fencer.Log) {
	timing := s.Initial.Timing
	holder := s.Settings.Instance.ID + "-" + s.bootID
	s.leases = fencer.New(log, holder, configurer.Milliseconds(timing.LeaseMs), wallClock{})
	s.leases.Logger, s.leases.Recorder, s.leases.Candidate = s.Log, s.Recorder, s.isLeaseCandidate
	s.leases.Request(swapper.LeaseResource)
	go s.leases.Run(ctx)
	sw := &swapper.Swapper{
		Client: s.client, Leases: s.leases, View: s.control.View, Logger: s.Log, Recorder: s.Recorder,
		Interval: configurer.Milliseconds(timing.LoadReportMs),
	}
	go sw.Run(ctx)
}
