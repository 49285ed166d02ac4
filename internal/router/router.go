// Package router selects the target of a request.
//
// The policy estimates the time to first token at a bounded set of candidates
// and selects the one with the lowest cost. The estimate is the sum of the queue
// delay at the target, the time of the cheapest way to obtain the context, and
// the network latency. The context can be blocks still cached on the
// accelerator, an import from a KV store, a recompute, or an import of only as
// many blocks as can be loaded while the request is queued. The cost also
// includes the prefill time and the link time, each multiplied by a weight,
// since later requests wait for them.
//
// The candidates are the target of the conversation's last run, its preferred
// targets by rendezvous hash in the region and in the local data centre, and a
// random sample. Their number does not depend on the number of targets. Since
// load reports lag, the instance adds its own dispatches since the report. Among
// candidates whose cost is within the tolerance of the lowest it picks one at
// random, so that several instances do not all follow the same report. A target
// that may have the context cached is not exchanged for one that does not.
//
// The policy is pure: its only inputs are an immutable view, a time, and a seed
// for the random choices.
//
// # Usage
//
//	p := router.New()
//	d, err := p.Choose(router.Input{View: v, Model: "letters", Anchor: anchor, PromptTokens: 9000}, now)
package router

import (
	"errors"
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/view"
)

// MaxCandidates is the maximum number of targets whose cost a decision estimates.
const MaxCandidates = 24

// maxAlternatives is the maximum number of further targets that a decision lists for retries.
const maxAlternatives = 3

// ErrNoTarget reports that no usable target serves the model.
var ErrNoTarget = errors.New("no usable target serves the model")

// Policy selects the target of a request. Choose returns [ErrNoTarget] if there is none.
type Policy interface {
	Choose(in Input, now time.Time) (Decision, error)
}

// StoredContext is the stored KV cache that matches the block keys of the request's prompt, and the state of the link to
// its store. The zero value means that nothing is stored.
type StoredContext struct {
	Store string
	// Version is the weight version that computed the blocks.
	Version int64
	// Blocks is the number of stored blocks from the start of the prompt, and Bytes their total size.
	Blocks int
	Bytes  int64
	// Backlog is the time that the link needs for the transfers queued already; BytesPerSec is its rate for the tier that
	// holds the blocks.
	Backlog     time.Duration
	BytesPerSec float64
}

// LastRun describes the last run of the conversation, as given by a continuation token or a placement hint. The zero value
// means that it is unknown.
type LastRun struct {
	Target string
	// Version is the weight version of the run.
	Version int64
	// Blocks is the number of complete blocks of the run's prompt.
	Blocks int
	// ResidentProbability is the probability that the blocks are still cached on the accelerator.
	ResidentProbability float64
}

// Input holds everything that a decision depends on, apart from the time.
type Input struct {
	View   *view.View
	Model  string
	Anchor keyer.Key
	// PromptBlocks is the number of complete blocks of the prompt.
	PromptBlocks int
	PromptTokens int
	Stored       StoredContext
	LastRun      LastRun
	// ComputedShare is the share of the reported waiting tokens that need prefill; the others are cached.
	ComputedShare float64
	// RunTime is the mean time for which a run occupies a slot.
	RunTime time.Duration
	// OtherInstances is the number of other instances that dispatch to the same targets. RunRate and TokenRate are the runs
	// that this instance dispatches per second and the prompt tokens per second that they prefill; each of the other
	// instances is assumed to dispatch as much.
	OtherInstances     int
	RunRate, TokenRate float64
	// Seed determines the random choices.
	Seed uint64
}

// Import instructs the target to load the first Blocks blocks of the prompt from a KV store.
type Import struct {
	Store  string
	Blocks int
}

// Decision is the target selected for a request, with its estimates.
type Decision struct {
	Target *view.Target
	// Version is the weight version that the target serves.
	Version int64
	Import  Import
	// Alternatives are other targets for retries, best first.
	Alternatives []*view.Target
	// ExpectedTTFT is the expected time to first token.
	ExpectedTTFT time.Duration
	// QueueDelay is the part of ExpectedTTFT that the request waits in the target's queues; admission control uses it.
	QueueDelay time.Duration
	// PrefillTokens is the expected number of prompt tokens that the target has to prefill.
	PrefillTokens int
	Reason        string
	// CandidateCount is the number of targets compared.
	CandidateCount int
}

