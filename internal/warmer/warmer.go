// Package warmer bounds the requests that targets get while they are warming up.
//
// A service may state how many requests per second a cold target accepts. Well above
// that the target crashes. A target is cold after its start, after it was unreachable
// and whenever it says so. The bound holds for the sum over all instances, also if they
// learn late that a target is cold or differ about the members.
//
// # Sharing a bound
//
// The instances keep the sum without a coordinator, as in package throttler. Only a few
// instances send to a cold target, chosen by rendezvous hashing over the members. Each
// sender leaves the same interval between two requests, saves nothing up, and starts
// with an interval. Within any second, n senders with a common rate r send at most n + r
// requests. [Bounds] derives n and r from three quarters of the bound; the rest is for
// instances whose members differ. An instance that becomes a sender waits until the
// others have noticed that as well. An instance that is no longer heard keeps its rank for
// a time, so that the sides of a partitioned deployment do not each choose senders.
//
// # Late information
//
// What an instance does not know counts as cold. A target whose connections fail gets
// requests of its senders only, which find out when it is back. From the first response
// on it counts as cold for the time that its service states, unless a later record of
// the target or a response says otherwise. A record may have been written before the
// failure and read after it, so that of the same process only the second one that
// follows counts.
//
// # Load pattern
//
// A data centre of 42 targets comes back at once. Its targets have no load, so that each
// of 72 instances prefers them: before this package a target got 20 requests in a second
// where 18.2 were allowed.
//
// # Usage
//
//	t := warmer.New("edge-1")
//	t.SetBounds(warmer.Bounds{Overage: 1.5, Slack: 5})
//	t.SetInstances(ids, now)
//	t.Observe(view, now)                            // a view was published
//	t.RecordReachable(p, now)                       // a response has arrived
//	t.Record(p, remaining, now)                     // which states how long the target stays cold
//	t.RecordUnreachable(p, now)                     // a connection has failed
//	if v := t.Check(p, now); v.Reason != "" { ... } // p must not get a request for v.Wait
//	if !t.Take(p, now) { ... }                      // right before a request is sent
package warmer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/throttler"
)

// Reason is the reason of a verdict on a target that must not get a request because it is warming up.
const Reason throttler.Reason = "warmup"

const (
	// confirmingRecords is the number of new records of the same process after which a record overrides what was observed. The first
	// one may have been written before that.
	confirmingRecords = 2
	// absenceTTL is how long a target without a record is remembered, because records are also missing after an outage of the metadata
	// store.
	absenceTTL = 10 * time.Minute
	// maxRemaining bounds how long a target is taken to be cold, and so the harm of a wrong value.
	maxRemaining = time.Hour
	// linesPerSecond limits the log lines by message.
	linesPerSecond = 10
)

// Messages of log lines.
const (
	messageUnreachable = "target is unreachable and gets requests of its senders only"
	messageCold        = "target is warming up"
	messageWarm        = "target is not warming up any more"
)

// Table holds which targets are cold. It is safe for concurrent use. A nil table holds none.
type Table struct {
	// Log may be nil. It gets a line when a target becomes unreachable, cold or warm.
	Log logger.Logger

	self    string
	limiter logger.RateLimiter
	// isBounded reports whether any target has a bound. It lets other deployments pass without the lock.
	isBounded atomic.Bool
	mu        sync.Mutex
	bounds    Bounds
	targets   map[string]*entry
	members   members
}

// entry is what is known of a target whose service has a bound.
type entry struct {
	share
	// startedUnixMs and sequence are those of the newest record.
	startedUnixMs, sequence int64
	// stated is the remaining time in that record.
	stated    time.Duration
	coldStart time.Duration
	coldUntil time.Time
	// unreachable reports that connections have failed since the last response. isDown reports that the process was found to have ended.
	unreachable, isDown bool
	// isPrivate reports that the last observation follows from failures whose cause may be the link of this instance.
	isPrivate bool
	// observedAt is when the target was last found cold, warm or unreachable by other means than its records, by any instance, and
	// observedHere when by this one.
	observedAt, observedHere time.Time
	// answeredAt is the time of the last response to this instance.
	answeredAt time.Time
	// unconfirmed is the number of further records of the process after which the newest one overrides what was observed.
	unconfirmed int
	// absentSince is since when the target has had no record; zero if it has one.
	absentSince time.Time
	// logged is the last message logged.
	logged string
}

