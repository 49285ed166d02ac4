// Package balancer selects the target of a request and decides whether the request can be served on time.
//
// [Choose] is a pure function: given the candidates and their estimated load, it
// returns one of them with the reason and the expected queueing delay. The
// estimates come from a [LoadTable], which has its own lock and is the only state
// of this package that request goroutines share, and from the announcements of other
// instances.
//
// # Load patterns
//
// Plain services serve short requests on few slots. In a burst of 1.7 times the
// usual load for 3 s their queues would outlast the deadline. The least loaded
// target is therefore chosen, in the local data centre among equals. The objective
// does not apply to them, so [Choose] refuses none of their requests.
//
// Model engines are chosen by the expected time to the first token: prefix blocks
// that are not cached must be prefilled, and each running request slows the others
// down. In an overload by a third for 10 s, as when a quarter of the engines
// becomes unresponsive, a request whose first event would miss its objective is
// refused at once. Where many instances send to the same engines, each instance
// announces every larger request immediately; periodic state broadcasts alone are
// too slow to keep several instances from choosing the same engine. Each
// conversation has a preferred target by rendezvous hashing, which all instances
// compute alike, so that its blocks are cached on few engines.
//
// Where requests that look alike cost different amounts of work and targets differ in
// speed, [Input.Rates] holds what was learned of them. Each candidate then has an
// expected time for the request alone, which is compared with the objective, and a
// cost, which adds what the prefill does to the requests behind it. The jitter of the
// costs grows with the age of what is known of the other instances. Targets of a
// plain service are chosen at random, by their costs, if that is as old as the
// duration of a request.
//
// # Usage
//
//	d, err := balancer.Choose(balancer.Input{Candidates: cs, IsEngine: true, Objective: objective, Seed: rand.Uint64()})
package balancer

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/estimator"
	"github.com/papayaworks/papayaworks/internal/hasher"
)

var (
	// ErrNoTarget is returned if there is no candidate.
	ErrNoTarget = errors.New("no usable target")
	// ErrObjectiveMissed is returned if the expected time to the first event exceeds the objective on every candidate.
	ErrObjectiveMissed = errors.New("no target could answer on time")
)

const (
	// crossDataCentreRTT is the extra round-trip time of a request to another data centre.
	crossDataCentreRTT = 3 * time.Millisecond
	// prefillTokensPerSec, fetchTokensPerSec and slowdownPerRun are used where nothing is learned.
	prefillTokensPerSec = estimator.InitialPrefillTokensPerSec
	fetchTokensPerSec   = estimator.InitialFetchTokensPerSec
	slowdownPerRun      = estimator.InitialSlowdownPerRun
	// prefillCostWeight weighs a request's own prefill time against its queueing time, because later requests queue behind
	// the prefill. It keeps conversations on their preferred targets while load shifts.
	prefillCostWeight = 3
	// maxFillRatio is the fraction of an engine's KV memory that requests may fill; beyond it the engine evicts cached
	// blocks and preempts requests.
	maxFillRatio = 0.9
	// preferredHitRate is the probability that the blocks of a conversation are cached on its preferred target.
	preferredHitRate = 0.7
	// unstoredHitRate replaces preferredHitRate for blocks that no KV store holds although stores are in use: most of them were not computed
	// before with these weights, as after a start or a weight update; the others found no room in the stores.
	unstoredHitRate = 0.3
	// recentHitRate is the probability that blocks which this instance recently sent to another target are still cached
	// there.
	recentHitRate = 0.5
	// supersededPenalty is the cost, as time, of a response from superseded weights.
	supersededPenalty = 120 * time.Millisecond
	// warmingFactor multiplies the time that a target takes for the request itself while it is warming up: it is slow, and a long prompt
	// waits there. It is small, as the number of requests is bounded by other means and the target is not to be left idle.
	warmingFactor = 1.25
	// costJitter is the largest random increase of a cost, as a fraction of it; it keeps instances with the same view from
	// all choosing the same target.
	costJitter = 0.1
	// unknownLoadJitter replaces costJitter if the load of the other instances is not known. It is above the weight of a remote data
	// centre, so that the targets of all data centres share the load.
	unknownLoadJitter = 0.25
)

