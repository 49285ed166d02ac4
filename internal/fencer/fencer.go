// Package fencer acquires leases through the platform's log and issues fencing tokens for commands.
//
// Instances request a lease by appending a record to the stream "leases".
// Whether a record is granted is a function of the log alone: the order of the
// records and their log timestamps (see [LeaseTable]). The fencing token of a
// lease is the offset of the record that granted it, so a later lease always has
// a higher token.
//
// The holder measures the term on its own monotonic clock, starting before it
// sends the append, and ends the term a fifth early. Its term therefore ends
// before the log's does, unless the rates of the two clocks differ by more than
// that. [Fencer.WithLease] checks the term immediately before each send, so that
// a holder that was paused past its term sends nothing.
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
	// Stream is the name of the log stream that holds lease records.
	Stream = "leases"
	// marginDivisor sets the safety margin: the holder ends its term early by a fifth of the TTL.
	marginDivisor = 5
	// renewDivisor sets the renewal interval to a third of the TTL, so that two renewals may fail before the term ends.
	renewDivisor = 3
	// maxReadRecords is the maximum number of records of one read.
	maxReadRecords = 1000
	appendTimeout  = 2 * time.Second
	// idleInterval is the time between reads of an instance that is not a candidate for any of its resources. It needs the
	// records only for its status page; 420 instances that read as often as candidates do would cause 504 reads/s.
	idleInterval = 10 * time.Second
)

// Events of the state chart "lease".
const (
	eventRequested charter.Event = "requested"
	eventGranted   charter.Event = "granted"
	eventRefused   charter.Event = "refused"
	eventRenewed   charter.Event = "renewed"
	eventExpired   charter.Event = "expired"
	eventReleased  charter.Event = "released"
)

// Log is the platform's append-only log. Append returns the offset of the first appended record. Read returns at most limit
// records from the offset from on, and waits for the first one at most for the given time.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (appender.Batch, error)
}

// Clock returns the holder's current time. The values must carry a monotonic clock reading.
type Clock interface {
	Now() time.Time
}

// Lease is a lease that this instance holds according to its own clock.
type Lease struct {
	Resource     string
	FencingToken int64
	// ValidUntil is the end of the term on this instance's clock.
	ValidUntil time.Time
}

// ErrNotHeld reports that this instance does not hold the lease or that its term has ended.
var ErrNotHeld = failer.New("lease is not held")

// Fencer requests and renews the leases of one instance. Set the exported fields before [Fencer.Run].
// Request, Leases, Held and WithLease are safe for concurrent use while Run is active.
type Fencer struct {
	Log Log
	// Holder is the name of this instance in lease records.
	Holder string
	// TTL is the length of a term.
	TTL   time.Duration
	Clock Clock
	// Candidate reports whether this instance may request a resource that it does not hold; nil means always. It only
	// reduces the number of requests: the log decides who holds the lease.
	Candidate func(resource string) bool
	Logger    logger.Logger
	Recorder  *recorder.Recorder

	mu          sync.Mutex
	table       LeaseTable
	nextOffset  int64
	claims      map[string]*claim
	lastAttempt uint64
}

// claim is the state of this instance's request for one resource.
type claim struct {
	machine charter.Machine
	// attempt and sentAt are the attempt number and the time of the last request or renewal.
	attempt uint64
	sentAt  time.Time
	// lease is the last lease held.
	lease Lease
	// retryAt is the earliest time of the next request or renewal.
	retryAt time.Time
}

// New returns a fencer that requests no resource yet. The first attempt number is random, so that an instance that
// replaces another under the same name does not mistake its predecessor's records for its own.
func New(log Log, holder string, ttl time.Duration, clk Clock) *Fencer {
	return &Fencer{
		Log: log, Holder: holder, TTL: ttl, Clock: clk, Logger: logger.Discard(),
		claims: map[string]*claim{}, lastAttempt: rand.Uint64() >> 1,
	}
}

// Request makes the fencer acquire and renew the lease of a resource from now on. It does not wait for the lease.
func (f *Fencer) Request(resource string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.claims[resource] == nil {
		f.claims[resource] = &claim{machine: charter.MustLoad("lease").Start()}
	}
}

// Leases returns the last lease of every resource, as of the records read so far.
func (f *Fencer) Leases() map[string]Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Grants()
}

// Held returns the lease of a resource if this instance holds it and its term has not ended.
func (f *Fencer) Held(resource string) (Lease, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.claims[resource]
	if c == nil || !c.machine.In("held") || !f.Clock.Now().Before(c.lease.ValidUntil) {
		return Lease{}, false
	}
	return c.lease, true
}

// WithLease calls send with the lease if this instance holds it, and returns [ErrNotHeld] otherwise. The term is checked
// once, before the call.
func (f *Fencer) WithLease(resource string, send func(Lease) error) error {
	l, ok := f.Held(resource)
	if !ok {
		return failer.Wrap(ErrNotHeld, "send command for", resource, "lease")
	}
	return send(l)
}

// Run reads the log and requests and renews leases until ctx ends, then releases the leases held.
func (f *Fencer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.Poll(ctx, f.TTL/(2*renewDivisor)); err != nil && ctx.Err() == nil {
			logger.WithError(f.Logger, err).Debug("read of lease records failed")
			sleeper.Sleep(ctx, f.TTL/(2*renewDivisor))
		}
		f.Campaign(ctx)
		if !f.active() {
			sleeper.Sleep(ctx, idleInterval)
		}
	}
	f.releaseHeld()
}

