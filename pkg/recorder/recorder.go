// Package recorder records structured events and timestamps them with a hybrid
// logical clock, so that events of several processes can be merged in causal order.
//
// An event states what one instance decided or observed, for which request,
// account or target, and why. The wall part of its [Stamp] follows the machine's
// clock in milliseconds; the logical part orders an effect in another process
// after its cause even if the machines' clocks differ. Messages between processes
// carry the sender's stamp, which the receiver passes to [Clock.Observe].
//
// # Usage
//
//	clk := recorder.NewClock(time.Now)
//	rec := recorder.New(clk, "kochi-a-1", 4096, file)
//	rec.Record(recorder.Event{Kind: "route", Request: id, Target: t, Reason: "prefix on target"})
//
// The most recent events are held in a ring buffer and served on the page
// /events. If a writer is given, each event is also written to it as one line
// of JSON.
package recorder

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Stamp is a hybrid logical clock timestamp.
type Stamp struct {
	WallMs  int64  `json:"wallMs" msgpack:"wallMs"`
	Logical uint32 `json:"logical" msgpack:"logical"`
}

// Before reports whether s is ordered before o.
func (s Stamp) Before(o Stamp) bool {
	if s.WallMs != o.WallMs {
		return s.WallMs < o.WallMs
	}
	return s.Logical < o.Logical
}

// Clock is a hybrid logical clock. Its methods are safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Stamp
}

// NewClock returns a clock that reads the wall clock through now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Tick returns a stamp that is ordered after every stamp that the clock has returned or observed.
func (c *Clock) Tick() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Stamp{})
}

// Observe merges a stamp received from another process: later ticks are ordered after it.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(s)
}

// advance moves the clock past its last stamp, the received stamp and the wall clock. The caller holds mu.
func (c *Clock) advance(received Stamp) Stamp {
	latest := c.last
	if latest.Before(received) {
		latest = received
	}
	if wall := c.now().UnixMilli(); wall > latest.WallMs {
		c.last = Stamp{WallMs: wall}
	} else {
		c.last = Stamp{WallMs: latest.WallMs, Logical: latest.Logical + 1}
	}
	return c.last
}

// Event is one entry of the timeline.
type Event struct {
	At       Stamp  `json:"at"`
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Request  string `json:"request,omitempty"`
	Account  string `json:"account,omitempty"`
	Target   string `json:"target,omitempty"`
	Peer     string `json:"peer,omitempty"`
	Step     string `json:"step,omitempty"`
	Reason   string `json:"reason,omitempty"`
	// Version is a configuration version or, in an event of kind lease, the fencing token.
	Version int64 `json:"version,omitempty"`
}

// Recorder holds the most recent events in a ring buffer and writes each as a line of JSON. Its methods are safe for
// concurrent use.
type Recorder struct {
	clock    *Clock
	instance string

	mu   sync.Mutex
	ring []Event
	next int
	full bool
	enc  *json.Encoder
}

// New returns a recorder that holds the most recent size events, at least one. If w is not nil, each event is also written
// to it.
func New(clock *Clock, instance string, size int, w io.Writer) *Recorder {
	r := &Recorder{clock: clock, instance: instance, ring: make([]Event, max(1, size))}
	if w != nil {
		r.enc = json.NewEncoder(w)
	}
	return r
}

// Clock returns the recorder's hybrid logical clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record sets the stamp and the instance of e and stores it. On a nil recorder it does nothing.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	e.At, e.Instance = r.clock.Tick(), r.instance
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = e
	r.next++
	if r.next == len(r.ring) {
		r.next, r.full = 0, true
	}
	if r.enc != nil {
		// A write error, such as a full disk or a closed pipe, must not affect traffic; the ring buffer has the event.
		_ = r.enc.Encode(e)
	}
}

// Events returns the events in the ring buffer, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Event(nil), r.ring[:r.next]...)
	}
	out := make([]Event, 0, len(r.ring))
	out = append(out, r.ring[r.next:]...)
	return append(out, r.ring[:r.next]...)
}
