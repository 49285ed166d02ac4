// Package orderer brings targets to the weights that the operator named.
//
// One instance at a time gives orders. Who that is follows from a journal in the
// platform's store: a claim is appended on the condition that the journal ends
// where the claimant believes, and its offset is the fencing number of the
// orders. A holder's term is short and counted from before its claim was sent; a
// successor claims only after a time that no order of the holder can outlast
// (see [Lease]). Without work nobody claims anything.
//
// Of many instances only a few follow the journal; the others do so when there is
// work and none of those before them gives orders (see [Turn]).
//
// A claim names the targets that are about to be ordered, and the holder announces
// them, so that all instances can leave them out while they take their weights. Orders name the count of
// orders that the target must have accepted before, so that one that is carried
// out late has no effect after a newer one.
//
// # Usage
//
//	o := &orderer.Orderer{Holder: "kochi-a-1", Apart: lease, Journal: j, Targets: t, View: w.View, VersionOf: f, Log: log}
//	go o.Run(ctx)
//	o.IsSwapping(id)
package orderer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/clocker"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// journalWait is how long a read of the journal waits for news.
	journalWait = 12 * time.Second
	// callLimit bounds calls to the store beyond their wait.
	callLimit = 800 * time.Millisecond
	// workPeriod is the time between two looks at what is to be done.
	workPeriod    = 60 * time.Millisecond
	retryPause    = 300 * time.Millisecond
	reportTimeout = 300 * time.Millisecond
	// reportPause is the time between two reports of a target that is swapping.
	reportPause = 80 * time.Millisecond
)

// Mode is how a target ends its runs before it takes new weights.
type Mode int

// The modes.
const (
	// Finish lets runs end first.
	Finish Mode = iota
	// Cut breaks them off.
	Cut
	// Continue lets them go on with the new weights.
	Continue
)

// Outcome is what is known of an order or an append.
type Outcome int

// The outcomes.
const (
	// Accepted: it has taken effect, or will.
	Accepted Outcome = iota
	// Holds: the target is in that state already.
	Holds
	// Conflict: a condition did not hold.
	Conflict
	// Fenced: a higher fencing number was used.
	Fenced
	// NotDone: it had no effect.
	NotDone
	// Unknown: it may take effect, now or later.
	Unknown
)

// Order is one order to a target.
type Order struct {
	Model    string
	Version  int64
	Mode     Mode
	Holder   string
	Fence    int64
	Expected int64
}

// Report is what a target says of itself.
type Report struct {
	Versions map[string]int64
	// Busy: an order is in progress.
	Busy bool
	// Accepted is the number of orders that it has accepted.
	Accepted int64
	// Clock is the time on the targets' clock.
	Clock time.Duration
}

// Targets calls targets.
type Targets interface {
	Report(ctx context.Context, t *cataloger.Target) (Report, error)
	Order(ctx context.Context, t *cataloger.Target, o Order) Outcome
}

// Claim is one record of the journal.
type Claim struct {
	Holder string `json:"holder"`
	// Nonce tells this claim from others of the same holder.
	Nonce string `json:"nonce"`
	// Targets are about to be ordered to take a version.
	Targets map[string]int64 `json:"targets,omitempty"`
}

// Records are claims that were read from the journal.
type Records struct {
	Claims []Claim
	// First is the offset of the first claim; Next is the one after the last.
	First, Next int64
}

// Journal is the topic of claims in the platform's store.
type Journal interface {
	// Append adds a claim if the journal ends at an offset. It returns the claim's offset, or the journal's end if that
	// is elsewhere.
	Append(ctx context.Context, c Claim, at int64) (int64, Outcome)
	Read(ctx context.Context, from int64, wait time.Duration) (Records, error)
}

// Orderer gives orders while it holds the lease.
type Orderer struct {
	Holder string
	// Apart is the time within which two holders must not give orders in turn.
	Apart   time.Duration
	Journal Journal
	Targets Targets
	View    func() *cataloger.View
	// VersionOf returns the newest weight version that a target is known to have.
	VersionOf func(*cataloger.Target, string) int64
	// Learned is told of weight versions that targets reported.
	Learned func(t *cataloger.Target, model string, version int64)
	// Claimed is called after each claim that was granted, before the orders; it may be nil.
	Claimed func()
	Log     logger.Log

	mu       sync.Mutex
	lease    Lease
	swapping Swapping
	nonces   map[string]time.Duration
	turn     Turn
	counts   map[string]int64
	nextAsk  map[string]time.Duration
}