// active reports whether any lease is held, requested, or may be requested by this instance.
func (f *Fencer) active() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for resource, c := range f.claims {
		if !c.machine.In("none") || f.mayRequest(resource) {
			return true
		}
	}
	return false
}

func (f *Fencer) mayRequest(resource string) bool { return f.Candidate == nil || f.Candidate(resource) }

// Poll reads and applies new lease records, waiting at most d for the first one.
func (f *Fencer) Poll(ctx context.Context, d time.Duration) error {
	f.mu.Lock()
	from := f.nextOffset
	f.mu.Unlock()
	b, err := f.Log.Read(ctx, Stream, from, maxReadRecords, d)
	if err != nil {
		return failer.Wrap(err, "read", Stream, "lease")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, rec := range b.Records {
		r, err := DecodeRecord(rec.Data)
		if err != nil {
			logger.WithError(f.Logger, err).Warn("invalid lease record ignored")
			continue
		}
		f.table = f.table.With(rec.Offset, rec.AppendedAt, r)
		f.updateClaim(r)
	}
	f.nextOffset = b.NextOffset
	return nil
}

// updateClaim updates this instance's claim after a record of its resource was applied to the table.
func (f *Fencer) updateClaim(r Record) {
	c := f.claims[r.Resource]
	if c == nil || r.Holder != f.Holder || r.Attempt != c.attempt || r.Release {
		return
	}
	g, _ := f.table.Grant(r.Resource)
	if g.Holder != f.Holder || g.Attempt != c.attempt {
		f.transition(r.Resource, c, eventRefused)
		return
	}
	until := c.sentAt.Add(f.TTL - f.TTL/marginDivisor)
	if !f.Clock.Now().Before(until) {
		return // the record was read too late: the term has ended by the local clock
	}
	ev := eventGranted
	if c.machine.In("held") {
		ev = eventRenewed
	}
	c.lease = Lease{Resource: r.Resource, FencingToken: g.FencingToken, ValidUntil: until}
	f.transition(r.Resource, c, ev)
}

// transition applies an event to the claim's state machine. A refused renewal counts as the end of a held lease.
func (f *Fencer) transition(resource string, c *claim, e charter.Event) {
	if e == eventRefused && c.machine.In("held") {
		e = eventExpired
	}
	m, err := c.machine.Next(e)
	if err != nil {
		logger.WithError(f.Logger, err).Warn("unexpected lease event ignored")
		return
	}
	if m.State() != c.machine.State() {
		f.Recorder.Record(recorder.Event{Kind: "lease", Peer: resource, Step: string(m.State()), Version: c.lease.FencingToken})
	}
	c.machine = m
}

// Campaign appends requests for the leases that are free and renewals for the held leases that are due.
func (f *Fencer) Campaign(ctx context.Context) {
	f.mu.Lock()
	now := f.Clock.Now()
	var out [][]byte
	for resource, c := range f.claims {
		if r, ok := f.dueRecord(resource, c, now); ok {
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
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	// The response may be lost after the append took effect, so the outcome is read back from the log.
	if _, err := f.Log.Append(ctx, Stream, out); err != nil {
		logger.WithError(f.Logger, failer.Wrap(err, "append to", Stream, "lease")).Debug("append of lease requests failed; records may be lost")
	}
}

// dueRecord returns the record to append for a claim, if any is due. It also ends a lease whose term has ended, and a request
// that was not granted within a term. The caller holds the lock.
func (f *Fencer) dueRecord(resource string, c *claim, now time.Time) (Record, bool) {
	switch {
	case c.machine.In("held") && !now.Before(c.lease.ValidUntil):
		f.transition(resource, c, eventExpired)
	case c.machine.In("requested") && now.Sub(c.sentAt) > f.TTL:
		f.transition(resource, c, eventExpired)
	}
	if c.machine.In("held") && now.Sub(c.sentAt) < f.TTL/renewDivisor {
		return Record{}, false
	}
	if c.machine.In("requested") || now.Before(c.retryAt) {
		return Record{}, false
	}
	if c.machine.In("none") {
		if !f.mayRequest(resource) {
			return Record{}, false
		}
		// Only avoids requests that are certain to be refused: the log decides by its own clock.
		if g, ok := f.table.Grant(resource); ok && g.Holder != f.Holder && now.Before(g.ValidUntil) {
			return Record{}, false
		}
		f.transition(resource, c, eventRequested)
	}
	f.lastAttempt++
	c.attempt, c.sentAt = f.lastAttempt, now
	c.retryAt = now.Add(f.TTL / renewDivisor)
	return Record{Resource: resource, Holder: f.Holder, Attempt: c.attempt, TTLMs: f.TTL.Milliseconds()}, true
}

// releaseHeld releases the held leases, so that a successor does not have to wait for the end of the terms.
func (f *Fencer) releaseHeld() {
	f.mu.Lock()
	var out [][]byte
	for resource, c := range f.claims {
		if !c.machine.In("held") {
			continue
		}
		f.transition(resource, c, eventReleased)
		r := Record{Resource: resource, Holder: f.Holder, Attempt: c.attempt, Release: true}
		if data, err := r.Encode(); err == nil {
			out = append(out, data)
		}
	}
	f.mu.Unlock()
	if len(out) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	if _, err := f.Log.Append(ctx, Stream, out); err != nil {
		logger.WithError(f.Logger, err).Debug("release of leases failed; they end with their terms")
	}
}
