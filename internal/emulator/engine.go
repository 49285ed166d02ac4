package emulator

import (
	"net/http"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/listener"
)

const (
	// finishedRunsKept is how long an engine serves the stream of a finished run.
	finishedRunsKept = 2 * time.Minute
	// cacheEventsKept is how many cache events can be read; older ones are lost.
	cacheEventsKept = 1024
)

// EngineFaults are the switches of an [Engine].
type EngineFaults struct {
	// ShuffleStream sends pieces out of order and some twice.
	ShuffleStream bool
	// BreakStreamAt closes the connection before the piece with this offset, once for each reader; 0 is off.
	BreakStreamAt int
	// DropCacheEvents loses every second cache event.
	DropCacheEvents bool
	// RefuseRuns answers new runs with 503, as an engine that is starting.
	RefuseRuns bool
	// DropCommandResponses carries orders out and loses the answers.
	DropCommandResponses bool
}

// GroundTruth is what an engine knows to have happened, for tests to compare with.
type GroundTruth struct {
	Runs                  int
	CrossAccountBlocks    int
	StaleVersionBlocks    int
	FailedBlockImports    int
	RunRequestsAfterDrain int
	// StaleCommands counts carried out orders with a fencing number below an earlier one.
	StaleCommands    int
	RecomputedTokens int64
	CachedTokens     int64
	ImportedTokens   int64
	ImportBytes      int64
	ExportBytes      int64
}

// Engine is a stand-in for a model engine with continuous batching and a limited prefix cache.
type Engine struct {
	ID, Addr            string
	Models              map[string]int64
	Slots               int
	CacheBlocks         int
	PrefillTokensPerSec float64 // tokens a second
	DecodeTokensPerSec  float64 // tokens a second of each run
	BytesPerToken       int
	WeightLoadMs        int
	WeightStoreAddr     string
	ChecksFencing       bool
	// LoadReportLag is the age of the load that is reported.
	LoadReportLag time.Duration
	Speed         float64

	server *listener.Server
	client *http.Client

	mu        sync.Mutex
	runs      map[string]*run
	cache     *blockCache
	queue     runQueue
	running   int
	prefill   time.Time // when the prefill unit is free
	waiting   int       // prompt tokens that are not computed yet
	truth     GroundTruth
	faults    EngineFaults
	fence     int64
	loading   bool
	draining  bool
	leaving   bool
	dead      bool
	drainedAt time.Time
	loads     []dialer.Load
}

// Start serves the engine and returns its address.
func (e *Engine) Start() (string, error) {
	e.setDefaults()
	e.runs = map[string]*run{}
	e.cache = newBlockCache(e.CacheBlocks)
	e.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/runs", e.postRun)
	mux.HandleFunc("GET /v1/runs/{run}", e.getRun)
	mux.HandleFunc("DELETE /v1/runs/{run}", e.deleteRun)
	mux.HandleFunc("POST /v1/cache/export", e.export)
	mux.HandleFunc("POST /v1/cache/import", e.prefetch)
	mux.HandleFunc("GET /v1/cache/events", e.events)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /v1/state", e.state)
	e.server = &listener.Server{Addr: orLoopback(e.Addr), Handler: mux}
	addr, err := e.server.Start()
	e.Addr = addr
	return addr, err
}

func (e *Engine) setDefaults() {
	if e.Slots == 0 {
		e.Slots = 8
	}
	if e.CacheBlocks == 0 {
		e.CacheBlocks = 64
	}
	if e.PrefillTokensPerSec == 0 {
		e.PrefillTokensPerSec = 20000
	}
	if e.DecodeTokensPerSec == 0 {
		e.DecodeTokensPerSec = 50
	}
	if e.BytesPerToken == 0 {
		e.BytesPerToken = 2048
	}
	if e.WeightLoadMs == 0 {
		e.WeightLoadMs = 250
	}
}