// Candidate is one target with its load as estimated by this instance.
type Candidate struct {
	Target *cataloger.Target
	// Remote reports whether the target is in another data centre.
	Remote bool
	// Outstanding is the number of running and queued requests.
	Outstanding int
	// Tokens is the number of prompt and expected output tokens of the outstanding requests.
	Tokens int
	// QueuedPrefillTokens is the number of prompt tokens of outstanding requests that still await prefill.
	QueuedPrefillTokens int
	// HashRank is the rank of the target in the rendezvous-hash order of the conversation; 0 is the preferred target.
	HashRank int
	// RecentlySentTokens is the number of shared prompt tokens that this instance recently sent to the target.
	RecentlySentTokens int
	// StoredTokens is the number of shared prompt tokens whose KV cache can be fetched from a KV store.
	StoredTokens int
	// MeanDuration is the mean duration of a request to the service.
	MeanDuration time.Duration
	// Slowdown is how long work takes on the target as a multiple of the usual time of the service. It counts only with learned rates.
	Slowdown float64
	// Superseded reports whether the target still has older weights some time after the operator requested newer ones.
	Superseded bool
	// Warming reports whether the target is warming up after its start.
	Warming bool
}

// Input holds everything a decision depends on.
type Input struct {
	Candidates []Candidate
	// IsEngine reports whether the candidates are model engines rather than targets of a plain service.
	IsEngine bool
	// SharedTokens is the number of prompt tokens that other requests may share, UniqueTokens the number of the rest.
	SharedTokens, UniqueTokens int
	// Objective is the target time to the first event; 0 means none. It applies to engines only.
	Objective time.Duration
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
	// CapacityTokens is the KV memory of an engine in tokens; 0 means unknown. MeanHoldTime is the mean time for which a
	// request occupies its share of it.
	CapacityTokens int
	MeanHoldTime   time.Duration
	// StoresKnown reports whether KV stores are in use, so that a block that none holds was most likely not computed before. It is used with
	// learned rates only.
	StoresKnown bool
	// HiddenRequests is the mean number of requests at a target that Outstanding lacks, because others have sent them since their last
	// announcement. It is used with learned rates only.
	HiddenRequests float64
	// LoadUnknown reports whether the loads of the candidates leave out the requests of other instances.
	LoadUnknown bool
	// Rates are the learned rates of the service; nil means that targets are compared by fixed ones.
	Rates *estimator.Rates
	// Duration is the expected duration of this request to a plain service, 0 if it is not known; it counts only with learned rates.
	Duration time.Duration
	// LoadAge is the mean age of what is known of the other instances' requests; it counts only with learned rates.
	LoadAge time.Duration
	// Seed seeds the jitter, so that equal inputs give equal decisions.
	Seed uint64
}

// Decision is the chosen target with the estimates behind the choice.
type Decision struct {
	Target *cataloger.Target
	// QueueDelay is the expected time before the target starts the request.
	QueueDelay time.Duration
	// Cost is the expected time to the first event (engines) or to the response (plain services), with prefillCostWeight and
	// supersededPenalty applied.
	Cost time.Duration
	// Expected is the expected time to the first event (engines) or to the response (plain services) of this request alone, Wait the part of
	// it before the target works on the request. Without learned rates, Expected is Cost and Wait is QueueDelay.
	Expected, Wait time.Duration
	// PrefillTokens is the number of prompt tokens that the target is expected to compute. Outstanding is that of the
	// candidate.
	PrefillTokens, Outstanding int
	// IsFetched reports whether a part of the prompt is expected to be fetched from a KV store; it is set only with learned rates.
	IsFetched bool
	Reason    string
}

// Values of [Decision.Reason].
const (
	ReasonPreferred    = "home of the conversation"
	ReasonLeastLatency = "least expected time"
	// ReasonLoadUnknown is appended to the others if the load of the other instances is not known.
	ReasonLoadUnknown = ", load of other instances unknown"
)

