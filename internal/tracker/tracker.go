// Package tracker holds what an instance learned from its own traffic.
//
// It remembers recent placements of conversations (a bounded map that is only
// ever a hint), how long blocks stay on the accelerators, when conversations
// return, what the links to the stores achieve, and mean run times. All of it is
// kept in memory, lost on restart and learned again; the policies that use it
// are pure and get it as values.
//
// # Usage
//
//	t := tracker.New(time.Now)
//	t.Remember(anchor, tracker.Hint{Target: "letters-1", At: now})
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
	// maxHints bounds the remembered placements.
	maxHints = 4096
	// meanWeight is the weight of one run in the moving averages.
	meanWeight = 0.05
	// rateWindow is the time constant of the rates of own dispatches, about the lag of a load report.
	rateWindow = 2 * time.Second
	// lateFade is the time constant with which the lateness fades. It is learned only from admitted requests, so without
	// fading an instance whose lateness is above the first-token target would refuse everything for ever.
	lateFade = 5 * time.Second
	// suspicion is how long a store that did not answer is not asked.
	suspicion = 2 * time.Second
)

// Hint tells where a conversation ran last.
type Hint struct {
	Target  string
	Version int64
	Blocks  int
	At      time.Time
}

type hinted struct {
	anchor keyer.Key
	hint   Hint
}

// Means are moving averages of a model's runs.
type Means struct {
	// ComputedShare is the share of prompt tokens that engines computed.
	ComputedShare float64
	// RunTime is how long runs hold a slot.
	RunTime time.Duration
	// Late is how much later the first token came than expected. Expectations are too low under overload, as the
	// target with the lowest one is taken, and admission relies on them.
	Late time.Duration

	lateAt time.Time
}

// faded returns the means with the lateness as it is at a later time.
func (m Means) faded(now time.Time) Means {
	if age := now.Sub(m.lateAt); age > 0 {
		m.Late = time.Duration(float64(m.Late) * math.Exp(-age.Seconds()/lateFade.Seconds()))
	}
	m.lateAt = now
	return m
}

// rates counts own dispatches with an exponential window.
type rates struct {
	runs, tokens float64
	at           time.Time
}

func (r rates) decayed(now time.Time) rates {
	f := math.Exp(-now.Sub(r.at).Seconds() / rateWindow.Seconds())
	return rates{r.runs * f, r.tokens * f, now}
}

// Sent counts a dispatch and the prompt tokens that it computes.
func (t *Tracker) Sent(model string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.sent[model].decayed(t.now())
	r.runs++
	r.tokens += float64(tokens)
	t.sent[model] = r
}

// Rates returns the own dispatches a second and the tokens that they compute.
func (t *Tracker) Rates(model string) (runs, tokens float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.sent[model].decayed(t.now())
	return r.runs / rateWindow.Seconds(), r.tokens / rateWindow.Seconds()
}

// Tracker is safe for concurrent use.
type Tracker struct {
	// After runs a function later; New sets it to the runtime's timer.
	After func(d time.Duration, f func())

	now func() time.Time

	mu        sync.Mutex
	hints     map[keyer.Key]*list.Element
	order     *list.List
	residency router.Residency
	returns   *placer.ReturnStats
	means     map[string]Means
	links     map[string]*link
	suspects  map[string]time.Time
	ids       uint64
	kept      map[tier][]Kept
	sent      map[string]rates
}

// New returns an empty tracker with a clock.
func New(now func() time.Time) *Tracker {
	return &Tracker{
		After: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		now:   now, hints: map[keyer.Key]*list.Element{}, order: list.New(), returns: placer.NewReturnStats(),
		means: map[string]Means{}, links: map[string]*link{}, suspects: map[string]time.Time{},
		kept: map[tier][]Kept{}, sent: map[string]rates{},
	}
}

// Now returns the tracker's time.
func (t *Tracker) Now() time.Time { return t.now() }

// Hint returns the last placement of a conversation.
func (t *Tracker) Hint(anchor keyer.Key) (Hint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	el, ok := t.hints[anchor]
	if !ok {
		return Hint{}, false
	}
	t.order.MoveToFront(el)
	return el.Value.(hinted).hint, true
}

// Remember notes a placement and forgets the one that was used least recently if there are too many.
func (t *Tracker) Remember(anchor keyer.Key, h Hint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if el, ok := t.hints[anchor]; ok {
		el.Value = hinted{anchor, h}
		t.order.MoveToFront(el)
		return
	}
	t.hints[anchor] = t.order.PushFront(hinted{anchor, h})
	if t.order.Len() > maxHints {
		old := t.order.Remove(t.order.Back()).(hinted)
		delete(t.hints, old.anchor)
	}
}

// Resident returns the chance that blocks are still on an accelerator after a time.
func (t *Tracker) Resident(age time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.residency.Chance(age)
}

// Found counts the share of blocks that a run found on the accelerator.
func (t *Tracker) Found(age time.Duration, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.residency.Observe(age, share)
}

// Ended counts a finished run, and the return that it was.
func (t *Tracker) Ended(k placer.Key, returning bool, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if returning {
		t.returns.RecordReturn(k, gap, now)
	}
	t.returns.RecordEnd(k, now)
}

// Decide asks the placer with what was learned of returns and residency.
func (t *Tracker) Decide(p *placer.Placer, run placer.Run) placer.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.ResidencyTime = t.residency.Life()
	return p.Decide(run, t.returns)
}

// Means returns the averages of a model; before the first run everything counts as computed.
func (t *Tracker) Means(model string) Means {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.means[model]; ok {
		return m.faded(t.now())
	}
	return Means{ComputedShare: 1}
}

// Ran counts a run in the averages of its model.
func (t *Tracker) Ran(model string, computedShare float64, runTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.means[model]
	if !ok || m.RunTime == 0 {
		m.ComputedShare, m.RunTime = computedShare, runTime
	}
	m.ComputedShare += meanWeight * (computedShare - m.ComputedShare)
	m.RunTime += time.Duration(meanWeight * float64(runTime-m.RunTime))
	t.means[model] = m
}

// First compares the time to a first token with what was expected.
func (t *Tracker) First(model string, expected, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.means[model]
	if !ok {
		m = Means{ComputedShare: 1}
	}
	m = m.faded(t.now())
	m.Late += time.Duration(meanWeight * float64(took-expected-m.Late))
	t.means[model] = m
}

// Suspect notes that a store did not answer.
func (t *Tracker) Suspect(store string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects[store] = t.now().Add(suspicion)
}

// Suspected reports whether a store did not answer lately.
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

// link is the shaper of one link with what its queued transfers do.
type link struct {
	*shaper.Link
	starts map[uint64]func(done func(ok bool))
	timer  bool
}
