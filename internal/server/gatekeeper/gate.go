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
	// latencySampleWeight is the weight of one run in the moving average of a model's latency factor.
	latencySampleWeight = 0.05
	// minSampledTime is the shortest expected time to first token that gives a sample; shorter ones are mostly overhead.
	minSampledTime = 20 * time.Millisecond
	// minLatencyFactor and maxLatencyFactor bound the latency factor of one sample.
	minLatencyFactor, maxLatencyFactor = 1.0 / 16, 4.0
	stateDead                          = "dead"
	stateLeft                          = "left"
)

// Gate is the admission and limit state of an instance. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	admitter *admitter.Admitter
	limits   *limiter.Limiter
	// latencyFactors holds the averages that latencyFactor returns, by model.
	latencyFactors map[string]float64
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
		admitter: admitter.New(), limits: limiter.New(id, dataCentre), latencyFactors: map[string]float64{},
		running:   map[string]int{},
		deadSince: map[string]time.Time{}, membersByID: map[string]limiter.Member{},
	}
}

func (g *Gate) setAccounts(as []configurer.Account, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.SetAccounts(as, now)
}

// SetMembers sets the members that share the limits. A list with the same backing array as the current one counts as
// unchanged and is not processed again.
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
		lm := limiter.Member{ID: m.ID, DataCentre: m.DataCentre}
		switch m.State {
		case stateLeft:
			continue
		case stateDead:
			if g.deadSince[m.ID].IsZero() {
				g.deadSince[m.ID] = now
			}
			lm.DeadSince = g.deadSince[m.ID]
		default:
			delete(g.deadSince, m.ID)
		}
		g.membersByID[m.ID] = lm
		list = append(list, lm)
	}
	for id := range g.deadSince {
		if _, ok := g.membersByID[id]; !ok {
			delete(g.deadSince, id)
		}
	}
	g.limits.SetMembers(list, now)
}

// acquire charges one request and its prompt tokens to the account and takes one of its streams, if the limits allow it.
func (g *Gate) acquire(v *view.View, a configurer.Account, tokens int, now time.Time) limiter.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setMembers(v.Members, now)
	return g.limits.Acquire(a, tokens, now)
}

// release ends the stream of a request and charges further tokens; a negative number is refunded.
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

// latencyFactor returns the average ratio of the observed to the expected time to first token of a model, or 1 without
// samples.
func (g *Gate) latencyFactor(model string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f, ok := g.latencyFactors[model]; ok {
		return f
	}
	return 1
}

// recordLatency updates the latency factor of a model with an observed time to first token and the one expected from the
// configured rates.
func (g *Gate) recordLatency(model string, expected, observed time.Duration) {
	if expected < minSampledTime {
		return
	}
	ratio := min(maxLatencyFactor, max(minLatencyFactor, float64(observed)/float64(expected)))
	g.mu.Lock()
	defer g.mu.Unlock()
	f, ok := g.latencyFactors[model]
	if !ok {
		f = ratio
	}
	g.latencyFactors[model] = f + latencySampleWeight*(ratio-f)
}

// Payloads implements gossiper.UsageExchanger. It returns the usage of this instance for its data centre, and that of the
// data centre for all data centres.
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

// Merge implements gossiper.UsageExchanger. It applies a usage report from another instance. Malformed reports and those
// of unknown instances are ignored.
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
