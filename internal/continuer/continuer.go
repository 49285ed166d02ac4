// Package continuer decides at which software version a broken stream may go on.
//
// Targets of one service may run several software versions, whose events do not fit
// together. A caller takes a broken stream up at any instance, and all instances may
// have ended since. A [Continuer] keeps the streams that its instance has begun, and
// leaves two things in the metadata store: a mark for each version of a service, before
// a further version is used, and a record of each stream of a service with several. A
// stream whose version is not known is not resolved: [ErrUnknown].
//
// Since a mark is acknowledged before its version gets calls, a read that finds no
// mark of a second version proves that all streams of the service began at the only
// one. A read counts only for the calls that have arrived before it was sent. The
// version that was in service alone when others appeared stays in use while the marks
// are written.
//
// # Usage
//
//	c := continuer.New()
//	c.Marks, c.Streams, c.Log = marks, streams, log
//	go c.Run(ctx)
//	c.SetVersions(view.Versions())                  // before calls are placed by the view
//	if !c.IsUsable(service, software) { ... }       // a target that gets no call yet
//	c.Begin(id, service, software)                  // the first event was forwarded
//	c.End(id)                                       // the stream has ended completely
//	s, err := c.Resolve(ctx, id, service)           // a call takes up the stream of request id
package continuer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/clocker"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// defaultFlushInterval is the time between two batches of streams. The streams of the last one are lost if an instance is killed.
	defaultFlushInterval = 100 * time.Millisecond
	// maxClockDifference is by how much the clocks of instances may differ. Records that are older than that beyond takeUpWindow are of
	// no use.
	maxClockDifference = time.Minute
)

// Continuer knows the streams that were begun and the software versions in service. Make it with [New] and set the exported fields
// before Run. Its methods may be called concurrently, SetVersions by one goroutine at a time.
type Continuer struct {
	Marks   Topic[Mark]
	Streams Topic[Stream]
	// FlushInterval returns the least time between two batches of streams. If it is nil, it is 100 ms.
	FlushInterval func() time.Duration
	Log           logger.Logger

	now    func() time.Duration
	unixMs func() int64
	// pause waits for a random part of a time.
	pause func(ctx context.Context, atMost time.Duration) bool

	mu sync.Mutex
	// state is replaced while mu is held.
	state   atomic.Pointer[state]
	hasView atomic.Bool
	streams *table
	// wake ends the wait before the next step.
	wake         chan struct{}
	marksReader  reader[Mark]
	streamReader reader[Stream]
	// marksReadAt and streamsReadAt are the values of now after the last read; 0 before the first one.
	marksReadAt, streamsReadAt atomic.Int64
	counters                   counters
}

// state is an immutable snapshot of what is known of software versions.
type state struct {
	history History
	// usable holds for the services with several versions which of them may get calls; nil if there is no such service.
	usable map[string]map[string]bool
}

// New returns a Continuer that knows no stream and no software version.
func New() *Continuer {
	c := &Continuer{
		Log:     logger.Discard(),
		now:     clocker.SinceBoot,
		unixMs:  func() int64 { return time.Now().UnixMilli() },
		streams: newTable(),
		wake:    make(chan struct{}, 1),
	}
	c.pause = func(ctx context.Context, atMost time.Duration) bool { return sleeper.Sleep(ctx, rand.N(atMost)) }
	c.state.Store(new(state))
	c.streams.queued = make(chan struct{}, 1)
	c.marksReader.topic, c.marksReader.apply = func() Topic[Mark] { return c.Marks }, c.applyMarks
	c.streamReader.topic, c.streamReader.apply = func() Topic[Stream] { return c.Streams }, c.applyStreams
	return c
}

// SetVersions applies the software versions that are in service, by service. It is called with each new view, before calls are placed by
// that.
func (c *Continuer) SetVersions(versions map[string][]string) {
	c.hasView.Store(true)
	if c.state.Load().history.hasVersions(versions) {
		return
	}
	c.update(func(h History) History {
		h, _ = h.WithVersions(versions, c.now())
		return h
	})
	if len(c.changes()) > 0 {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// IsUsable reports whether a target of the service with the software version may get calls.
func (c *Continuer) IsUsable(service, software string) bool {
	usable := c.state.Load().usable
	if usable == nil {
		return true
	}
	vs := usable[service]
	return vs == nil || vs[software]
}

// Begin records that the first event of a stream was forwarded, which came from a target of the service with the software version.
func (c *Continuer) Begin(id, service, software string) {
	if id == "" {
		return // nobody can take it up
	}
	c.streams.begin(Stream{ID: id, Service: service, Software: software, BegunUnixMs: c.unixMs()}, c.now())
	// The state is read after the stream was added, since update queues the streams that it finds after it has replaced the state.
	if c.state.Load().usable[service] != nil {
		c.streams.enqueueStream(id)
	}
}

// End records that a stream has ended completely.
func (c *Continuer) End(id string) { c.streams.end(id) }

// update replaces the history, and queues the streams of services that have got a second version.
func (c *Continuer) update(change func(History) History) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, old := c.now(), c.state.Load()
	s := &state{history: change(old.history)}
	for service, vs := range s.history.services {
		names := s.history.Versions(service, now)
		if len(names) < 2 {
			continue
		}
		if s.usable == nil {
			s.usable = map[string]map[string]bool{}
		}
		s.usable[service] = make(map[string]bool, len(vs))
		for software := range vs {
			s.usable[service][software] = s.history.IsUsable(service, software, now)
		}
	}
	c.state.Store(s)
	for service := range s.usable {
		if old.usable[service] == nil {
			c.Log.WithField("service", service).WithField("versions", s.history.Versions(service, now)).
				Info("service has several software versions")
			c.streams.enqueueService(service, false)
		}
	}
	for service := range old.usable {
		if s.usable[service] == nil {
			c.Log.WithField("service", service).Info("service has one software version again")
		}
	}
}

// changes returns the marks that have to be written or removed now.
func (c *Continuer) changes() []Mark {
	if !c.hasView.Load() {
		return nil
	}
	return c.state.Load().history.Changes(c.now())
}

// applyMarks applies marks that were read.
func (c *Continuer) applyMarks(marks []Mark, isReset, isNewEra bool) {
	if len(marks) == 0 && !isReset {
		return
	}
	c.update(func(h History) History {
		if isReset {
			h = h.WithoutMarks()
		}
		return h.WithRead(marks, c.now())
	})
	if isNewEra {
		c.Log.Warn("software versions are marked again, as the metadata store may have lost marks")
		for service := range c.state.Load().usable {
			c.streams.enqueueService(service, true)
		}
	}
}

// applyStreams applies streams that were read. What is known of streams holds on in a new era.
func (c *Continuer) applyStreams(streams []Stream, _, _ bool) {
	oldest := c.unixMs() - (takeUpWindow + maxClockDifference).Milliseconds()
	recent := make([]Stream, 0, len(streams))
	for _, s := range streams {
		if s.BegunUnixMs >= oldest {
			recent = append(recent, s)
		}
	}
	c.streams.merge(recent, c.now())
	c.Log.WithField("streams", len(streams)).WithField("recent", len(recent)).Debug("streams read")
}
