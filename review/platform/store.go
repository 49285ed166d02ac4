package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Topics of the platform.
const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// store is a sound metadata store: append-only topics with one partition, of which the keyed ones also have the newest
// record of each key.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records [][]byte
	newest  map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int
}

func (e *environment) startStore() (*store, error) {
	ln, err := net.Listen("tcp", loopbackIP()+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.listNewest)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(ln) }()
	e.onClose(func() { _ = server.Close() })
	return s, nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newestRecord{}}
		s.topics[name] = t
	}
	return t
}

// put writes the newest record of a key; nil drops the key.
func (s *store) put(name, key string, value any) {
	var b []byte
	if value != nil {
		b, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(append([]byte{byte(len(key))}, key...), b...))
}

// add appends a record; s.mu is held.
func (s *store) add(name string, record []byte) {
	t := s.topic(name)
	if len(name) > 6 && name[:6] == "keyed." && len(record) > int(record[0]) {
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		t.newest[key] = newestRecord{value: value, offset: len(t.records)}
		if len(value) == 0 {
			delete(t.newest, key)
		}
	}
	t.records = append(t.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := q.Get("topic")
	if name == topicOperator || name == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first := len(t.records)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(first) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": first})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.add(name, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for last := waitMs == 0; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		changed := s.changed
		if from > len(t.records) {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		records := t.records[from:]
		s.mu.Unlock()
		if len(records) > 0 || last {
			for _, rec := range records {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for key, rec := range t.newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": rec.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
