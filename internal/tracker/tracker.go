// Package tracker collects statistics of an instance's own traffic for its routing, placement and admission policies.
//
// It tracks the recent placements of conversations (a bounded LRU map, whose
// entries are hints only), how long blocks stay cached on the accelerators, when
// conversations return, the rates of the links to the KV stores, and moving
// averages of runs. The state is held in memory only and is rebuilt from traffic
// after a restart. The policies are pure and get the statistics as values.
//
// # Usage
//
//	t := tracker.New(time.Now)
//	t.SetHint(anchor, tracker.Hint{Target: "letters-1", DispatchedAt: now})
//	h, ok := t.Hint(anchor)
package tracker

import (
	"container/list"
	"math"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/placer"
	"github.com/papayaworks/papayaworks/internal/router"
	"github.com/papayaworks/papayaworks/internal/shaper"
)

const (
	// maxHints is the maximum number of placement hints.
	maxHints = 4096
	// averageWeight is the weight of a new value in the moving averages.
	averageWeight = 0.05
	// rateWindow is the time constant of the dispatch rates, about the lag of a load report.
	rateWindow = 2 * time.Second
	// latenessDecay is the time constant with which the lateness decays. Only admitted requests update the lateness, so
	// without decay an instance whose lateness exceeds the first-token target would refuse all requests from then on.
	latenessDecay = 5 * time.Second
	// suspicionTTL is the time for which an unresponsive store gets no requests.
	suspicionTTL = 2 * time.Second
)

// Hint is the last known placement of a conversation.
type Hint struct {
	Target  string
	Version int64
	// Blocks is the number of complete blocks of the prompt.
	Blocks       int
	DispatchedAt time.Time
}

type hintEntry struct {
	anchor keyer.Key
	hint   Hint
}

// Averages are moving averages of the runs of a model.
type Averages struct {
	// ComputedShare is the share of prompt tokens that engines prefilled; the others were cached.
	ComputedShare float64
	// RunTime is the time for which a run occupies a slot.
	RunTime time.Duration
	// Lateness is the amount by which the time to first token exceeds its estimate. Admission control adds it to its
	// estimates, which are too low under overload because the target with the lowest estimate is selected.
	Lateness time.Duration

	latenessAt time.Time
}

// decayed returns the averages with the lateness decayed to a later time.
func (a Averages) decayed(now time.Time) Averages {
	if age := now.Sub(a.latenessAt); age > 0 {
		a.Lateness = time.Duration(float64(a.Lateness) * math.Exp(-age.Seconds()/latenessDecay.Seconds()))
	}
	a.latenessAt = now
	return a
}

// dispatchRates holds exponentially decayed sums of the runs that this instance dispatched and of the prompt tokens that
// they prefill.
type dispatchRates struct {
	runs, tokens float64
	at           time.Time
}

func (r dispatchRates) decayed(now time.Time) dispatchRates {
	f := math.Exp(-now.Sub(r.at).Seconds() / rateWindow.Seconds())
	return dispatchRates{r.runs * f, r.tokens * f, now}
}

// RecordDispatch counts a dispatched run and the prompt tokens that it prefills.
func (t *Tracker) RecordDispatch(model string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.dispatched[model].decayed(t.now())
	r.runs++
	r.tokens += float64(tokens)
	t.dispatched[model] = r
}

// DispatchRates returns the runs that this instance dispatches per second and the prompt tokens per second that they
// prefill.
func (t *Tracker) DispatchRates(model string) (runs, tokens float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.dispatched[model].decayed(t.now())
	return r.runs / rateWindow.Seconds(), r.tokens / rateWindow.Seconds()
}

// Tracker collects the statistics of one instance. It is safe for concurrent use.
type Tracker struct {
	// AfterFunc schedules a call of f after d and must not make the call itself; [New] sets it to [time.AfterFunc].
	AfterFunc func(d time.Duration, f func())

	now func() time.Time

	mu         sync.Mutex
	hints      map[keyer.Key]*list.Element
	lru        *list.List
	residency  router.Residency
	returns    *placer.ReturnStats
	averages   map[string]Averages
	links      map[string]*link
	suspects   map[string]time.Time
	lastJobID  uint64
	stored     map[storeTier][]StoredContext
	dispatched map[string]dispatchRates
}

