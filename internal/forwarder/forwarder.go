// Package forwarder is an entry instance for calls that are forwarded unchanged to targets.
//
// It serves callers whose requests name their prompt by its parts, and plain
// services, by the operator's routes. The path of a call is the ordered list in
// steps.go. How callers, targets and the platform's store spell what they say is
// given by a [Wire] and the sources of the watcher.
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
	// defaultNotice is how long after a stop began the balancer may still send new connections: it asks once a second and
	// takes an instance out after two misses.
	defaultNotice = 2500 * time.Millisecond
	// readyPart of the life of keys passes without a read of the configuration until an instance is not ready.
	readyPart = 0.62
	// waitPart of the time for which keys are trusted is the longest wait for a new configuration. Two such waits pass
	// between the question behind the last answer and the next answer.
	waitPart = 0.43
	// drainPart of the time in which a leaving target must be known passes between two reads of the targets; one read may
	// fail.
	drainPart = 0.48
	// closeDivisor: callers get this part of the notice, after it, to see that their connection will be closed.
	closeDivisor = 3
	// finishMargin is what is left of the grace time when the last requests are cut off.
	finishMargin = 400 * time.Millisecond
	// hardBodyBytes is the most that is read of a body; those over the configured limit are refused with an answer.
	hardBodyBytes   = 16 << 20
	maxAnswerBytes  = 8 << 20
	writeBufferSize = 1 << 20
	stopCheckPeriod = 50 * time.Millisecond
)

// Settings are the settings of one instance.
type Settings struct {
	Instance   string
	DataCentre string
	// Front and Ready are the addresses for callers and for the balancer's question; Metrics may be empty.
	Front, Ready, Metrics string
	// Peers is the address at which the other instances are heard.
	Peers string
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// Notice is how long after a stop began new connections are still served; 0 means the default.
	Notice time.Duration
	// Drain is the time after which a target that has said that it leaves must get no more calls.
	Drain time.Duration
	// KeyLife is how old the last read of the operator's configuration may be for keys to be trusted; 0 if keys are
	// trusted without it.
	KeyLife time.Duration
	// RetryShare and RetrySlack bound the calls that are sent again in a window of RetryWindow, over all instances.
	RetryShare  float64
	RetrySlack  int
	RetryWindow time.Duration
	// VersionTime is how long calls may begin on older weights after newer ones were named.
	VersionTime time.Duration
	// Lease is the time within which two holders must not give orders in turn; Fenced targets check fencing numbers.
	Lease  time.Duration
	Fenced bool
	// MemoryBytes is the most that the process may use.
	MemoryBytes int64
}

// Server is one entry instance.
type Server struct {
	Settings *Settings
	Wire     Wire
	Watcher  *watcher.Watcher
	// Orderer brings targets to the weights that were named; its fields that concern views are set by Start.
	Orderer *orderer.Orderer
	// Announcer may be nil; then this instance knows only its own calls.
	Announcer *announcer.Announcer
	// Archiver may be nil; then no kept context is fetched or saved.
	Archiver *archiver.Archiver
	Log      logger.Log
	// LostLines returns how many log lines were lost; it may be nil.
	LostLines func() int64

	// reloaded holds the settings that were read last, if they were read again.
	reloaded atomic.Pointer[Settings]

	book    *balancer.Book
	health  *health
	budgets *budgets
	pool    *pooler.Pool
	steps   []request.Stage[*Call]
	front   *listener.Server
	ready   *listener.Server
	metrics *exporter.Forwarding
	quota   *logger.Quota
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
	s.Log.WithField("changed", changed).WithField("addressesChanged", set.Front != old.Front || set.Ready != old.Ready).Info("settings were read again")
}

// Run serves until ctx ends and then stops gracefully.
func (s *Server) Run(ctx context.Context) error { return listener.Serve(ctx, s) }

// Start begins to serve; background work ends with ctx.
func (s *Server) Start(ctx context.Context) error {
	s.book = balancer.NewBook()
	s.health = newHealth()
	s.budgets = newBudgets()
	s.pool = pooler.New()
	s.steps = s.newSteps()
	s.quota = &logger.Quota{PerSecond: linesPerSecond}
	s.metrics = s.newMetrics()
	if s.Archiver != nil {
		s.Archiver.Self = s.Settings.Instance
	}
	s.Watcher.OnPublish = func(v *cataloger.View) { s.published(ctx, v) }
	s.Watcher.LongPollTimeout = time.Duration(waitPart * float64(s.Settings.KeyLife-keyMargin))
	s.Watcher.PollInterval = time.Duration(drainPart * float64(s.Settings.Drain))
	go s.Watcher.Run(ctx)
	s.startOrderer(ctx)
	if s.Archiver != nil {
		go s.freeReplaced(ctx)
	}
	if s.Announcer != nil {
		s.joinOthers(ctx)
		if err := s.Announcer.Start(); err != nil {
			return err
		}
		go s.Announcer.Run(ctx)
	}
	s.front = &listener.Server{
		Addr: s.Settings.Front, Handler: http.HandlerFunc(s.serve), MaxBodyBytes: hardBodyBytes, WriteBufferBytes: writeBufferSize,
	}
	if _, err := s.front.Start(); err != nil {
		return err
	}
	s.ready = &listener.Server{Addr: s.Settings.Ready, Handler: http.HandlerFunc(s.answerReady)}
	if _, err := s.ready.Start(); err != nil {
		return err
	}
	if err := s.serveMetrics(); err != nil {
		logger.WithError(s.Log, err).Error("metrics are not served")
	}
	s.Log.WithField("address", s.Settings.Front).Info("serving")
	return nil
}