// IsSwapping reports whether a target was ordered to take new weights a moment ago.
func (o *Orderer) IsSwapping(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.swapping.Busy(id, clocker.Elapsed())
}

// SetInstances takes the instances that may give orders, this one included; before, it is taken to be the only one.
func (o *Orderer) SetInstances(ids []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turn = o.turn.WithPlace(TurnOf(o.Holder, ids))
}

// News returns the targets that this instance has ordered to take new weights, with the time that each is left out.
func (o *Orderer) News() map[string]time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lease.Own {
		return nil
	}
	now := clocker.Elapsed()
	out := map[string]time.Duration{}
	for id, until := range o.swapping {
		if until > now {
			out[id] = until - now
		}
	}
	return out
}

// Hear takes the targets that another instance has ordered.
func (o *Orderer) Hear(targets map[string]time.Duration) {
	if len(targets) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := clocker.Elapsed()
	o.turn = o.turn.WithProgress(now)
	for id, left := range targets {
		o.leaveOut(id, max(o.swapping[id], now+min(left, swapTime)))
	}
}

// leaveOut has a target left out until a time; o.mu is held.
func (o *Orderer) leaveOut(id string, until time.Duration) {
	if o.swapping == nil {
		o.swapping = Swapping{}
	}
	o.swapping[id] = until
}

// Run follows the journal and gives orders until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	o.mu.Lock()
	o.nonces, o.counts, o.nextAsk = map[string]time.Duration{}, map[string]int64{}, map[string]time.Duration{}
	o.mu.Unlock()
	go o.follow(ctx)
	for sleeper.Sleep(ctx, workPeriod) {
		o.work(ctx)
	}
}

// follow reads the journal until ctx ends.
func (o *Orderer) follow(ctx context.Context) {
	var next int64
	for ctx.Err() == nil {
		follows, known := o.follows()
		if !follows {
			sleeper.Sleep(ctx, workPeriod)
			continue
		}
		wait := journalWait
		if !known {
			wait = 0
		}
		rctx, cancel := context.WithTimeout(ctx, wait+callLimit)
		rs, err := o.Journal.Read(rctx, next, wait)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				logger.WithError(o.Log, err).Debug("could not read the journal of orders")
			}
			sleeper.Sleep(ctx, retryPause)
			continue
		}
		next = rs.Next
		o.take(rs)
	}
}

// follows reports whether this instance reads the journal now, and whether it has read it before.
func (o *Orderer) follows() (now, before bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.turn.Follows(clocker.Elapsed()), o.lease.Known
}

// take applies claims that were read.
func (o *Orderer) take(rs Records) {
	now := clocker.Elapsed()
	o.mu.Lock()
	defer o.mu.Unlock()
	others := 0
	if rs.First > o.lease.End && len(rs.Claims) == 0 {
		others++ // forgotten claims may have been anybody's
	}
	for i, c := range rs.Claims {
		for id := range c.Targets {
			o.leaveOut(id, now+swapTime)
		}
		if sent, ok := o.nonces[c.Nonce]; ok {
			delete(o.nonces, c.Nonce)
			o.lease = o.lease.WithGrant(rs.First+int64(i), sent)
			others = 0
			continue
		}
		if c.Holder != o.Holder || !o.lease.Own {
			others++
		}
	}
	o.lease = o.lease.WithClaims(others, rs.Next, now)
	if others > 0 {
		o.turn = o.turn.WithProgress(now)
	}
}

// work looks at what is to be done, claims the lease for it and gives the orders.
func (o *Orderer) work(ctx context.Context) {
	v := o.View()
	pending := Pending(v, o.VersionOf)
	now := clocker.Elapsed()
	o.mu.Lock()
	for id := range o.swapping {
		if o.settled(v, id, pending) {
			delete(o.swapping, id)
		}
	}
	o.turn = o.turn.WithPending(len(pending), now)
	if len(pending) == 0 || v.Draining {
		o.mu.Unlock()
		return
	}
	l, t := o.lease, o.turn
	next := Next(v, pending, o.swapping, now)
	o.mu.Unlock()
	switch {
	case len(next) == 0:
		if l.Own {
			o.ask(ctx, pending)
		}
	case l.Own, t.Come(now) && l.MayClaim(now, o.Apart):
		if o.claim(ctx, l, next) {
			o.order(ctx, next)
		}
	}
}

