package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the time between two records of a worker, as the settings state it.
const heartbeatInterval = 1200 * time.Millisecond

// run is one request that a worker has run.
type run struct {
	id, worker, tenant, salt, prefix string
	at                               time.Time
}

// worker is a stand-in of a worker: a plain service, or a model worker if model is set.
type worker struct {
	id, service, zone, model, address string
	// answerBytes is the length of an answer's body, duration how long a request runs.
	answerBytes int
	duration    time.Duration
	born        int64

	mu   sync.Mutex
	runs []run
}

// start serves requests and writes heartbeats to the store.
func (w *worker) start(ip string, s *store) error {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	w.address, w.born = ln.Addr().String(), time.Now().UnixMilli()
	srv := &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = srv.Serve(ln) }()
	sequence := 0
	beat := func() {
		sequence++
		rec := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": w.born,
		}
		if w.model != "" {
			rec["stage"], rec["models"] = "colocated", []map[string]any{{"name": w.model, "version": 1, "adapters": []string{}}}
		}
		s.put("keyed.servers", w.id, rec)
	}
	beat()
	go func() {
		for range time.Tick(heartbeatInterval) {
			beat()
		}
	}()
	return nil
}

// allRuns returns the requests that the worker has run.
func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	h := r.Header
	_, _ = io.Copy(io.Discard, r.Body)
	rw.Header().Set("Instance-Id", w.id)
	switch r.URL.Path {
	case "/health":
		return
	case "/report":
		writeJSON(rw, http.StatusOK, map[string]any{
			"stage": "colocated", "models": []map[string]any{{"name": w.model, "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0, "waiting": 0, "running": 0,
			"kv_used": 0, "kv_total": 100000, "handles": 0, "clock_ms": time.Now().UnixMilli(),
		})
		return
	}
	rw.Header().Set("Request-Id", h.Get("Request-Id"))
	if e := h.Get("Expected-Instance"); e != "" && e != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if v := h.Get("Expected-Version"); v != "" && v != "1" {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{id: h.Get("Request-Id"), worker: w.id, tenant: h.Get("Tenant"), salt: h.Get("Cache-Salt"), prefix: h.Get("Prompt-Prefix-Hash"), at: time.Now()})
	w.mu.Unlock()
	time.Sleep(w.duration)
	rw.Header().Set("Upstream-Signature", w.id+"."+h.Get("Request-Id"))
	if w.model != "" {
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Header().Set("Weight-Versions", "1")
		for i := 1; i <= 3; i++ {
			fmt.Fprintf(rw, "id: %d\ndata: token\n\n", i)
			rw.(http.Flusher).Flush()
		}
		return
	}
	rw.Header().Set("Content-Length", strconv.Itoa(w.answerBytes))
	_, _ = rw.Write(answerBody(h.Get("Request-Id"), w.answerBytes))
}

// answerBody returns the body of the answer to a request, of which every part depends on the request.
func answerBody(id string, n int) []byte {
	return bytes.Repeat([]byte(id), n/max(1, len(id))+1)[:n]
}

// sharedPart returns the first part of a prompt's list of parts.
func sharedPart(prefix string) string {
	part, _, _ := strings.Cut(prefix, ",")
	return part
}
