// Package fencer holds leases on the platform's log and numbers the orders that are sent under them.
//
// A lease is a record on the stream "leases". Whether a record grants the lease
// follows from the log alone: its order and the times that the log gave the
// records (see [LeaseTable]). The fencing number of a lease is the offset of the record
// that granted it, so a later lease always has a higher number.
//
// The holder counts its term on its own monotonic clock from before the append
// was sent and ends it early by a fifth, so its belief ends before the log's term
// does unless the two clocks differ in rate by more than that. [Fencer.WithLease] checks the
// term directly before each send: a holder that was paused sends nothing.
//
// # Usage
//
//	f := fencer.New(log, "kochi-a-1", 5*time.Second, clk)
//	go f.Run(ctx)
//	f.Request("targets")
//	err := f.WithLease("targets", func(l fencer.Lease) error { return send(l.FencingToken, l.ValidUntil) })
package fencer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/charter"
	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const (
	// Stream is the log's stream of lease records.
	Stream = "leases"
	// marginDivisor: the holder ends its term early by a fifth of it.
	marginDivisor = 5
	// renewDivisor: the holder renews after a third of its term, so that two renewals may fail.
	renewDivisor = 3
	readMax      = 1000
	appendLimit  = 2 * time.Second
	// idlePause is the time between two reads of an instance that may not request any of its resources: the records are
	// of no use to it but for its status page, and reads like a candidate's by 420 instances are 504 a second.
	idlePause = 10 * time.Second
)

// The events of the chart "lease".
const (
	eventRequested charter.Event = "requested"
	eventGranted   charter.Event = "granted"
	eventRefused   charter.Event = "refused"
	eventRenewed   charter.Event = "renewed"
	eventExpired   charter.Event = "expired"
	eventReleased  charter.Event = "released"
)

// Log is the platform's append-only log.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (appender.Batch, error)
}

// Clock tells the holder's time; its values must carry a monotonic reading.
type Clock interface {
	Now() time.Time
}

// Lease is a lease that this instance holds, as it believes.
type Lease struct {
	Resource     string
	FencingToken int64
	// ValidUntil is the end of the term on this instance's clock.
	ValidUntil time.Time
}

// ErrNotHeld reports that the lease is not held, or that its term has ended.
var ErrNotHeld = failer.New("lease is not held")

// Fencer keeps the leases that an instance wants.
type Fencer struct {
	Log    Log
	Holder string
	TTL    time.Duration
	Clock  Clock
	// Candidate reports whether this instance may request a resource that it does not hold; nil means always. It only
	// spares requests: the log decides who holds the lease.
	Candidate func(resource string) bool
	Logger    logger.Log
	Recorder  *recorder.Recorder

	mu     sync.Mutex
	book   LeaseTable
	next   int64
	wanted map[string]*claim
	count  uint64
}

// claim is this instance's side of one resource.
type claim struct {
	machine charter.Machine
	attempt uint64
	sent    time.Time
	lease   Lease
	tryAt   time.Time
}

// New returns a fencer that wants nothing yet. The first attempt number is random, so that a holder that
// was replaced under the same name cannot take the record of its predecessor for its own.
func New(log Log, holder string, ttl time.Duration, clk Clock) *Fencer {
	return &Fencer{
		Log: log, Holder: holder, TTL: ttl, Clock: clk, Logger: logger.Discard(),
		wanted: map[string]*claim{}, count: rand.Uint64() >> 1,
	}
}

// Request makes the fencer try to hold a resource.
func (f *Fencer) Request(resource string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wanted[resource] == nil {
		f.wanted[resource] = &claim{machine: charter.MustLoad("lease").Start()}
	}
}

// Leases returns the last lease of every resource, as the log tells.
func (f *Fencer) Leases() map[string]Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Grants()
}

// Held returns the lease of a resource if its term has not ended.
func (f *Fencer) Held(resource string) (Lease, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.wanted[resource]
	if c == nil || !c.machine.In("held") || !f.Clock.Now().Before(c.lease.ValidUntil) {
		return Lease{}, false
	}
	return c.lease, true
}

// WithLease calls send with the lease if its term has not ended at this moment.
func (f *Fencer) WithLease(resource string, send func(Lease) error) error {
	l, ok := f.Held(resource)
	if !ok {
		return failer.Wrap(ErrNotHeld, "send order for", resource, "lease")
	}
	return send(l)
}

// Run reads the log and requests and renews the wanted leases until ctx ends.
func (f *Fencer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.Poll(ctx, f.TTL/(2*renewDivisor)); err != nil && ctx.Err() == nil {
			logger.WithError(f.Logger, err).Debug("could not follow leases")
			sleeper.Sleep(ctx, f.TTL/(2*renewDivisor))
		}
		f.Campaign(ctx)
		if !f.engaged() {
			sleeper.Sleep(ctx, idlePause)
		}
	}
	f.release()
}

// engaged reports whether a wanted lease is held, requested, or may be requested.
func (f *Fencer) engaged() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for resource, c := range f.wanted {
		if !c.machine.In("none") || f.mayRequest(resource) {
			return true
		}
	}
	return false
}

