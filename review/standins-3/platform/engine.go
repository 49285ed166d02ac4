package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	modelName = "model-a"
	// engineSlots is the number of requests that the engine runs at once; more wait in their order.
	engineSlots = 4
	eventGap    = 100 * time.Millisecond
)

// engineRun is a request that an engine has begun to run, with the parts of its prompt that other tenants had made.
type engineRun struct {
	id, tenant, salt string
	at               time.Time
	foreign          []string
}

// engine is a sound model worker. It finds cached parts under the same salt only, and only if all parts before are found.
type engine struct {
	id, address string
	slots       chan struct{}

	mu sync.Mutex
	// makers holds the tenant that made each part, by salt and part.
	makers map[string]string
	runs   []engineRun
}

// startEngine starts an engine and registers it.
func (e *environment) startEngine(id string) (*engine, error) {
	ln, err := net.Listen("tcp", loopback(3)+":0")
	if err != nil {
		return nil, err
	}
	w := &engine{id: id, address: ln.Addr().String(), slots: make(chan struct{}, engineSlots), makers: map[string]string{}}
	go func() { _ = http.Serve(ln, w) }()
	r := e.register(id, w.address)
	r.setModel(modelName)
	return w, nil
}

// find returns the run of a request, if it has begun.
func (w *engine) find(id string) (engineRun, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.id == id {
			return r, true
		}
	}
	return engineRun{}, false
}

func (w *engine) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set("Instance-Id", w.id)
	switch r.URL.Path {
	case healthPath:
		return
	case "/report":
		writeJSON(out, http.StatusOK, map[string]any{
			"stage": "colocated", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"waiting": 0, "running": len(w.slots), "kv_used": 1000, "kv_total": 100_000, "handles": 0, "clock_ms": time.Now().UnixMilli(),
		})
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	expected, version := r.Header.Get("Expected-Instance"), r.Header.Get("Expected-Version")
	if expected != "" && expected != w.id || version != "" && version != "1" {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	w.begin(id, r.Header)
	h.Set("Upstream-Signature", signaturePrefix+w.id)
	h.Set("Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	var in, events int
	_, _ = fmt.Sscanf(r.Header.Get("Token-Count"), "%d,%d", &in, &events)
	for i := range events {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i+1, id); err != nil || r.Context().Err() != nil {
			return
		}
		out.(http.Flusher).Flush()
		time.Sleep(eventGap)
	}
}

// begin records that a request begins to run, and caches the parts of its prompt.
func (w *engine) begin(id string, h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := engineRun{id: id, tenant: h.Get("Tenant"), salt: h.Get("Cache-Salt"), at: time.Now()}
	cached := true
	for entry := range strings.SplitSeq(h.Get("Prompt-Prefix-Hash"), ",") {
		part, _, _ := strings.Cut(entry, ":")
		key := x.salt + "\n" + part
		maker, found := w.makers[key]
		cached = cached && found
		if cached && maker != x.tenant {
			x.foreign = append(x.foreign, part+" of "+maker)
		}
		if !found {
			w.makers[key] = x.tenant
		}
	}
	w.runs = append(w.runs, x)
}
