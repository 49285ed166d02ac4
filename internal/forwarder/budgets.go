package forwarder

import (
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/retrier"
)

// retryBudgets limits the retries of each service. It is safe for concurrent use.
type retryBudgets struct {
	mu       sync.Mutex
	services map[string]*retrier.WindowCounter
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{services: map[string]*retrier.WindowCounter{}}
}

// counterOf returns the counter of a service's requests and retries in the current window. b.mu must be held.
func (b *retryBudgets) counterOf(service string) *retrier.WindowCounter {
	s := b.services[service]
	if s == nil {
		s = &retrier.WindowCounter{}
		b.services[service] = s
	}
	return s
}

// recordRequest counts a request, which raises the number of allowed retries.
func (b *retryBudgets) recordRequest(service string, w retrier.WindowLimits, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counterOf(service).RecordRequest(w, now)
}

// tryRetry counts a retry and returns true, or returns false if the budget of the service is used up.
func (b *retryBudgets) tryRetry(service string, w retrier.WindowLimits, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counterOf(service).TryRetry(w, now)
}
