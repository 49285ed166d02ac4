package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/admitter"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/queuer"
	"github.com/papayaworks/papayaworks/internal/request"
)

const (
	// queueMemoryFraction is the fraction of the instance's memory that the waiting calls of a service may hold, and waitingCallBytes what
	// a call holds besides its body: its connection, goroutine and headers.
	queueMemoryFraction = 1.0 / 16
	waitingCallBytes    = 48 << 10
	// defaultQueueBytes is the bound if the memory of the instance is not known.
	defaultQueueBytes = 16 << 20
	// maxWaitingCalls bounds the calls of a queue, because each release looks at all of them.
	maxWaitingCalls = 512
	// maxHonoured is the fraction of the remaining time up to which callers wait for a Retry-After. The jitter adds up to a quarter.
	maxHonoured = 1.0 / 3 / 1.25
	// messageQueueInUse is the log message when calls of a service may begin to wait.
	messageQueueInUse = "targets refuse calls, which may wait now"
	// outcomeSent is the outcome of a wait whose call was sent; the others are reasons of the queuer and outcomeCallerGone.
	outcomeSent = "sent"
)

// errRetryBudget is the reason why a refused call is not sent again.
var errRetryBudget = errors.New("a target refused the call, and the retries of the service are used up")

// queues hold the calls that wait until a target has room, by service. The zero value is ready for use. It is safe for concurrent use.
type queues struct {
	// until is the Unix time in nanoseconds until which a queue is in use; 0 if none ever was.
	until atomic.Int64

	mu        sync.Mutex
	byService map[string]*serviceQueue
	stopped   bool
}

// serviceQueue is the queue of one service. Its fields are guarded by the mutex of queues.
type serviceQueue struct {
	service string
	policy  *queuer.Queue[*waitingCall]
	// timer releases and refuses calls; it is armed only while calls wait.
	timer *time.Timer
	// reported is the largest number of calls that a target has reported as waiting since reportedFrom; previous is that of the
	// time before.
	reported, previous int
	reportedFrom       time.Time
}

// waitingCall is a call in a queue. While it waits, the queue owns the call; its goroutine blocks on left.
type waitingCall struct {
	c *Call
	// isRetry reports whether a target has refused the call, so that sending it counts as a retry.
	isRetry bool
	request *queuer.Request[*waitingCall]
	// left gets the reason for a refusal, or an empty one if the call may be sent.
	left chan queuer.Reason
}

// queueState is what the queue keeps of a call.
type queueState struct {
	// retryPending reports whether a target has refused the call, and the retry has not been counted.
	retryPending bool
	// refusedBy are tried targets that have refused the call and may get it again: the connection is closed, so that a repetition of the
	// refusal can't be taken for the response. forgivenCount is the number of targets that are no longer in TriedTargets.
	refusedBy     []string
	forgivenCount int
	// usable holds the targets of the check after which the call is sent, freed the one that has just ended a response.
	usable []*cataloger.Target
	freed  string
	// queuedFor is how long the call has waited.
	queuedFor time.Duration
}

// reachedCount returns the number of targets that the call has reached, including those that have not run it.
func (c *Call) reachedCount() int { return len(c.TriedTargets) + c.queue.forgivenCount - c.UnsentCount }

// isLastAttempt reports whether the next attempt is the last one that the route allows.
func (c *Call) isLastAttempt() bool {
	return c.reachedCount()+1 >= maxReachedTargets || c.countedAttempts()+1 >= max(1, c.Route.MaxAttempts)
}

// mayWait reports whether the call is certain not to have run.
func (c *Call) mayWait() bool { return !c.MayHaveRun && !c.HeaderSent }

// forgiveRefusals lets the targets that refused the call get it again. The attempts still count.
func (c *Call) forgiveRefusals() {
	c.forgive(c.queue.refusedBy...)
	c.queue.refusedBy = nil
}

// forgive lets targets get the call again. The attempts still count.
func (c *Call) forgive(ids ...string) {
	before := len(c.TriedTargets)
	c.TriedTargets = slices.DeleteFunc(c.TriedTargets, func(id string) bool { return slices.Contains(ids, id) })
	c.queue.forgivenCount += before - len(c.TriedTargets)
}

// awaitRoom returns once the call may be sent, which is at once unless a target of the service has refused a call lately. It returns an
// error if the call is not sent.
func (s *Server) awaitRoom(ctx context.Context, c *Call) error {
	until := s.queues.until.Load()
	if until == 0 {
		return nil
	}
	now := time.Now()
	isRetry := c.queue.retryPending
	if !isRetry && now.UnixNano() > until {
		return nil
	}
	c.queue.retryPending = false
	w, err := s.enqueue(c, isRetry, now)
	if err != nil {
		return s.finalError(c, err)
	}
	if w == nil {
		return nil
	}
	var reason queuer.Reason
	select {
	case reason = <-w.left:
	case <-ctx.Done():
		if s.leaveQueue(w) {
			s.metrics.RecordWait(c.Service.Name, outcomeCallerGone, time.Since(now))
			return request.Fail(http.StatusBadGateway, request.CodeInternal, "caller disconnected")
		}
		reason = <-w.left
	}
	waited := time.Since(now)
	c.queue.queuedFor += waited
	if reason != "" {
		s.metrics.RecordWait(c.Service.Name, string(reason), waited)
		return s.refuseQueued(c, reason)
	}
	s.metrics.RecordWait(c.Service.Name, outcomeSent, waited)
	return nil
}

