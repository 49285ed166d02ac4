package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in of the platform's metadata store: a log of topics with one partition each. A topic whose name begins with
// "keyed." also has the newest record of each key.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records [][]byte
	keys    []string
	newest  map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int
}

// startStore serves a store on a loopback address.
func startStore(ip string) (*store, error) {
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put appends a record to a keyed topic and returns the time of its acknowledgement.
func (s *store) put(name, key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(append([]byte{byte(len(key))}, key...), raw...))
	return time.Now()
}

// remove drops a key of a keyed topic and returns the time of the acknowledgement.
func (s *store) remove(name, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append([]byte{byte(len(key))}, key...))
	return time.Now()
}

// topic returns a topic, which it creates on first use; s.mu is held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newestRecord{}}
		s.topics[name] = t
	}
	return t
}

// add appends a record; s.mu is held.
func (s *store) add(name string, rec []byte) {
	t := s.topic(name)
	if strings.HasPrefix(name, "keyed.") && len(rec) >= 1+int(rec[0]) {
		key := string(rec[1 : 1+rec[0]])
		if _, ok := t.newest[key]; !ok {
			t.keys = append(t.keys, key)
		}
		t.newest[key] = newestRecord{value: rec[1+rec[0]:], offset: len(t.records)}
	}
	t.records = append(t.records, rec)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topic(q.Get("topic")).records)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(first) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": first})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		s.add(q.Get("topic"), append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	writeJSON(w, http.StatusOK, map[string]int{"offset": first, "end": len(s.topic(q.Get("topic")).records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for isLast := waitMs == 0; ; {
		s.mu.Lock()
		records, changed := s.topic(q.Get("topic")).records, s.changed
		s.mu.Unlock()
		if from < len(records) || isLast {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[min(from, len(records)):] {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			isLast = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for _, key := range t.keys {
		if rec := t.newest[key]; len(rec.value) > 0 {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": rec.offset})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// link is a proxy between one instance and the metadata store. While it is cut, it resets the instance's connections.
type link struct {
	address, upstream string
	cut               atomic.Bool

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
}

// startLink serves a proxy in front of an address.
func startLink(ip, upstream string) (*link, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{address: ln.Addr().String(), upstream: upstream, conns: map[*net.TCPConn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(c.(*net.TCPConn))
		}
	}()
	return l, nil
}

func (l *link) forward(c *net.TCPConn) {
	l.mu.Lock()
	if l.cut.Load() {
		l.mu.Unlock()
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	l.conns[c] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		_ = c.Close()
	}()
	u, err := net.Dial("tcp", l.upstream)
	if err != nil {
		return
	}
	defer u.Close()
	go func() {
		_, _ = io.Copy(u, c)
		_ = u.Close()
	}()
	_, _ = io.Copy(c, u)
}

// setCut cuts or restores the link.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut.Store(cut)
	for c := range l.conns {
		if cut {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}