// settled reports whether a target has the weights that it was ordered to take; o.mu is held.
func (o *Orderer) settled(v *cataloger.View, id string, pending []Work) bool {
	if _, ok := v.Target(id); !ok {
		return true
	}
	for _, w := range pending {
		if w.Target.ID == id {
			return clocker.Elapsed() > o.swapping[id]
		}
	}
	return true
}

// claim appends a claim and returns true if it was granted.
func (o *Orderer) claim(ctx context.Context, l Lease, next []Work) bool {
	c := Claim{Holder: o.Holder, Nonce: strconv.FormatUint(rand.Uint64(), 36), Targets: map[string]int64{}}
	for _, w := range next {
		c.Targets[w.Target.ID] = w.Version
	}
	sent := clocker.Elapsed()
	o.mu.Lock()
	o.nonces[c.Nonce] = sent
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	at, out := o.Journal.Append(ctx, c, l.End)
	if o.granted(c, at, out, sent) {
		if o.Claimed != nil {
			o.Claimed()
		}
		return true
	}
	return false
}

// granted takes the outcome of a claim that was sent at a time.
func (o *Orderer) granted(c Claim, at int64, out Outcome, sent time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch out {
	case Accepted:
		delete(o.nonces, c.Nonce)
		o.lease = o.lease.WithGrant(at, sent)
		for id := range c.Targets {
			o.leaveOut(id, clocker.Elapsed()+swapTime)
		}
		o.Log.WithField("fence", o.lease.Fence).WithField("targets", len(c.Targets)).Info("order lease was taken")
		return true
	case Conflict:
		delete(o.nonces, c.Nonce)
		if at != o.lease.End || !o.lease.Own {
			o.lease = o.lease.WithConflict(at, clocker.Elapsed())
			o.Log.WithField("end", at).Info("order lease is held by another instance")
		}
	}
	return false
}

// order gives the orders at the same time and waits for their answers.
func (o *Orderer) order(ctx context.Context, next []Work) {
	var wg sync.WaitGroup
	for _, w := range next {
		wg.Go(func() { o.orderOne(ctx, w) })
	}
	wg.Wait()
}

func (o *Orderer) orderOne(ctx context.Context, w Work) {
	t := w.Target
	key := t.ID + "/" + strconv.FormatInt(t.StartedUnixMs, 10)
	o.mu.Lock()
	count, ok := o.counts[key]
	o.mu.Unlock()
	if !ok {
		r, err := o.report(ctx, t)
		if err != nil {
			logger.WithError(o.Log, err).WithField("target", t.ID).Info("target gave no report")
			o.release(t.ID)
			return
		}
		if r.Versions[w.Model] >= w.Version || r.Busy {
			return
		}
		count = r.Accepted
	}
	o.mu.Lock()
	l := o.lease
	o.mu.Unlock()
	if !l.Held(clocker.Elapsed()) {
		o.release(t.ID)
		return
	}
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	out := o.Targets.Order(octx, t, Order{
		Model: w.Model, Version: w.Version, Mode: Continue, Holder: o.Holder, Fence: l.Fence, Expected: count,
	})
	o.Log.WithField("target", t.ID).WithField("version", w.Version).WithField("fence", l.Fence).WithField("outcome", int(out)).Info("order was given")
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.counts, key)
	switch out {
	case Accepted:
		o.counts[key] = count + 1
	case Fenced:
		o.lease = o.lease.WithoutTerm()
	case NotDone, Conflict, Unknown:
		// Unknown: the order may be carried out much later, and then has no effect if another one was accepted before.
		o.leaveOut(t.ID, clocker.Elapsed()+retryPause)
	}
}

func (o *Orderer) release(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.swapping, id)
}

func (o *Orderer) report(ctx context.Context, t *cataloger.Target) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := o.Targets.Report(ctx, t)
	if err == nil {
		for model, v := range r.Versions {
			o.Learned(t, model, v)
		}
	}
	return r, err
}

// ask has targets that are swapping report, so that the next ones can be ordered as soon as they are done.
func (o *Orderer) ask(ctx context.Context, pending []Work) {
	now := clocker.Elapsed()
	var wg sync.WaitGroup
	o.mu.Lock()
	for _, w := range pending {
		if _, ok := o.swapping[w.Target.ID]; !ok || now < o.nextAsk[w.Target.ID] {
			continue
		}
		o.nextAsk[w.Target.ID] = now + reportPause
		wg.Go(func() {
			if _, err := o.report(ctx, w.Target); err != nil {
				logger.WithError(o.Log, err).WithField("target", w.Target.ID).Debug("target gave no report")
			}
		})
	}
	o.mu.Unlock()
	wg.Wait()
}
