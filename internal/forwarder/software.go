package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/admitter"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/request"
)

const (
	// flushInterval is the least time between two batches of begun streams. Those of the last interval are lost with the instance.
	flushInterval = 100 * time.Millisecond
	// flushTimeout bounds the last batch, so that the end of the instance is not delayed beyond its grace period.
	flushTimeout = finishMargin / 2
	// flushShare is the share of the write calls of the metadata store that the batches of all instances together use.
	flushShare = 0.25
	// unknownSoftwareRetryAfter is the advised retry delay, before jitter, if it is not known which software version began a stream. A
	// record that is on its way arrives within it.
	unknownSoftwareRetryAfter = 2 * flushInterval
	// noSoftwareRetryAfter is the same if no target has the software version.
	noSoftwareRetryAfter = time.Second
)

// startContinuer starts the exchange of what is known of begun streams.
func (s *Server) startContinuer(ctx context.Context) {
	if s.Continuer == nil {
		return
	}
	s.Continuer.Log, s.Continuer.FlushInterval = s.Log, s.streamFlushInterval
	go s.Continuer.Run(ctx)
}

// flushStreams writes what is known of the streams that the stop has cut, whose callers may take them up at other instances.
func (s *Server) flushStreams(ctx context.Context) {
	if s.Continuer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	if err := s.Continuer.Flush(ctx); err != nil {
		logger.WithError(s.Log, err).Warn("could not write the last streams")
	}
}

// streamFlushInterval returns the time between two batches of begun streams.
func (s *Server) streamFlushInterval() time.Duration {
	writes := flushShare * s.settings().StoreWritesPerSecond
	if writes <= 0 {
		return flushInterval
	}
	return max(flushInterval, time.Duration(float64(s.instanceCount())/writes*float64(time.Second)))
}

// setSoftwareVersions tells the continuer which software versions serve the streams that may be taken up.
func (s *Server) setSoftwareVersions(v *cataloger.View) {
	if s.Continuer == nil || v.Catalog == nil {
		return
	}
	versions := map[string][]string{}
	for _, name := range v.Catalog.ResumableServices() {
		versions[name] = v.SoftwareVersions(name)
	}
	s.Continuer.SetVersions(versions)
}

// isMarked reports whether new streams may begin at a target: its software version is known to every instance that may have to take them up.
func (s *Server) isMarked(t *cataloger.Target) bool {
	return s.Continuer == nil || s.Continuer.IsUsable(t.Service, t.Software)
}

// softwareAllowed reports whether the stream of the call may go on at a target.
func (c *Call) softwareAllowed(t *cataloger.Target) bool {
	return c.software == nil || *c.software == t.Software
}

// Results of requests that take up a stream, in metrics.
const (
	takeUpAllowed  = "allowed"
	takeUpUnknown  = "unknown"
	takeUpNoTarget = "noTarget"
)

// resolveSoftware finds out which software version began the stream that a call takes up. It refuses the call if that is not known or no
// target has the version, since text of two versions must not be joined.
func (s *Server) resolveSoftware(ctx context.Context, c *Call) error {
	if s.Continuer == nil || !c.Route.Resumable || c.Headers.LastEventID == "" {
		return nil
	}
	begun, err := s.Continuer.Resolve(ctx, c.Headers.Resumes, c.Service.Name)
	if err != nil {
		s.metrics.RecordTakeUp(c.Service.Name, takeUpUnknown)
		return refuseTakeUp(unknownSoftwareRetryAfter, "%v", err)
	}
	if begun.Service != c.Service.Name {
		svc := c.View.Catalog.Services[begun.Service]
		if svc == nil || !c.Route.LeadsTo(begun.Service) {
			return nil // the operator has moved the route to another service since
		}
		c.Service = svc
	}
	c.software = &begun.Software
	if !slices.ContainsFunc(s.Watcher.View().Targets(c.Service.Name), func(t *cataloger.Target) bool { return !t.Leaving && c.softwareAllowed(t) }) {
		s.metrics.RecordTakeUp(c.Service.Name, takeUpNoTarget)
		return refuseTakeUp(noSoftwareRetryAfter, "no target has the software version %q that began it", begun.Software)
	}
	s.metrics.RecordTakeUp(c.Service.Name, takeUpAllowed)
	return nil
}

func refuseTakeUp(retryAfter time.Duration, format string, args ...any) error {
	return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "stream cannot be taken up: "+format, args...).
		WithRetryAfter(admitter.Jitter(retryAfter, rand.Uint64()))
}

// recordStreamBegin binds the stream to the software version of the target whose first event is forwarded.
func (s *Server) recordStreamBegin(c *Call) {
	if !c.Route.Resumable {
		return
	}
	t := c.Response.Target
	c.software = &t.Software
	if s.Continuer != nil {
		s.Continuer.Begin(c.Headers.ID, t.Service, t.Software)
	}
}

// recordStreamComplete notes that nobody will take the stream up, as its caller gets all of it.
func (s *Server) recordStreamComplete(c *Call) {
	if s.Continuer != nil && c.Route.Resumable {
		s.Continuer.End(c.Headers.ID)
	}
}
