package forwarder

import (
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/retrier"
)

// health keeps which targets fail this instance's calls; it may be used by any number of goroutines.
type health struct {
	mu      sync.Mutex
	ejector *retrier.Ejector
}

func newHealth() *health { return &health{ejector: retrier.NewEjector(nil)} }

func (h *health) setTargets(v *cataloger.View) {
	pools := map[string][]string{}
	for _, id := range v.TargetIDs() {
		if t, ok := v.Target(id); ok {
			pools[t.Service] = append(pools[t.Service], id)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ejector.SetPools(pools)
}

func (h *health) allows(id string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ejector.Allows(id, now)
}

func (h *health) observe(id string, ok bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ejector.Observe(id, ok, now)
}
