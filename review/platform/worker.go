package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two records of a worker, heartbeat_ms in the settings.
const heartbeat = 1200 * time.Millisecond

// arrival is one request that a worker has received.
type arrival struct {
	at     time.Time
	id     string
	method string
	uri    string
	body   string
	header http.Header
	ran    bool
}

// worker is a sound worker of a service.
type worker struct {
	id, service, zone, address string
	// model is the model of an engine; empty for a plain service.
	model string
	born  int64
	// loadTime is how long an order for new weights takes.
	loadTime time.Duration
	// respond writes the answer of a run; nil means a short one.
	respond func(w http.ResponseWriter, r *http.Request, body string)

	e     *environment
	store *store
	// leaving reports whether the worker says in its answers that it leaves.
	leaving atomic.Bool
	// silent stops the records of the worker.
	silent atomic.Bool

	mu       sync.Mutex
	sequence int
	arrivals []arrival
	// version is that of the weights; accepted counts the orders, of which fence is the highest generation number.
	version, accepted, fence int
	busy                     bool
	orders                   []arrivedOrder
}

// arrivedOrder is an order that a worker has received, with its answer.
type arrivedOrder struct {
	at             time.Time
	holder         string
	fence, version int
	status         int
}

// startWorker starts a worker and registers it.
func (e *environment) startWorker(s *store, w *worker) error {
	ln, err := net.Listen("tcp", loopbackIP()+":0")
	if err != nil {
		return err
	}
	w.e, w.store, w.address, w.born, w.version = e, s, ln.Addr().String(), time.Now().UnixMilli(), 1
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = server.Serve(ln) }()
	done := make(chan struct{})
	e.onClose(func() {
		close(done)
		_ = server.Close()
	})
	w.beat()
	go func() {
		for t := time.NewTicker(heartbeat); ; {
			select {
			case <-done:
				t.Stop()
				return
			case <-t.C:
				if !w.silent.Load() {
					w.beat()
				}
			}
		}
	}()
	return nil
}

// next returns the next record of the worker.
func (w *worker) next() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	rec := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.model != "" {
		rec["stage"], rec["models"] = "colocated", w.models()
	}
	return rec
}

// models returns the models of the worker with their versions; w.mu is held.
func (w *worker) models() []map[string]any {
	return []map[string]any{{"name": w.model, "version": w.version, "adapters": []string{}}}
}

// beat writes the record of the worker.
func (w *worker) beat() { w.store.put(topicServers, w.id, w.next()) }

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		w.report(rw)
		return
	case "/order":
		w.order(rw, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := arrival{at: time.Now(), id: r.Header.Get("Request-Id"), method: r.Method, uri: r.RequestURI, body: string(body), header: r.Header.Clone()}
	h := rw.Header()
	h.Set("Request-Id", a.id)
	h.Set("Instance-Id", w.id)
	if w.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if x := r.Header.Get("Expected-Instance"); x != "" && x != w.id {
		w.add(a)
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.model != "" {
		w.mu.Lock()
		version, busy := w.version, w.busy
		w.mu.Unlock()
		if x := r.Header.Get("Expected-Version"); busy || x != "" && x != strconv.Itoa(version) {
			w.add(a)
			h.Set("Not-Executed", "1")
			rw.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusMisdirectedRequest}[busy])
			return
		}
		h.Set("Weight-Versions", strconv.Itoa(version))
	}
	a.ran = true
	w.add(a)
	h.Set("Upstream-Signature", w.id+"."+a.id)
	if w.respond != nil {
		w.respond(rw, r, a.body)
		return
	}
	b := fmt.Sprintf("answer of %s to %s\n", w.id, a.id)
	h.Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = io.WriteString(rw, b)
}

func (w *worker) add(a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
	w.e.note("worker %s gets %s %s %s (tenant %q, salt %q), runs it: %v", w.id, a.id, a.method, a.uri, a.header.Get("Tenant"), a.header.Get("Cache-Salt"), a.ran)
}

// hasRun reports whether the worker has run a request.
func (w *worker) hasRun(id string) bool {
	for _, a := range w.all() {
		if a.id == id && a.ran {
			return true
		}
	}
	return false
}

// all returns the arrivals so far.
func (w *worker) all() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// report answers with the state of the worker.
func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{
		"stage": "colocated", "models": w.models(), "busy": w.busy, "sequence": w.accepted, "waiting": 0, "running": 0,
		"kv_used": 0, "kv_total": 100_000, "handles": 0, "clock_ms": time.Now().UnixMilli(),
	})
}

// order handles an order for new weights. It checks the generation number and the expected count of orders.
func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Op       string `json:"op"`
		Version  int    `json:"version"`
		Holder   string `json:"holder"`
		Fence    int    `json:"fence"`
		Expected *int   `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Op != "version" || in.Holder == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case in.Fence < w.fence:
		status = http.StatusPreconditionFailed
	case w.busy || in.Expected != nil && *in.Expected != w.accepted:
		status = http.StatusConflict
	case in.Version == w.version:
		status = http.StatusOK
	default:
		w.accepted++
		w.busy = true
		time.AfterFunc(w.loadTime, func() {
			w.mu.Lock()
			w.version, w.busy = in.Version, false
			w.mu.Unlock()
			w.beat()
		})
	}
	w.fence = max(w.fence, in.Fence)
	w.orders = append(w.orders, arrivedOrder{at: time.Now(), holder: in.Holder, fence: in.Fence, version: in.Version, status: status})
	w.e.note("worker %s gets an order of %s: version %d, fence %d, answer %d", w.id, in.Holder, in.Version, in.Fence, status)
	rw.WriteHeader(status)
}

// allOrders returns the orders so far.
func (w *worker) allOrders() []arrivedOrder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrivedOrder(nil), w.orders...)
}

// currentVersion returns the version of the weights.
func (w *worker) currentVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}
