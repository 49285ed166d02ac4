// Package router decides where a request runs.
//
// The policy estimates the time to the first token at a bounded set of
// candidates and takes the least: the wait in the target's queue, then the
// cheapest way to the context (blocks that are still on the accelerator, import
// over the store's link, computing it again, or importing only as many blocks
// as the wait hides), and the distance. A price for the prefill time is added,
// since whoever comes next waits for it.
//
// The candidates are the last target of the conversation, its home targets by
// rendezvous hashing in the region and in the own data centre, and a sample. Their
// number does not depend on the number of targets. Load reports lag, so the
// instance adds its own dispatches since the report, and takes one of the
// candidates at random among those that are as good within the tolerance, so
// that several instances do not all follow the same report.
//
// The policy is pure: it reads an immutable view and a time, and takes random
// numbers from the seed in the input.
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

// MaxCandidates bounds the targets whose cost one decision estimates.
const MaxCandidates = 24

// maxAlternatives is how many further targets a decision names for a retry.
const maxAlternatives = 3

// ErrNoTarget says that no target can serve the request.
var ErrNoTarget = errors.New("no usable target serves the model")

// Policy chooses the target of a request.
type Policy interface {
	Choose(in Input, now time.Time) (Decision, error)
}

// StoredContext is the part of a manifest that matches the request's own block keys, and the link to its store.
type StoredContext struct {
	Store   string
	Version int64
	Blocks  int
	Bytes   int64
	// Backlog is how long the link is busy already; BytesPerSec is its rate for the tier that holds the blocks.
	Backlog     time.Duration
	BytesPerSec float64
}

// LastRun tells where the conversation ran last, as far as a token or a hint says.
type LastRun struct {
	Target  string
	Version int64
	Blocks  int
	// ResidentProbability is the chance that the blocks are still on the accelerator.
	ResidentProbability float64
}

// Input is what a decision depends on.
type Input struct {
	View         *view.View
	Model        string
	Anchor       keyer.Key
	PromptBlocks int
	PromptTokens int
	Stored       StoredContext
	LastRun      LastRun
	// ComputedShare is the share of reported waiting tokens that are really computed, the rest being cached.
	ComputedShare float64
	// RunTime is the mean time for which a run holds a slot.
	RunTime time.Duration
	// OtherInstances is how many other instances dispatch to the same targets. RunRate and TokenRate are this instance's own
	// dispatches a second, and the tokens that they compute; the others are taken to send as much each.
	OtherInstances     int
	RunRate, TokenRate float64
	// Seed gives the random choices.
	Seed uint64
}

// Import says which blocks the target reads from a store.
type Import struct {
	Store  string
	Blocks int
}

// Decision is the outcome.
type Decision struct {
	Target  *view.Target
	Version int64
	Import  Import
	// Alternatives are other targets, best first.
	Alternatives []*view.Target
	// ExpectedTTFT is the expected time to the first token.
	ExpectedTTFT time.Duration
	// QueueDelay is the part of it before the target begins with the request, which admission needs.
	QueueDelay time.Duration
	// PrefillTokens is the expected number of prompt tokens that the target computes.
	PrefillTokens int
	Reason        string
	// CandidateCount is how many targets were compared.
	CandidateCount int
}

// The reasons of decisions.
const (
	ReasonCached        = "the context is on the accelerator"
	ReasonImport        = "importing the context is cheapest"
	ReasonPartialImport = "importing as much as the wait hides"
	ReasonRecompute     = "least time to compute the prompt"
)

// Planner is the policy of the product.
type Planner struct {
	// LocalSample and RemoteSample are how many targets are sampled in the own and in other data centres.
	LocalSample, RemoteSample int
	// PrefillCostWeight weighs a second of prefill against a second of waiting, since later requests wait for it.
	PrefillCostWeight float64
	// LinkCostWeight weighs a second of link time likewise.
	LinkCostWeight float64
	// Tolerance is the difference of cost below which candidates count as equal.
	Tolerance time.Duration
	// RegionLatency and CrossRegionLatency are the distances to another data centre of the region and to another region, one way.
	RegionLatency, CrossRegionLatency time.Duration
	// OwnDispatchWeight is the part of the estimate of a target's busy slots that comes from own dispatches of the last run
	// time, taken as much from each other instance; the rest comes from the report, which all instances follow at once.
	OwnDispatchWeight float64
	// IgnoreOwnDispatches leaves out own dispatches since the report; NoPartialImport imports all or nothing. Both serve measurements.
	IgnoreOwnDispatches, NoPartialImport bool
}

// New returns the policy with the values that measured best, see docs/measurements.md.
func New() *Planner {
	return &Planner{
		LocalSample: 6, RemoteSample: 6, PrefillCostWeight: 0.5, LinkCostWeight: 0.1, Tolerance: 2 * time.Millisecond,
		OwnDispatchWeight: 0.8,
		RegionLatency:     1200 * time.Microsecond, CrossRegionLatency: 40 * time.Millisecond,
	}
}

// Choose implements [Policy].
func (p *Planner) Choose(in Input, now time.Time) (Decision, error) {
	var buf [MaxCandidates]option
	c := collector{in: &in, options: buf[:0], rng: in.Seed}
	p.collect(&c)
	if len(c.options) == 0 {
		return Decision{}, ErrNoTarget
	}
	best := 0
	for i := range c.options {
		p.price(&in, &c.options[i], now)
		if c.options[i].cost < c.options[best].cost {
			best = i
		}
	}
	best = c.spread(best, p.Tolerance.Seconds())
	return decide(&in, c.options, best), nil
}

// spread picks at random among the candidates whose cost is within the tolerance of the best.
func (c *collector) spread(best int, tolerance float64) int {
	limit, n := c.options[best].cost+tolerance, 0
	for i := range c.options {
		// A target that may hold the context is never given up for one that is as good without it.
		if c.options[i].cost <= limit && c.options[i].plan.resident == c.options[best].plan.resident {
			if n++; c.intN(n) == 0 {
				best = i
			}
		}
	}
	return best
}

func decide(in *Input, options []option, best int) Decision {
	o := &options[best]
	d := Decision{
		Target: o.target, Version: o.target.Version(in.Model), ExpectedTTFT: seconds(o.first), QueueDelay: seconds(o.wait), Reason: o.plan.reason,
		PrefillTokens: o.plan.computed, CandidateCount: len(options),
	}
	if o.plan.imported > 0 {
		d.Import = Import{Store: in.Stored.Store, Blocks: o.plan.imported}
	}
	d.Alternatives = alternatives(options, best)
	return d
}

// alternatives returns the next best targets.
func alternatives(options []option, best int) []*view.Target {
	n := min(maxAlternatives, len(options)-1)
	if n == 0 {
		return nil
	}
	options[0], options[best] = options[best], options[0]
	rest := options[1:]
	out := make([]*view.Target, n)
	for i := range out {
		least := i
		for j := i + 1; j < len(rest); j++ {
			if rest[j].cost < rest[least].cost {
				least = j
			}
		}
		rest[i], rest[least] = rest[least], rest[i]
		out[i] = rest[i].target
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
