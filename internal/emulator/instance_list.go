package emulator

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/listener"
)

// ListEntry is one instance or target of an [InstanceList].
type ListEntry struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"` // instance or target
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
}

// InstanceList emulates the platform's list of live and leaving instances and targets. A change becomes visible after
// PropagationDelay.
type InstanceList struct {
	Addr             string
	PropagationDelay time.Duration

	server  *listener.Server
	mu      sync.Mutex
	changes []listChange
	down    bool
}

type listChange struct {
	at      time.Time
	entry   ListEntry
	removed bool
}

// Start starts the HTTP server and returns its address.
func (l *InstanceList) Start() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", l.get)
	l.server = &listener.Server{Addr: orLoopback(l.Addr), Handler: mux}
	addr, err := l.server.Start()
	l.Addr = addr
	return addr, err
}

// Kill stops the server.
func (l *InstanceList) Kill() { l.server.Kill() }

// SetDown sets whether reads fail with 503.
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
	l.changes = append(l.changes, listChange{at: time.Now(), entry: ListEntry{ID: id}, removed: true})
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
		if !c.removed {
			out = append(out, c.entry)
		}
	}
	writeJSON(w, http.StatusOK, map[string][]ListEntry{"instances": out})
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// dropConnection closes the client's connection without a response.
func dropConnection(w http.ResponseWriter) {
	listener.Abort(w)
}
