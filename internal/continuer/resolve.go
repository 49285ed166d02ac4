package continuer

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// resolveTimeout bounds the time for which a call waits for the metadata store. It is above the store's usual latency by far, and below
// what callers notice of a repeated request.
const resolveTimeout = 700 * time.Millisecond

// ErrUnknown means that it is not known which software version began a stream.
var ErrUnknown = errors.New("the software version that began the stream is unknown")

// Stats counts the results of [Continuer.Resolve].
type Stats struct {
	// Memory, Topic and Single count streams by what resolved them: the streams that this instance knew, those that it then read, and
	// that the service has one version.
	Memory, Topic, Single int64
	// NoRecord, Conflicting, Unnamed, Unread and NoVersion count unknown streams: without a record, with records that differ, without
	// an ID, because the metadata store could not be read in time, and because the service is not known to have a version.
	NoRecord, Conflicting, Unnamed, Unread, NoVersion int64
}

// counters holds the values of [Stats].
type counters struct {
	memory, topic, single, noRecord, conflicting, unnamed, unread, noVersion atomic.Int64
}

// Stats returns how many streams were resolved, and how many were unknown, since the start.
func (c *Continuer) Stats() Stats {
	n := &c.counters
	return Stats{
		Memory: n.memory.Load(), Topic: n.topic.Load(), Single: n.single.Load(), NoRecord: n.noRecord.Load(),
		Conflicting: n.conflicting.Load(), Unnamed: n.unnamed.Load(), Unread: n.unread.Load(), NoVersion: n.noVersion.Load(),
	}
}

// unknown counts a stream that is not resolved and returns its error.
func unknown(n *atomic.Int64, reason string) (Stream, error) {
	n.Add(1)
	return Stream{}, fmt.Errorf("%w: %s", ErrUnknown, reason)
}

// Resolve returns the stream of the request with the ID, at whose software version a call may go on that takes it up. Service is the one
// to which the call would go; the stream may have begun at another one. The error wraps [ErrUnknown]. An empty ID is that of a caller
// that has not named its stream.
func (c *Continuer) Resolve(ctx context.Context, id, service string) (Stream, error) {
	n := &c.counters
	s, found, isConflicting := c.streams.find(id, c.now())
	switch {
	case isConflicting:
		return unknown(&n.conflicting, "records of it differ")
	case found:
		n.memory.Add(1)
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	var streamsRead chan error
	startRead := func() {
		streamsRead = make(chan error, 1)
		go func() { streamsRead <- c.readStreams(ctx) }()
	}
	if id != "" && len(c.versions(service)) > 1 {
		startRead()
	}
	marksErr := c.readMarks(ctx)
	versions := c.versions(service)
	if marksErr == nil && len(versions) < 2 && streamsRead == nil {
		return c.resolveSingle(id, service, versions)
	}
	if id == "" {
		if marksErr != nil {
			return unknown(&n.unread, marksErr.Error())
		}
		return unknown(&n.unnamed, "the call does not name it")
	}
	if streamsRead == nil {
		startRead()
	}
	streamsErr := <-streamsRead
	s, found, isConflicting = c.streams.find(id, c.now())
	switch {
	case isConflicting:
		return unknown(&n.conflicting, "records of it differ")
	case found:
		n.topic.Add(1)
		return s, nil
	case errors.Join(marksErr, streamsErr) != nil:
		return unknown(&n.unread, errors.Join(marksErr, streamsErr).Error())
	}
	if versions = c.versions(service); len(versions) < 2 {
		return c.resolveSingle(id, service, versions)
	}
	return unknown(&n.noRecord, "the service has several software versions and there is no record of the stream")
}

// resolveSingle returns a stream of a service with at most one version, by a read that was sent after the call arrived.
func (c *Continuer) resolveSingle(id, service string, versions []string) (Stream, error) {
	if len(versions) == 0 || !c.state.Load().history.IsObserved(service, versions[0], c.now()) {
		return unknown(&c.counters.noVersion, "no target of the service is known")
	}
	c.counters.single.Add(1)
	return Stream{ID: id, Service: service, Software: versions[0]}, nil
}

// versions returns the versions that may have begun a stream of the service.
func (c *Continuer) versions(service string) []string {
	return c.state.Load().history.Versions(service, c.now())
}

// readMarks reads all marks that were acknowledged when it was called.
func (c *Continuer) readMarks(ctx context.Context) error {
	calledAt := c.now()
	if err := c.marksReader.read(ctx); err != nil {
		return fmt.Errorf("could not read the marks of software versions: %w", err)
	}
	c.marksReadAt.Store(int64(c.now()))
	if len(c.changes()) > 0 {
		c.update(func(h History) History { return h.WithCaughtUp(calledAt) })
	}
	return nil
}

// readStreams reads all streams that were acknowledged when it was called.
func (c *Continuer) readStreams(ctx context.Context) error {
	if err := c.streamReader.read(ctx); err != nil {
		return fmt.Errorf("could not read the streams: %w", err)
	}
	c.streamsReadAt.Store(int64(c.now()))
	return nil
}
