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
	for _, id := range v.IDs() {
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

// budgets are the retry budgets by service; they may be used by any number of goroutines.
type budgets struct {
	mu       sync.Mutex
	services map[string]*retrier.Spending
}

func newBudgets() *budgets { return &budgets{services: map[string]*retrier.Spending{}} }

// spending returns that of a service; b.mu is held.
func (b *budgets) spending(service string) *retrier.Spending {
	s := b.services[service]
	if s == nil {
		s = &retrier.Spending{}
		b.services[service] = s
	}
	return s
}

func (b *budgets) request(service string, w retrier.Window, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spending(service).Request(w, now)
}

func (b *budgets) take(service string, w retrier.Window, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spending(service).Take(w, now)
}
