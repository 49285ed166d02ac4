// Package forwarder is a reverse proxy and load balancer for inference engines
// and other HTTP services.
//
// A [Server] is one of several entry instances. It forwards the calls of
// callers to targets by the operator's routes and does not change their bodies.
// A call is one HTTP request of a caller. For an engine, the caller's headers
// state the hashes and lengths of the prompt's blocks, by which calls are sent
// to targets that have the blocks in their KV cache.
//
// A call passes through the steps in steps.go in order. A [HeaderCodec] encodes
// and decodes the headers of calls, and the sources of the watcher read the
// operator's configuration and the targets.
//
// Only its route decides whether a call may be retried after it may have run:
// calls of idempotent routes and resumable streams may be. Any other call is sent
// to a second target only after proof that the first one has not run it. Callers
// get status 429 or 503 only if the call has not run and will not run.
//
// # Usage
//
//	s := &forwarder.Server{Settings: set, Codec: codec, Watcher: w, Log: log}
//	err := s.Run(ctx) // returns after a graceful stop once ctx ends
package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/continuer"
	"github.com/papayaworks/papayaworks/internal/estimator"
	"github.com/papayaworks/papayaworks/internal/evacuator"
	"github.com/papayaworks/papayaworks/internal/exporter"
	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/listener"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/pooler"
	"github.com/papayaworks/papayaworks/internal/quarantiner"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/sleeper"
	"github.com/papayaworks/papayaworks/internal/throttler"
	"github.com/papayaworks/papayaworks/internal/updater"
	"github.com/papayaworks/papayaworks/internal/warmer"
	"github.com/papayaworks/papayaworks/internal/watcher"
)

const (
	// defaultDrainNotice is how long after the start of a stop the load balancer may still open new connections: it checks
	// the readiness once a second and removes an instance after two failed checks.
	defaultDrainNotice = 2500 * time.Millisecond
	// elsewhereReadyFraction is the same while other instances can read the configuration and this one cannot: the load balancer needs two
	// checks to move callers before keys cannot be checked here.
	elsewhereReadyFraction = 0.3
	// readyFraction is the age of the configuration above which an instance is not ready, as a fraction of KeyTTL.
	readyFraction = 0.62
	// longPollFraction is the longest wait of a long poll for a new configuration, as a fraction of the time for which API
	// keys are accepted. The age of the configuration counts from the time at which the last answered request was sent, so it
	// can reach two such waits.
	longPollFraction = 0.43
	// sharedReadFraction is the time between two reads of the configuration by an instance that others tell of changes, as a fraction of
	// KeyTTL. It is below readyFraction.
	sharedReadFraction = 0.55
	// configApplyFraction is the longest wait of a long poll as a fraction of ConfigApplyTimeout: a store that misses the
	// wake-up of a read returns a new configuration only at the end of the wait.
	configApplyFraction = 0.8
	// pollFraction is the interval between two reads of the targets, as a fraction of LeaveDetectionTimeout. It is below one
	// half, so that one read may fail.
	pollFraction = 0.48
	// closeNoticeDivisor divides the drain notice. The quotient is how long the listener stays open after the drain notice, so
	// that callers can notice that their connection is closed.
	closeNoticeDivisor = 3
	// finishMargin is how long before the end of the grace period the remaining requests are aborted.
	finishMargin = 400 * time.Millisecond
	// maxBodyBytes is the body size above which the connection is closed. A body between the configured limit and this size
	// is refused with an error response.
	maxBodyBytes = 16 << 20
	// maxResponseBytes bounds a response that is not a stream, which is kept in memory until it is complete.
	maxResponseBytes  = 8 << 20
	stopCheckInterval = 50 * time.Millisecond
)

