// Package forwarder is an entry instance for calls that are forwarded unchanged to targets.
//
// It serves callers whose requests name their prompt by its parts, and plain
// services, by the operator's routes. The path of a call is the ordered list in
// steps.go. How callers, targets and the platform's store spell what they say is
// given by a [Codec] and the sources of the watcher.
//
// What may be sent again follows from the kind of the call's route alone. A call
// that may not be repeated is sent to a second target only after a proof that
// the first one has not run it, and 429 and 503 are answered only if it has not
// run and will not.
//
// # Usage
//
//	s := &forwarder.Server{Settings: set, Wire: wire, Watcher: w, Log: log}
//	err := s.Run(ctx) // returns after a graceful stop once ctx ends
package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/exporter"
	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/listener"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/orderer"
	"github.com/papayaworks/papayaworks/internal/pooler"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/sleeper"
	"github.com/papayaworks/papayaworks/internal/watcher"
)

const (
	// defaultDrainNotice is how long after a stop began the balancer may still send new connections: it asks once a second and
	// takes an instance out after two misses.
	defaultDrainNotice = 2500 * time.Millisecond
	// readyFraction of the life of keys passes without a read of the configuration until an instance is not ready.
	readyFraction = 0.62
	// longPollFraction of the time for which keys are trusted is the longest wait for a new configuration. Two such waits pass
	// between the question behind the last answer and the next answer.
	longPollFraction = 0.43
	// pollFraction of the time in which a leaving target must be known passes between two reads of the targets; one read may
	// fail.
	pollFraction = 0.48
	// closeNoticeDivisor: callers get this part of the notice, after it, to see that their connection will be closed.
	closeNoticeDivisor = 3
	// finishMargin is what is left of the grace time when the last requests are cut off.
	finishMargin = 400 * time.Millisecond
	// maxBodyBytes is the most that is read of a body; those over the configured limit are refused with an answer.
	maxBodyBytes      = 16 << 20
	maxResponseBytes  = 8 << 20
	writeBufferBytes  = 1 << 20
	stopCheckInterval = 50 * time.Millisecond
)

// Settings are the settings of one instance.
type Settings struct {
	Instance   string
	DataCentre string
	// ListenAddress and ReadyAddress are the addresses for callers and for the balancer's question; MetricsAddress may be empty.
	ListenAddress, ReadyAddress, MetricsAddress string
	// PeerAddress is the address at which the other instances are heard.
	PeerAddress string
	// GracePeriod is the time from the request to stop until the process is killed.
	GracePeriod time.Duration
	// DrainNotice is how long after a stop began new connections are still served; 0 means the default.
	DrainNotice time.Duration
	// LeaveDetectionTimeout is the time after which a target that has said that it leaves must get no more calls.
	LeaveDetectionTimeout time.Duration
	// KeyTTL is how old the last read of the operator's configuration may be for keys to be trusted; 0 if keys are
	// trusted without it.
	KeyTTL time.Duration
	// RetryShare and RetrySlack bound the calls that are sent again in a window of RetryWindow, over all instances.
	RetryShare  float64
	RetrySlack  int
	RetryWindow time.Duration
	// SupersededGrace is how long calls may begin on older weights after newer ones were named.
	SupersededGrace time.Duration
	// LeaseGuardInterval is the time within which two holders must not give orders in turn; FencingEnabled: targets check fencing numbers.
	LeaseGuardInterval time.Duration
	FencingEnabled     bool
	// MemoryBytes is the most that the process may use.
	MemoryBytes int64
}

// Server is one entry instance.
type Server struct {
	Settings *Settings
	Codec    HeaderCodec
	Watcher  *watcher.Watcher
	// Updater brings targets to the weights that were named; its fields that concern views are set by Start.
	Updater *orderer.Orderer
	// Announcer may be nil; then this instance knows only its own calls.
	Announcer *announcer.Announcer
	// Archiver may be nil; then no kept context is fetched or saved.
	Archiver *archiver.Archiver
	Log      logger.Logger
	// DroppedLogLines returns how many log lines were lost; it may be nil.
	DroppedLogLines func() int64

	// reloaded holds the settings that were read last, if they were read again.
	reloaded atomic.Pointer[Settings]

	loads        *balancer.Book
	health       *health
	retryBudgets *retryBudgets
	pool         *pooler.Pool
	steps        []request.Stage[*Call]
	callerServer *listener.Server
	readyServer  *listener.Server
	metrics      *exporter.ForwardingMetrics
	rateLimiter  *logger.RateLimiter
}

