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
	// beforeAnswer is called when a request begins; it may be nil.
	beforeAnswer func(h http.Header)

	mu   sync.Mutex
	runs []run
	// sequence is that of the last record, left reports that the worker writes no more.
	sequence int
	left     bool
	server   *http.Server
}

// start serves requests and writes heartbeats to the store.
func (w *worker) start(ip string, s *store) error {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	w.address, w.born = ln.Addr().String(), time.Now().UnixMilli()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(ln) }()
	s.put("keyed.servers", w.id, w.nextRecord())
	go func() {
		for range time.Tick(heartbeatInterval) {
			w.mu.Lock()
			left := w.left
			w.mu.Unlock()
			if left {
				return
			}
			s.put("keyed.servers", w.id, w.nextRecord())
		}
	}()
	return nil
}

// nextRecord returns the record of the next heartbeat.
func (w *worker) nextRecord() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	rec := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.model != "" {
		rec["stage"], rec["models"] = "colocated", []map[string]any{{"name": w.model, "version": 1, "adapters": []string{}}}
	}
	return rec
}

// leave ends the heartbeats and removes the worker's record. It returns the time of the acknowledgement. The worker goes on serving.
func (w *worker) leave(s *store) time.Time {
	w.mu.Lock()
	w.left = true
	w.mu.Unlock()
	return s.remove("keyed.servers", w.id)
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
	if w.beforeAnswer != nil {
		w.beforeAnswer(h)
	}
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
