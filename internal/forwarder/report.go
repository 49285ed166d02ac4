package forwarder

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayaworks/papayaworks/internal/exporter"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/pooler"
	"github.com/papayaworks/papayaworks/internal/retrier"
	"github.com/papayaworks/papayaworks/internal/throttler"
)

// Outcomes of calls, which are also the messages of their log lines, and other log messages.
const (
	outcomeAnswered      = "answered"
	outcomeRefused       = "refused"
	outcomeFailed        = "failed"
	outcomeCallerGone    = "callerGone"
	messageAttemptFailed = "attempt failed"
	messageUnread        = "request refused before it was read"
	messageSuppressed    = "lines were left out"
)

// linesPerSecond limits the log lines of one instance by message. Failures have higher limits than successes.
var linesPerSecond = map[string]int{outcomeAnswered: 20, outcomeCallerGone: 20, outcomeRefused: 50, outcomeFailed: 100, messageAttemptFailed: 50, messageUnread: 1, messageQueueInUse: 1}

// outcomeNames are the names of the outcomes of attempts in logs and metrics.
var outcomeNames = map[retrier.Outcome]string{
	retrier.Done: "done", retrier.NotRun: "notRun", retrier.Repeatable: "repeatable", retrier.Unknown: "unknown",
}

// Attempt is the log record of one attempt of a call at a target.
type Attempt struct {
	Target  string `json:"target"`
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	// ExpectedMs is the expected time to the first event; Outstanding is the known number of requests in flight at the target.
	ExpectedMs    int64 `json:"expectedMs"`
	Outstanding   int   `json:"busy"`
	WeightVersion int64 `json:"version,omitempty"`
	// Software is the software version of the target.
	Software string `json:"software,omitempty"`
	// SupersededMs is how long this instance took the weight version to be superseded when the attempt started.
	SupersededMs int64 `json:"supersededMs,omitempty"`
	DurationMs   int64 `json:"ms"`
	// Framing is how the end of the response was marked, EventBytes the length of the complete events of its stream, and
	// StreamEnd how the stream ended.
	Framing    pooler.Framing `json:"framing,omitempty"`
	EventBytes int            `json:"eventBytes,omitempty"`
	StreamEnd  string         `json:"streamEnd,omitempty"`
	responseEnd
	// Stopping reports whether this instance was stopping when the response ended.
	Stopping bool `json:"stopping,omitempty"`
}

// responseEnd describes for the log how the connection of a response ended and what was known of the target's process then.
type responseEnd struct {
	// Connection is empty if the end of the response was not the end of its connection.
	Connection string       `json:"connection,omitempty"`
	Process    processState `json:"process,omitempty"`
	// LostMs is how long before the end was checked the watch of the process had lost its connection.
	LostMs int64 `json:"lostMs,omitempty"`
}

// newResponseEnd describes the end of a response whose last read returned err; runs reports whether the target's process was found to run.
func newResponseEnd(framing pooler.Framing, err error, w *processWatch, runs bool) responseEnd {
	var out responseEnd
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		out.Connection = "reset"
	case errors.Is(err, io.ErrUnexpectedEOF), framing == pooler.FramingNone && errors.Is(err, io.EOF):
		out.Connection = "closed"
	}
	if w != nil {
		state, lostFor := w.state(time.Now())
		out.Process, out.LostMs = state, lostFor.Milliseconds()
		if runs && state != processConnected {
			out.Process = processOtherOpen
		}
	}
	return out
}

// report counts the outcome of a call and logs it, unless the line is suppressed.
func (s *Server) report(c *Call, outcome, step string, status int, err error) {
	route, account := "", ""
	if c.Route != nil {
		route = c.Route.Name
	}
	if c.Account != nil {
		account = c.Account.Name
	}
	first := time.Duration(0)
	if !c.FirstEventAt.IsZero() {
		first = c.FirstEventAt.Sub(c.ReceivedAt)
	}
	s.metrics.RecordCall(route, account, outcome, step, status, first)
	log, ok := s.loggerFor(outcome)
	if !ok {
		return
	}
	log = log.WithFields(logrus.Fields{
		"request": c.Headers.ID, "route": route, "account": account, "status": status, "ms": time.Since(c.ReceivedAt).Milliseconds(),
		"firstMs": first.Milliseconds(), "config": c.configVersion(), "keyAgeMs": s.Watcher.ConfigAge().Milliseconds(), "trials": c.Attempts,
	})
	if !c.Deadline.IsZero() {
		log = log.WithField("budgetMs", c.Deadline.Sub(c.ReceivedAt).Milliseconds())
	}
	if c.Headers.Resumes != "" {
		log = log.WithField("resumes", c.Headers.Resumes)
	}
	if c.queue.queuedFor > 0 {
		log = log.WithField("queuedMs", c.queue.queuedFor.Milliseconds())
	}
	if len(c.LeftOut) > 0 {
		leftOut := map[string]throttler.Reason{}
		for id, v := range c.LeftOut {
			leftOut[id] = v.Reason
		}
		log = log.WithField("leftOut", leftOut)
	}
	if err != nil {
		log = logger.WithError(log, err).WithField("step", step)
	}
	log.Info(outcome)
}

