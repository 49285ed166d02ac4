package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/hasher"
	"github.com/papayaworks/papayaworks/internal/quarantiner"
	"github.com/papayaworks/papayaworks/internal/request"
)

const (
	// crashCheckDelay is how long after the first interrupted call the target is checked. All calls of a process that
	// crashes are interrupted within a few milliseconds.
	crashCheckDelay = 50 * time.Millisecond
	// crashCheckTimeout bounds the connection to the target. The host of a process that has crashed refuses it at once.
	crashCheckTimeout = 200 * time.Millisecond
)

// interruptedCall is a call whose target closed the connection before the first event.
type interruptedCall struct {
	blocks []uint64
	// begun reports whether the target had started its response.
	begun bool
}

// crashCheck checks whether a target has crashed. done is closed at its end; crashed is valid then.
type crashCheck struct {
	done    chan struct{}
	crashed bool
	calls   []interruptedCall
}

// crashDetector finds out whether calls were interrupted because their target crashed. It is safe for concurrent use.
type crashDetector struct {
	s *Server

	mu      sync.Mutex
	checks  map[quarantiner.Process]*crashCheck
	watches map[quarantiner.Process]*processWatch
}

// report adds a call that was interrupted before its first event to the check of its target, which it starts if necessary.
func (d *crashDetector) report(t *cataloger.Target, c interruptedCall) *crashCheck {
	d.mu.Lock()
	defer d.mu.Unlock()
	check := d.checkOf(t)
	check.calls = append(check.calls, c)
	return check
}

// check finds out whether a target has crashed, so that others learn of it.
func (d *crashDetector) check(t *cataloger.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkOf(t)
}

// checkOf returns the pending check of a target, which it starts if necessary; d.mu is held.
func (d *crashDetector) checkOf(t *cataloger.Target) *crashCheck {
	p := processOf(t)
	check := d.checks[p]
	if check == nil {
		check = &crashCheck{done: make(chan struct{})}
		if d.checks == nil {
			d.checks = map[quarantiner.Process]*crashCheck{}
		}
		d.checks[p] = check
		time.AfterFunc(crashCheckDelay, func() { d.run(p, t, check) })
	}
	return check
}

// run connects to the target and records the crash if the connection is refused.
func (d *crashDetector) run(p quarantiner.Process, t *cataloger.Target, check *crashCheck) {
	conn, err := net.DialTimeout("tcp", t.Address, crashCheckTimeout)
	if err == nil {
		_ = conn.Close()
	}
	d.mu.Lock()
	delete(d.checks, p)
	check.crashed = errors.Is(err, syscall.ECONNREFUSED)
	calls := suspectCalls(check.calls)
	d.mu.Unlock()
	defer close(check.done)
	if !check.crashed {
		return
	}
	now := time.Now()
	d.s.loads.RecordConnectFailure(t.ID, now)
	d.s.recordUnreachable(t, err, now)
	for _, c := range calls {
		d.s.quarantine.RecordCrash(p, c.blocks, now)
	}
	if len(calls) == 0 {
		d.s.Log.WithField("target", t.ID).Info("target ended during a response")
		return
	}
	d.s.Log.WithField("target", t.ID).WithField("suspects", len(calls)).Info("target crashed before it answered")
	if d.s.Announcer != nil {
		d.s.Announcer.AnnounceNow()
	}
}

// suspectCalls returns the calls whose response had started, or all if there are none: a prompt that crashes its target does so
// when the response begins.
func suspectCalls(calls []interruptedCall) []interruptedCall {
	var begun []interruptedCall
	for _, c := range calls {
		if c.begun {
			begun = append(begun, c)
		}
	}
	if len(begun) == 0 {
		return calls
	}
	return begun
}

// wait returns whether the target has crashed, once that is known.
func (c *crashCheck) wait(ctx context.Context) bool {
	select {
	case <-c.done:
		return c.crashed
	case <-ctx.Done():
		return false
	}
}

// checkQuarantine returns the error for a call with a quarantined block, before each of its attempts. A call that was admitted as
// a probe stays admitted.
func (s *Server) checkQuarantine(c *Call) error {
	blocks := s.blockKeys(c)
	if c.isProbe || !s.quarantine.Contains(blocks) {
		return nil
	}
	remaining, ok := s.quarantine.Blocked(blocks, time.Now())
	switch {
	case !ok:
		c.isProbe = true
		return nil
	case c.MayHaveRun:
		return request.Fail(http.StatusBadGateway, request.CodeOutcomeUnknown, "a block of the prompt crashes targets")
	}
	return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "a block of the prompt crashes targets").WithRetryAfter(remaining)
}

// blockKeys returns the keys of the call's shared blocks in the quarantine.
func (s *Server) blockKeys(c *Call) []uint64 {
	if c.Service == nil || c.Service.Engine == nil {
		return nil
	}
	if c.blockKeys == nil {
		c.blockKeys = []uint64{}
		for _, id := range c.Headers.Prompt.sharedBlockIDs() {
			c.blockKeys = append(c.blockKeys, hasher.Hash(c.Headers.Prompt.Model, id))
		}
	}
	return c.blockKeys
}

// recordSound records that an engine has completely answered a call.
func (s *Server) recordSound(c *Call) {
	if c.Service.Engine != nil {
		s.quarantine.RecordSuccess(s.blockKeys(c), time.Now())
	}
}
