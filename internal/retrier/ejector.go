package retrier

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/charter"
)

const (
	// MaxEjected is the largest share of a pool that is ejected together.
	MaxEjected = 0.3
	// failuresInRow eject a target; single failures are left to retries.
	failuresInRow = 5
	// firstEjection doubles with each failed probe up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// probeTime is how long a probe may be without a result until another one is sent.
	probeTime = 10 * time.Second
)

// The states of a target.
const (
	Serving charter.State = "serving"
	Ejected charter.State = "ejected"
	Probing charter.State = "probing"
	Leaving charter.State = "leaving"
)

// Ejector holds the health of targets as this instance saw it. It belongs to one goroutine or lock.
type Ejector struct {
	chart   *charter.Chart
	targets map[string]*health
	pools   map[string][]string
}

type health struct {
	machine  charter.Machine
	pools    []string
	failures int
	// ejections counts those in a row; until is when the ejection or the probe ends.
	ejections int
	until     time.Time
}

// NewEjector returns an ejector of the targets in each pool.
func NewEjector(pools map[string][]string) *Ejector {
	e := &Ejector{chart: charter.MustLoad("target"), targets: map[string]*health{}}
	e.SetPools(pools)
	return e
}

// SetPools takes the targets in each pool, such as those of a model. Targets that stay keep their health.
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
			e.next(h, "removed")
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

// next feeds an event; an event without a transition changes nothing.
func (e *Ejector) next(h *health, ev charter.Event) {
	if m, err := h.machine.Next(ev); err == nil {
		h.machine = m
	}
}

// State returns the state of a target; unknown ones serve.
func (e *Ejector) State(id string) charter.State {
	if h := e.targets[id]; h != nil {
		return h.machine.State()
	}
	return Serving
}

// SetLeaving notes that a target leaves, or that it is back.
func (e *Ejector) SetLeaving(id string, leaving bool) {
	h := e.targets[id]
	switch {
	case h == nil:
	case leaving && h.machine.State() != Leaving:
		e.next(h, "leave")
	case !leaving && h.machine.State() == Leaving:
		e.next(h, "returned")
		h.failures, h.ejections = 0, 0
	}
}

// Allows reports whether a request may be sent to a target now. After the ejection one request is let through as a
// probe; the caller must report its result with Observe.
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
		e.next(h, "probe")
	case Probing:
		if now.Before(h.until) {
			return false
		}
	}
	h.until = now.Add(probeTime)
	return true
}

// Observe reports the result of a request. A refusal under load is no failure of the target.
func (e *Ejector) Observe(id string, ok bool, now time.Time) {
	h := e.targets[id]
	if h == nil || h.machine.State() == Leaving {
		return
	}
	if ok {
		h.failures, h.ejections = 0, 0
		e.next(h, "passed")
		return
	}
	h.failures++
	switch h.machine.State() {
	case Probing:
		e.next(h, "failed")
		e.startEjection(h, now)
	case Serving:
		if h.failures >= failuresInRow && e.room(h) {
			e.next(h, "eject")
			e.startEjection(h, now)
		}
	}
}

func (e *Ejector) startEjection(h *health, now time.Time) {
	h.until = now.Add(min(maxEjection, firstEjection<<min(h.ejections, 10)))
	h.ejections++
}

// room reports whether another target of each of its pools may be ejected.
func (e *Ejector) room(h *health) bool {
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