// joinOthers has this instance tell the others what it knows, and take in what they tell.
func (s *Server) joinOthers(ctx context.Context) {
	a := s.Announcer
	a.LocalState = func() announcer.State {
		now := time.Now()
		st := s.book.Announcement(now)
		if s.Archiver != nil {
			st.StoreUpdates = s.Archiver.Updates()
		}
		if s.Orderer != nil {
			st.Swapping = s.Orderer.News()
		}
		return st
	}
	if s.Archiver != nil {
		a.ShouldSend = s.Archiver.ShouldSend
	}
	a.OnState = func(st announcer.State) {
		now := time.Now()
		for _, v := range st.Versions {
			s.book.SetVersion(balancer.Weights{Target: v.Target, Born: v.StartedUnixMs, Model: v.Model}, v.Version)
		}
		if s.Orderer != nil {
			s.Orderer.Hear(st.Swapping)
		}
		if s.Archiver != nil && len(st.StoreUpdates) > 0 {
			s.Archiver.Merge(st.StoreUpdates, now)
		}
	}
	a.OnMembersChanged = func(ids []string) {
		if s.Archiver != nil {
			s.Archiver.SetInstances(ctx, ids)
		}
		if s.Orderer != nil {
			s.Orderer.SetInstances(ids)
		}
	}
}

func (s *Server) startOrderer(ctx context.Context) {
	o := s.Orderer
	if o == nil {
		return
	}
	o.Holder, o.Apart, o.Log = s.Settings.Instance, s.Settings.Lease, s.Log
	if s.Settings.Fenced {
		// Targets refuse the orders of an earlier holder, so a successor need not wait for more than its silence.
		o.Apart = 0
	}
	o.View, o.VersionOf = s.Watcher.View, s.versionOf
	o.Learned = func(t *cataloger.Target, model string, version int64) {
		s.book.Reported(balancer.WeightsOf(t, model), version, time.Now())
	}
	if s.Announcer != nil {
		o.SetInstances(nil)
		o.Claimed = s.Announcer.AnnounceNow
	}
	go o.Run(ctx)
}

// published runs on the control goroutine for each new view.
func (s *Server) published(ctx context.Context, v *cataloger.View) {
	if s.Archiver != nil && v.Catalog != nil {
		s.Archiver.SetStores(ctx, v.Catalog.Stores())
	}
	ids := v.TargetIDs()
	s.book.Keep(ids)
	s.health.setTargets(v)
}

func (s *Server) answerReady(w http.ResponseWriter, _ *http.Request) {
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
	case s.settings().KeyLife > 0 && s.Watcher.ConfigAge() > time.Duration(readyPart*float64(s.settings().KeyLife)):
		return false, "keys are too old"
	}
	return true, ""
}

// serve takes one call through the steps.
func (s *Server) serve(w http.ResponseWriter, hr *http.Request) {
	c := &Call{W: w, HTTP: hr, Received: time.Now(), View: s.Watcher.View()}
	if c.View.Draining {
		listener.CloseAfter(w)
	}
	step, err := request.Walk(hr.Context(), s.steps, c)
	if err != nil {
		s.fail(c, step, err)
		return
	}
	s.report(c, outcomeAnswered, "", c.Answer.Status, nil)
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
		s.report(c, outcomeGone, step, 0, err)
	case re.NotRun:
		s.report(c, outcomeRefused, step, re.Status, err)
	default:
		s.report(c, outcomeFailed, step, re.Status, err)
	}
	if c.Begun || gone {
		listener.Drop(c.W)
		return
	}
	h := c.W.Header()
	h.Set("Content-Type", "application/json")
	s.Wire.Refuse(h, c.Ask.ID, re.RetryAfter)
	c.W.WriteHeader(re.Status)
	_ = json.NewEncoder(c.W).Encode(request.Body(re))
}

// Stop lets go: not ready first, then callers are told to leave, then the last requests end.
func (s *Server) Stop(ctx context.Context) error {
	begun := time.Now()
	s.Log.Info("stopping")
	s.Watcher.Apply(ctx, func(v *cataloger.View) *cataloger.View { return v.WithDraining() })
	notice := s.settings().Notice
	if notice == 0 {
		notice = defaultNotice
	}
	sleeper.Sleep(ctx, notice)
	s.front.CloseIdle()
	sleeper.Sleep(ctx, notice/closeDivisor)
	s.front.Refuse()
	left := s.settings().Grace - finishMargin - time.Since(begun)
	ctx, cancel := context.WithTimeout(ctx, max(left, 0))
	defer cancel()
	for s.front.Connections() > 0 && ctx.Err() == nil {
		s.front.CloseIdle()
		sleeper.Sleep(ctx, stopCheckPeriod)
	}
	active := s.front.Active()
	s.front.Kill()
	s.ready.Kill()
	s.Log.WithField("cutOff", active).Info("stopped")
	if active > 0 {
		return failer.New("the grace time ended with %d requests in progress", active)
	}
	return nil
}
