package forwarder

import (
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/retrier"
)

// retryBudgets are the retry budgets by service; they may be used by any number of goroutines.
type retryBudgets struct {
	mu       sync.Mutex
	services map[string]*retrier.Spending
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{services: map[string]*retrier.Spending{}} }

// spendingOf returns that of a service; b.mu is held.
func (b *retryBudgets) spendingOf(service string) *retrier.Spending {
	s := b.services[service]
	if s == nil {
		s = &retrier.Spending{}
		b.services[service] = s
	}
	return s
}

func (b *retryBudgets) recordRequest(service string, w retrier.Window, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spendingOf(service).Request(w, now)
}

func (b *retryBudgets) tryRetry(service string, w retrier.Window, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spendingOf(service).Take(w, now)
}
