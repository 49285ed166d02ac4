package gatekeeper

import (
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/admitter"
	"github.com/papayaworks/papayaworks/internal/limiter"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// learnWeight is the weight of one run in the learned speed of a model.
	learnWeight = 0.05
	// minLearned is the shortest expected time from which the speed is learned; shorter ones are mostly overhead.
	minLearned = 20 * time.Millisecond
	// minFactor and maxFactor bound how far the learned speed may be from the configured one.
	minFactor, maxFactor = 1.0 / 16, 4.0
	stateDead            = "dead"
	stateLeft            = "left"
)

// Gate is the admission and limit state of an instance.
type Gate struct {
	mu      sync.Mutex
	book    *admitter.Admitter
	limits  *limiter.Limiter
	factors map[string]float64
	// running counts the admitted chats of each model that have not ended.
	running map[string]int
	// members is the list that the limits were computed with; dead holds since when a member is dead.
	members []view.Member
	dead    map[string]time.Time
	byID    map[string]limiter.Member
}

// NewGate returns the gate of an instance.
func NewGate(id, dataCentre string) *Gate {
	return &Gate{
		book: admitter.New(), limits: limiter.New(id, dataCentre), factors: map[string]float64{},
		running: map[string]int{},
		dead:    map[string]time.Time{}, byID: map[string]limiter.Member{},
	}
}

func (g *Gate) setAccounts(as []configurer.Account, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.SetAccounts(as, now)
}

// SetMembers takes the members of a view; an unchanged list costs nothing.
func (g *Gate) SetMembers(ms []view.Member, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setMembers(ms, now)
}

func (g *Gate) setMembers(ms []view.Member, now time.Time) {
	if len(ms) == len(g.members) && (len(ms) == 0 || &ms[0] == &g.members[0]) {
		return
	}
	g.members = ms
	clear(g.byID)
	var list []limiter.Member
	for _, m := range ms {
		x := limiter.Member{ID: m.ID, DataCentre: m.DataCentre}
		switch m.State {
		case stateLeft:
			continue
		case stateDead:
			if g.dead[m.ID].IsZero() {
				g.dead[m.ID] = now
			}
			x.DeadSince = g.dead[m.ID]
		default:
			delete(g.dead, m.ID)
		}
		g.byID[m.ID] = x
		list = append(list, x)
	}
	for id := range g.dead {
		if _, ok := g.byID[id]; !ok {
			delete(g.dead, id)
		}
	}
	g.limits.SetMembers(list, now)
}

func (g *Gate) take(v *view.View, a configurer.Account, tokens int, now time.Time) limiter.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setMembers(v.Members, now)
	return g.limits.Acquire(a, tokens, now)
}

func (g *Gate) finish(a configurer.Account, tokens int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.Release(a, tokens, now)
}

func (g *Gate) decide(a configurer.Account, e admitter.Estimate, now time.Time, seed uint64) admitter.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Decide(a, e, now, seed)
}

// begin adds n to the admitted chats of a model that have not ended; a negative n takes away.
func (g *Gate) begin(model string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[model] += n
}

// own returns the admitted chats of a model that have not ended.
func (g *Gate) own(model string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[model]
}

// factor returns the observed time to the first token relative to the expected one.
func (g *Gate) factor(model string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f, ok := g.factors[model]; ok {
		return f
	}
	return 1
}

// learn compares the expected time to the first token, by the configured rates, with the observed one.
func (g *Gate) learn(model string, expected, observed time.Duration) {
	if expected < minLearned {
		return
	}
	ratio := min(maxFactor, max(minFactor, float64(observed)/float64(expected)))
	g.mu.Lock()
	defer g.mu.Unlock()
	f, ok := g.factors[model]
	if !ok {
		f = ratio
	}
	g.factors[model] = f + learnWeight*(ratio-f)
}

// Payloads returns the usage reports for the own data centre and for all.
func (g *Gate) Payloads(now time.Time) (local, wide []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var own, sums []limiter.Usage
	for _, u := range g.limits.Report(now) {
		if u.DataCentre == "" {
			own = append(own, u)
		} else {
			sums = append(sums, u)
		}
	}
	local, _ = limiter.Encode(own)
	wide, _ = limiter.Encode(sums)
	return local, wide
}

// Merge takes a usage report of another instance; one that is malformed or from an unknown instance is ignored.
func (g *Gate) Merge(from string, body []byte) { g.mergeAt(from, body, time.Now()) }

func (g *Gate) mergeAt(from string, body []byte, now time.Time) {
	us, err := limiter.Decode(body)
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.byID[from]; ok {
		g.limits.Merge(m, us, now)
	}
}
