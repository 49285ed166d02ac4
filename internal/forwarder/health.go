package forwarder

import (
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/retrier"
)

// health ejects targets that fail the calls of this instance. It is safe for concurrent use.
type health struct {
	mu      sync.Mutex
	ejector *retrier.Ejector
}

func newHealth() *health { return &health{ejector: retrier.NewEjector(nil)} }

// setTargets sets the targets of the view, grouped by service.
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

// allows reports whether the target is not ejected, or may be probed now.
func (h *health) allows(id string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ejector.Allows(id, now)
}

// observe records the success or failure of a call at the target.
func (h *health) observe(id string, ok bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ejector.Observe(id, ok, now)
}