// Kill stops the engine; its runs and cache are lost.
func (e *Engine) Kill() {
	e.server.Kill()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	for _, r := range e.runs {
		r.cancel()
	}
}

// SetFaults sets the switches.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving marks the engine as leaving or not, as its own machine would.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
	e.setDraining(on)
}

func (e *Engine) setDraining(on bool) { e.draining, e.drainedAt = on, time.Now() }

// Evict forgets every cached block, as other prompts would make the engine do during a long gap.
func (e *Engine) Evict() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
}

// GroundTruth returns what happened so far.
func (e *Engine) GroundTruth() GroundTruth {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.truth
}

// Converged reports whether the engine takes runs of a weight version, or is leaving and needs not.
func (e *Engine) Converged(model string, version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving || e.dead || (e.Models[model] == version && !e.draining && !e.loading)
}

// RunningCount returns the number of unfinished runs.
func (e *Engine) RunningCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// load reports the load as of LoadReportLag ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loads = append(e.loads, dialer.Load{
		AtMs: now.UnixMilli(), Running: e.running, Waiting: e.queue.Len(), WaitingTokens: e.waiting,
		Blocks: e.cache.len(), CapacityBlocks: e.CacheBlocks, Draining: e.draining,
	})
	limit := now.Add(-scale(e.LoadReportLag, e.Speed)).UnixMilli()
	for len(e.loads) > 1 && e.loads[1].AtMs <= limit {
		e.loads = e.loads[1:]
	}
	writeJSON(w, http.StatusOK, e.loads[0])
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	versions := make(map[string]int64, len(e.Models))
	for m, v := range e.Models {
		versions[m] = v
	}
	writeJSON(w, http.StatusOK, dialer.EngineState{
		Versions: versions, Loading: e.loading, Draining: e.draining, Leaving: e.leaving,
		Running: e.running, Fence: e.fence,
	})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o dialer.Order
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	if e.ChecksFencing && o.Fence < e.fence {
		e.mu.Unlock()
		writeError(w, http.StatusConflict, "fencing number %d is older than %d", o.Fence, e.fence)
		return
	}
	if o.NotAfterMs > 0 && time.Now().UnixMilli() > o.NotAfterMs {
		e.mu.Unlock()
		writeError(w, http.StatusRequestTimeout, "order came after its deadline")
		return
	}
	if o.Fence < e.fence {
		e.truth.StaleCommands++
	}
	e.fence = max(e.fence, o.Fence)
	lose := e.faults.DropCommandResponses
	e.mu.Unlock()
	if !e.obey(w, r, o) {
		return
	}
	if lose {
		dropConnection(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// obey carries an order out; it answers itself and returns false if that fails.
func (e *Engine) obey(w http.ResponseWriter, r *http.Request, o dialer.Order) bool {
	switch o.Kind {
	case dialer.OrderDrain, dialer.OrderResume:
		e.mu.Lock()
		e.setDraining(o.Kind == dialer.OrderDrain || e.leaving)
		e.mu.Unlock()
		return true
	case dialer.OrderLoad:
		return e.loadWeights(w, r, o)
	}
	writeError(w, http.StatusBadRequest, "unknown order %q", o.Kind)
	return false
}

func (e *Engine) loadWeights(w http.ResponseWriter, r *http.Request, o dialer.Order) bool {
	e.mu.Lock()
	if e.loading {
		e.mu.Unlock()
		writeError(w, http.StatusConflict, "already loading")
		return false
	}
	if e.Models[o.Model] == o.Version {
		e.mu.Unlock()
		return true
	}
	e.loading = true
	e.mu.Unlock()
	err := e.fetchWeights(r, o)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	if err != nil {
		writeError(w, http.StatusBadGateway, "%v", err)
		return false
	}
	models := make(map[string]int64, len(e.Models))
	for m, v := range e.Models {
		models[m] = v
	}
	models[o.Model] = o.Version
	e.Models = models
	return true
}
