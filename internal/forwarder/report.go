package forwarder

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayaworks/papayaworks/internal/exporter"
	"github.com/papayaworks/papayaworks/internal/listener"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/retrier"
)

// The outcomes of calls; each is also the message of its log line.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeFailed   = "failed"
	outcomeGone     = "callerGone"
	lineAttempt     = "attempt failed"
	lineLeftOut     = "lines were left out"
)

// linesPerSecond bounds the log lines of one instance: failures are kept before successes.
var linesPerSecond = map[string]int{outcomeAnswered: 20, outcomeGone: 20, outcomeRefused: 50, outcomeFailed: 100, lineAttempt: 50}

// outcomes are the names of what is known of an attempt.
var outcomes = map[retrier.Outcome]string{
	retrier.Done: "done", retrier.NotRun: "notRun", retrier.Repeatable: "repeatable", retrier.Unknown: "unknown",
}

// Trial is one send of a call with what decided it.
type Trial struct {
	Target  string `json:"target"`
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	// ExpectedMs is the time to the first event that was expected; Busy is what was known to be in flight there.
	ExpectedMs int64 `json:"expectedMs"`
	Busy       int   `json:"busy"`
	Version    int64 `json:"version,omitempty"`
	Ms         int64 `json:"ms"`
}

// report writes the line of a call's outcome and counts it.
func (s *Server) report(c *Call, outcome, step string, status int, err error) {
	route, account := "", ""
	if c.Route != nil {
		route = c.Route.Name
	}
	if c.Account != nil {
		account = c.Account.Name
	}
	first := time.Duration(0)
	if !c.First.IsZero() {
		first = c.First.Sub(c.Received)
	}
	s.metrics.Call(route, account, outcome, step, status, first)
	log, ok := s.line(outcome)
	if !ok {
		return
	}
	log = log.WithFields(logrus.Fields{
		"request": c.Ask.ID, "route": route, "account": account, "status": status, "ms": time.Since(c.Received).Milliseconds(),
		"firstMs": first.Milliseconds(), "config": c.configVersion(), "keyAgeMs": s.Watcher.ConfigAge().Milliseconds(), "trials": c.Trials,
	})
	if !c.Deadline.IsZero() {
		log = log.WithField("budgetMs", c.Deadline.Sub(c.Received).Milliseconds())
	}
	if err != nil {
		log = logger.WithError(log, err).WithField("step", step)
	}
	log.Info(outcome)
}

// attempted records a send of a call.
func (s *Server) attempted(c *Call, t Trial, out retrier.Outcome, err error) {
	t.Outcome = outcomes[out]
	c.Trials = append(c.Trials, t)
	s.metrics.Attempt(c.Service.Name, t.Outcome, t.Reason)
	if err == nil {
		return
	}
	if log, ok := s.line(lineAttempt); ok {
		logger.WithError(log, err).WithFields(logrus.Fields{"request": c.Ask.ID, "target": t.Target, "outcome": t.Outcome, "ms": t.Ms}).Info(lineAttempt)
	}
}

// line returns the logger if a line of the kind may be written now.
func (s *Server) line(kind string) (logger.Log, bool) {
	ok, left := s.quota.Allow(kind, time.Now())
	if len(left) > 0 {
		s.Log.WithField("kinds", left).Info(lineLeftOut)
	}
	return s.Log, ok
}

func (c *Call) configVersion() int64 {
	if c.View.Catalog == nil {
		return 0
	}
	return c.View.Catalog.Version
}

func (s *Server) newMetrics() *exporter.Forwarding {
	g := exporter.ForwardingGauges{
		KeyAge:  func() float64 { return s.Watcher.ConfigAge().Seconds() },
		Targets: func() float64 { return float64(len(s.Watcher.View().TargetIDs())) },
		Catalog: func() float64 {
			if c := s.Watcher.View().Catalog; c != nil {
				return float64(c.Version)
			}
			return 0
		},
	}
	if s.LostLines != nil {
		g.LostLines = func() float64 { return float64(s.LostLines()) }
	}
	if s.Announcer != nil {
		g.Peers = func() float64 { return float64(s.Announcer.PeerCount()) }
	}
	return exporter.NewForwarding(g)
}

// serveMetrics serves the metrics on their own address, if there is one.
func (s *Server) serveMetrics() error {
	if s.Settings.Metrics == "" {
		return nil
	}
	l := &listener.Server{Addr: s.Settings.Metrics, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { s.metrics.Write(w) })}
	_, err := l.Start()
	return err
}