// Settings are the settings of one instance.
type Settings struct {
	Instance   string
	DataCentre string
	// ListenAddress serves callers, ReadyAddress the readiness checks of the load balancer, and MetricsAddress the metrics;
	// no metrics are served if it is empty.
	ListenAddress, ReadyAddress, MetricsAddress string
	// PeerAddress is the address that receives the state broadcasts of the other instances.
	PeerAddress string
	// GracePeriod is the time between the request to stop and the moment the process is killed.
	GracePeriod time.Duration
	// DrainNotice is how long after the start of a stop new connections are still served; 0 means 2.5 s.
	DrainNotice time.Duration
	// LeaveDetectionTimeout is the time after which a target that has announced that it is leaving must receive no more calls.
	LeaveDetectionTimeout time.Duration
	// HeartbeatInterval is the time between two records of a target in the metadata store; 0 means the default of package watcher.
	HeartbeatInterval time.Duration
	// KeyTTL is the maximum age of the operator's configuration at which API keys are accepted; 0 means no limit.
	KeyTTL time.Duration
	// In each window of the length RetryWindow, all instances together may retry the share RetryShare of the calls, and
	// RetrySlack calls more.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// SupersededGrace is how long calls may start on superseded weights after a newer version was desired.
	SupersededGrace time.Duration
	// ConfigApplyTimeout is the time after which a published configuration must be in force; 0 means no limit.
	ConfigApplyTimeout time.Duration
	// EvacuateTimeout is the time after which the evacuation of a data centre must be in force; 0 means no limit.
	EvacuateTimeout time.Duration
	// Regions holds the regions of the data centres; routes and accounts name regions as their homes.
	Regions evacuator.Regions
	// LeaseGuardInterval is the time that must pass between commands of two different lease holders to targets.
	// FencingEnabled reports whether targets check fencing tokens; the interval is not needed then.
	LeaseGuardInterval time.Duration
	FencingEnabled     bool
	// LearnEngines reports whether engines are chosen by what was learned of them; see mayEstimate.
	LearnEngines bool
	// StorePartitions is the number of partitions of a topic in the metadata store, StoreWritesPerSecond the number of write calls that it
	// takes from all instances together; 0 means unknown.
	StorePartitions      int
	StoreWritesPerSecond float64
	// QueueCalls reports whether calls of plain services may wait in the instance while the targets refuse calls.
	QueueCalls bool
	// ColdBounds bound the requests that all instances together send to a target that is warming up.
	ColdBounds warmer.Bounds
	// MemoryBytes is the memory limit of the process, MaxFiles the limit of its descriptors; 0 means unknown.
	MemoryBytes int64
	MaxFiles    int
}

// longPollTimeout returns the longest wait of a long poll for a new configuration that keeps the bounds of the settings; 0 if
// there are none.
func (set *Settings) longPollTimeout() time.Duration {
	var out time.Duration
	if set.KeyTTL > 0 {
		out = time.Duration(longPollFraction * float64(set.KeyTTL-keyMargin))
	}
	if apply := time.Duration(configApplyFraction * float64(set.ConfigApplyTimeout)); apply > 0 && (out == 0 || apply < out) {
		out = apply
	}
	return set.evacuateInterval(out)
}

// sharedReadInterval returns the time between two reads of the configuration by an instance to which others say when it has changed. Only
// its own reads make API keys valid, and it must stay ready between them. It is 0 if there are no bounds.
func (set *Settings) sharedReadInterval() time.Duration {
	out := time.Duration(sharedReadFraction * float64(set.KeyTTL))
	if apply := time.Duration(configApplyFraction * float64(set.ConfigApplyTimeout)); apply > 0 && (out == 0 || apply < out) {
		out = apply
	}
	return set.evacuateInterval(out)
}

