// Package server implements an entry instance, which accepts requests from
// callers and dispatches them to targets.
//
// A request passes through the pipeline of steps that steps.go lists in order.
// The control state (configuration, members, states of targets and KV stores)
// is owned by the controller's goroutine, which publishes it as immutable views;
// each request uses one view. Besides serving requests, an instance polls
// targets and KV stores, exchanges state with its peers by gossip, follows the
// published configuration, and competes for the lease of the weight swapper.
//
// # Usage
//
//	s := server.New(settings, cfg, log, rec, as)
//	err := s.Run(ctx) // returns after a graceful stop once ctx ends
package server

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/controller"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/exporter"
	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/fencer"
	"github.com/papayaworks/papayaworks/internal/gossiper"
	"github.com/papayaworks/papayaworks/internal/ledger"
	"github.com/papayaworks/papayaworks/internal/listener"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/server/dispatcher"
	"github.com/papayaworks/papayaworks/internal/server/gatekeeper"
	"github.com/papayaworks/papayaworks/internal/signer"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/internal/versioner"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// The HTTP listener closes the connection if a request body exceeds the listener's limit, which is therefore higher than
// the configured one: a caller whose body is moderately oversized still receives a JSON error.
const (
	hardBodyFactor   = 4
	minHardBodyBytes = 32 << 20
)

// Server is one entry instance, created by New. Its exported fields must not be changed after Start or Run.
type Server struct {
	Settings *configurer.Settings
	// Initial is the configuration until a published version has been received from the log or a peer.
	Initial  *configurer.Config
	Log      logger.Logger
	Recorder *recorder.Recorder
	Asserter *asserter.Asserter
	// Network opens connections to other processes; nil means the network of the host.
	Network Network

	signer  *signer.Signer
	client  *dialer.Client
	peers   *membership
	control *controller.Controller
	tracker *tracker.Tracker
	retries *dispatcher.RetryState
	gate    *gatekeeper.Gate
	// ledger and versions are nil if the settings contain no log address.
	ledger   *ledger.Ledger
	versions *versioner.Versioner
	// configSource exchanges configuration records with peers; nil without a log.
	configSource gossiper.ConfigSource
	// usage exchanges the usage of the account limits with peers once per gossip period.
	usage gossiper.UsageExchanger
	// leases is nil if the settings contain no log address.
	leases   *fencer.Fencer
	metrics  *exporter.Metrics
	http     *listener.Server
	pipeline atomic.Pointer[pipeline]
	ids      atomic.Uint64
	// bootID distinguishes request IDs from those of an earlier process with the same instance ID.
	bootID string
	addr   atomic.Value
	ready  chan struct{}
}

// Network opens connections to other processes. Tests use an implementation that simulates partitions.
type Network interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
	PacketConn(net.PacketConn) net.PacketConn
}

// pipeline is the list of steps for one configuration.
type pipeline struct {
	cfg   *configurer.Config
	steps []request.Step
}

// New returns an instance that is ready to run. Unless as has its own OnViolation, violations are counted in the
// instance's metrics.
func New(set *configurer.Settings, cfg *configurer.Config, log logger.Logger, rec *recorder.Recorder, as *asserter.Asserter) *Server {
	s := &Server{Settings: set, Initial: cfg, Log: log, Recorder: rec, Asserter: as, ready: make(chan struct{}),
		bootID: strconv.FormatUint(rand.Uint64(), 36)}
	s.metrics = s.newMetrics()
	if as != nil && as.OnViolation == nil {
		as.OnViolation = s.metrics.RecordViolation
	}
	return s
}

// View returns the current view of the control state. It may be called concurrently once the instance is started.
func (s *Server) View() *view.View { return s.control.View() }

// Ready returns a channel that is closed once the instance serves requests.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Addr returns the address on which callers are served, or "" before Start.
func (s *Server) Addr() string {
	a, _ := s.addr.Load().(string)
	return a
}

// Start starts serving and returns. The background work of the instance ends with ctx.
func (s *Server) Start(ctx context.Context) error {
	s.signer = &signer.Signer{}
	for _, k := range s.Settings.Keys.Token {
		raw, err := hex.DecodeString(k)
		if err != nil {
			return failer.Wrap(err, "decode token key", "", "start")
		}
		s.signer.Keys = append(s.signer.Keys, raw)
	}
	s.client = dialer.New()
	if s.Network != nil {
		s.client = dialer.NewWithDial(s.Network.DialContext)
	}
	s.tracker = tracker.New(time.Now)
	s.retries = dispatcher.NewRetryState()
	s.gate = gatekeeper.NewGate(s.Settings.Instance.ID, s.Settings.Instance.DataCentre)
	s.usage = s.gate
	s.control = controller.New(view.New(s.Initial, 0, s.Settings.Instance.DataCentre))
	s.peers = &membership{s: s, localMarks: map[string]time.Time{}, reportedDraining: map[string]bool{}, listedLeaving: map[string]bool{}, lastBroadcast: map[string]time.Time{}}
	s.control.OnPublish = s.onPublish
	s.startLog(ctx)
	s.onPublish(s.control.View())
	go s.control.Run(ctx)
	if err := s.peers.start(ctx); err != nil {
		return err
	}
	s.startPollers(ctx)
	s.startStorePollers(ctx)
	s.http = &listener.Server{
		Addr: s.Settings.Instance.Listen, Handler: s.routes(),
		MaxBodyBytes:     max(minHardBodyBytes, hardBodyFactor*s.Initial.Limits.MaxBodyBytes),
		WriteBufferBytes: s.Initial.Limits.StreamBufferBytes,
	}
	addr, err := s.http.Start()
	if err != nil {
		return err
	}
	s.addr.Store(addr)
	close(s.ready)
	s.Log.WithField("address", addr).Info("serving")
	s.Recorder.Record(recorder.Event{Kind: "serving", Peer: addr})
	return nil
}

