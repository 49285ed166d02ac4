package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: a log with keyed and other topics, each with the single partition 0. It keeps everything.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

// startStore starts a store on a loopback address.
func startStore() (*store, error) {
	ln, err := net.Listen("tcp", loopback(1)+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), topics: map[string][][]byte{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a record of a keyed topic, as the operator and the workers do; a nil value deletes the key.
func (s *store) put(topic, key string, value any) error {
	rec := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			return err
		}
		rec = append(rec, data...)
	}
	s.append(topic, -1, [][]byte{rec})
	return nil
}

// append appends records, if at is negative or the end of the topic, and returns the offset of the first one and the end.
func (s *store) append(topic string, at int, records [][]byte) (offset, end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	if at >= 0 && at != offset {
		return 0, offset, false
	}
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(s.topics[topic]), true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	at := -1
	if v := q.Get("at"); v != "" {
		at, _ = strconv.Atoi(v)
	}
	offset, end, ok := s.append(topic, at, records)
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	writeJSON(w, http.StatusOK, map[string]int{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if len(records) > from || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes the end, the first offset and the records from an offset on.
func writeRecords(w http.ResponseWriter, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range records[min(from, len(records)):] {
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	newest := map[string]item{}
	for i, rec := range records {
		key, value := string(rec[1:1+int(rec[0])]), rec[1+int(rec[0]):]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: i}
	}
	items := []item{}
	for _, it := range newest {
		items = append(items, it)
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