// refuseQueued returns the refusal of a call that can't wait or has waited in vain.
func (s *Server) refuseQueued(c *Call, reason queuer.Reason) error {
	if reason == queuer.Stopped {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeDraining, "", "the instance stops, and no target has room").WithRetryAfter(stopRetryAfter)
	}
	retryAfter := max(refusedRetryAfter, s.roomExpectedIn(c))
	return request.Refuse(http.StatusServiceUnavailable, request.CodeOverloaded, "", "no target has room: %s", reason).
		WithRetryAfter(admitter.Jitter(retryAfter, rand.Uint64()))
}

// roomExpectedIn returns when a retry of the call may be served, at most what callers wait for; 0 if no target refuses calls.
func (s *Server) roomExpectedIn(c *Call) time.Duration {
	if s.queues.until.Load() == 0 {
		return 0
	}
	now := time.Now()
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	sq := s.queues.byService[c.Service.Name]
	if sq == nil || !sq.policy.InUse(now) {
		return 0
	}
	return min(sq.policy.RoomExpectedIn(now), time.Duration(maxHonoured*float64(c.Deadline.Sub(now))))
}

// enqueue adds the call to the queue of its service and returns it, or returns nil if it may be sent at once. The error is the reason
// why a retry is not sent.
func (s *Server) enqueue(c *Call, isRetry bool, now time.Time) (*waitingCall, error) {
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	sq := s.queues.byService[c.Service.Name]
	mayWait := sq != nil && c.mayWait() && (isRetry || sq.policy.InUse(now))
	if mayWait && isRetry && (c.isLastAttempt() || !s.hasRoom(sq, c, now)) {
		c.forgiveRefusals()
	}
	hasRoom := !mayWait || s.hasRoom(sq, c, now)
	w := &waitingCall{c: c, isRetry: isRetry, left: make(chan queuer.Reason, 1)}
	if s.queues.stopped && !hasRoom {
		w.left <- queuer.Stopped
		return w, nil
	}
	// The last attempt waits for its turn, unless it is certain that there is room.
	isUncertain := mayWait && isRetry && c.isLastAttempt() && !s.knowsPeersLoad(c, now)
	mustWait := !hasRoom || mayWait && (sq.policy.HasCheaper(c.cost()) || isUncertain)
	mayWait = mayWait && !s.queues.stopped && s.waitUntil(c).After(now)
	if !mustWait || !mayWait {
		switch {
		case s.mayRetry(w, now):
			return nil, nil
		case !mayWait:
			return nil, errRetryBudget
		}
	}
	w.request = s.queueRequest(w)
	sq.policy.SetCapacity(s.slotsOf(c.Service), s.loads.MeanDuration(c.Service.Name), s.instanceCount())
	res := sq.policy.Push(w.request, now)
	s.metrics.SetQueueLength(sq.service, sq.policy.Len())
	for _, r := range res.Evicted {
		r.Value.left <- queuer.Full
	}
	if res.Reason != "" {
		w.left <- res.Reason
		return w, nil
	}
	s.queues.extend(w.request.WaitUntil)
	s.arm(sq, now)
	return w, nil
}

// mayRetry counts the retry of a call that a target has refused, and reports whether the budget allows it. First attempts are no retries.
func (s *Server) mayRetry(w *waitingCall, now time.Time) bool {
	return !w.isRetry || s.retryBudgets.tryRetry(w.c.Service.Name, s.retryWindow(), now)
}

// queueRequest returns the call as the queue sees it.
func (s *Server) queueRequest(w *waitingCall) *queuer.Request[*waitingCall] {
	c := w.c
	r := &queuer.Request[*waitingCall]{
		Value: w, Cost: c.cost(), Priority: queuer.DefaultPriority, Bytes: len(c.Body) + waitingCallBytes, WaitUntil: s.waitUntil(c), LastStart: c.Deadline.Add(-s.expectedTime(c)),
	}
	if c.Account != nil {
		r.Account = c.Account.Name
	}
	if c.Route.HasPriority || c.Account != nil && c.Account.HasPriority {
		r.Priority = c.priority()
	}
	if c.Route.Objective > 0 {
		r.OnTimeStart = c.ReceivedAt.Add(c.Route.Objective - s.expectedTime(c))
	}
	return r
}

