package emulator

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/listener"
)

// ListEntry is one entry of the platform's list.
type ListEntry struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
}

// InstanceList is a stand-in for the platform's list of live and leaving instances; changes show after Lag.
type InstanceList struct {
	Addr             string
	PropagationDelay time.Duration

	server  *listener.Server
	mu      sync.Mutex
	changes []listChange
	down    bool
}

type listChange struct {
	at    time.Time
	entry ListEntry
	gone  bool
}

// Start serves the list and returns its address.
func (l *InstanceList) Start() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", l.get)
	l.server = &listener.Server{Addr: orLoopback(l.Addr), Handler: mux}
	addr, err := l.server.Start()
	l.Addr = addr
	return addr, err
}

// Kill stops the list.
func (l *InstanceList) Kill() { l.server.Kill() }

// SetDown makes reads fail.
func (l *InstanceList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set adds or replaces an entry.
func (l *InstanceList) Set(e ListEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{at: time.Now(), entry: e})
}

// Remove removes an entry.
func (l *InstanceList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{at: time.Now(), entry: ListEntry{ID: id}, gone: true})
}

func (l *InstanceList) get(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		writeError(w, http.StatusServiceUnavailable, "list is down")
		return
	}
	visible := time.Now().Add(-l.PropagationDelay)
	out := []ListEntry{}
	for _, c := range l.changes {
		if c.at.After(visible) {
			continue
		}
		out = slices.DeleteFunc(out, func(e ListEntry) bool { return e.ID == c.entry.ID })
		if !c.gone {
			out = append(out, c.entry)
		}
	}
	writeJSON(w, http.StatusOK, map[string][]ListEntry{"instances": out})
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// dropConnection closes the caller's connection without an answer.
func dropConnection(w http.ResponseWriter) {
	listener.Abort(w)
}
