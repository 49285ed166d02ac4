package router

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/view"
)

// defaultPrefill is used while a model's configuration names no rate, in tokens a second.
const defaultPrefill = 20000

// plan is the way to the context at one candidate.
type plan struct {
	wait     float64 // seconds until the context is in place, the wait for the prefill unit included
	compute  float64 // seconds of prefill
	link     float64 // seconds of link time
	imported int     // blocks
	computed int     // tokens
	resident bool
	reason   string
}

// price estimates the time to the first token at a candidate.
func (p *Planner) price(in *Input, o *option, now time.Time) {
	rate := prefillRate(in)
	slot, queue := p.queue(in, o.target, rate, now)
	miss := p.cheapest(in, o.target, 0, queue, rate)
	o.plan = miss
	expected := func(pl plan) float64 { return pl.wait + pl.compute }
	o.first = expected(miss)
	work, link := miss.compute, miss.link
	if cached := residentBlocks(in, o.target); cached > 0 {
		hit, chance := p.cheapest(in, o.target, cached, queue, rate), in.LastRun.ResidentProbability
		o.first = chance*expected(hit) + (1-chance)*o.first
		work, link = chance*hit.compute+(1-chance)*work, chance*hit.link+(1-chance)*link
		o.plan = withHit(hit, miss, chance)
	}
	o.wait = slot + queue
	o.first += slot + 2*p.distance(in.View, o.target)
	o.cost = o.first + p.PrefillCostWeight*work + p.LinkCostWeight*link
}

// withHit is the plan at a target that may hold blocks: the import covers a miss as well, as an engine
// reads only the blocks that it does not hold.
func withHit(hit, miss plan, chance float64) plan {
	hit.imported = max(hit.imported, miss.imported)
	hit.computed = int(chance*float64(hit.computed) + (1-chance)*float64(miss.computed))
	hit.resident = true
	if chance >= 0.5 || miss.imported == 0 {
		hit.reason = ReasonCached
	} else {
		hit.reason = miss.reason
	}
	return hit
}

// residentBlocks is how many blocks the target may hold, never of another weight version.
func residentBlocks(in *Input, t *view.Target) int {
	if in.LastRun.Target != t.ID || in.LastRun.ResidentProbability <= 0 || in.LastRun.Version != t.Version(in.Model) {
		return 0
	}
	return min(in.LastRun.Blocks, in.PromptBlocks)
}

// storedBlocks is how many blocks the target can import, never of another weight version.
func storedBlocks(in *Input, t *view.Target) int {
	if in.Stored.Blocks == 0 || in.Stored.Version != t.Version(in.Model) {
		return 0
	}
	return min(in.Stored.Blocks, in.PromptBlocks)
}

// cheapest compares import of all, of none and of as many blocks as the wait for the prefill unit hides.
func (p *Planner) cheapest(in *Input, t *view.Target, cached int, queue, rate float64) plan {
	block := keyer.BlockTokens / rate
	rest := float64(max(0, in.PromptTokens-cached*keyer.BlockTokens)) / rate
	best := plan{wait: queue, compute: rest, computed: max(0, in.PromptTokens-cached*keyer.BlockTokens), reason: ReasonRecompute}
	n := storedBlocks(in, t) - cached
	if n <= 0 {
		return best
	}
	backlog, each, ok := link(&in.Stored)
	if !ok {
		return best
	}
	hidden := n
	if !p.NoPartialImport && each > 0 {
		hidden = max(0, min(n, int((queue-backlog)/each)))
	}
	for _, k := range [2]int{n, hidden} {
		pl := plan{
			wait: max(queue, backlog+float64(k)*each), compute: rest - float64(k)*block, link: float64(k) * each,
			imported: cached + k, computed: best.computed, reason: ReasonImport,
		}
		pl.computed = max(0, in.PromptTokens-(cached+k)*keyer.BlockTokens)
		if k < n {
			pl.reason = ReasonPartialImport
		}
		if k > 0 && p.weigh(pl) < p.weigh(best) {
			best = pl
		}
	}
	return best
}

func (p *Planner) weigh(pl plan) float64 {
	return pl.wait + (1+p.PrefillCostWeight)*pl.compute + p.LinkCostWeight*pl.link
}

// link returns the backlog of the store's link and the time for one block, both in seconds.
func link(st *StoredContext) (backlog, each float64, ok bool) {
	if st.BytesPerSec <= 0 || st.Blocks <= 0 {
		return 0, 0, false
	}
	return st.Backlog.Seconds(), float64(st.Bytes) / float64(st.Blocks) / st.BytesPerSec, true
}

// queue estimates the waits for a slot and for the prefill unit behind what the target has to do already: what it
// reported, own dispatches since, and what the other instances sent since, taken to be spread evenly.
func (p *Planner) queue(in *Input, t *view.Target, rate float64, now time.Time) (slot, prefill float64) {
	at := reportedAt(t)
	age := max(0, now.Sub(at).Seconds())
	others := float64(in.OtherInstances) / float64(max(1, len(in.View.ModelTargets(in.Model))))
	tokens, runs := float64(t.Load.WaitingTokens)*in.ComputedShare, 0
	if p.IgnoreOwnDispatches {
		tokens = max(0, tokens-rate*age)
	} else {
		tokens, runs = t.Dispatches.Backlog(tokens, at, now, rate-others*in.TokenRate)
	}
	busy := float64(t.Load.Running+t.Load.Waiting+runs) + others*in.RunRate*age
	if run := in.RunTime.Seconds(); run > 0 && t.Slots > 0 {
		done := min(busy, age*min(busy, float64(t.Slots))/run)
		busy -= done
		if in.OtherInstances > 0 {
			own := t.Dispatches.RecentRuns(now, in.RunTime) * float64(in.OtherInstances+1)
			busy += p.OwnDispatchWeight * (own - busy)
		}
		if over := busy - float64(t.Slots) + 1; over > 0 {
			slot = over * run / float64(t.Slots)
		}
	}
	return slot, tokens / rate
}

// reportedAt is the earlier of the engine's time and the arrival, in case the clocks of the machines differ.
func reportedAt(t *view.Target) time.Time {
	if t.Load.AtMs == 0 {
		return t.LoadAt
	}
	at := time.UnixMilli(t.Load.AtMs)
	if !t.LoadAt.IsZero() && t.LoadAt.Before(at) {
		return t.LoadAt
	}
	return at
}

// distance is the time one way to the target, in seconds.
func (p *Planner) distance(v *view.View, t *view.Target) float64 {
	switch {
	case t.DataCentre == v.DataCentre:
		return 0
	case v.Region(t.DataCentre) == v.Region(v.DataCentre):
		return p.RegionLatency.Seconds()
	}
	return p.CrossRegionLatency.Seconds()
}

func prefillRate(in *Input) float64 {
	if m, ok := in.View.Config.Model(in.Model); ok && m.PrefillTokensPerSecond > 0 {
		return float64(m.PrefillTokensPerSecond)
	}
	return defaultPrefill
}