// Choose returns the candidate with the lowest cost. It returns [ErrNoTarget] if there is no candidate, and the candidate
// together with [ErrObjectiveMissed] if even the lowest cost of an engine exceeds the objective. Engines that accept more
// requests than they can serve on time evict cached blocks, preempt requests and recompute prompts, so that all responses
// are late until the load falls far below what the engines can sustain.
func Choose(in Input) (Decision, error) {
	if in.Rates != nil {
		return in.chooseLearned()
	}
	r := rand.New(rand.NewPCG(in.Seed, 1))
	best := Decision{}
	least := time.Duration(math.MaxInt64)
	jitter := costJitter
	if in.LoadUnknown {
		jitter = unknownLoadJitter
	}
	for _, c := range in.Candidates {
		d := in.estimate(c)
		if jittered := time.Duration(float64(d.Cost) * (1 + jitter*r.Float64())); jittered < least {
			least, best = jittered, d
		}
	}
	if best.Target == nil {
		return Decision{}, ErrNoTarget
	}
	best.Expected, best.Wait = best.Cost, best.QueueDelay
	if in.LoadUnknown {
		best.Reason += ReasonLoadUnknown
	}
	if in.IsEngine && in.Objective > 0 && best.Cost > in.Objective {
		return best, ErrObjectiveMissed
	}
	return best, nil
}

// estimate returns the decision that would choose c.
func (in Input) estimate(c Candidate) Decision {
	d := Decision{Target: c.Target, Reason: ReasonLeastLatency, Outstanding: c.Outstanding}
	slots := max(1, c.Target.Slots)
	if excess := c.Outstanding + 1 - slots; excess > 0 {
		d.QueueDelay = time.Duration(float64(c.MeanDuration) * float64(excess) / float64(slots))
	}
	if c.Remote {
		d.Cost += crossDataCentreRTT
	}
	if c.Superseded {
		d.Cost += supersededPenalty
	}
	if !in.IsEngine {
		fill := float64(c.Outstanding) / float64(slots)
		d.Cost += d.QueueDelay + time.Duration(float64(c.MeanDuration)*(1+fill*fill)*c.warmingFactor())
		return d
	}
	if c.HashRank == 0 {
		d.Reason = ReasonPreferred
	}
	if excess := c.Tokens + in.SharedTokens + in.UniqueTokens + in.OutputTokens - int(maxFillRatio*float64(in.CapacityTokens)); in.CapacityTokens > 0 && excess > 0 {
		d.QueueDelay = max(d.QueueDelay, time.Duration(float64(in.MeanHoldTime)*float64(excess)/float64(in.CapacityTokens)))
	}
	cached := in.cachedTokens(&c)
	fetch := max(0, float64(c.StoredTokens)-cached) / fetchTokensPerSec
	d.PrefillTokens = in.SharedTokens + in.UniqueTokens - int(max(cached, float64(c.StoredTokens)))
	slowdown := 1 + slowdownPerRun*float64(c.Outstanding)
	prefill := (float64(c.QueuedPrefillTokens)+prefillCostWeight*float64(d.PrefillTokens)*c.warmingFactor())/prefillTokensPerSec*slowdown + fetch
	d.Cost += d.QueueDelay + time.Duration(prefill*float64(time.Second))
	return d
}

// cachedTokens returns the expected number of prompt tokens that are cached on a candidate.
func (in *Input) cachedTokens(c *Candidate) float64 {
	cached := recentHitRate * float64(c.RecentlySentTokens)
	if c.HashRank == 0 {
		tokens := preferredHitRate * float64(in.SharedTokens)
		if in.Rates != nil && in.StoresKnown {
			stored := min(float64(c.StoredTokens), float64(in.SharedTokens))
			tokens = preferredHitRate*stored + unstoredHitRate*(float64(in.SharedTokens)-stored)
		}
		cached = max(cached, tokens)
	}
	return cached
}

// warmingFactor returns the factor of the time that the target takes for the request itself.
func (c Candidate) warmingFactor() float64 {
	if c.Warming {
		return warmingFactor
	}
	return 1
}

// PrefillTime returns how long a lightly loaded engine takes to prefill a number of prompt tokens.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerSec * float64(time.Second))
}

// HashRanks returns the rank of each target in the rendezvous-hash order of a key. When a target is added or removed, only
// the keys that prefer that target move.
func HashRanks(key string, targets []*cataloger.Target) []int {
	scores := make([]uint64, len(targets))
	order := make([]int, len(targets))
	for i, t := range targets {
		scores[i], order[i] = hasher.Hash(key, t.ID), i
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(scores[j], scores[i]) })
	ranks := make([]int, len(targets))
	for rank, i := range order {
		ranks[i] = rank
	}
	return ranks
}
