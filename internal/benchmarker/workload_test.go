package benchmarker

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
)

// size describes a deployment, with the numbers of section 3 of docs/design.md and the default capacities of pkg/configurer.
type size struct {
	instances, engines, dataCentres int
	slots, cache, maxQueue          int     // per engine; cache in blocks
	prefill, decode                 float64 // tokens per second
	linkMiBPerSec, diskMiBPerSec    int     // per second
	memoryMiB, diskMiB              int
}

// callerProfile describes the traffic of callers; docs/measurements.md lists each value as an assumption.
type callerProfile struct {
	firstPromptTokens, addedTokens float64       // medians
	outputTokens                   int           // tokens of a response
	gap                            time.Duration // median idle gap between turns
	returnProbability              []float64     // probability of another turn, by account
	accountWeights                 []float64     // share of each account in the load, as weights
	tokenShare                     float64       // share of requests that send the continuation token
}

// workload is a period of requests with its peak in the middle, and the faults that are injected during it.
type workload struct {
	size    size
	profile callerProfile
	length  time.Duration
	// peakLoad is the load at the peak as a multiple of the decode capacity of the slots.
	peakLoad float64
	faults   func(s *sim)
}

var defaultSize = size{
	instances: 6, engines: 12, dataCentres: 3, slots: 8, cache: 64, maxQueue: 64, prefill: 20000, decode: 50,
	linkMiBPerSec: 250, diskMiBPerSec: 100, memoryMiB: 1024, diskMiB: 8192,
}

var trustProfile = callerProfile{
	firstPromptTokens: 4000, addedTokens: 1000, outputTokens: 150, gap: 5 * time.Minute, tokenShare: 0.5,
	returnProbability: []float64{0.75, 0.7, 0.75, 0.6, 0.7, 0.6, 0.75, 0.1, 0.1, 0.2},
	accountWeights:    []float64{4, 4, 1, 1, 1, 1, 1, 1, 1, 1},
}

var cooperativeProfile = callerProfile{
	firstPromptTokens: 8000, addedTokens: 1500, outputTokens: 150, gap: 8 * time.Minute, tokenShare: 0.5,
	returnProbability: []float64{0.85, 0.8, 0.8, 0.85, 0.75, 0.3, 0.1, 0.1, 0.85, 0.6},
	accountWeights:    []float64{4, 4, 1, 1, 1, 1, 1, 1, 1, 1},
}

func workloads() map[string]workload {
	coop := defaultSize
	coop.instances = 7
	newWorkload := func(p callerProfile, sz size, peak float64, faults func(*sim)) workload {
		return workload{size: sz, profile: p, length: 2 * time.Hour, peakLoad: peak, faults: faults}
	}
	linkSlowdown := func(s *sim) {
		s.c.after(s.w.length/4, func() { s.slowLinks(4, 10) })
		s.c.after(s.w.length*3/4, func() { s.slowLinks(4, 1) })
	}
	storeLoss := func(s *sim) {
		s.c.after(s.w.length/3, func() { s.killStores(3) })
	}
	dataCentreLoss := func(s *sim) {
		s.c.after(s.w.length*2/5, func() { s.killDataCentre(0) })
		s.c.after(s.w.length*3/5, func() { s.restoreDataCentre(0) })
	}
	deadline := newWorkload(trustProfile, defaultSize, 5, nil)
	deadline.length = 30 * time.Minute
	return map[string]workload{
		"trust-day": newWorkload(trustProfile, defaultSize, 0.6, nil), "cooperative-day": newWorkload(cooperativeProfile, coop, 0.5, nil),
		"deadline": deadline, "slow-link": newWorkload(trustProfile, defaultSize, 0.5, linkSlowdown),
		"store-loss": newWorkload(cooperativeProfile, coop, 0.4, storeLoss), "data-centre-loss": newWorkload(trustProfile, defaultSize, 0.5, dataCentreLoss),
	}
}

// capacity returns the number of requests per second that the slots can decode.
func (w *workload) capacity() float64 {
	return float64(w.size.engines*w.size.slots) * w.size.decode / float64(w.profile.outputTokens)
}

// conv is one conversation. It has its own random generator, so that it is the same under every policy.
type conv struct {
	id      int
	account int
	anchor  keyer.Key
	rng     *rand.Rand
	tokens  int // tokens of the next prompt
	blocks  int // complete blocks of the last prompt
	turn    int
	// last is the target of the last run and lastEnd its end, as the continuation token carries them.
	last     int
	lastEnd  time.Duration
	hasToken bool // whether the next request sends the token
}

// conversations returns the conversations of a workload and their start times. The rate follows a half sine from a fifth of
// the peak to the peak and back.
func (w *workload) conversations(seed uint64) (convs []*conv, starts []time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	mean, sum := 0.0, 0.0
	for i, p := range w.profile.returnProbability {
		mean += w.profile.accountWeights[i] / (1 - p)
		sum += w.profile.accountWeights[i]
	}
	turns := mean / sum
	for at := time.Duration(0); ; {
		phase := math.Sin(math.Pi * float64(at) / float64(w.length))
		rate := w.peakLoad * w.capacity() * (0.2 + 0.8*phase) / turns
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= w.length {
			return convs, starts
		}
		convs, starts = append(convs, w.conversation(seed, len(convs), rng)), append(starts, at)
	}
}

func (w *workload) conversation(seed uint64, id int, rng *rand.Rand) *conv {
	c := &conv{id: id, rng: rand.New(rand.NewPCG(seed, uint64(id)+2)), last: -1}
	sum := 0.0
	for _, x := range w.profile.accountWeights {
		sum += x
	}
	for x := rng.Float64() * sum; c.account < len(w.profile.accountWeights)-1 && x >= w.profile.accountWeights[c.account]; c.account++ {
		x -= w.profile.accountWeights[c.account]
	}
	binary.BigEndian.PutUint64(c.anchor[:8], rng.Uint64())
	binary.BigEndian.PutUint64(c.anchor[8:], uint64(id))
	c.tokens = c.logNormal(w.profile.firstPromptTokens, 0.7, 32000)
	return c
}

// logNormal draws from a log-normal distribution with a median and an upper limit.
func (c *conv) logNormal(median, sigma, limit float64) int {
	return int(min(limit, median*math.Exp(sigma*c.rng.NormFloat64())))
}

// nextTurn prepares the next turn and returns the idle gap before it. ok is false if the conversation has ended.
func (c *conv) nextTurn(w *workload) (gap time.Duration, ok bool) {
	if c.rng.Float64() >= w.profile.returnProbability[c.account] || c.tokens > 60000 {
		return 0, false
	}
	c.turn++
	c.tokens += w.profile.outputTokens + c.logNormal(w.profile.addedTokens, 0.6, 8000)
	c.hasToken = c.rng.Float64() < w.profile.tokenShare
	return time.Duration(c.logNormal(w.profile.gap.Seconds()*1000, 1.2, 1e8)) * time.Millisecond, true
}
