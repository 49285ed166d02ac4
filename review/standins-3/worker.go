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
	mu   sync.Mutex
	runs map[string]int
}

// serveWorker runs the worker whose configuration is in a file, until the process is killed.
func serveWorker(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	w := &worker{runs: map[string]int{}}
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
	w := &worker{workerConfig: c, runs: map[string]int{}}
	w.Address = ln.Addr().String()
	go func() { _ = http.Serve(ln, w) }()
	e.register(w.ID, w.Address)
	return w, nil
}

// registration is the record of a worker in the metadata store.
type registration struct {
	e           *environment
	id, address string

	mu             sync.Mutex
	sequence, born int64
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

func (r *registration) write() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	_ = r.e.store.put("keyed.servers", r.id, map[string]any{
		"service": serviceName, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 768, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	})
}

// runCount returns how often a request has run.
func (w *worker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
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
	w.runs[id]++
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
