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
	// speedSampleWeight is the weight of one run in the moving average of a model's speed.
	speedSampleWeight = 0.05
	// minLearnedTime is the shortest expected time that is used as a speed sample; shorter ones are mostly overhead.
	minLearnedTime = 20 * time.Millisecond
	// minSpeedFactor and maxSpeedFactor bound the ratio of observed to expected time.
	minSpeedFactor, maxSpeedFactor = 1.0 / 16, 4.0
	stateDead                      = "dead"
	stateLeft                      = "left"
)

// Gate is the admission and limit state of an instance. It is safe for concurrent use.
type Gate struct {
	mu           sync.Mutex
	admitter     *admitter.Admitter
	limits       *limiter.Limiter
	speedFactors map[string]float64
	// running counts the admitted chats in progress by model.
	running map[string]int
	// members is the list that the limits were computed with; deadSince holds the time at which a dead member was first
	// seen as dead.
	members     []view.Member
	deadSince   map[string]time.Time
	membersByID map[string]limiter.Member
}

// NewGate returns the gate of an instance, without accounts and other members.
func NewGate(id, dataCentre string) *Gate {
	return &Gate{
		admitter: admitter.New(), limits: limiter.New(id, dataCentre), speedFactors: map[string]float64{},
		running:   map[string]int{},
		deadSince: map[string]time.Time{}, membersByID: map[string]limiter.Member{},
	}
}

func (g *Gate) setAccounts(as []configurer.Account, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.SetAccounts(as, now)
}

// SetMembers sets the members that share the limits. An unchanged list is detected by identity and costs nothing.
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
	clear(g.membersByID)
	var list []limiter.Member
	for _, m := range ms {
		x := limiter.Member{ID: m.ID, DataCentre: m.DataCentre}
		switch m.State {
		case stateLeft:
			continue
		case stateDead:
			if g.deadSince[m.ID].IsZero() {
				g.deadSince[m.ID] = now
			}
			x.DeadSince = g.deadSince[m.ID]
		default:
			delete(g.deadSince, m.ID)
		}
		g.membersByID[m.ID] = x
		list = append(list, x)
	}
	for id := range g.deadSince {
		if _, ok := g.membersByID[id]; !ok {
			delete(g.deadSince, id)
		}
	}
	g.limits.SetMembers(list, now)
}

func (g *Gate) acquire(v *view.View, a configurer.Account, tokens int, now time.Time) limiter.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setMembers(v.Members, now)
	return g.limits.Acquire(a, tokens, now)
}

func (g *Gate) release(a configurer.Account, tokens int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.Release(a, tokens, now)
}

func (g *Gate) decide(a configurer.Account, e admitter.Estimate, now time.Time, seed uint64) admitter.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Decide(a, e, now, seed)
}

// addRunning adds n, which may be negative, to the number of admitted chats in progress of a model.
func (g *Gate) addRunning(model string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[model] += n
}

// runningCount returns the number of admitted chats in progress of a model.
func (g *Gate) runningCount(model string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[model]
}

// speedFactor returns the average ratio of the observed to the expected time to first token, or 1 without samples.
func (g *Gate) speedFactor(model string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f, ok := g.speedFactors[model]; ok {
		return f
	}
	return 1
}

// learnSpeed updates the speed factor with an observed time to first token and the one expected from the configured
// rates.
func (g *Gate) learnSpeed(model string, expected, observed time.Duration) {
	if expected < minLearnedTime {
		return
	}
	ratio := min(maxSpeedFactor, max(minSpeedFactor, float64(observed)/float64(expected)))
	g.mu.Lock()
	defer g.mu.Unlock()
	f, ok := g.speedFactors[model]
	if !ok {
		f = ratio
	}
	g.speedFactors[model] = f + speedSampleWeight*(ratio-f)
}

// Payloads returns the usage reports for this data centre and for all data centres.
func (g *Gate) Payloads(now time.Time) (local, wide []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var instance, dataCentre []limiter.Usage
	for _, u := range g.limits.Report(now) {
		if u.DataCentre == "" {
			instance = append(instance, u)
		} else {
			dataCentre = append(dataCentre, u)
		}
	}
	local, _ = limiter.Encode(instance)
	wide, _ = limiter.Encode(dataCentre)
	return local, wide
}

// Merge applies a usage report from another instance. Malformed reports and those of unknown instances are ignored.
func (g *Gate) Merge(from string, body []byte) { g.mergeAt(from, body, time.Now()) }

func (g *Gate) mergeAt(from string, body []byte, now time.Time) {
	us, err := limiter.Decode(body)
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.membersByID[from]; ok {
		g.limits.Merge(m, us, now)
	}
}
