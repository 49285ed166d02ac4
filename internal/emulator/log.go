package emulator

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/listener"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// maxPollWait bounds the duration of a long poll.
const maxPollWait = 30 * time.Second

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset int64  `json:"offset"`
	AtMs   int64  `json:"atMs"`
	Data   []byte `json:"data"`
}

// LogBatch is the response to a read. OldestOffset is the offset of the oldest retained record, NextOffset is where the next
// read starts.
type LogBatch struct {
	Records      []LogRecord `json:"records"`
	OldestOffset int64       `json:"oldest"`
	NextOffset   int64       `json:"next"`
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// LogFaults selects the faults that a [Log] injects.
type LogFaults struct {
	// Down makes every request fail before it takes effect.
	Down bool
	// DropAppendResponses makes appends fail after they have taken effect.
	DropAppendResponses bool
	// Delay is added to every request.
	Delay time.Duration
}

// Log emulates the platform's append-only log.
type Log struct {
	Addr string
	// Retention is how long records are retained; 0 retains them without limit.
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

// Start starts the HTTP server and returns its address. Records of an earlier Start are retained.
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

// Kill stops the server; records are retained for the next Start.
func (l *Log) Kill() { l.server.Kill() }

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// AppendCount returns the number of append requests that took effect.
func (l *Log) AppendCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Records returns all retained records of a stream.
func (l *Log) Records(stream string) []LogRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]LogRecord(nil), l.stream(stream).records...)
}

// stream returns the named stream after removing expired records. l.mu must be held.
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

// available applies the Delay fault. If the Down fault is set, it responds with 503 and returns false.
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
	drop := l.faults.DropAppendResponses
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	if drop {
		writeError(w, http.StatusGatewayTimeout, "append took effect, response dropped")
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
		remaining := time.Until(deadline)
		if len(b.Records) > 0 || remaining <= 0 {
			writeJSON(w, http.StatusOK, b)
			return
		}
		t := time.NewTimer(remaining)
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

// batch returns the records of a stream from an offset, at most limit unless it is 0, and a channel that is closed at the next
// append to any stream.
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

// orLoopback returns addr, or a loopback address with a port that the system chooses if addr is empty.
func orLoopback(addr string) string {
	if addr == "" {
		return "127.0.0.1:0"
	}
	return addr
}