// recordAttempt adds an attempt to the call and counts it. If err is not nil, it logs the failure, unless the line is
// suppressed.
func (s *Server) recordAttempt(c *Call, t Attempt, out retrier.Outcome, err error) {
	t.Outcome = outcomeNames[out]
	c.Attempts = append(c.Attempts, t)
	s.metrics.RecordAttempt(c.Service.Name, t.Outcome, t.Reason)
	if err == nil {
		return
	}
	if log, ok := s.loggerFor(messageAttemptFailed); ok {
		log = logger.WithError(log, err).WithFields(logrus.Fields{"request": c.Headers.ID, "target": t.Target, "outcome": t.Outcome, "ms": t.DurationMs})
		if t.Process != "" {
			log = log.WithFields(logrus.Fields{"connection": t.Connection, "process": t.Process, "lostMs": t.LostMs, "stopping": t.Stopping})
		}
		log.Info(messageAttemptFailed)
	}
}

// recordStreamEnd adds to the last attempt how the stream of its response ended, and counts it.
func (s *Server) recordStreamEnd(c *Call, err error) {
	res, a := c.Response, &c.Attempts[len(c.Attempts)-1]
	a.EventBytes, a.StreamEnd = res.eventBytes, streamEndOf(c, err)
	a.responseEnd, a.Stopping = res.end, s.stop.Load() != nil
	s.metrics.RecordStreamEnd(c.Service.Name, string(a.Framing), a.StreamEnd)
}

// streamEndOf returns the name in logs and metrics for the end of a stream.
func streamEndOf(c *Call, err error) string {
	switch {
	case err == nil:
		return "complete"
	case c.HTTP.Context().Err() != nil:
		return "callerGone"
	case errors.Is(err, errIncompleteEvent):
		return "insideEvent"
	case errors.Is(err, errNoEvent):
		return "noEvent"
	case errors.Is(err, errUnconfirmed):
		return "unproven"
	case errors.Is(err, errTargetEnded):
		return "targetEnded"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	}
	return "failed"
}

// loggerFor returns the logger, and whether a line of the kind may be written now. It also logs the number of lines that were
// suppressed in the previous second.
func (s *Server) loggerFor(kind string) (logger.Logger, bool) {
	ok, suppressed := s.rateLimiter.Allow(kind, time.Now())
	if len(suppressed) > 0 {
		s.Log.WithField("kinds", suppressed).Info(messageSuppressed)
	}
	return s.Log, ok
}

func (c *Call) configVersion() int64 {
	if c.View.Catalog == nil {
		return 0
	}
	return c.View.Catalog.Version
}

func (s *Server) newMetrics() *exporter.ForwardingMetrics {
	g := exporter.ForwardingGauges{
		ConfigAge:   func() float64 { return s.Watcher.ConfigAge().Seconds() },
		Targets:     func() float64 { return float64(len(s.Watcher.View().TargetIDs())) },
		TargetsCold: func() float64 { return float64(s.warming.ColdCount(time.Now())) },
		Evacuated:   func() float64 { return float64(len(s.Watcher.View().Evacuated())) },
		CatalogVersion: func() float64 {
			if c := s.Watcher.View().Catalog; c != nil {
				return float64(c.Version)
			}
			return 0
		},
	}
	g.SlowdownTargets = func() float64 { return float64(s.estimates.StatedTargets(time.Now())) }
	if s.DroppedLogLines != nil {
		g.DroppedLogLines = func() float64 { return float64(s.DroppedLogLines()) }
	}
	if s.Announcer != nil {
		g.Peers = func() float64 { return float64(s.Announcer.PeerCount()) }
	}
	return exporter.NewForwardingMetrics(g)
}

// serveMetrics serves the metrics if an address is set.
func (s *Server) serveMetrics() error {
	if s.Settings.MetricsAddress == "" {
		return nil
	}
	l := s.newControlServer(s.Settings.MetricsAddress, func(w http.ResponseWriter, _ *http.Request) {
		s.recordEstimates(time.Now())
		s.metrics.Write(w)
	})
	_, err := l.Start()
	return err
}
