package forwarder

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/clocker"
	"github.com/papayaworks/papayaworks/internal/pooler"
)

const (
	// plainWaitFraction and engineWaitFraction are the fractions of a call's deadline after which it waits no longer.
	plainWaitFraction, engineWaitFraction = 0.5, 0.25
	// waitingReportTTL is the maximum age of the reports from which the number of calls that targets queue is taken.
	waitingReportTTL = 5 * time.Second
)

// tokens returns the tokens that the call is expected to occupy at an engine.
func (c *Call) tokens() int {
	return c.Headers.Prompt.InputTokens + c.Headers.Prompt.expectedOutputTokens()
}

// cost returns the work of the call for the order of the queue.
func (c *Call) cost() float64 {
	if c.Service.Engine == nil {
		return 1
	}
	return float64(c.tokens())
}

// expectedTime returns the expected time from the start to the first event of a call to an engine, or to the response of another.
func (s *Server) expectedTime(c *Call) time.Duration {
	if c.Service.Engine != nil {
		return balancer.PrefillTime(c.Headers.Prompt.InputTokens)
	}
	return s.loads.MeanDuration(c.Service.Name)
}

// waitUntil returns the limit of the call's wait: for engines, the objective must still be met.
func (s *Server) waitUntil(c *Call) time.Time {
	total := c.Deadline.Sub(c.ReceivedAt)
	if c.Service.Engine == nil {
		return c.ReceivedAt.Add(time.Duration(plainWaitFraction * float64(total)))
	}
	limit := time.Duration(engineWaitFraction * float64(total))
	if c.Route.Objective > 0 {
		limit = min(limit, c.Route.Objective-s.expectedTime(c))
	}
	return c.ReceivedAt.Add(limit)
}

// slotsOf returns the number of slots of the targets of a service; 0 if they are not known.
func (s *Server) slotsOf(svc *cataloger.Service) int {
	sum := 0
	for _, t := range s.Watcher.View().Targets(svc.Name) {
		if !t.Leaving {
			sum += slotsOfTarget(svc, t)
		}
	}
	return sum
}

func slotsOfTarget(svc *cataloger.Service, t *cataloger.Target) int {
	if t.Slots == 0 && svc.Engine != nil {
		return svc.Engine.Slots
	}
	return t.Slots
}

// hasRoom reports whether some usable target is expected not to refuse the call, or waiting would not help since none is usable. It sets
// c.queue.usable. The mutex of queues is held.
func (s *Server) hasRoom(sq *serviceQueue, c *Call, now time.Time) bool {
	targets := s.usableTargets(c, now, clocker.SinceBoot())
	c.queue.usable = targets
	if len(targets) == 0 || !sq.policy.IsRefused(now) {
		return true
	}
	ttl := loadTTL(c.Service.Engine != nil, s.loads.MeanDuration(c.Service.Name))
	hasRoom := false
	for _, t := range targets {
		if s.loads.Status(t.ID, now).RecentlyRefused {
			return false // such targets are usable only if there are no others
		}
		hasRoom = hasRoom || !s.isFull(sq, c, t, ttl, now)
	}
	return hasRoom
}

// isFull reports whether a target is expected to refuse the call: its slots and the calls that targets queue are used, or its memory.
func (s *Server) isFull(sq *serviceQueue, c *Call, t *cataloger.Target, ttl time.Duration, now time.Time) bool {
	load, _ := s.load(t.ID, ttl, now)
	if slots := slotsOfTarget(c.Service, t); slots > 0 && load.Requests >= slots+max(sq.reported, sq.previous) {
		return true
	}
	e := c.Service.Engine
	return e != nil && e.CapacityTokens > 0 && load.Requests > 0 && load.Tokens+c.tokens() > e.CapacityTokens
}

// recordWaiting records how many calls a target has queued. Targets that run few calls at once queue a few more before they refuse.
func (s *Server) recordWaiting(service string, l balancer.Load) {
	if l.Waiting <= 0 || s.queues.until.Load() == 0 {
		return
	}
	now := time.Now()
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	sq := s.queues.byService[service]
	if sq == nil {
		return
	}
	if now.Sub(sq.reportedFrom) > waitingReportTTL {
		sq.previous, sq.reported, sq.reportedFrom = sq.reported, 0, now
	}
	sq.reported = max(sq.reported, min(l.Waiting, max(1, l.Slots)))
}

// knowsPeersLoad reports whether the load that the other instances cause at the usable targets is known.
func (s *Server) knowsPeersLoad(c *Call, now time.Time) bool {
	if len(c.queue.usable) == 0 {
		return false
	}
	_, known := s.load(c.queue.usable[0].ID, loadTTL(c.Service.Engine != nil, s.loads.MeanDuration(c.Service.Name)), now)
	return known
}

// candidates returns the targets among which the balancer chooses: those of the check for room, if the call was just released, or only the
// target of a plain service that has just ended a response.
func (s *Server) candidates(c *Call, now time.Time, sinceBoot time.Duration) []*cataloger.Target {
	targets, freed := c.queue.usable, c.queue.freed
	c.queue.usable, c.queue.freed = nil, ""
	if targets == nil {
		return s.usableTargets(c, now, sinceBoot)
	}
	if freed != "" && c.Service.Engine == nil {
		for _, t := range targets {
			if t.ID == freed {
				return []*cataloger.Target{t}
			}
		}
	}
	return targets
}

// endRefusal ends the exchange with a target that has refused the call. If the call may be sent to the target again, the connection is
// closed, because a second copy of the refusal would be taken for the response to that.
func (x *targetRequest) endRefusal(ex *pooler.Exchange) {
	if x.c.mayWait() && x.c.countedAttempts() < x.c.Route.MaxAttempts && x.s.mayQueue(x.c.Service) {
		ex.Close()
		return
	}
	ex.DiscardBody()
}