// leaveQueue removes a call whose caller has gone, and reports whether it was waiting.
func (s *Server) leaveQueue(w *waitingCall) bool {
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	sq := s.queues.byService[w.c.Service.Name]
	if w.request == nil || !sq.policy.Drop(w.request) {
		return false
	}
	s.metrics.SetQueueLength(sq.service, sq.policy.Len())
	return true
}

// arm sets the timer of a queue to when calls must be released or refused; the mutex of queues is held.
func (s *Server) arm(sq *serviceQueue, now time.Time) {
	at := sq.policy.Wake()
	if at.IsZero() {
		sq.timer.Stop()
		return
	}
	sq.timer.Reset(max(queuer.MinWake, at.Sub(now)))
}

// wake refuses the calls whose wait has reached its limit, and releases those whose turn it is.
func (s *Server) wake(sq *serviceQueue) {
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	now := time.Now()
	for _, r := range sq.policy.Expire(now) {
		r.Value.left <- queuer.Expired
	}
	for s.releaseNext(sq, queuer.Paced, "", now) {
	}
	s.metrics.SetQueueLength(sq.service, sq.policy.Len())
	s.arm(sq, now)
}

// releaseNext releases the next call for which room is expected, and reports whether there was one. Freed is the target that has
// ended a response. The mutex of queues is held.
func (s *Server) releaseNext(sq *serviceQueue, trigger queuer.Trigger, freed string, now time.Time) bool {
	r := sq.policy.Next(now, trigger, func(w *waitingCall) bool {
		return (s.hasRoom(sq, w.c, now) || trigger == queuer.Freed && len(w.c.queue.usable) > 0) && s.mayRetry(w, now)
	})
	if r == nil {
		return false
	}
	r.Value.c.queue.freed = freed
	r.Value.left <- ""
	return true
}

// placeFreed releases a waiting call after the response of a target has ended.
func (s *Server) placeFreed(x *targetRequest) {
	if !x.hadPlace || s.queues.until.Load() == 0 {
		return
	}
	x.hadPlace = false
	now := time.Now()
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	sq := s.queues.byService[x.c.Service.Name]
	if sq == nil || !sq.policy.InUse(now) {
		return
	}
	sq.policy.RecordDeparture(now)
	if s.releaseNext(sq, queuer.Freed, x.t.ID, now) {
		s.metrics.SetQueueLength(sq.service, sq.policy.Len())
		s.arm(sq, now)
	}
}

// mayQueue reports whether calls of the service may wait. Those of engines don't: in a trial with waiting calls, engines refused half as many
// more, since their queues and memory change faster than an instance learns of it.
func (s *Server) mayQueue(svc *cataloger.Service) bool {
	return s.settings().QueueCalls && svc.Engine == nil && s.slotsOf(svc) > 0
}

// recordRefusal records that a target has refused a call. If the call may wait for another attempt, the retry is counted only then.
func (s *Server) recordRefusal(x *targetRequest) {
	c, now := x.c, time.Now()
	s.loads.RecordRefusal(x.t.ID, now)
	if !s.mayQueue(c.Service) {
		return
	}
	s.queues.mu.Lock()
	sq := s.queues.byService[c.Service.Name]
	if sq == nil {
		sq = s.newServiceQueue(c.Service.Name)
	}
	wasInUse := sq.policy.InUse(now)
	sq.policy.RecordRefusal(now)
	s.queues.extend(now.Add(queuer.UseAfterRefusal))
	s.queues.mu.Unlock()
	if !wasInUse {
		if log, ok := s.loggerFor(messageQueueInUse); ok {
			log.WithField("service", c.Service.Name).Info(messageQueueInUse)
		}
	}
	c.queue.retryPending = c.mayWait()
	if c.mayWait() {
		c.queue.refusedBy = append(c.queue.refusedBy, x.t.ID)
	}
}

// newServiceQueue adds the queue of a service; the mutex of queues is held.
func (s *Server) newServiceQueue(service string) *serviceQueue {
	bytes := defaultQueueBytes
	if m := s.settings().MemoryBytes; m > 0 {
		bytes = int(queueMemoryFraction * float64(m))
	}
	sq := &serviceQueue{service: service, policy: queuer.New[*waitingCall](queuer.Limits{Calls: maxWaitingCalls, Bytes: bytes})}
	sq.timer = time.AfterFunc(time.Hour, func() { s.wake(sq) })
	sq.timer.Stop()
	if s.queues.byService == nil {
		s.queues.byService = map[string]*serviceQueue{}
	}
	s.queues.byService[service] = sq
	return sq
}

// extend records that a queue is in use until a time; q.mu is held.
func (q *queues) extend(until time.Time) {
	q.until.Store(max(q.until.Load(), until.UnixNano()))
}

// stopQueues refuses the calls that wait. Further calls are sent at once or refused.
func (s *Server) stopQueues() {
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	s.queues.stopped = true
	for _, sq := range s.queues.byService {
		sq.timer.Stop()
		for _, r := range sq.policy.Clear() {
			r.Value.left <- queuer.Stopped
		}
		s.metrics.SetQueueLength(sq.service, 0)
	}
}