// isRestricted reports whether only senders may send to the target.
func (e *entry) isRestricted(now time.Time) bool { return e.unreachable || now.Before(e.coldUntil) }

// New returns an empty table of an instance.
func New(self string) *Table {
	return &Table{self: self, targets: map[string]*entry{}, limiter: logger.RateLimiter{LinesPerSecond: map[string]int{
		messageUnreachable: linesPerSecond, messageCold: linesPerSecond, messageWarm: linesPerSecond,
	}}}
}

// hasTargets reports whether any target has a bound.
func (t *Table) hasTargets() bool { return t != nil && t.isBounded.Load() }

// SetBounds sets the bounds of the settings. Until it is called, a target gets no request while it is cold.
func (t *Table) SetBounds(b Bounds) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bounds = b
	for id, e := range t.targets {
		t.assign(id, e, time.Time{})
	}
}

// SetInstances sets the sorted IDs of all instances, this one included; nil means that none is known. Without members, this instance
// sends nothing to cold targets, as it cannot know whether it is a sender.
func (t *Table) SetInstances(ids []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.members.set(ids, t.self, now) {
		return
	}
	for id, e := range t.targets {
		t.assign(id, e, now.Add(handoverTime))
	}
}

// Observe applies a published view: the records of targets, and the bounds of their services.
func (t *Table) Observe(v *cataloger.View, now time.Time) {
	if v.Catalog == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[string]bool{}
	for name, svc := range v.Catalog.Services {
		if !(svc.ColdPerSecond > 0) {
			continue
		}
		for _, tgt := range v.Targets(name) {
			present[tgt.ID] = true
			t.observe(tgt, svc, now)
		}
	}
	for id, e := range t.targets {
		_, isRegistered := v.Target(id)
		switch {
		case present[id]:
		case isRegistered: // its service has no bound any more
			delete(t.targets, id)
		case e.absentSince.IsZero():
			e.absentSince = now
		case now.Sub(e.absentSince) > absenceTTL:
			delete(t.targets, id)
		}
	}
	t.isBounded.Store(len(t.targets) > 0)
}

// observe applies the record of a target; t.mu is held.
func (t *Table) observe(tgt *cataloger.Target, svc *cataloger.Service, now time.Time) {
	e := t.targets[tgt.ID]
	isNew := e == nil
	if !isNew && isOlder(tgt, e) {
		e.absentSince = time.Time{}
		return
	}
	if isNew {
		e = &entry{}
		t.targets[tgt.ID] = e
	}
	e.coldStart = svc.ColdStart
	if isNew || e.perSecond != svc.ColdPerSecond {
		e.perSecond = svc.ColdPerSecond
		t.assign(tgt.ID, e, time.Time{})
	}
	wasRestricted, wasAbsent := e.isRestricted(now), !e.absentSince.IsZero()
	isRestart := !isNew && tgt.StartedUnixMs != e.startedUnixMs
	isUpdate := tgt.Sequence != e.sequence || tgt.WarmupRemaining != e.stated
	e.startedUnixMs, e.sequence, e.stated, e.absentSince = tgt.StartedUnixMs, tgt.Sequence, tgt.WarmupRemaining, time.Time{}
	stated := now.Add(min(tgt.WarmupRemaining, maxRemaining))
	switch {
	case isNew, (isRestart || wasAbsent && isUpdate) && tgt.WarmupRemaining > 0, wasAbsent && isUpdate && !isRestart && !e.unreachable:
		e.coldUntil, e.unreachable, e.unconfirmed = stated, false, 0
	case isRestart, wasAbsent && !isUpdate:
		// The record may be from before the target was ready to state a time, so that only a further one shows that it is warm.
		e.coldUntil, e.unreachable, e.unconfirmed = now.Add(e.coldStart), false, 1
	case !isUpdate: // the same record, whose time already counts
	case e.unconfirmed > 1:
		e.unconfirmed--
		if stated.After(e.coldUntil) {
			e.coldUntil = stated
		}
	default:
		e.coldUntil, e.unreachable, e.unconfirmed = stated, false, 0
	}
	t.changed(tgt.ID, e, wasRestricted, now)
}

// isOlder reports whether a record was written before the newest one that was seen, as after the metadata store was restored from a copy.
func isOlder(tgt *cataloger.Target, e *entry) bool {
	return tgt.StartedUnixMs < e.startedUnixMs || tgt.StartedUnixMs == e.startedUnixMs && tgt.Sequence < e.sequence
}