// New returns an empty tracker that uses the given clock.
func New(now func() time.Time) *Tracker {
	return &Tracker{
		AfterFunc: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		now:       now, hints: map[keyer.Key]*list.Element{}, lru: list.New(), returns: placer.NewReturnStats(),
		averages: map[string]Averages{}, links: map[string]*link{}, suspects: map[string]time.Time{},
		stored: map[storeTier][]StoredContext{}, dispatched: map[string]dispatchRates{},
	}
}

// Now returns the current time by the tracker's clock.
func (t *Tracker) Now() time.Time { return t.now() }

// Hint returns the last known placement of a conversation.
func (t *Tracker) Hint(anchor keyer.Key) (Hint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	el, ok := t.hints[anchor]
	if !ok {
		return Hint{}, false
	}
	t.lru.MoveToFront(el)
	return el.Value.(hintEntry).hint, true
}

// SetHint records a placement. If there are too many, it evicts the least recently used one.
func (t *Tracker) SetHint(anchor keyer.Key, h Hint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if el, ok := t.hints[anchor]; ok {
		el.Value = hintEntry{anchor, h}
		t.lru.MoveToFront(el)
		return
	}
	t.hints[anchor] = t.lru.PushFront(hintEntry{anchor, h})
	if t.lru.Len() > maxHints {
		evicted := t.lru.Remove(t.lru.Back()).(hintEntry)
		delete(t.hints, evicted.anchor)
	}
}

// ResidentProbability returns the probability that blocks are still cached on an accelerator after the given time.
func (t *Tracker) ResidentProbability(age time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.residency.Probability(age)
}

// RecordCacheHits records the share of blocks that a run found in the accelerator's cache; age is the time since the
// previous run.
func (t *Tracker) RecordCacheHits(age time.Duration, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.residency.Observe(age, share)
}

// RecordEnd records the end of a run. If the run continued a conversation, returning is true and gap is the idle time
// before it.
func (t *Tracker) RecordEnd(k placer.Key, returning bool, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if returning {
		t.returns.RecordReturn(k, gap, now)
	}
	t.returns.RecordEnd(k, now)
}

// Decide returns the placer's decision for a run, given the return and residency statistics.
func (t *Tracker) Decide(p *placer.Placer, run placer.Run) placer.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.ResidencyTime = t.residency.HalfLife()
	return p.Decide(run, t.returns)
}

// Averages returns the averages of a model. Before the first run, ComputedShare is 1 and the others are zero.
func (t *Tracker) Averages(model string) Averages {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.averages[model]; ok {
		return a.decayed(t.now())
	}
	return Averages{ComputedShare: 1}
}

// RecordRun updates the averages of a model with a run.
func (t *Tracker) RecordRun(model string, computedShare float64, runTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.averages[model]
	if !ok || a.RunTime == 0 {
		a.ComputedShare, a.RunTime = computedShare, runTime
	}
	a.ComputedShare += averageWeight * (computedShare - a.ComputedShare)
	a.RunTime += time.Duration(averageWeight * float64(runTime-a.RunTime))
	t.averages[model] = a
}

// RecordFirstToken updates the lateness of a model with the expected and the actual time to first token of a run.
func (t *Tracker) RecordFirstToken(model string, expected, actual time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.averages[model]
	if !ok {
		a = Averages{ComputedShare: 1}
	}
	a = a.decayed(t.now())
	a.Lateness += time.Duration(averageWeight * float64(actual-expected-a.Lateness))
	t.averages[model] = a
}

// Suspect marks a KV store as unresponsive for a limited time.
func (t *Tracker) Suspect(store string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects[store] = t.now().Add(suspicionTTL)
}

// Suspected reports whether a KV store was marked as unresponsive within the last two seconds.
func (t *Tracker) Suspected(store string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.suspects[store]
	if ok && t.now().After(until) {
		delete(t.suspects, store)
		return false
	}
	return ok
}

// link is the shaper of the link to one store, with the start functions of its queued transfers by job id.
type link struct {
	*shaper.Link
	startFuncs map[uint64]func(done func(ok bool))
	timerSet   bool
}
