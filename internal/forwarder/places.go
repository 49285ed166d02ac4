package forwarder

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/evacuator"
	"github.com/papayaworks/papayaworks/internal/throttler"
	"github.com/papayaworks/papayaworks/internal/watcher"
)

// evacuateFraction is the longest time between two reads of the operator's records as a fraction of EvacuateTimeout: a store that misses
// the wake-up of a read returns an evacuation only at the end of the wait.
const evacuateFraction = 0.8

// evacuateInterval returns a time between two reads that is at most d and also keeps EvacuateTimeout; 0 is the watcher's default.
func (set *Settings) evacuateInterval(d time.Duration) time.Duration {
	limit := time.Duration(evacuateFraction * float64(set.EvacuateTimeout))
	if limit <= 0 || d > 0 && d <= limit || d == 0 && watcher.DefaultReadInterval <= limit {
		return d
	}
	return limit
}

// targetsInPlace returns the targets of the call's service that evacuations and the homes of the call leave to it. It records the
// others in c.LeftOut: those in evacuated data centres, and those outside the homes only if no target remains, since they are the same
// for all calls of a route.
func (s *Server) targetsInPlace(c *Call) []*cataloger.Target {
	v := s.Watcher.View()
	choice := evacuator.Choose(v, v.Targets(c.Service.Name), evacuator.HomesOf(c.Route, c.Account), s.settings().Regions)
	c.LeftOut = nil
	s.recordLeftOut(c, choice.Evacuated, evacuator.ReasonEvacuated)
	if len(choice.Targets) == 0 {
		s.recordLeftOut(c, choice.Outside, evacuator.ReasonHome)
	}
	return choice.Targets
}

// storesAllowed returns which KV stores the call may use: those in its homes.
func (s *Server) storesAllowed(c *Call) archiver.Allowed {
	homes := evacuator.HomesOf(c.Route, c.Account)
	if !homes.IsRestricted() {
		return nil
	}
	regions := s.settings().Regions
	return func(dataCentre string) bool { return homes.Allow(dataCentre, regions) }
}

// recordLeftOut records targets that must not get the call.
func (s *Server) recordLeftOut(c *Call, targets []*cataloger.Target, reason evacuator.Reason) {
	if len(targets) == 0 {
		return
	}
	if c.LeftOut == nil {
		c.LeftOut = make(map[string]throttler.Verdict, len(targets))
	}
	for _, t := range targets {
		c.LeftOut[t.ID] = throttler.Verdict{Reason: throttler.Reason(reason)}
	}
	s.metrics.RecordTargetsLeftOut(c.Service.Name, string(reason), len(targets))
}