// RecordReachable records that a response of a target has arrived. If the target was unreachable, it counts as cold from now on.
func (t *Table) RecordReachable(p throttler.Process, now time.Time) {
	if !t.hasTargets() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(p)
	if e == nil {
		return
	}
	e.answeredAt = now
	if e.unreachable {
		e.unreachable = false
		e.coldUntil, e.isPrivate = now.Add(e.coldStart), !e.isDown
		e.observedAt, e.observedHere = now, now
		t.changed(p.Target, e, true, now)
	}
}

// Record applies a response that states how long its target stays cold; 0 means that it is warm.
func (t *Table) Record(p throttler.Process, remaining time.Duration, now time.Time) {
	if !t.hasTargets() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(p)
	if e == nil {
		return
	}
	e.answeredAt = now
	wasRestricted := e.isRestricted(now)
	if !wasRestricted && remaining <= 0 {
		return
	}
	e.unreachable, e.coldUntil, e.unconfirmed = false, now.Add(min(remaining, maxRemaining)), confirmingRecords
	e.isPrivate, e.observedAt, e.observedHere = false, now, now
	t.changed(p.Target, e, wasRestricted, now)
}

// RecordUnreachable records that a connection to a target has failed. The link may be the cause, so the others are not told.
func (t *Table) RecordUnreachable(p throttler.Process, now time.Time) { t.recordFailure(p, false, now) }

// RecordDown records that a target has refused a connection, so that its process has ended. The others are told.
func (t *Table) RecordDown(p throttler.Process, now time.Time) { t.recordFailure(p, true, now) }

func (t *Table) recordFailure(p throttler.Process, isDown bool, now time.Time) {
	if !t.hasTargets() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(p)
	if e == nil {
		return
	}
	wasRestricted := e.isRestricted(now)
	e.isDown = isDown || e.unreachable && e.isDown
	e.isPrivate = !e.isDown
	e.unreachable, e.unconfirmed, e.observedAt, e.observedHere = true, confirmingRecords, now, now
	t.changed(p.Target, e, wasRestricted, now)
}

// entryOf returns the entry of a target, or nil if it has no bound or p has been replaced by a newer process; t.mu is held.
func (t *Table) entryOf(p throttler.Process) *entry {
	e := t.targets[p.Target]
	if e == nil || p.StartedUnixMs < e.startedUnixMs {
		return nil
	}
	return e
}

// changed starts the interval before the first request to a target that has become restricted, and logs changes; t.mu is held.
func (t *Table) changed(id string, e *entry, wasRestricted bool, now time.Time) {
	if !wasRestricted {
		e.logged = ""
	}
	message := messageWarm
	switch {
	case e.unreachable:
		message = messageUnreachable
	case now.Before(e.coldUntil):
		message = messageCold
	}
	if message != messageWarm && !wasRestricted {
		e.pacedFrom = now
	}
	if message == e.logged || message == messageWarm && e.logged == "" {
		return
	}
	e.logged = message
	if t.Log == nil {
		return
	}
	if ok, _ := t.limiter.Allow(message, now); ok {
		t.Log.WithFields(logrus.Fields{
			"target": id, "remainingMs": max(0, e.coldUntil.Sub(now)).Milliseconds(), "perSecond": e.perSecond, "senders": e.senders, "isSender": e.isSender,
		}).Info(message)
	}
}

// Check returns whether a target may get a request of this instance now.
func (t *Table) Check(p throttler.Process, now time.Time) throttler.Verdict {
	if !t.hasTargets() {
		return throttler.Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(p, now)
}

func (t *Table) check(p throttler.Process, now time.Time) throttler.Verdict {
	e := t.targets[p.Target]
	if e == nil || !e.isRestricted(now) {
		return throttler.Verdict{}
	}
	if wait := e.wait(t.members.settledAt, now); wait > 0 {
		return throttler.Verdict{Reason: Reason, Wait: wait}
	}
	return throttler.Verdict{}
}

// Take counts a request that is about to be sent to a target. It returns false if the target must not get it.
func (t *Table) Take(p throttler.Process, now time.Time) bool {
	if !t.hasTargets() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.check(p, now).Reason != "" {
		return false
	}
	if e := t.targets[p.Target]; e != nil {
		e.pacedFrom = now
	}
	return true
}
