package retrier

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/charter"
)

const (
	// MaxEjected is the largest share of a pool that may be ejected at the same time.
	MaxEjected = 0.3
	// failuresInRow is the number of consecutive failures that ejects a target; single failures are left to retries.
	failuresInRow = 5
	// firstEjection is the duration of the first ejection. It doubles with each failed probe up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// probeTimeout is how long a probe may lack a result before another one is sent.
	probeTimeout = 10 * time.Second
)

// States of a target, as in the state chart target.toml.
const (
	Serving charter.State = "serving"
	Ejected charter.State = "ejected"
	Probing charter.State = "probing"
	Leaving charter.State = "leaving"
)

// Ejector tracks the health of targets from the results of this instance's requests. It is not safe for concurrent use.
type Ejector struct {
	chart   *charter.Chart
	targets map[string]*health
	pools   map[string][]string
}

type health struct {
	machine  charter.Machine
	pools    []string
	failures int
	// ejections is the number of consecutive ejections; until is when the ejection or the probe ends.
	ejections int
	until     time.Time
}

// NewEjector returns an Ejector for the targets of each pool.
func NewEjector(pools map[string][]string) *Ejector {
	e := &Ejector{chart: charter.MustLoad("target"), targets: map[string]*health{}}
	e.SetPools(pools)
	return e
}

// SetPools replaces the targets of all pools, such as the targets that serve a model. Targets that remain in some pool keep
// their health.
func (e *Ejector) SetPools(pools map[string][]string) {
	e.pools = pools
	of := map[string][]string{}
	for pool, ids := range pools {
		for _, id := range ids {
			of[id] = append(of[id], pool)
		}
	}
	for id, h := range e.targets {
		if len(of[id]) == 0 {
			e.fire(h, "removed")
			delete(e.targets, id)
		}
	}
	for id, ps := range of {
		if e.targets[id] == nil {
			e.targets[id] = &health{machine: e.chart.Start()}
		}
		e.targets[id].pools = ps
	}
}

// fire applies an event to the state machine; an event without a transition is ignored.
func (e *Ejector) fire(h *health, ev charter.Event) {
	if m, err := h.machine.Next(ev); err == nil {
		h.machine = m
	}
}

// State returns the state of a target; an unknown target counts as [Serving].
func (e *Ejector) State(id string) charter.State {
	if h := e.targets[id]; h != nil {
		return h.machine.State()
	}
	return Serving
}

// SetLeaving records that a target is leaving, or that it has returned, which resets its failures.
func (e *Ejector) SetLeaving(id string, leaving bool) {
	h := e.targets[id]
	switch {
	case h == nil:
	case leaving && h.machine.State() != Leaving:
		e.fire(h, "leave")
	case !leaving && h.machine.State() == Leaving:
		e.fire(h, "returned")
		h.failures, h.ejections = 0, 0
	}
}

// Allows reports whether a request may be sent to a target now. When an ejection has ended, it admits one request as a probe;
// the caller must report the result with [Ejector.Observe].
func (e *Ejector) Allows(id string, now time.Time) bool {
	h := e.targets[id]
	if h == nil {
		return true
	}
	switch h.machine.State() {
	case Serving:
		return true
	case Leaving:
		return false
	case Ejected:
		if now.Before(h.until) {
			return false
		}
		e.fire(h, "probe")
	case Probing:
		if now.Before(h.until) {
			return false
		}
	}
	h.until = now.Add(probeTimeout)
	return true
}

// Observe records the result of a request. The caller must not report a refusal under load as a failure.
func (e *Ejector) Observe(id string, ok bool, now time.Time) {
	h := e.targets[id]
	if h == nil || h.machine.State() == Leaving {
		return
	}
	if ok {
		h.failures, h.ejections = 0, 0
		e.fire(h, "passed")
		return
	}
	h.failures++
	switch h.machine.State() {
	case Probing:
		e.fire(h, "failed")
		e.startEjection(h, now)
	case Serving:
		if h.failures >= failuresInRow && e.mayEject(h) {
			e.fire(h, "eject")
			e.startEjection(h, now)
		}
	}
}

// startEjection sets the end of the ejection, with exponential backoff.
func (e *Ejector) startEjection(h *health, now time.Time) {
	h.until = now.Add(min(maxEjection, firstEjection<<min(h.ejections, 10)))
	h.ejections++
}

// mayEject reports whether one more target of each pool of h may be ejected.
func (e *Ejector) mayEject(h *health) bool {
	for _, pool := range h.pools {
		n := 0
		for _, id := range e.pools[pool] {
			if t := e.targets[id]; t != nil && t.machine.In(Ejected, Probing) {
				n++
			}
		}
		if float64(n+1) > MaxEjected*float64(len(e.pools[pool])) {
			return false
		}
	}
	return true
}
