package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the time between two records of a worker.
	heartbeatInterval = 1200 * time.Millisecond
	healthPath        = "/health"
	signaturePrefix   = "signature-of-"
)

// answer is how a worker answers the requests under a path prefix.
type answer struct {
	Prefix string
	// Parts are sent one after the other, with PartGapMs before each.
	Parts     int
	PartBytes int
	PartGapMs int
	// Events makes each part an event of a stream.
	Events bool
	// Unframed leaves out the length, so that the answer ends with its connection.
	Unframed bool
}

// body returns the bytes of a part of the answer to a request. It names the request, so that an answer to another one is noticed.
func (a answer) body(id string, part int) []byte {
	if a.Events {
		return []byte(fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", part+1, id, part+1, a.Parts))
	}
	return bytes.Repeat([]byte(fmt.Sprintf("%s part %d;", id, part)), 1+a.PartBytes/(len(id)+8))[:a.PartBytes]
}

// whole returns the complete body of the answer to a request.
func (a answer) whole(id string) []byte {
	var out []byte
	for i := range a.Parts {
		out = append(out, a.body(id, i)...)
	}
	return out
}

// workerConfig is the configuration of a worker.
type workerConfig struct {
	ID, Address string
	Answers     []answer
}

// worker is a sound worker of a plain service. It has more slots than a case sends requests.
type worker struct {
	workerConfig
	listener     net.Listener
	registration *registration

	mu   sync.Mutex
	runs []run
}

// run is a request that a worker has run.
type run struct {
	id string
	at time.Time
}

// serveWorker runs the worker whose configuration is in a file, until the process is killed.
func serveWorker(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	w := &worker{}
	if err := json.Unmarshal(data, &w.workerConfig); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", w.Address)
	if err != nil {
		return err
	}
	return http.Serve(ln, w)
}

// startWorker starts a worker in this process and registers it.
func (e *environment) startWorker(c workerConfig) (*worker, error) {
	ln, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, err
	}
	w := &worker{workerConfig: c, listener: ln}
	w.Address = ln.Addr().String()
	go func() { _ = http.Serve(ln, w) }()
	w.registration = e.register(w.ID, w.Address)
	return w, nil
}

// close ends the listener of the worker.
func (w *worker) close() { _ = w.listener.Close() }

// registration is the record of a worker in the metadata store.
type registration struct {
	e           *environment
	id, address string

	mu             sync.Mutex
	sequence, born int64
	stopped        bool
	// model is the model of an engine; it is empty for other workers.
	model string
	// delay applies to the next heartbeat; late is closed when it has been carried out.
	delay time.Duration
	late  chan struct{}
}

// register writes the record of a worker that has just started, and writes it again until the case ends.
func (e *environment) register(id, address string) *registration {
	r := &registration{e: e, id: id, address: address}
	r.recordStart()
	go func() {
		for {
			time.Sleep(heartbeatInterval)
			r.write()
		}
	}()
	return r
}

// recordStart writes the record of the worker after a start.
func (r *registration) recordStart() {
	r.mu.Lock()
	r.sequence, r.born = 0, time.Now().UnixMilli()
	r.mu.Unlock()
	r.write()
}

// write writes the next heartbeat, which is carried out at once or late.
func (r *registration) write() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	r.sequence++
	value := map[string]any{
		"service": serviceName, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 768, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.model != "" {
		value["stage"] = "colocated"
		value["models"] = []any{map[string]any{"name": r.model, "version": 1, "adapters": []any{}}}
	}
	if r.delay == 0 {
		_ = r.e.store.put("keyed.servers", r.id, value)
		return
	}
	time.AfterFunc(r.delay, func() {
		_ = r.e.store.put("keyed.servers", r.id, value)
		close(r.late)
	})
	r.delay = 0
}

// setModel makes the worker an engine with a model.
func (r *registration) setModel(name string) {
	r.mu.Lock()
	r.model = name
	r.mu.Unlock()
	r.write()
}

// delayNext makes the next heartbeat late and returns its sequence.
func (r *registration) delayNext(d time.Duration) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay, r.late = d, make(chan struct{})
	return r.sequence + 1
}

// awaitLate waits until the late heartbeat has been carried out.
func (r *registration) awaitLate() { <-r.late }

// stop ends the heartbeats and returns the last sequence.
func (r *registration) stop() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.sequence
}

// runCount returns how often a request has run.
func (w *worker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.runs {
		if r.id == id {
			n++
		}
	}
	return n
}

// runsAfter returns the requests that have reached the worker after a time.
func (w *worker) runsAfter(t time.Time) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []run
	for _, r := range w.runs {
		if r.at.After(t) {
			out = append(out, r)
		}
	}
	return out
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set("Instance-Id", w.ID)
	if r.URL.Path == healthPath {
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	a, ok := w.answerFor(r.URL.Path)
	if id == "" || !ok {
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.recordRun(id)
	h.Set("Upstream-Signature", signaturePrefix+w.ID)
	if a.Events {
		h.Set("Content-Type", "text/event-stream")
	}
	if a.Unframed {
		w.sendUnframed(out, a, id)
		return
	}
	if !a.Events {
		h.Set("Content-Length", fmt.Sprint(len(a.whole(id))))
	}
	for i := range a.Parts {
		time.Sleep(time.Duration(a.PartGapMs) * time.Millisecond)
		if _, err := out.Write(a.body(id, i)); err != nil || r.Context().Err() != nil {
			return
		}
		out.(http.Flusher).Flush()
	}
}

func (w *worker) answerFor(path string) (answer, bool) {
	for _, a := range w.Answers {
		if strings.HasPrefix(path, a.Prefix) {
			return a, true
		}
	}
	return answer{}, false
}

func (w *worker) recordRun(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run{id: id, at: time.Now()})
}

// sendUnframed sends an answer without a length.
func (w *worker) sendUnframed(out http.ResponseWriter, a answer, id string) {
	conn, _, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = out.Header().Write(&head)
	head.WriteString("Connection: close\r\n\r\n")
	if _, err := conn.Write(head.Bytes()); err != nil {
		return
	}
	for i := range a.Parts {
		time.Sleep(time.Duration(a.PartGapMs) * time.Millisecond)
		if _, err := conn.Write(a.body(id, i)); err != nil {
			return
		}
	}
}
