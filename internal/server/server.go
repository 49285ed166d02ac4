// Package server is an entry instance: it takes requests from callers and has targets serve them.
//
// The path of a request is the ordered list in steps.go. Control state belongs
// to the controller's goroutine; each request reads one immutable view.
//
// # Usage
//
//	s := &server.Server{Settings: settings, Initial: cfg, Log: log, Recorder: rec, Asserter: as}
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

// The library closes the connection of a body that is larger than it takes. Bodies over the configured limit are taken
// up to these bounds, so that they get a JSON error.
const (
	bodyHeadroom  = 4
	leastHardBody = 32 << 20
)

// Server is one entry instance.
type Server struct {
	Settings *configurer.Settings
	// Initial is the configuration until a version was read from the log or a peer.
	Initial  *configurer.Config
	Log      logger.Logger
	Recorder *recorder.Recorder
	Asserter *asserter.Asserter
	// Network is how other processes are reached; nil means the machine's own network.
	Network Network

	signer  *signer.Signer
	client  *dialer.Client
	peers   *membership
	control *controller.Controller
	tracker *tracker.Tracker
	retries *dispatcher.Retries
	gate    *gatekeeper.Gate
	// ledger and versions are nil if the settings name no log.
	ledger   *ledger.Ledger
	versions *versioner.Versioner
	// records is the configuration record that peers which are behind get; nil without a log.
	records gossiper.ConfigSource
	// usage is what the instances of a data centre tell each other each period; it may be nil.
	usage gossiper.Payload
	// leases is nil if the settings name no log.
	leases  *fencer.Fencer
	metrics *exporter.Metrics
	http    *listener.Server
	path    atomic.Pointer[path]
	ids     atomic.Uint64
	// boot makes request ids differ from those of an earlier process with the same instance id.
	boot  string
	addr  atomic.Value
	ready chan struct{}
}

// Network is a way to reach other processes; tests use one that can be partitioned.
type Network interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
	PacketConn(net.PacketConn) net.PacketConn
}

// path is the list of steps of one configuration.
type path struct {
	cfg   *configurer.Config
	steps []request.Step
}

// New returns an instance that is ready to run.
func New(set *configurer.Settings, cfg *configurer.Config, log logger.Logger, rec *recorder.Recorder, as *asserter.Asserter) *Server {
	s := &Server{Settings: set, Initial: cfg, Log: log, Recorder: rec, Asserter: as, ready: make(chan struct{}),
		boot: strconv.FormatUint(rand.Uint64(), 36)}
	s.metrics = s.newMetrics()
	if as != nil && as.OnViolation == nil {
		as.OnViolation = s.metrics.RecordViolation
	}
	return s
}

// View returns the present view of control state.
func (s *Server) View() *view.View { return s.control.View() }

// Ready is closed once the instance serves.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Addr returns the address on which callers are served.
func (s *Server) Addr() string {
	a, _ := s.addr.Load().(string)
	return a
}

// Start begins to serve; the instance's background work ends with ctx.
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
		s.client = dialer.NewWith(s.Network.DialContext)
	}
	s.tracker = tracker.New(time.Now)
	s.retries = dispatcher.NewRetries()
	s.gate = gatekeeper.NewGate(s.Settings.Instance.ID, s.Settings.Instance.DataCentre)
	s.usage = s.gate
	s.control = controller.New(view.New(s.Initial, 0, s.Settings.Instance.DataCentre))
	s.peers = &membership{s: s, local: map[string]time.Time{}, drained: map[string]bool{}, listed: map[string]bool{}, shared: map[string]time.Time{}}
	s.control.OnPublish = s.published
	s.startLog(ctx)
	s.published(s.control.View())
	go s.control.Run(ctx)
	if err := s.peers.start(ctx); err != nil {
		return err
	}
	s.startPollers(ctx)
	s.startStorePollers(ctx)
	s.http = &listener.Server{
		Addr: s.Settings.Instance.Listen, Handler: s.routes(),
		MaxBodyBytes:     max(leastHardBody, bodyHeadroom*s.Initial.Limits.MaxBodyBytes),
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

// Stop lets go: readiness off, no new connections, then waits for the requests in progress.
func (s *Server) Stop(ctx context.Context) error {
	s.Log.Info("draining")
	s.Recorder.Record(recorder.Event{Kind: "draining"})
	s.control.Apply(ctx, func(v *view.View) *view.View { return v.WithDraining(true) })
	cfg := s.control.View().Config
	ctx, cancel := context.WithTimeout(ctx, configurer.Milliseconds(cfg.Timing.DrainMs))
	defer cancel()
	err := s.http.Stop(ctx)
	s.Asserter.Check(asserter.GracefulStop, err == nil, "stop cut off %d requests", s.http.ActiveRequests())
	s.flushLedger(ctx)
	s.peers.leave(ctx)
	s.Recorder.Record(recorder.Event{Kind: "stopped"})
	return err
}

// Kill stops at once, as the death of the process would; only tests and the demo use it.
func (s *Server) Kill() {
	s.http.Kill()
	s.peers.kill()
}

// published builds the request path anew when the configuration changed; it runs on the controller's goroutine.
func (s *Server) published(v *view.View) {
	if p := s.path.Load(); p == nil || p.cfg != v.Config {
		s.path.Store(&path{cfg: v.Config, steps: s.newSteps(v.Config)})
	}
	s.gate.SetMembers(v.Members, time.Now())
	s.peers.published(v)
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

// serve takes one request through the steps.
func (s *Server) serve(w http.ResponseWriter, hr *http.Request) {
	r := &request.Request{
		W: w, HTTP: hr, ReceivedAt: time.Now(), View: s.control.View(),
		ID: s.Settings.Instance.ID + "-" + s.boot + "-" + strconv.FormatUint(s.ids.Add(1), 36),
	}
	defer s.metrics.StartRequest()()
	defer func() {
		if r.Release != nil {
			r.Release()
		}
	}()
	life := requestChart.Start()
	for _, st := range s.path.Load().steps {
		err := st.Run(hr.Context(), r)
		s.decided(r, st)
		life = s.advance(r, life, eventOf(st, err))
		if err != nil {
			s.fail(r, st, err)
			return
		}
	}
	s.record(r, "answered", "", "")
	s.measure(r, exporter.Answered)
}

// fail answers with a JSON error unless the answer has already begun.
func (s *Server) fail(r *request.Request, st request.Step, err error) {
	var re *request.Error
	if !errors.As(err, &re) {
		re = request.Fail(http.StatusInternalServerError, request.CodeInternal, "%v", err)
	}
	s.record(r, "failed", st.String(), err.Error())
	s.measure(r, outcomeOf(r, re))
	logger.WithError(s.Log, err).WithField("request", r.ID).WithField("step", st.String()).Info("request failed")
	if r.ChunkCount > 0 || r.Finished || r.HTTP.Context().Err() != nil {
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

func (s *Server) record(r *request.Request, kind, step, reason string) {
	e := recorder.Event{Kind: kind, Request: r.ID, Account: r.Account.Name, Step: step, Reason: reason}
	if r.Target != nil {
		e.Target = r.Target.ID
	}
	s.Recorder.Record(e)
}
