package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// kvPart identifies a part of a prompt at a store of kept KV cache.
type kvPart struct{ salt, id string }

// kvStore is a stand-in of a managed store of kept KV cache.
type kvStore struct {
	address string

	mu sync.Mutex
	// boot counts the starts of the store; connections belong to one. isDown reports that the store answers nothing.
	boot    int
	isDown  bool
	parts   map[kvPart]bool // whether the part is complete
	tokens  map[kvPart]int
	events  [][]any
	changed chan struct{}
}

type bootKey struct{}

// startKVStore serves a store on a loopback address.
func startKVStore(ip string) (*kvStore, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &kvStore{address: ln.Addr().String(), boot: 1, parts: map[kvPart]bool{}, tokens: map[kvPart]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-events", s.handleEvents)
	mux.HandleFunc("GET /kv-list", s.handleList)
	mux.HandleFunc("POST /kv-free", func(http.ResponseWriter, *http.Request) {})
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.isSilent(r) {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			mux.ServeHTTP(w, r)
		}),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			s.mu.Lock()
			defer s.mu.Unlock()
			boot := s.boot
			if s.isDown {
				boot = 0 // opened while the store is down
			}
			return context.WithValue(ctx, bootKey{}, boot)
		},
	}
	go func() { _ = srv.Serve(ln) }()
	return s, nil
}

// isSilent reports whether a request has come over a connection that was opened before the last restart.
func (s *kvStore) isSilent(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown || r.Context().Value(bootKey{}) != s.boot
}

// restart ends the store without a sign on its connections, and starts it again, empty, after a time.
func (s *kvStore) restart(down time.Duration) {
	s.mu.Lock()
	s.isDown = true
	s.boot++
	s.parts, s.tokens, s.events = map[kvPart]bool{}, map[kvPart]int{}, nil
	s.mu.Unlock()
	time.Sleep(down)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = false
}

// save reserves the space of a part. It returns false if the store has the part, or is down.
func (s *kvStore) save(p kvPart, tokens int) (boot int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.parts[p]; exists || s.isDown {
		return 0, false
	}
	s.parts[p], s.tokens[p] = false, tokens
	return s.boot, true
}

// complete ends the save of a part unless the store has restarted since its start.
func (s *kvStore) complete(p kvPart, boot int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot != boot || s.isDown {
		return
	}
	s.parts[p] = true
	s.events = append(s.events, []any{len(s.events) + 1, "+", p.salt, p.id, s.tokens[p], modelName})
	close(s.changed)
	s.changed = make(chan struct{})
}

// state returns whether the store has space for a part, and whether it is complete.
func (s *kvStore) state(p kvPart) (isHeld, isComplete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return false, false
	}
	isComplete, isHeld = s.parts[p]
	return isHeld, isComplete
}

func (s *kvStore) handleEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	waitMs, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for isLast := waitMs == 0; ; {
		s.mu.Lock()
		events, changed, boot := s.events, s.changed, s.boot
		s.mu.Unlock()
		if s.isSilent(r) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if since < len(events) || isLast {
			writeJSON(w, http.StatusOK, map[string]any{
				"boot_epoch": 77000 + boot, "next_page_token": len(events), "lost": false, "events": append([][]any{}, events[min(since, len(events)):]...), "clock_ms": time.Now().UnixMilli(),
			})
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

func (s *kvStore) handleList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := [][]any{}
	for p, isComplete := range s.parts {
		if isComplete {
			held = append(held, []any{p.salt, p.id, s.tokens[p], modelName})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"boot_epoch": 77000 + s.boot, "next_page_token": len(s.events), "held": held, "clock_ms": time.Now().UnixMilli()})
}
