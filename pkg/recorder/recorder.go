// Package recorder records time-line events and orders them over all processes.
//
// An event says what one instance decided or saw, about which request, account
// or target, and why. Each carries a hybrid logical clock value: its wall part
// follows the machine's clock in milliseconds, its logical part keeps the order
// of events that one caused in another process even if the clocks differ.
// Messages between processes carry the sender's value and the receiver calls
// [Clock.Observe] with it.
//
// # Usage
//
//	clk := recorder.NewClock(time.Now)
//	rec := recorder.New(clk, "kochi-a-1", 4096, file)
//	rec.Record(recorder.Event{Kind: "route", Request: id, Target: t, Reason: "prefix on target"})
//
// The last events are kept in a ring for the page /events; if a writer is
// given, each event is also written to it as one line of JSON.
package recorder

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Stamp is a hybrid logical clock value.
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

// Clock is a hybrid logical clock; its methods may be called from any goroutine.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Stamp
}

// NewClock returns a clock that reads the wall clock through now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Tick returns a value after every value that the clock returned or observed before.
func (c *Clock) Tick() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Stamp{})
}

// Observe merges a value received from another process.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(s)
}

func (c *Clock) advance(seen Stamp) Stamp {
	top := c.last
	if top.Before(seen) {
		top = seen
	}
	if wall := c.now().UnixMilli(); wall > top.WallMs {
		c.last = Stamp{WallMs: wall}
	} else {
		c.last = Stamp{WallMs: top.WallMs, Logical: top.Logical + 1}
	}
	return c.last
}

// Event is one entry of the time line.
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
	Version  int64  `json:"version,omitempty"`
}

// Recorder keeps the last events and writes each as a line of JSON.
type Recorder struct {
	clock    *Clock
	instance string

	mu   sync.Mutex
	ring []Event
	next int
	full bool
	enc  *json.Encoder
}

// New returns a recorder that keeps the last size events; w may be nil.
func New(clock *Clock, instance string, size int, w io.Writer) *Recorder {
	r := &Recorder{clock: clock, instance: instance, ring: make([]Event, max(1, size))}
	if w != nil {
		r.enc = json.NewEncoder(w)
	}
	return r
}

// Clock returns the recorder's hybrid logical clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record stamps e with the clock and the instance and keeps it; a nil recorder ignores it.
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
		// A full disk or a closed pipe must not stop traffic; the ring still has the event.
		_ = r.enc.Encode(e)
	}
}

// Events returns the kept events, oldest first.
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