// Server is one entry instance. The exported fields are set before Run or Start.
type Server struct {
	Settings *Settings
	Codec    HeaderCodec
	Watcher  *watcher.Watcher
	// Updater sends weight-update commands until the targets have the desired versions. It may be nil. Start sets all of its
	// fields but the claim log and the client of the targets.
	Updater *updater.Updater
	// Announcer exchanges state with the other instances. If it is nil, this instance only considers its own calls.
	Announcer *announcer.Announcer
	// Archiver plans which KV cache is fetched from and saved to KV stores. It may be nil; nothing is fetched or saved then.
	Archiver *archiver.Archiver
	// Continuer knows the software versions at which broken streams may go on. Start sets its fields but the topics. It may be nil; a stream
	// then goes on at any target.
	Continuer *continuer.Continuer
	Log       logger.Logger
	// DroppedLogLines returns the number of log lines that were dropped. It may be nil.
	DroppedLogLines func() int64

	// stop is nil until Stop is called.
	stop atomic.Pointer[stopTimes]
	// stopping is closed when Stop is called.
	stopping chan struct{}
	// reloaded contains the settings of the last Reload; nil before the first one.
	reloaded atomic.Pointer[Settings]

	loads     *balancer.LoadTable
	estimates *estimator.Estimator
	// targetsByHash holds the targets of the view by the hashes that announcements use.
	targetsByHash atomic.Pointer[map[announcer.TargetHash]*cataloger.Target]
	health        *health
	retryBudgets  *retryBudgets
	pool          *pooler.Pool
	responses     *responseMemory
	waiting       waitingAttempts
	queues        queues
	throttle      *throttler.Table
	warming       *warmer.Table
	quarantine    *quarantiner.Quarantine
	crashes       crashDetector
	framing       framingTargets
	ending        endingCalls
	steps         []request.Stage[*Call]
	callerServer  *listener.Server
	readyServer   *listener.Server
	metrics       *exporter.ForwardingMetrics
	rateLimiter   *logger.RateLimiter
}

// settings returns the current settings.
func (s *Server) settings() *Settings {
	if set := s.reloaded.Load(); set != nil {
		return set
	}
	return s.Settings
}

// Reload replaces the settings; calls in progress continue. It is safe for concurrent use. What Start derives from the
// settings changes only after a restart: the addresses, the name of the instance, the interval at which the targets are read, and
// the guard interval of the updater.
func (s *Server) Reload(set *Settings) {
	previous := s.settings()
	changed := !reflect.DeepEqual(set, previous)
	s.reloaded.Store(set)
	s.warming.SetBounds(set.ColdBounds)
	s.Watcher.SetSharedReadInterval(set.sharedReadInterval())
	s.Watcher.SetLongPollTimeout(set.longPollTimeout())
	s.Log.WithField("changed", changed).WithField("addressesChanged", set.ListenAddress != previous.ListenAddress || set.ReadyAddress != previous.ReadyAddress).Info("settings reloaded")
}

// Run serves until ctx ends and then stops gracefully.
func (s *Server) Run(ctx context.Context) error { return listener.Serve(ctx, s) }