// settings returns the settings in force.
func (s *Server) settings() *Settings {
	if set := s.reloaded.Load(); set != nil {
		return set
	}
	return s.Settings
}

// Reload takes settings that were read again. Calls in progress go on; addresses stay as they were at the start.
func (s *Server) Reload(set *Settings) {
	old := s.settings()
	changed := *set != *old
	s.reloaded.Store(set)
	s.Log.WithField("changed", changed).WithField("addressesChanged", set.ListenAddress != old.ListenAddress || set.ReadyAddress != old.ReadyAddress).Info("settings were read again")
}

// Run serves until ctx ends and then stops gracefully.
func (s *Server) Run(ctx context.Context) error { return listener.Serve(ctx, s) }

// Start begins to serve; background work ends with ctx.
func (s *Server) Start(ctx context.Context) error {
	s.loads = balancer.NewBook()
	s.health = newHealth()
	s.retryBudgets = newRetryBudgets()
	s.pool = pooler.New()
	s.steps = s.newSteps()
	s.rateLimiter = &logger.RateLimiter{LinesPerSecond: linesPerSecond}
	s.metrics = s.newMetrics()
	if s.Archiver != nil {
		s.Archiver.Self = s.Settings.Instance
	}
	s.Watcher.Published = func(v *cataloger.View) { s.onPublish(ctx, v) }
	s.Watcher.Wait = time.Duration(longPollFraction * float64(s.Settings.KeyTTL-keyMargin))
	s.Watcher.Pause = time.Duration(pollFraction * float64(s.Settings.LeaveDetectionTimeout))
	go s.Watcher.Run(ctx)
	s.startUpdater(ctx)
	if s.Archiver != nil {
		go s.freeSuperseded(ctx)
	}
	if s.Announcer != nil {
		s.connectAnnouncer(ctx)
		if err := s.Announcer.Start(); err != nil {
			return err
		}
		go s.Announcer.Run(ctx)
	}
	s.callerServer = &listener.Server{
		Addr: s.Settings.ListenAddress, Handler: http.HandlerFunc(s.serve), MaxBodyBytes: maxBodyBytes, WriteBufferBytes: writeBufferBytes,
	}
	if _, err := s.callerServer.Start(); err != nil {
		return err
	}
	s.readyServer = &listener.Server{Addr: s.Settings.ReadyAddress, Handler: http.HandlerFunc(s.serveReady)}
	if _, err := s.readyServer.Start(); err != nil {
		return err
	}
	if err := s.serveMetrics(); err != nil {
		logger.WithError(s.Log, err).Error("metrics are not served")
	}
	s.Log.WithField("address", s.Settings.ListenAddress).Info("serving")
	return nil
}

// connectAnnouncer has this instance tell the others what it knows, and take in what they tell.
func (s *Server) connectAnnouncer(ctx context.Context) {
	a := s.Announcer
	a.State = func() announcer.State {
		now := time.Now()
		st := s.loads.Announcement(now)
		if s.Archiver != nil {
			st.Kept = s.Archiver.News()
		}
		if s.Updater != nil {
			st.Swapping = s.Updater.News()
		}
		return st
	}
	if s.Archiver != nil {
		a.Tells = s.Archiver.Tells
	}
	a.Heard = func(st announcer.State) {
		now := time.Now()
		for _, v := range st.Versions {
			s.loads.SetVersion(balancer.Weights{Target: v.Target, Born: v.Born, Model: v.Model}, v.Version)
		}
		if s.Updater != nil {
			s.Updater.Hear(st.Swapping)
		}
		if s.Archiver != nil && len(st.Kept) > 0 {
			s.Archiver.Hear(st.Kept, now)
		}
	}
	a.Changed = func(ids []string) {
		if s.Archiver != nil {
			s.Archiver.SetInstances(ctx, ids)
		}
		if s.Updater != nil {
			s.Updater.SetInstances(ids)
		}
	}
}

