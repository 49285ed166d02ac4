package forwarder

import (
	"errors"
	"syscall"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/throttler"
	"github.com/papayaworks/papayaworks/internal/warmer"
)

// startWarming creates the table of targets that are warming up.
func (s *Server) startWarming() {
	s.warming = warmer.New(s.Settings.Instance)
	s.warming.Log = s.Log
	s.warming.SetBounds(s.settings().ColdBounds)
	if s.Announcer == nil {
		s.warming.SetInstances([]string{s.Settings.Instance}, time.Now())
	}
}

// setWarmingInstances sets the instances among which the senders to a cold target are chosen. An instance that hears of no other one may
// be cut off from all, so that it sends nothing to cold targets.
func (s *Server) setWarmingInstances(ids []string) {
	if len(ids) == 1 {
		ids = nil
	}
	s.warming.SetInstances(ids, time.Now())
}

// observeWarming applies a published view to the table of targets that are warming up.
func (s *Server) observeWarming(v *cataloger.View, now time.Time) {
	s.warming.Observe(v, now)
	for _, id := range v.TargetIDs() {
		if t, ok := v.Target(id); ok {
			s.endBackoff(throttler.ProcessOf(t), now)
		}
	}
}

// mergeWarming applies what another instance has observed of targets that are warming up.
func (s *Server) mergeWarming(as []warmer.Announced, now time.Time) {
	s.warming.Merge(as, now)
	for _, a := range as {
		s.endBackoff(a.Process, now)
	}
}

// endBackoff ends the backoff after failed connections to a target that is known to be back: few instances send to it while it is cold, and
// it would be left idle if these avoided it.
func (s *Server) endBackoff(p throttler.Process, now time.Time) {
	if s.warming.IsBack(p, now) && s.loads.Status(p.Target, now).Unreachable {
		s.loads.RecordConnected(p.Target)
	}
}

// verdict returns whether a target may get a request of this instance now, by what it has said and by its warm-up.
func (s *Server) verdict(t *cataloger.Target, now time.Time) throttler.Verdict {
	p := throttler.ProcessOf(t)
	if v := s.throttle.Check(p, now); v.Reason != "" {
		return v
	}
	return s.warming.Check(p, now)
}

// take counts a call that is about to be sent to a target. It returns false if another call has used up the limit or the share in the
// warm-up of the target meanwhile.
func (s *Server) take(c *Call, t *cataloger.Target, now time.Time) bool {
	p := throttler.ProcessOf(t)
	if s.warming.Check(p, now).Reason != "" || !s.throttle.Take(p, now) || !s.warming.Take(p, now) {
		return false
	}
	if s.warming.IsCold(p, now) {
		s.metrics.RecordWarmupSend(c.Service.Name)
	}
	return true
}

// recordWarmup records that the target has answered, and how long it is still warming up if it says so.
func (x *targetRequest) recordWarmup(r ResponseHeaders, now time.Time) {
	p := throttler.ProcessOf(x.t)
	if r.Warmup != nil {
		x.s.warming.Record(p, *r.Warmup, now)
		return
	}
	x.s.warming.RecordReachable(p, now)
}

// recordUnreachable records that a connection to a target has failed. If its host refuses connections, its process has ended; other
// failures may be those of a link.
func (s *Server) recordUnreachable(t *cataloger.Target, err error, now time.Time) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.warming.RecordDown(throttler.ProcessOf(t), now)
		return
	}
	s.warming.RecordUnreachable(throttler.ProcessOf(t), now)
}