func (f *Fencer) mayRequest(resource string) bool { return f.Candidate == nil || f.Candidate(resource) }

// Poll reads new lease records and waits at most d for the first.
func (f *Fencer) Poll(ctx context.Context, d time.Duration) error {
	f.mu.Lock()
	from := f.next
	f.mu.Unlock()
	b, err := f.Log.Read(ctx, Stream, from, readMax, d)
	if err != nil {
		return failer.Wrap(err, "read", Stream, "lease")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, rec := range b.Records {
		r, err := DecodeRecord(rec.Data)
		if err != nil {
			logger.WithError(f.Logger, err).Warn("lease record is ignored")
			continue
		}
		f.book = f.book.With(rec.Offset, rec.At, r)
		f.settle(r)
	}
	f.next = b.Next
	return nil
}

// settle compares this instance's claim with the book after a record of its resource.
func (f *Fencer) settle(r Record) {
	c := f.wanted[r.Resource]
	if c == nil || r.Holder != f.Holder || r.Attempt != c.attempt || r.Release {
		return
	}
	g, _ := f.book.Grant(r.Resource)
	if g.Holder != f.Holder || g.Attempt != c.attempt {
		f.step(r.Resource, c, eventRefused)
		return
	}
	until := c.sent.Add(f.TTL - f.TTL/marginDivisor)
	if !f.Clock.Now().Before(until) {
		return // read too late; the term counts as ended
	}
	ev := eventGranted
	if c.machine.In("held") {
		ev = eventRenewed
	}
	c.lease = Lease{Resource: r.Resource, FencingToken: g.FencingToken, ValidUntil: until}
	f.step(r.Resource, c, ev)
}

// step feeds an event to the claim's machine; a refused renewal ends a held lease.
func (f *Fencer) step(resource string, c *claim, e charter.Event) {
	if e == eventRefused && c.machine.In("held") {
		e = eventExpired
	}
	m, err := c.machine.Next(e)
	if err != nil {
		logger.WithError(f.Logger, err).Warn("lease event is ignored")
		return
	}
	if m.State() != c.machine.State() {
		f.Recorder.Record(recorder.Event{Kind: "lease", Peer: resource, Step: string(m.State()), Version: c.lease.FencingToken})
	}
	c.machine = m
}

// Campaign requests the wanted leases that are free and renews the held ones that are due.
func (f *Fencer) Campaign(ctx context.Context) {
	f.mu.Lock()
	now := f.Clock.Now()
	var out [][]byte
	for resource, c := range f.wanted {
		if r, ok := f.due(resource, c, now); ok {
			data, err := r.Encode()
			if err == nil {
				out = append(out, data)
			}
		}
	}
	f.mu.Unlock()
	if len(out) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendLimit)
	defer cancel()
	// The answer may be lost after the effect; what was granted is read back from the log.
	if _, err := f.Log.Append(ctx, Stream, out); err != nil {
		logger.WithError(f.Logger, failer.Wrap(err, "append to", Stream, "lease")).Debug("lease request may be lost")
	}
}

// due returns the record to append for a claim, with the lock held.
func (f *Fencer) due(resource string, c *claim, now time.Time) (Record, bool) {
	switch {
	case c.machine.In("held") && !now.Before(c.lease.ValidUntil):
		f.step(resource, c, eventExpired)
	case c.machine.In("requested") && now.Sub(c.sent) > f.TTL:
		f.step(resource, c, eventExpired)
	}
	if c.machine.In("held") && now.Sub(c.sent) < f.TTL/renewDivisor {
		return Record{}, false
	}
	if c.machine.In("requested") || now.Before(c.tryAt) {
		return Record{}, false
	}
	if c.machine.In("none") {
		if !f.mayRequest(resource) {
			return Record{}, false
		}
		// The log decides by its own clock; this only spares requests that are bound to fail.
		if g, ok := f.book.Grant(resource); ok && g.Holder != f.Holder && now.Before(g.ValidUntil) {
			return Record{}, false
		}
		f.step(resource, c, eventRequested)
	}
	f.count++
	c.attempt, c.sent = f.count, now
	c.tryAt = now.Add(f.TTL / renewDivisor)
	return Record{Resource: resource, Holder: f.Holder, Attempt: c.attempt, TTLMs: f.TTL.Milliseconds()}, true
}

// release gives the held leases back, so that a successor need not wait for the term to end.
func (f *Fencer) release() {
	f.mu.Lock()
	var out [][]byte
	for resource, c := range f.wanted {
		if !c.machine.In("held") {
			continue
		}
		f.step(resource, c, eventReleased)
		r := Record{Resource: resource, Holder: f.Holder, Attempt: c.attempt, Release: true}
		if data, err := r.Encode(); err == nil {
			out = append(out, data)
		}
	}
	f.mu.Unlock()
	if len(out) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendLimit)
	defer cancel()
	if _, err := f.Log.Append(ctx, Stream, out); err != nil {
		logger.WithError(f.Logger, err).Debug("lease was not released; it ends by its term")
	}
}