func (s *Server) startUpdater(ctx context.Context) {
	o := s.Updater
	if o == nil {
		return
	}
	o.Holder, o.Apart, o.Log = s.Settings.Instance, s.Settings.LeaseGuardInterval, s.Log
	if s.Settings.FencingEnabled {
		// Targets refuse the orders of an earlier holder, so a successor need not wait for more than its silence.
		o.Apart = 0
	}
	o.View, o.VersionOf = s.Watcher.View, s.versionOf
	o.Learned = func(t *cataloger.Target, model string, version int64) {
		s.loads.Reported(balancer.WeightsOf(t, model), version, time.Now())
	}
	if s.Announcer != nil {
		o.SetInstances(nil)
		o.Claimed = s.Announcer.Prompt
	}
	go o.Run(ctx)
}

// onPublish runs on the control goroutine for each new view.
func (s *Server) onPublish(ctx context.Context, v *cataloger.View) {
	if s.Archiver != nil && v.Catalog != nil {
		s.Archiver.SetStores(ctx, v.Catalog.Stores())
	}
	ids := v.IDs()
	s.loads.Keep(ids)
	s.health.setTargets(v)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, why := s.isReady(); !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(why + "\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// isReady reports whether new connections are welcome. An instance whose keys will soon be too old is not ready, so
// that the balancer prefers others; if all are in the same state it uses all of them.
func (s *Server) isReady() (bool, string) {
	v := s.Watcher.View()
	switch {
	case v.Draining:
		return false, "stopping"
	case v.Catalog == nil:
		return false, "no configuration yet"
	case s.settings().KeyTTL > 0 && s.Watcher.Age() > time.Duration(readyFraction*float64(s.settings().KeyTTL)):
		return false, "keys are too old"
	}
	return true, ""
}

// serve takes one call through the steps.
func (s *Server) serve(w http.ResponseWriter, hr *http.Request) {
	c := &Call{W: w, HTTP: hr, ReceivedAt: time.Now(), View: s.Watcher.View()}
	if c.View.Draining {
		listener.CloseAfter(w)
	}
	step, err := request.RunStages(hr.Context(), s.steps, c)
	if err != nil {
		s.fail(c, step, err)
		return
	}
	s.report(c, outcomeAnswered, "", c.Response.Status, nil)
}

// fail answers with an error unless the answer has already begun; then the connection is dropped, so that the caller
// sees that the answer is not complete.
func (s *Server) fail(c *Call, step string, err error) {
	var re *request.Error
	if !errors.As(err, &re) {
		re = request.Fail(http.StatusInternalServerError, request.CodeInternal, "%v", err)
	}
	gone := c.HTTP.Context().Err() != nil
	switch {
	case gone:
		s.report(c, outcomeCallerGone, step, 0, err)
	case re.NotRun:
		s.report(c, outcomeRefused, step, re.Status, err)
	default:
		s.report(c, outcomeFailed, step, re.Status, err)
	}
	if c.HeaderSent || gone {
		listener.Abort(c.W)
		return
	}
	h := c.W.Header()
	h.Set("Content-Type", "application/json")
	s.Codec.WriteRefusal(h, c.Headers.ID, re.RetryAfter)
	c.W.WriteHeader(re.Status)
	_ = json.NewEncoder(c.W).Encode(request.NewErrorBody(re))
}

// Stop lets go: not ready first, then callers are told to leave, then the last requests end.
func (s *Server) Stop(ctx context.Context) error {
	begun := time.Now()
	s.Log.Info("stopping")
	s.Watcher.Apply(ctx, func(v *cataloger.View) *cataloger.View { return v.WithDraining() })
	notice := s.settings().DrainNotice
	if notice == 0 {
		notice = defaultDrainNotice
	}
	sleeper.Sleep(ctx, notice)
	s.callerServer.CloseIdle()
	sleeper.Sleep(ctx, notice/closeNoticeDivisor)
	s.callerServer.CloseListener()
	left := s.settings().GracePeriod - finishMargin - time.Since(begun)
	ctx, cancel := context.WithTimeout(ctx, max(left, 0))
	defer cancel()
	for s.callerServer.OpenConnections() > 0 && ctx.Err() == nil {
		s.callerServer.CloseIdle()
		sleeper.Sleep(ctx, stopCheckInterval)
	}
	active := s.callerServer.ActiveRequests()
	s.callerServer.Kill()
	s.readyServer.Kill()
	s.Log.WithField("cutOff", active).Info("stopped")
	if active > 0 {
		return failer.New("the grace time ended with %d requests in progress", active)
	}
	return nil
}
