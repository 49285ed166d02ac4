package emulator

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/listener"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// maxPollWait bounds a long poll.
const maxPollWait = 30 * time.Second

// LogRecord is one record of a stream, as the log serves it.
type LogRecord struct {
	Offset int64  `json:"offset"`
	AtMs   int64  `json:"atMs"`
	Data   []byte `json:"data"`
}

// LogBatch is the answer to a read.
type LogBatch struct {
	Records      []LogRecord `json:"records"`
	OldestOffset int64       `json:"oldest"`
	NextOffset   int64       `json:"next"`
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// LogFaults are the switches of a [Log].
type LogFaults struct {
	// Down makes every call fail before it has an effect.
	Down bool
	// DropAppendResponses makes appends fail after they took effect.
	DropAppendResponses bool
	// Delay is added to every call.
	Delay time.Duration
}

// Log is a stand-in for the platform's append-only log with offsets.
type Log struct {
	Addr string
	// Retention is how long records are kept; 0 keeps all.
	Retention time.Duration

	server  *listener.Server
	mu      sync.Mutex
	streams map[string]*logStream
	faults  LogFaults
	appends int64
	changed chan struct{}
}

type logStream struct {
	oldest  int64
	records []LogRecord
}

// Start serves the log and returns its address.
func (l *Log) Start() (string, error) {
	l.mu.Lock()
	if l.streams == nil {
		l.streams = map[string]*logStream{}
	}
	l.changed = make(chan struct{})
	l.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", l.append)
	mux.HandleFunc("GET /streams/{stream}", l.read)
	l.server = &listener.Server{Addr: orLoopback(l.Addr), Handler: mux}
	addr, err := l.server.Start()
	l.Addr = addr
	return addr, err
}

// Kill stops the server; records are kept for the next Start.
func (l *Log) Kill() { l.server.Kill() }

// SetFaults sets the switches.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// AppendCount returns how many append calls took effect.
func (l *Log) AppendCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Records returns all kept records of a stream.
func (l *Log) Records(stream string) []LogRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]LogRecord(nil), l.stream(stream).records...)
}

func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{}
		l.streams[name] = s
	}
	if l.Retention > 0 {
		limit := time.Now().Add(-l.Retention).UnixMilli()
		for len(s.records) > 0 && s.records[0].AtMs < limit {
			s.oldest = s.records[0].Offset + 1
			s.records = s.records[1:]
		}
	}
	return s
}

// delay waits as the Delay switch says and answers 503 if the log is down.
func (l *Log) available(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Delay > 0 {
		sleeper.Sleep(r.Context(), f.Delay)
	}
	if f.Down {
		writeError(w, http.StatusServiceUnavailable, "log is down")
		return false
	}
	return true
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var in AppendRequest
	if !l.available(w, r) || !readJSON(w, r, &in) {
		return
	}
	l.mu.Lock()
	s := l.stream(r.PathValue("stream"))
	first := s.oldest + int64(len(s.records))
	now := time.Now().UnixMilli()
	for i, d := range in.Records {
		s.records = append(s.records, LogRecord{Offset: first + int64(i), AtMs: now, Data: d})
	}
	l.appends++
	lose := l.faults.DropAppendResponses
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	if lose {
		writeError(w, http.StatusGatewayTimeout, "answer lost")
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{"first": first})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	if !l.available(w, r) {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("max"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.Now().Add(min(time.Duration(waitMs)*time.Millisecond, maxPollWait))
	for {
		b, changed := l.batch(r.PathValue("stream"), from, limit)
		left := time.Until(deadline)
		if len(b.Records) > 0 || left <= 0 {
			writeJSON(w, http.StatusOK, b)
			return
		}
		t := time.NewTimer(left)
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
			t.Stop()
			return
		}
		t.Stop()
		if !l.available(w, r) {
			return
		}
	}
}

func (l *Log) batch(stream string, from int64, limit int) (LogBatch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	b := LogBatch{OldestOffset: s.oldest, NextOffset: max(from, s.oldest), Records: []LogRecord{}}
	if i := b.NextOffset - s.oldest; i < int64(len(s.records)) {
		end := int64(len(s.records))
		if limit > 0 {
			end = min(end, i+int64(limit))
		}
		b.Records = append(b.Records, s.records[i:end]...)
		b.NextOffset = s.oldest + end
	}
	return b, l.changed
}

func orLoopback(addr string) string {
	if addr == "" {
		return "127.0.0.1:0"
	}
	return addr
}