// Start starts the background tasks, which end with ctx, and serves callers. It returns once the addresses are bound.
func (s *Server) Start(ctx context.Context) error {
	s.stopping = make(chan struct{})
	s.loads = balancer.NewLoadTable()
	s.estimates = estimator.New()
	s.health = newHealth()
	s.retryBudgets = newRetryBudgets()
	s.pool = pooler.New()
	s.responses = newResponseMemory(s.Settings.MemoryBytes)
	s.throttle = throttler.New(s.Settings.Instance)
	s.throttle.Log = s.Log
	if s.Announcer == nil {
		s.throttle.SetInstances([]string{s.Settings.Instance}, time.Now())
	}
	s.startWarming()
	s.quarantine = quarantiner.New()
	s.quarantine.Log = s.Log
	s.crashes.s = s
	s.steps = s.newSteps()
	s.rateLimiter = &logger.RateLimiter{LinesPerSecond: linesPerSecond}
	s.metrics = s.newMetrics()
	if s.Archiver != nil {
		s.Archiver.Self = s.Settings.Instance
	}
	s.Watcher.BeforePublish = s.setSoftwareVersions
	s.Watcher.OnPublish = func(v *cataloger.View) { s.onPublish(ctx, v) }
	if s.Announcer != nil {
		s.connectAnnouncer(ctx)
		if err := s.Announcer.Start(); err != nil {
			return err
		}
		s.Watcher.OnRestore = s.Announcer.Refresh
	}
	if s.Updater != nil {
		s.Watcher.OnRecover = s.Updater.Refresh
	}
	s.Watcher.SetSharedReadInterval(s.Settings.sharedReadInterval())
	s.Watcher.LongPollTimeout = s.Settings.longPollTimeout()
	s.Watcher.HeartbeatInterval = s.Settings.HeartbeatInterval
	s.Watcher.PollInterval = time.Duration(pollFraction * float64(s.Settings.LeaveDetectionTimeout))
	go s.Watcher.Run(ctx)
	s.startUpdater(ctx)
	s.startContinuer(ctx)
	go s.withdrawWaiting(ctx)
	if s.Archiver != nil {
		go s.freeSuperseded(ctx)
	}
	if s.Announcer != nil {
		go s.Announcer.Run(ctx)
	}
	s.callerServer = s.newCallerServer()
	if _, err := s.callerServer.Start(); err != nil {
		return err
	}
	s.readyServer = s.newControlServer(s.Settings.ReadyAddress, s.serveReady)
	if _, err := s.readyServer.Start(); err != nil {
		return err
	}
	if err := s.serveMetrics(); err != nil {
		logger.WithError(s.Log, err).Error("could not serve metrics")
	}
	s.Log.WithField("address", s.Settings.ListenAddress).Info("serving")
	return nil
}

// connectAnnouncer connects the announcer to the parts of the server whose state is sent to and received from the peers.
func (s *Server) connectAnnouncer(ctx context.Context) {
	a := s.Announcer
	a.LocalLoad = func() announcer.Load {
		p := s.Watcher.Progress()
		l := announcer.Load{
			InFlightByTarget: announcer.HashTargets(s.loads.InFlightByTarget(time.Now())), Progress: p, ConfirmedAgeMs: p.ConfirmedAgeMs, Targets: s.Watcher.TargetsProgress(),
			Slowdowns: s.recentSlowdowns(time.Now()),
		}
		if s.Archiver != nil {
			l.Saves = s.Archiver.Saves(time.Now())
		}
		return l
	}
	a.OnLoad = func(l announcer.Load) {
		l.Progress.ConfirmedAgeMs = l.ConfirmedAgeMs
		s.Watcher.MergeProgress(l.Progress)
		s.Watcher.MergeTargetsProgress(l.Targets)
		s.mergeSlowdowns(l.Slowdowns, time.Now())
		if s.Archiver != nil {
			s.Archiver.MergeSaves(l.Saves, time.Now())
		}
	}
	a.LocalState = func() announcer.State {
		now := time.Now()
		st := s.loads.LocalState(now)
		if s.Archiver != nil {
			st.StoreUpdates, st.Saves = s.Archiver.Updates(), s.Archiver.Saves(now)
		}
		if s.Updater != nil {
			st.Swapping = s.Updater.SwappingTargets()
		}
		st.Published = s.recentVersions()
		st.Slowdowns = s.recentSlowdowns(now)
		st.Crashes, st.Quarantined = s.quarantine.Crashes(now), s.quarantine.Entries(now)
		st.Progress, st.Statements = s.Watcher.Progress(), s.throttle.Announced(now)
		st.Warming = s.warming.Announced(now)
		st.Departures = s.Watcher.Departures()
		st.ConfirmedAgeMs = st.Progress.ConfirmedAgeMs
		return st
	}
	if s.Archiver != nil {
		a.ShouldSend = s.Archiver.ShouldSend
	}
	a.OnState = func(st announcer.State) {
		now := time.Now()
		for _, v := range st.Versions {
			s.loads.SetVersion(balancer.WeightsKey{Target: v.Target, StartedUnixMs: v.StartedUnixMs, Model: v.Model}, v.Version)
		}
		if s.Updater != nil {
			s.Updater.Merge(st.Swapping)
		}
		s.mergePublishTimes(ctx, st.Published)
		st.Progress.ConfirmedAgeMs = st.ConfirmedAgeMs
		s.Watcher.MergeProgress(st.Progress)
		s.Watcher.MergeDepartures(st.Departures)
		s.throttle.Merge(st.Statements, now)
		s.mergeSlowdowns(st.Slowdowns, now)
		s.mergeWarming(st.Warming, now)
		if len(st.Crashes)+len(st.Quarantined) > 0 {
			s.quarantine.Merge(st.Crashes, st.Quarantined, now)
		}
		if s.Archiver != nil {
			s.Archiver.Merge(st.StoreUpdates, now)
			s.Archiver.MergeSaves(st.Saves, now)
		}
	}
	a.OnMembersChanged = func(ids []string) {
		s.throttle.SetInstances(ids, time.Now())
		s.setWarmingInstances(ids)
		s.Watcher.SetInstances(s.Settings.Instance, ids)
		if s.Archiver != nil {
			s.Archiver.SetInstances(ctx, ids)
		}
		if s.Updater != nil {
			s.Updater.SetInstances(ids)
		}
	}
}

