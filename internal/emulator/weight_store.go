package emulator

import (
	"net/http"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/listener"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// fullRateLoads is the number of concurrent loads that the weight store serves at the full rate; more share that rate.
const fullRateLoads = 2

// WeightStore emulates the rate-limited store of model weights.
type WeightStore struct {
	Addr  string
	Speed float64

	server  *listener.Server
	mu      sync.Mutex
	loading int
	peak    int
	fail    bool
}

// Start starts the HTTP server and returns its address.
func (s *WeightStore) Start() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.load)
	s.server = &listener.Server{Addr: orLoopback(s.Addr), Handler: mux}
	addr, err := s.server.Start()
	s.Addr = addr
	return addr, err
}

// Kill stops the server.
func (s *WeightStore) Kill() { s.server.Kill() }

// SetFailLoads sets whether loads fail after their transfer time.
func (s *WeightStore) SetFailLoads(fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = fail
}

// PeakLoads returns the largest number of concurrent loads so far.
func (s *WeightStore) PeakLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

func (s *WeightStore) load(w http.ResponseWriter, r *http.Request) {
	base := time.Duration(atoi(r.URL.Query().Get("ms"))) * time.Millisecond
	s.mu.Lock()
	s.loading++
	s.peak = max(s.peak, s.loading)
	slowdown := max(1, float64(s.loading)/fullRateLoads)
	fail := s.fail
	s.mu.Unlock()
	sleeper.Sleep(r.Context(), scale(time.Duration(float64(base)*slowdown), s.Speed))
	s.mu.Lock()
	s.loading--
	s.mu.Unlock()
	if fail {
		writeError(w, http.StatusBadGateway, "weight transfer failed")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