// Run serves until ctx ends and then stops gracefully.
func (s *Server) Run(ctx context.Context) error { return listener.Serve(ctx, s) }

// Stop drains the instance: it turns readiness off, accepts no new connections, and waits for the requests in progress
// for at most the configured drain time. It then flushes the ledger and leaves the membership.
func (s *Server) Stop(ctx context.Context) error {
	s.Log.Info("draining")
	s.Recorder.Record(recorder.Event{Kind: "draining"})
	s.control.Apply(ctx, func(v *view.View) *view.View { return v.WithDraining(true) })
	cfg := s.control.View().Config
	ctx, cancel := context.WithTimeout(ctx, configurer.Milliseconds(cfg.Timing.DrainMs))
	defer cancel()
	err := s.http.Stop(ctx)
	s.Asserter.Check(asserter.GracefulStop, err == nil, "stop aborted %d requests", s.http.ActiveRequests())
	s.flushLedger(ctx)
	s.peers.leave(ctx)
	s.Recorder.Record(recorder.Event{Kind: "stopped"})
	return err
}

// Kill stops serving at once, as if the process had crashed. It is for tests and the demo.
func (s *Server) Kill() {
	s.http.Kill()
	s.peers.kill()
}

// onPublish rebuilds the request pipeline if the configuration changed, and passes the view on to the gate and the
// membership. It runs on the controller's goroutine.
func (s *Server) onPublish(v *view.View) {
	if p := s.pipeline.Load(); p == nil || p.cfg != v.Config {
		s.pipeline.Store(&pipeline{cfg: v.Config, steps: s.newSteps(v.Config)})
	}
	s.gate.SetMembers(v.Members, time.Now())
	s.peers.onPublish(v)
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/", s.serve)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /events", s.events)
	mux.HandleFunc("GET /metrics", s.metricsPage)
	mux.HandleFunc("GET /config", s.config)
	mux.HandleFunc("GET /status", s.status)
	return mux
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if s.control.View().Draining {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("draining\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) events(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	for _, e := range s.Recorder.Events() {
		if enc.Encode(e) != nil {
			return
		}
	}
}

// serve runs one request through the pipeline.
func (s *Server) serve(w http.ResponseWriter, hr *http.Request) {
	r := &request.Request{
		W: w, HTTP: hr, ReceivedAt: time.Now(), View: s.control.View(),
		ID: s.Settings.Instance.ID + "-" + s.bootID + "-" + strconv.FormatUint(s.ids.Add(1), 36),
	}
	defer s.metrics.StartRequest()()
	defer func() {
		if r.Release != nil {
			r.Release()
		}
	}()
	machine := requestChart.Start()
	for _, st := range s.pipeline.Load().steps {
		err := st.Run(hr.Context(), r)
		s.recordDecision(r, st)
		machine = s.advance(r, machine, eventOf(st, err))
		if err != nil {
			s.fail(r, st, err)
			return
		}
	}
	s.record(r, "answered", "", "")
	s.recordMetrics(r, exporter.Answered)
}

// fail records the failure and writes a JSON error unless the response has started or the caller has disconnected.
func (s *Server) fail(r *request.Request, st request.Step, err error) {
	var re *request.Error
	if !errors.As(err, &re) {
		re = request.Fail(http.StatusInternalServerError, request.CodeInternal, "%v", err)
	}
	s.record(r, "failed", st.String(), err.Error())
	s.recordMetrics(r, outcomeOf(r, re))
	logger.WithError(s.Log, err).WithField("request", r.ID).WithField("step", st.String()).Info("request failed")
	if r.ChunkCount > 0 && !r.Finished {
		// A response that ended normally would look complete to callers that do not know the error event.
		listener.Abort(r.W)
		return
	}
	if r.Finished || r.HTTP.Context().Err() != nil {
		return
	}
	h := r.W.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", r.ID)
	if re.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((re.RetryAfter+time.Second-1)/time.Second)))
	}
	r.W.WriteHeader(re.Status)
	_ = json.NewEncoder(r.W).Encode(request.NewErrorBody(re))
}

// record records an event about the request.
func (s *Server) record(r *request.Request, kind, step, reason string) {
	e := recorder.Event{Kind: kind, Request: r.ID, Account: r.Account.Name, Step: step, Reason: reason}
	if r.Target != nil {
		e.Target = r.Target.ID
	}
	s.Recorder.Record(e)
}