func (s *Server) startUpdater(ctx context.Context) {
	u := s.Updater
	if u == nil {
		return
	}
	u.Holder, u.GuardInterval, u.Log = s.Settings.Instance, s.Settings.LeaseGuardInterval, s.Log
	if s.Settings.FencingEnabled {
		// Targets refuse the commands of an earlier holder, so the takeover delay needs no guard interval.
		u.GuardInterval = 0
	}
	u.View, u.VersionOf = s.Watcher.View, s.versionOf
	u.OnVersionReported = func(t *cataloger.Target, model string, version int64) {
		s.loads.RecordReportedVersion(balancer.WeightsKeyOf(t, model), version, time.Now())
	}
	if s.Announcer != nil {
		u.SetInstances(nil)
		u.OnClaim = s.Announcer.AnnounceNow
	}
	go u.Run(ctx)
}

// onPublish applies a new view. The watcher calls it from a single goroutine.
func (s *Server) onPublish(ctx context.Context, v *cataloger.View) {
	if s.Archiver != nil && v.Catalog != nil {
		s.Archiver.SetStores(ctx, v.Catalog.Stores())
	}
	ids := v.TargetIDs()
	s.loads.Retain(ids)
	s.health.setTargets(v)
	s.framing.retain(v)
	s.throttle.Retain(v, time.Now())
	s.retainEstimates(v)
	s.observeWarming(v, time.Now())
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := s.isReady(); !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(reason + "\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// isReady reports whether the load balancer should send new connections, or why not. An instance whose configuration will
// soon be too old to check API keys is not ready, so that the load balancer prefers others. If no instance is ready, it uses
// all of them.
func (s *Server) isReady() (bool, string) {
	v := s.Watcher.View()
	switch {
	case v.Draining:
		return false, "stopping"
	case v.Catalog == nil:
		return false, "no configuration yet"
	case s.settings().KeyTTL > 0 && s.Watcher.ConfigAge() > time.Duration(elsewhereReadyFraction*float64(s.settings().KeyTTL)) &&
		s.Watcher.IsReadElsewhere(time.Duration(readyFraction*float64(s.settings().KeyTTL))):
		return false, "other instances can read the configuration, this one cannot"
	case s.settings().KeyTTL > 0 && s.Watcher.ConfigAge() > time.Duration(readyFraction*float64(s.settings().KeyTTL)):
		return false, "configuration is too old to check API keys"
	}
	return true, ""
}

// serve runs the steps for one call.
func (s *Server) serve(w http.ResponseWriter, hr *http.Request) {
	c := &Call{W: w, HTTP: hr, ReceivedAt: time.Now(), View: s.Watcher.View()}
	if c.View.Draining {
		listener.CloseAfter(w)
	}
	defer func() { s.responses.release(c.heldBytes) }()
	defer s.ending.remove(c)
	step, err := request.RunStages(hr.Context(), s.steps, c)
	if err != nil {
		s.fail(c, step, err)
		return
	}
	s.report(c, outcomeAnswered, "", c.Response.Status, nil)
}

// fail sends an error response. If the response header has already been sent, it closes the connection instead, so that the
// caller sees that the response is truncated.
func (s *Server) fail(c *Call, step string, err error) {
	var re *request.Error
	if !errors.As(err, &re) {
		re = request.Fail(http.StatusInternalServerError, request.CodeInternal, "%v", err)
	}
	disconnected := c.HTTP.Context().Err() != nil
	switch {
	case disconnected:
		s.report(c, outcomeCallerGone, step, 0, err)
	case re.NotRun:
		s.report(c, outcomeRefused, step, re.Status, err)
	default:
		s.report(c, outcomeFailed, step, re.Status, err)
	}
	if c.HeaderSent || disconnected {
		listener.Abort(c.W)
		return
	}
	h := c.W.Header()
	h.Set("Content-Type", "application/json")
	s.Codec.WriteRefusal(h, c.Headers.ID, re.RetryAfter)
	c.W.WriteHeader(re.Status)
	_ = json.NewEncoder(c.W).Encode(request.NewErrorBody(re))
}

// stopTimes are the times of a graceful stop: noticeEnd is the end of the drain notice, end when the remaining requests are aborted.
type stopTimes struct{ noticeEnd, end time.Time }

// mayAbort reports whether a call would be aborted if it needed all of its time. Calls received during the drain notice are taken
// all the same, because the load balancer may not have another instance for them yet.
func (t *stopTimes) mayAbort(c *Call) bool {
	return t != nil && c.ReceivedAt.After(t.noticeEnd) && c.Deadline.After(t.end)
}

// Stop stops the server gracefully: it reports not ready, serves new connections during the drain notice, closes idle
// connections and the listener, and waits for the requests in progress. After the drain notice it refuses requests that it
// might have to abort. It returns an error if requests were still in progress shortly before the end of the grace period;
// these are aborted.
func (s *Server) Stop(ctx context.Context) error {
	startedAt := time.Now()
	s.Log.Info("stopping")
	s.Watcher.Apply(ctx, func(v *cataloger.View) *cataloger.View { return v.WithDraining() })
	notice := s.settings().DrainNotice
	if notice == 0 {
		notice = defaultDrainNotice
	}
	end := startedAt.Add(s.settings().GracePeriod - finishMargin)
	if s.stop.Swap(&stopTimes{noticeEnd: startedAt.Add(notice), end: end}) == nil {
		close(s.stopping)
	}
	s.stopQueues()
	sleeper.Sleep(ctx, notice)
	s.callerServer.CloseIdle()
	sleeper.Sleep(ctx, notice/closeNoticeDivisor)
	s.callerServer.CloseListener()
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	for s.callerServer.OpenConnections() > 0 && ctx.Err() == nil {
		s.callerServer.CloseIdle()
		sleeper.Sleep(ctx, stopCheckInterval)
	}
	s.ending.wait(context.WithoutCancel(ctx))
	active := s.callerServer.ActiveRequests()
	s.callerServer.Kill()
	s.flushStreams(ctx)
	s.readyServer.Kill()
	s.Log.WithField("cutOff", active).Info("stopped")
	if active > 0 {
		return failer.New("grace period ended with %d requests in progress", active)
	}
	return nil
}
