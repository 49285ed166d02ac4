// Package throttler keeps to what targets say about the requests that they accept.
//
// A target may name a limit: the number of requests per second that it accepts from
// all instances together, for as long as its responses say so. It may say that it is
// leaving, which holds until its process has ended, whatever its record in the
// metadata store says. When it refuses a request, it may say for how long it accepts
// none of this instance. Such statements are bans: a target that accepts no request
// gets none, even if no other target is left.
//
// # Sharing a limit
//
// The instances keep the sum without a coordinator. Each learns the limits from the
// responses that it receives and from the announcements of the others. Of all
// instances, only a few send to a limited target, chosen by rendezvous hashing over
// the members, so that all choose the same ones and other targets have other senders.
// Each sender leaves the same interval between two requests. It saves nothing up, and
// starts with an interval, so that a group of senders cannot start with a burst.
//
// Within any time d, n senders with a common rate r send at most n + r*d requests.
// The number of senders grows with the limit, so that the first term stays small
// against what targets tolerate, with room for senders that change.
//
// # Load pattern
//
// An engine in need names a limit of some two requests per second while 82 instances
// send it fifty. One request of each instance is already more than it accepts in 4 s.
//
// # Usage
//
//	t := throttler.New("edge-1")
//	t.SetInstances(ids, now)
//	t.Record(p, statement, now)                    // a response has arrived
//	t.Merge(announced, now)                        // from another instance
//	if v := t.Check(p, now); v.Reason != "" { ... } // p must not get a request for v.Wait
//	if !t.Take(p, now) { ... }                     // right before a request is sent
package throttler

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/hasher"
	"github.com/papayaworks/papayaworks/internal/logger"
)

const (
	// baseSenders is the number of instances that send to a target with a limit below one request per second. Each full request
	// per second adds one.
	baseSenders = 2
	// minLimit is the least limit per second that is enforced. Only a response can show that a limit has ended, so some request
	// must be sent.
	minLimit = 0.1
	// limitFraction is the fraction of a limit that is used, since responses of requests in flight count too.
	limitFraction = 0.9
	// announceTime is how long a statement is announced after it was received.
	announceTime = 10 * time.Second
	// maxPause is the longest time for which a target gets no requests because it has refused one. It bounds the harm of a wrong value.
	maxPause = time.Hour
	// absenceTTL is how long the statements of a process that is not registered are kept, because records of targets are also missing
	// after an outage of the metadata store.
	absenceTTL = 10 * time.Minute
)

// Process identifies a process of a target.
type Process struct {
	Target string `msgpack:"t"`
	// StartedUnixMs is the start of the process in Unix milliseconds.
	StartedUnixMs int64 `msgpack:"b"`
}

// ProcessOf returns the current process of a target.
func ProcessOf(t *cataloger.Target) Process {
	return Process{Target: t.ID, StartedUnixMs: t.StartedUnixMs}
}

// Statement is what a response says about the requests that its target accepts.
type Statement struct {
	// Limit is the number of requests per second from all instances together; nil means no limit.
	Limit *float64 `msgpack:"l,omitempty"`
	// LimitUnreadable reports that the response has a limit that cannot be read. What was said before holds on.
	LimitUnreadable bool `msgpack:"-"`
	// Leaving reports that the process will end. It does not withdraw that.
	Leaving bool `msgpack:"e,omitempty"`
	// RetryAfter is how long the target accepts no request of the instance that it has refused one; 0 if it has not said so.
	RetryAfter time.Duration `msgpack:"r,omitempty"`
}

// Announced is a statement as it is sent to other instances.
type Announced struct {
	Process   Process   `msgpack:"p"`
	Statement Statement `msgpack:"s"`
	// Age is the time since the response was received.
	Age time.Duration `msgpack:"a"`
}

// Reason says why a target must not get a request. It is empty if it may.
type Reason string

// Reasons for which a target gets no request.
const (
	// ReasonLimit is that the share of this instance in the target's limit is used up.
	ReasonLimit Reason = "limit"
	// ReasonOtherSenders is that other instances use the target's limit.
	ReasonOtherSenders Reason = "limitOfOthers"
	// ReasonLeaving is that the target has said that it is leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonRetryAfter is that the target has refused a request of this instance and said when the next one may come.
	ReasonRetryAfter Reason = "retryAfter"
)

// Verdict says whether a target may get a request now.
type Verdict struct {
	Reason Reason
	// Wait is the time after which an instance may send a request to the target; 0 if there is no such time.
	Wait time.Duration
}

// Table holds the statements of targets. It is safe for concurrent use.
type Table struct {
	// Log may be nil. It gets a line when a limit begins, changes or ends.
	Log logger.Logger

	self string

	mu        sync.Mutex
	processes map[Process]*entry
	instances []string
}

// entry is the newest statement of a process.
type entry struct {
	limit float64
	// limited reports whether limit applies.
	limited bool
	leaving bool
	// pausedUntil is when the target accepts requests of this instance again, and pausedElsewhereUntil the same for another instance.
	pausedUntil, pausedElsewhereUntil time.Time
	// statedAt is when the newest statement was received by any instance, and receivedAt when by this one.
	statedAt, receivedAt time.Time
	// pacedFrom is when the interval before the next request of this instance begins: the last request, or the moment at which this
	// instance became a sender.
	pacedFrom time.Time
	isSender  bool
	senders   int
	// absentSince is since when the process has not been in the view; zero if it is.
	absentSince time.Time
}

// New returns an empty table of an instance.
func New(self string) *Table { return &Table{self: self, processes: map[Process]*entry{}} }

// SetInstances sets the sorted IDs of all instances, this one included. Until it is called, this instance sends nothing to limited
// targets, as it cannot know its share.
func (t *Table) SetInstances(ids []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = ids
	for p, e := range t.processes {
		t.assign(p, e, now)
	}
}

