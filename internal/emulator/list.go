package emulator

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/listener"
)

// Listed is one entry of the platform's list.
type Listed struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
}

// List is a stand-in for the platform's list of live and leaving instances; changes show after Lag.
type List struct {
	Addr string
	Lag  time.Duration

	server  *listener.Server
	mu      sync.Mutex
	changes []listChange
	down    bool
}

type listChange struct {
	at    time.Time
	entry Listed
	gone  bool
}

// Start serves the list and returns its address.
func (l *List) Start() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", l.get)
	l.server = &listener.Server{Addr: orLoopback(l.Addr), Handler: mux}
	addr, err := l.server.Start()
	l.Addr = addr
	return addr, err
}

// Kill stops the list.
func (l *List) Kill() { l.server.Kill() }

// SetDown makes reads fail.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set adds or replaces an entry.
func (l *List) Set(e Listed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{at: time.Now(), entry: e})
}

// Remove removes an entry.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{at: time.Now(), entry: Listed{ID: id}, gone: true})
}

func (l *List) get(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		writeError(w, http.StatusServiceUnavailable, "list is down")
		return
	}
	visible := time.Now().Add(-l.Lag)
	out := []Listed{}
	for _, c := range l.changes {
		if c.at.After(visible) {
			continue
		}
		out = slices.DeleteFunc(out, func(e Listed) bool { return e.ID == c.entry.ID })
		if !c.gone {
			out = append(out, c.entry)
		}
	}
	writeJSON(w, http.StatusOK, map[string][]Listed{"instances": out})
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// dropConnection closes the caller's connection without an answer.
func dropConnection(w http.ResponseWriter) {
	listener.Abort(w)
}
