package balancer

import (
	"sync"
	"time"
)

const (
	// defaultService is the time of a call before any was measured.
	defaultService = 50 * time.Millisecond
	// serviceWeight is the weight of a new measurement in the mean.
	serviceWeight = 0.05
	// loadLife is how long a reported load counts.
	loadLife = 2 * time.Second
	// maxSeen bounds the prompt parts that are remembered for one target.
	maxSeen = 512
	// seenLife is how long a part is taken to stay cached after it was sent.
	seenLife = 20 * time.Second
)

// Load is the load that a target reported with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Book is what this instance knows of targets from its own traffic.
type Book struct {
	mu       sync.Mutex
	targets  map[string]*entry
	services map[string]time.Duration
}

type entry struct {
	inFlight int
	// reported is the last load, at the time when inFlight was as then.
	reported Load
	then     int
	at       time.Time
	seen     map[string]time.Time
	// versions are the weight versions by model that the process born then has shown.
	versions map[string]int64
	born     int64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{targets: map[string]*entry{}, services: map[string]time.Duration{}}
}

func (b *Book) entry(id string) *entry {
	e := b.targets[id]
	if e == nil {
		e = &entry{seen: map[string]time.Time{}}
		b.targets[id] = e
	}
	return e
}

// Keep forgets the targets that are not among those named.
func (b *Book) Keep(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make(map[string]bool, len(ids))
	for _, id := range ids {
		known[id] = true
	}
	for id, e := range b.targets {
		if !known[id] && e.inFlight == 0 {
			delete(b.targets, id)
		}
	}
}

// Begin counts a call that is sent to a target; the caller runs the returned function when it ends.
func (b *Book) Begin(id string) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(id)
	e.inFlight++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		e.inFlight--
	}
}

// Report takes the load that a target sent with an answer.
func (b *Book) Report(id string, l Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(id)
	e.reported, e.then, e.at = l, e.inFlight, now
}

// Busy returns how many requests run or wait at a target: what it reported last, and what was sent since.
func (b *Book) Busy(id string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.targets[id]
	if e == nil {
		return 0
	}
	if now.Sub(e.at) > loadLife {
		return e.inFlight
	}
	return max(e.inFlight, e.reported.Running+e.reported.Waiting+e.inFlight-e.then)
}

// Took records the time of a call of a service.
func (b *Book) Took(service string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean, ok := b.services[service]
	if !ok {
		mean = defaultService
	}
	b.services[service] = mean + time.Duration(serviceWeight*float64(d-mean))
}

// Service returns the mean time of a call of a service.
func (b *Book) Service(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d, ok := b.services[service]; ok {
		return d
	}
	return defaultService
}

// Sent remembers that a target read prompt parts.
func (b *Book) Sent(id string, keys []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(id)
	if len(e.seen)+len(keys) > maxSeen {
		for k, at := range e.seen {
			if now.Sub(at) > seenLife {
				delete(e.seen, k)
			}
		}
	}
	for _, k := range keys {
		if len(e.seen) < maxSeen {
			e.seen[k] = now
		}
	}
}

// Seen returns how many of the parts in order were sent to a target lately.
func (b *Book) Seen(id string, keys []string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.targets[id]
	if e == nil {
		return 0
	}
	for i, k := range keys {
		if at, ok := e.seen[k]; !ok || now.Sub(at) > seenLife {
			return i
		}
	}
	return len(keys)
}

// SetVersion takes the weight version that a target showed; born is the start of its process.
func (b *Book) SetVersion(id string, born int64, model string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(id)
	if e.versions == nil || e.born != born {
		e.versions, e.born = map[string]int64{}, born
	}
	e.versions[model] = version
}

// Version returns the weight version that the target's process showed; 0 if it has shown none.
func (b *Book) Version(id string, born int64, model string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.targets[id]; e != nil && e.born == born {
		return e.versions[model]
	}
	return 0
}
