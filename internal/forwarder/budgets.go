package forwarder

import (
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/retrier"
)

// budgets are the retry budgets by service; they may be used by any number of goroutines.
type budgets struct {
	mu       sync.Mutex
	services map[string]*retrier.WindowCounter
}

func newBudgets() *budgets { return &budgets{services: map[string]*retrier.WindowCounter{}} }

// spending returns that of a service; b.mu is held.
func (b *budgets) spending(service string) *retrier.WindowCounter {
	s := b.services[service]
	if s == nil {
		s = &retrier.WindowCounter{}
		b.services[service] = s
	}
	return s
}

func (b *budgets) request(service string, w retrier.WindowLimits, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spending(service).RecordRequest(w, now)
}

func (b *budgets) take(service string, w retrier.WindowLimits, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spending(service).TryRetry(w, now)
}
