package balancer

import (
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
)

const (
	// defaultService is the time of a call before any was measured.
	defaultService = 50 * time.Millisecond
	// serviceWeight is the weight of a new measurement in the mean.
	serviceWeight = 0.05
	// refusalLife is how long a target that refused a call is left out, while others may have room.
	refusalLife = 200 * time.Millisecond
	// firstUnreached is how long a target is left out after a connection to it failed; it doubles with each failure in a
	// row up to lastUnreached, since entries of targets that are gone stay for seconds.
	firstUnreached = time.Second
	lastUnreached  = 4 * time.Second
	// reachTime is how long the next call may take to connect before another one tries it, too.
	reachTime = 500 * time.Millisecond
	// newsLife is how long a weight version that was reported is announced; by then it stands in the target's entry.
	newsLife = 3 * time.Second
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
	// versions are the newest weight versions that were shown.
	versions map[Weights]shown
}

// shown is a weight version, and when it was reported to this instance first.
type shown struct {
	version  int64
	reported time.Time
}

type entry struct {
	flight announcer.InFlight
	// waiting counts the calls that were not answered at all yet, since the first of them or the last word of the target.
	waiting int
	since   time.Time
	// refused is when the target last refused a call.
	refused time.Time
	// unreached counts the connections in a row that failed; the target is left out until a time.
	unreached int
	until     time.Time
	// reported is the last load, at the time when as many calls were in flight as then.
	reported Load
	then     int
	at       time.Time
	seen     map[string]time.Time
}

// Weights name the weights of one model in one process of a target.
type Weights struct {
	Target string
	// Born is the start of the process.
	Born  int64
	Model string
}

// WeightsOf names the weights of a model in the present process of a target.
func WeightsOf(t *cataloger.Target, model string) Weights {
	return Weights{Target: t.ID, Born: t.StartedUnixMs, Model: model}
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{targets: map[string]*entry{}, services: map[string]time.Duration{}, versions: map[Weights]shown{}}
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
		if !known[id] && e.flight.Requests == 0 {
			delete(b.targets, id)
		}
	}
	for w := range b.versions {
		if !known[w.Target] {
			delete(b.versions, w)
		}
	}
}

// Begin counts a call that is sent to a target.
func (b *Book) Begin(id string, f announcer.InFlight, now time.Time) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(id)
	e.flight = e.flight.Add(f)
	if e.unreached > 0 {
		e.until = now.Add(reachTime)
	}
	if e.waiting == 0 {
		e.since = now
	}
	e.waiting++
	return &Hold{book: b, entry: e, flight: f}
}

// Hold is one call in flight.
type Hold struct {
	book            *Book
	entry           *entry
	flight          announcer.InFlight
	answered, ended bool
}

// Answered counts that the target has begun to answer; its prompt was read.
func (h *Hold) Answered(now time.Time) {
	h.book.mu.Lock()
	defer h.book.mu.Unlock()
	h.entry.since = now
	h.answer()
}

func (h *Hold) answer() {
	if !h.answered {
		h.answered = true
		h.entry.waiting--
		h.entry.flight.PrefillTokens -= h.flight.PrefillTokens
	}
}

// End counts the end of the call.
func (h *Hold) End() {
	h.book.mu.Lock()
	defer h.book.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	h.answer()
	h.entry.flight.Requests -= h.flight.Requests
	h.entry.flight.Tokens -= h.flight.Tokens
}

// Refused notes that a target refused a call.
func (b *Book) Refused(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(id).refused = now
}

// Unreached notes that a connection to a target failed.
func (b *Book) Unreached(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(id)
	e.until = now.Add(min(lastUnreached, firstUnreached<<min(e.unreached, 10)))
	e.unreached++
}

// Reached notes that a target has taken a call.
func (b *Book) Reached(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(id).unreached = 0
}

// Standing is what this instance has seen of a target.
type Standing struct {
	// Own is what it has in flight there.
	Own announcer.InFlight
	// Refuses: the target refused a call a moment ago; it would most likely refuse the next one, too.
	Refuses bool
	// Unreachable: connections failed, and it is not yet time for another one.
	Unreachable bool
	// Silent is for how long it has left calls without a word.
	Silent time.Duration
}

// Standing returns what this instance has seen of a target.
func (b *Book) Standing(id string, now time.Time) Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.targets[id]
	if e == nil {
		return Standing{}
	}
	s := Standing{
		Own: e.flight, Refuses: now.Sub(e.refused) < refusalLife, Unreachable: e.unreached > 0 && now.Before(e.until),
	}
	if e.waiting > 0 {
		s.Silent = now.Sub(e.since)
	}
	return s
}

// Own returns what this instance has in flight at a target.
func (b *Book) Own(id string) announcer.InFlight {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.targets[id]; e != nil {
		return e.flight
	}
	return announcer.InFlight{}
}

// Report takes the load that a target sent with an answer.
func (b *Book) Report(id string, l Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(id)
	e.reported, e.then, e.at = l, e.flight.Requests, now
}

// Busy returns how many requests run or wait at a target: what it reported last, unless that is too old, and what was
// sent since.
func (b *Book) Busy(id string, maxAge time.Duration, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.targets[id]
	if e == nil {
		return 0
	}
	if now.Sub(e.at) > maxAge {
		return e.flight.Requests
	}
	return max(e.flight.Requests, e.reported.Running+e.reported.Waiting+e.flight.Requests-e.then)
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

// SetVersion takes the weight version that a target showed.
func (b *Book) SetVersion(w Weights, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version > b.versions[w].version {
		b.versions[w] = shown{version: version}
	}
}

// Reported takes the weight version that a target reported to this instance, which gives it orders; the others are told. If
// all told what they see, the announcements of a roll-out would fill the links of small instances.
func (b *Book) Reported(w Weights, version int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if have := b.versions[w]; version > have.version || version == have.version && have.reported.IsZero() {
		b.versions[w] = shown{version: version, reported: now}
	}
}

// Version returns the newest weight version that a target showed; 0 if it has shown none.
func (b *Book) Version(w Weights) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions[w].version
}

// Announcement returns what the other instances are told.
func (b *Book) Announcement(now time.Time) announcer.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := announcer.State{InFlightByTarget: map[string]announcer.InFlight{}}
	for id, e := range b.targets {
		if e.flight.Requests > 0 {
			out.InFlightByTarget[id] = e.flight
		}
	}
	for w, v := range b.versions {
		if now.Sub(v.reported) < newsLife {
			out.Versions = append(out.Versions, announcer.TargetVersion{Target: w.Target, StartedUnixMs: w.Born, Model: w.Model, Version: v.version})
		}
	}
	return out
}
