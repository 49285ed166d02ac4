package emulator

import (
	"net/http"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/listener"
)

const (
	// finishedRunTTL is how long the stream of a finished run can still be read.
	finishedRunTTL = 2 * time.Minute
	// maxCacheEvents is the number of cache events that an engine retains; older ones are discarded.
	maxCacheEvents = 1024
)

// EngineFaults selects the faults that an [Engine] injects.
type EngineFaults struct {
	// ShuffleStream sends stream chunks out of order and some of them twice.
	ShuffleStream bool
	// BreakStreamAt closes each stream connection that would pass this chunk offset; 0 disables it.
	BreakStreamAt int
	// DropCacheEvents omits every second cache event.
	DropCacheEvents bool
	// RefuseRuns refuses new runs with 503, like an engine that is starting.
	RefuseRuns bool
	// DropCommandResponses applies commands but closes the connection without a response.
	DropCommandResponses bool
}

// GroundTruth holds counts of what an engine actually did, for tests to compare with what papayaworks reports.
type GroundTruth struct {
	Runs int
	// CrossAccountBlocks counts uses of a cache block by a run of another account.
	CrossAccountBlocks int
	// StaleVersionBlocks counts uses of a cache block by a run of another weight version.
	StaleVersionBlocks int
	// FailedBlockImports counts blocks that a run could not fetch or that did not pass verification.
	FailedBlockImports int
	// RunRequestsAfterDrain counts run requests that arrived more than 3 s after a drain began.
	RunRequestsAfterDrain int
	// StaleCommands counts applied commands whose fencing token was below that of an earlier command.
	StaleCommands int
	// RecomputedTokens counts all prefilled prompt tokens, including those that no earlier run had computed; CachedTokens and
	// ImportedTokens count the prompt tokens found in the prefix cache and imported from a store.
	RecomputedTokens int64
	CachedTokens     int64
	ImportedTokens   int64
	// ImportBytes and ExportBytes count the declared lengths of the transferred blocks.
	ImportBytes int64
	ExportBytes int64
}

// Engine emulates a model engine with continuous batching and a prefix cache of limited size. Start sets defaults for Slots,
// CacheBlocks, both rates, BytesPerToken and WeightLoadMs if they are 0.
type Engine struct {
	ID, Addr            string
	Models              map[string]int64 // weight version by name of the loaded model
	Slots               int
	CacheBlocks         int
	PrefillTokensPerSec float64
	DecodeTokensPerSec  float64 // rate of each run
	BytesPerToken       int
	WeightLoadMs        int
	WeightStoreAddr     string // if empty, weights load without a store, in WeightLoadMs
	ChecksFencing       bool   // refuses commands whose fencing token is below an earlier one
	// LoadReportLag is the minimum age of the reported load, before scaling by Speed.
	LoadReportLag time.Duration
	Speed         float64

	server *listener.Server
	client *http.Client

	mu            sync.Mutex
	runs          map[string]*run
	cache         *blockCache
	queue         runQueue
	running       int
	prefillFreeAt time.Time // when the prefill unit becomes free
	waitingTokens int       // prompt tokens that have not been prefilled yet
	groundTruth   GroundTruth
	faults        EngineFaults
	fencingToken  int64
	loading       bool
	draining      bool
	leaving       bool
	dead          bool
	drainedAt     time.Time
	loadHistory   []dialer.Load
}

// Start starts the HTTP server and returns its address.
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
	mux.HandleFunc("POST /v1/orders", e.command)
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

// Kill stops the server and cancels all runs, like the death of the process.
func (e *Engine) Kill() {
	e.server.Kill()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	for _, r := range e.runs {
		r.cancel()
	}
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving sets whether the engine reports itself as leaving; a leaving engine drains.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
	e.setDraining(on)
}

func (e *Engine) setDraining(on bool) { e.draining, e.drainedAt = on, time.Now() }

// Evict empties the prefix cache, like the load of other prompts during a long idle gap.
func (e *Engine) Evict() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
}

// GroundTruth returns the current counts.
func (e *Engine) GroundTruth() GroundTruth {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.groundTruth
}

// Converged reports whether the engine accepts runs of a weight version. It also holds for an engine that is leaving or
// has been killed, since a weight swap skips both.
func (e *Engine) Converged(model string, version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving || e.dead || (e.Models[model] == version && !e.draining && !e.loading)
}

// RunningCount returns the number of runs that occupy a slot.
func (e *Engine) RunningCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// load samples the load and responds with the latest sample that is at least LoadReportLag old, or else with the oldest one.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loadHistory = append(e.loadHistory, dialer.Load{
		AtMs: now.UnixMilli(), Running: e.running, Waiting: e.queue.Len(), WaitingTokens: e.waitingTokens,
		Blocks: e.cache.len(), CapacityBlocks: e.CacheBlocks, Draining: e.draining,
	})
	limit := now.Add(-scale(e.LoadReportLag, e.Speed)).UnixMilli()
	for len(e.loadHistory) > 1 && e.loadHistory[1].AtMs <= limit {
		e.loadHistory = e.loadHistory[1:]
	}
	writeJSON(w, http.StatusOK, e.loadHistory[0])
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
		Running: e.running, FencingToken: e.fencingToken,
	})
}

func (e *Engine) command(w http.ResponseWriter, r *http.Request) {
	var cmd dialer.Command
	if !readJSON(w, r, &cmd) {
		return
	}
	e.mu.Lock()
	if e.ChecksFencing && cmd.FencingToken < e.fencingToken {
		e.mu.Unlock()
		writeError(w, http.StatusConflict, "stale fencing token: got %d, latest is %d", cmd.FencingToken, e.fencingToken)
		return
	}
	if cmd.NotAfterMs > 0 && time.Now().UnixMilli() > cmd.NotAfterMs {
		e.mu.Unlock()
		writeError(w, http.StatusRequestTimeout, "command arrived after its deadline")
		return
	}
	if cmd.FencingToken < e.fencingToken {
		e.groundTruth.StaleCommands++
	}
	e.fencingToken = max(e.fencingToken, cmd.FencingToken)
	drop := e.faults.DropCommandResponses
	e.mu.Unlock()
	if !e.applyCommand(w, r, cmd) {
		return
	}
	if drop {
		dropConnection(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyCommand applies a command. On failure it writes the error response and returns false.
func (e *Engine) applyCommand(w http.ResponseWriter, r *http.Request, cmd dialer.Command) bool {
	switch cmd.Kind {
	case dialer.CommandDrain, dialer.CommandResume:
		e.mu.Lock()
		e.setDraining(cmd.Kind == dialer.CommandDrain || e.leaving)
		e.mu.Unlock()
		return true
	case dialer.CommandLoad:
		return e.loadWeights(w, r, cmd)
	}
	writeError(w, http.StatusBadRequest, "unknown command %q", cmd.Kind)
	return false
}

func (e *Engine) loadWeights(w http.ResponseWriter, r *http.Request, cmd dialer.Command) bool {
	e.mu.Lock()
	if e.loading {
		e.mu.Unlock()
		writeError(w, http.StatusConflict, "already loading")
		return false
	}
	if e.Models[cmd.Model] == cmd.Version {
		e.mu.Unlock()
		return true
	}
	e.loading = true
	e.mu.Unlock()
	err := e.fetchWeights(r, cmd)
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
	models[cmd.Model] = cmd.Version
	e.Models = models
	return true
}
