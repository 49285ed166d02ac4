package emulator

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/listener"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// ServiceFaults selects the faults that a [Service] injects.
type ServiceFaults struct {
	// DropResponses closes the connection after the operation has taken effect.
	DropResponses bool
	// Delay is added after the operation has taken effect, before the response.
	Delay time.Duration
	// Down refuses every request before the operation takes effect.
	Down bool
}

// Service emulates a plain HTTP service, such as one that orders couriers. It does not deduplicate: every request that
// reaches it runs, and it counts the runs of each idempotency key.
type Service struct {
	ID, Addr string
	server   *listener.Server
	mu       sync.Mutex
	runs     map[string]int
	faults   ServiceFaults
}

// Start starts the HTTP server and returns its address.
func (s *Service) Start() (string, error) {
	s.runs = map[string]int{}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/operations/{operation}", s.call)
	s.server = &listener.Server{Addr: orLoopback(s.Addr), Handler: mux}
	addr, err := s.server.Start()
	s.Addr = addr
	return addr, err
}

// Kill stops the server.
func (s *Service) Kill() { s.server.Kill() }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// RunCounts returns the number of runs of each idempotency key.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	f := s.faults
	if f.Down {
		s.mu.Unlock()
		writeError(w, http.StatusServiceUnavailable, "service is down")
		return
	}
	if key != "" {
		s.runs[key]++
	}
	s.mu.Unlock()
	sleeper.Sleep(r.Context(), f.Delay)
	if f.DropResponses {
		dropConnection(w)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"service": s.ID, "operation": r.PathValue("operation"), "confirmed": true, "bytes": len(body),
	})
}
