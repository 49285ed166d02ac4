package server

import (
	"context"
	"time"

	"github.com/papayaworks/papayaworks/internal/fencer"
	"github.com/papayaworks/papayaworks/internal/swapper"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// wallClock is the clock of leases; time.Now carries a monotonic reading.
type wallClock struct{}

// Now implements fencer.Clock.
func (wallClock) Now() time.Time { return time.Now() }

// startOrders takes part in the lease under which orders to targets are sent.
func (s *Server) startOrders(ctx context.Context, log fencer.Log) {
	timing := s.Initial.Timing
	holder := s.Settings.Instance.ID + "-" + s.boot
	s.leases = fencer.New(log, holder, configurer.Milliseconds(timing.LeaseMs), wallClock{})
	s.leases.Logger, s.leases.Recorder = s.Log, s.Recorder
	s.leases.Want(swapper.Resource)
	go s.leases.Run(ctx)
	sw := &swapper.Swapper{
		Client: s.client, Lease: s.leases, View: s.control.View, Logger: s.Log, Recorder: s.Recorder,
		Period: configurer.Milliseconds(timing.LoadReportMs),
	}
	go sw.Run(ctx)
}