// Record applies the statement of a response that this instance has received.
func (t *Table) Record(p Process, s Statement, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.apply(p, s, now, now)
	if e == nil {
		return
	}
	e.receivedAt = now
	if until := now.Add(min(s.RetryAfter, maxPause)); s.RetryAfter > 0 && until.After(e.pausedUntil) {
		e.pausedUntil = until
		t.log(p, "target accepts no requests for a time", logrus.Fields{"retryAfterMs": s.RetryAfter.Milliseconds()})
	}
}

// Merge applies the statements that another instance has announced.
func (t *Table) Merge(as []Announced, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range as {
		e := t.apply(a.Process, a.Statement, now.Add(-a.Age), now)
		if until := now.Add(min(a.Statement.RetryAfter, maxPause)); e != nil && until.After(e.pausedElsewhereUntil) {
			e.pausedElsewhereUntil = until
		}
	}
}

// apply applies a statement unless a newer one is known. It returns the entry of the process, or nil if there is nothing to keep.
func (t *Table) apply(p Process, s Statement, statedAt, now time.Time) *entry {
	e := t.processes[p]
	if e == nil {
		if s.Limit == nil && !s.Leaving && s.RetryAfter <= 0 {
			return nil
		}
		e = &entry{pacedFrom: now}
		t.processes[p] = e
	}
	if s.Leaving && !e.leaving {
		e.leaving = true
		t.log(p, "target says that it is leaving", logrus.Fields{})
	}
	if statedAt.Before(e.statedAt) || s.LimitUnreadable {
		return e
	}
	e.statedAt = statedAt
	if s.Limit == nil {
		if e.limited {
			t.log(p, "target names no limit any more", logrus.Fields{})
		}
		e.limited = false
		return e
	}
	limit := max(minLimit, *s.Limit)
	if e.limited && e.limit == limit {
		return e
	}
	if !e.limited {
		e.pacedFrom = now
	}
	e.limited, e.limit = true, limit
	t.assign(p, e, now)
	t.log(p, "target names a limit", logrus.Fields{"perSecond": limit, "senders": e.senders, "isSender": e.isSender})
	return e
}

func (t *Table) log(p Process, message string, fields logrus.Fields) {
	if t.Log != nil {
		t.Log.WithField("target", p.Target).WithFields(fields).Info(message)
	}
}

// assign determines whether this instance is a sender of a limited process; t.mu is held.
func (t *Table) assign(p Process, e *entry, now time.Time) {
	if !e.limited {
		return
	}
	wasSender := e.isSender
	e.senders = int(min(float64(len(t.instances)), baseSenders+math.Floor(e.limit)))
	e.isSender = hasher.Rank(hasher.Hash(p.Target), t.self, t.instances) < e.senders
	if e.isSender && !wasSender {
		e.pacedFrom = now
	}
}

// interval returns the time between two requests of a sender.
func (e *entry) interval() time.Duration {
	return time.Duration(float64(max(1, e.senders)) / (limitFraction * e.limit) * float64(time.Second))
}

// Check returns whether a process may get a request of this instance now.
func (t *Table) Check(p Process, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(p, now)
}

func (t *Table) check(p Process, now time.Time) Verdict {
	e := t.processes[p]
	switch {
	case e == nil:
		return Verdict{}
	case e.leaving:
		return Verdict{Reason: ReasonLeaving}
	case now.Before(e.pausedUntil):
		return Verdict{Reason: ReasonRetryAfter, Wait: e.pausedUntil.Sub(now)}
	case !e.limited:
		return Verdict{}
	case !e.isSender:
		return Verdict{Reason: ReasonOtherSenders, Wait: e.interval() / time.Duration(max(1, e.senders))}
	}
	if wait := e.pacedFrom.Add(e.interval()).Sub(now); wait > 0 {
		return Verdict{Reason: ReasonLimit, Wait: wait}
	}
	return Verdict{}
}

// IsPausedElsewhere reports whether the process accepts no requests of another instance for a time. It would most likely refuse one of
// this instance too.
func (t *Table) IsPausedElsewhere(p Process, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.processes[p]
	return e != nil && now.Before(e.pausedElsewhereUntil)
}

// Take counts a request that is about to be sent to a process. It returns false if the process must not get it.
func (t *Table) Take(p Process, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.check(p, now).Reason != "" {
		return false
	}
	if e := t.processes[p]; e != nil {
		e.pacedFrom = now
	}
	return true
}

// Announced returns the statements that this instance has recently received, and the limits of which it is a sender, so that new
// instances learn them.
func (t *Table) Announced(now time.Time) []Announced {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Announced
	for p, e := range t.processes {
		isRecent := e.receivedAt.Equal(e.statedAt) && now.Sub(e.receivedAt) <= announceTime
		if !isRecent && !(e.limited && e.isSender) {
			continue
		}
		a := Announced{Process: p, Statement: Statement{Leaving: e.leaving, RetryAfter: max(0, e.pausedUntil.Sub(now))}, Age: now.Sub(e.statedAt)}
		if e.limited {
			limit := e.limit
			a.Statement.Limit = &limit
		}
		out = append(out, a)
	}
	return out
}

// Retain removes the processes that have not been in a view for absenceTTL.
func (t *Table) Retain(v *cataloger.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, e := range t.processes {
		switch tgt, ok := v.Target(p.Target); {
		case ok && ProcessOf(tgt) == p:
			e.absentSince = time.Time{}
		case e.absentSince.IsZero():
			e.absentSince = now
		case now.Sub(e.absentSince) > absenceTTL:
			delete(t.processes, p)
		}
	}
}