// Reasons of decisions.
const (
	ReasonCached        = "the context is on the accelerator"
	ReasonImport        = "importing the context is cheapest"
	ReasonPartialImport = "importing as much as the wait hides"
	ReasonRecompute     = "least time to compute the prompt"
)

// Planner is the default [Policy]. It is safe for concurrent use if its fields are not changed.
type Planner struct {
	// LocalSample and RemoteSample are the numbers of targets sampled in the local data centre and in all others together.
	LocalSample, RemoteSample int
	// PrefillCostWeight is the extra cost of a second of prefill relative to a second of waiting, since later requests wait
	// for it.
	PrefillCostWeight float64
	// LinkCostWeight is the extra cost of a second of link time relative to a second of waiting.
	LinkCostWeight float64
	// Tolerance is the cost difference up to which candidates count as equal.
	Tolerance time.Duration
	// RegionLatency and CrossRegionLatency are the one-way network latencies to another data centre of the region and to
	// another region.
	RegionLatency, CrossRegionLatency time.Duration
	// OwnDispatchWeight is the weight, in the estimate of a target's occupied slots, of this instance's dispatches within the
	// last RunTime, multiplied by the number of instances. The rest is the weight of the load report, which all instances
	// follow at the same time.
	OwnDispatchWeight float64
	// IgnoreOwnDispatches leaves this instance's dispatches since the load report out of the target's backlog and run count,
	// but not out of the part weighted by OwnDispatchWeight. NoPartialImport imports all blocks or none. Both exist for
	// benchmarks only.
	IgnoreOwnDispatches, NoPartialImport bool
}

// New returns a planner with the default values. docs/measurements.md compares them with others.
func New() *Planner {
	return &Planner{
		LocalSample: 6, RemoteSample: 6, PrefillCostWeight: 0.5, LinkCostWeight: 0.1, Tolerance: 2 * time.Millisecond,
		OwnDispatchWeight: 0.8,
		RegionLatency:     1200 * time.Microsecond, CrossRegionLatency: 40 * time.Millisecond,
	}
}

// Choose implements [Policy].
func (p *Planner) Choose(in Input, now time.Time) (Decision, error) {
	var buf [MaxCandidates]candidate
	c := collector{in: &in, candidates: buf[:0], rng: in.Seed}
	p.collect(&c)
	if len(c.candidates) == 0 {
		return Decision{}, ErrNoTarget
	}
	best := 0
	for i := range c.candidates {
		p.estimate(&in, &c.candidates[i], now)
		if c.candidates[i].cost < c.candidates[best].cost {
			best = i
		}
	}
	best = c.breakTie(best, p.Tolerance.Seconds())
	return newDecision(&in, c.candidates, best), nil
}

// breakTie returns the index of a random candidate among those whose cost is within the tolerance of the best.
func (c *collector) breakTie(best int, tolerance float64) int {
	limit, n := c.candidates[best].cost+tolerance, 0
	for i := range c.candidates {
		// A target that may have the context cached is not replaced by one that does not.
		if c.candidates[i].cost <= limit && c.candidates[i].plan.resident == c.candidates[best].plan.resident {
			if n++; c.intN(n) == 0 {
				best = i
			}
		}
	}
	return best
}

// newDecision returns the decision for the candidate at index best. It reorders the candidates.
func newDecision(in *Input, candidates []candidate, best int) Decision {
	c := &candidates[best]
	d := Decision{
		Target: c.target, Version: c.target.Version(in.Model), ExpectedTTFT: toDuration(c.ttft), QueueDelay: toDuration(c.queueDelay), Reason: c.plan.reason,
		PrefillTokens: c.plan.prefillTokens, CandidateCount: len(candidates),
	}
	if c.plan.importBlocks > 0 {
		d.Import = Import{Store: in.Stored.Store, Blocks: c.plan.importBlocks}
	}
	d.Alternatives = alternatives(candidates, best)
	return d
}

// alternatives returns the targets with the lowest cost apart from the best. It reorders the candidates.
func alternatives(candidates []candidate, best int) []*view.Target {
	n := min(maxAlternatives, len(candidates)-1)
	if n == 0 {
		return nil
	}
	candidates[0], candidates[best] = candidates[best], candidates[0]
	others := candidates[1:]
	out := make([]*view.Target, n)
	for i := range out {
		cheapest := i
		for j := i + 1; j < len(others); j++ {
			if others[j].cost < others[cheapest].cost {
				cheapest = j
			}
		}
		others[i], others[cheapest] = others[cheapest], others[i]
		out[i] = others[i].target
	}
	return out
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
