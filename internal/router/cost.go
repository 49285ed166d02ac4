package router

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/view"
)

// defaultPrefillRate is the prefill rate, in tokens/s, of a model whose configuration sets none.
const defaultPrefillRate = 20000

// plan describes how a candidate obtains the context: from its cache, by import, by prefill, or in part by each.
type plan struct {
	start         float64 // seconds until prefill can start: the prefill queue and the import have finished
	prefill       float64 // prefill time in seconds
	link          float64 // link time in seconds
	importBlocks  int     // end of the imported range, as a number of blocks of the prompt
	prefillTokens int
	resident      bool
	reason        string
}

// estimate computes the expected time to first token and the cost of a candidate.
func (p *Planner) estimate(in *Input, c *candidate, now time.Time) {
	rate := prefillRate(in)
	slot, queue := p.queueDelays(in, c.target, rate, now)
	miss := p.cheapestPlan(in, c.target, 0, queue, rate)
	c.plan = miss
	expected := func(x plan) float64 { return x.start + x.prefill }
	c.ttft = expected(miss)
	prefillTime, linkTime := miss.prefill, miss.link
	if cached := residentBlocks(in, c.target); cached > 0 {
		hit, probability := p.cheapestPlan(in, c.target, cached, queue, rate), in.LastRun.ResidentProbability
		c.ttft = probability*expected(hit) + (1-probability)*c.ttft
		prefillTime, linkTime = probability*hit.prefill+(1-probability)*prefillTime, probability*hit.link+(1-probability)*linkTime
		c.plan = mergeHit(hit, miss, probability)
	}
	c.queueDelay = slot + queue
	c.ttft += slot + 2*p.latency(in.View, c.target)
	c.cost = c.ttft + p.PrefillCostWeight*prefillTime + p.LinkCostWeight*linkTime
}

// mergeHit returns the plan at a target that may have blocks in its cache. The import covers a cache miss as well, since an
// engine reads only the blocks that it does not have.
func mergeHit(hit, miss plan, probability float64) plan {
	hit.importBlocks = max(hit.importBlocks, miss.importBlocks)
	hit.prefillTokens = int(probability*float64(hit.prefillTokens) + (1-probability)*float64(miss.prefillTokens))
	hit.resident = true
	if probability >= 0.5 || miss.importBlocks == 0 {
		hit.reason = ReasonCached
	} else {
		hit.reason = miss.reason
	}
	return hit
}

// residentBlocks returns how many blocks of the prompt the target may have in its cache; 0 if they are of another weight
// version.
func residentBlocks(in *Input, t *view.Target) int {
	if in.LastRun.Target != t.ID || in.LastRun.ResidentProbability <= 0 || in.LastRun.Version != t.Version(in.Model) {
		return 0
	}
	return min(in.LastRun.Blocks, in.PromptBlocks)
}

// storedBlocks returns how many blocks of the prompt the target can import; 0 if they are of another weight version.
func storedBlocks(in *Input, t *view.Target) int {
	if in.Stored.Blocks == 0 || in.Stored.Version != t.Version(in.Model) {
		return 0
	}
	return min(in.Stored.Blocks, in.PromptBlocks)
}

// cheapestPlan returns the cheapest of three plans: import no blocks, all blocks, or as many as the import can load while
// the request waits in the prefill queue.
func (p *Planner) cheapestPlan(in *Input, t *view.Target, cached int, queue, rate float64) plan {
	blockPrefill := keyer.BlockTokens / rate
	prefillTime := float64(max(0, in.PromptTokens-cached*keyer.BlockTokens)) / rate
	best := plan{start: queue, prefill: prefillTime, prefillTokens: max(0, in.PromptTokens-cached*keyer.BlockTokens), reason: ReasonRecompute}
	n := storedBlocks(in, t) - cached
	if n <= 0 {
		return best
	}
	backlog, perBlock, ok := linkTimes(&in.Stored)
	if !ok {
		return best
	}
	overlapped := n
	if !p.NoPartialImport && perBlock > 0 {
		overlapped = max(0, min(n, int((queue-backlog)/perBlock)))
	}
	for _, k := range [2]int{n, overlapped} {
		alt := plan{
			start: max(queue, backlog+float64(k)*perBlock), prefill: prefillTime - float64(k)*blockPrefill, link: float64(k) * perBlock,
			importBlocks: cached + k, prefillTokens: best.prefillTokens, reason: ReasonImport,
		}
		alt.prefillTokens = max(0, in.PromptTokens-(cached+k)*keyer.BlockTokens)
		if k < n {
			alt.reason = ReasonPartialImport
		}
		if k > 0 && p.weightedCost(alt) < p.weightedCost(best) {
			best = alt
		}
	}
	return best
}

func (p *Planner) weightedCost(x plan) float64 {
	return x.start + (1+p.PrefillCostWeight)*x.prefill + p.LinkCostWeight*x.link
}

// linkTimes returns the backlog of the store's link and the transfer time of one block, both in seconds. It reports false
// if the rate of the link is unknown or nothing is stored.
func linkTimes(st *StoredContext) (backlog, perBlock float64, ok bool) {
	if st.BytesPerSec <= 0 || st.Blocks <= 0 {
		return 0, 0, false
	}
	return st.Backlog.Seconds(), float64(st.Bytes) / float64(st.Blocks) / st.BytesPerSec, true
}

// queueDelays estimates the waits for a slot and for prefill, in seconds, behind the work that the target already has: what
// it reported, this instance's dispatches since, and those of the other instances since, which are assumed to be spread
// evenly over the targets.
func (p *Planner) queueDelays(in *Input, t *view.Target, rate float64, now time.Time) (slot, prefill float64) {
	at := reportedAt(t)
	age := max(0, now.Sub(at).Seconds())
	others := float64(in.OtherInstances) / float64(max(1, len(in.View.ModelTargets(in.Model))))
	tokens, runs := float64(t.Load.WaitingTokens)*in.ComputedShare, 0
	if p.IgnoreOwnDispatches {
		tokens = max(0, tokens-rate*age)
	} else {
		tokens, runs = t.Dispatches.Backlog(tokens, at, now, rate-others*in.TokenRate)
	}
	outstanding := float64(t.Load.Running+t.Load.Waiting+runs) + others*in.RunRate*age
	if run := in.RunTime.Seconds(); run > 0 && t.Slots > 0 {
		finished := min(outstanding, age*min(outstanding, float64(t.Slots))/run)
		outstanding -= finished
		if in.OtherInstances > 0 {
			recent := t.Dispatches.RecentRuns(now, in.RunTime) * float64(in.OtherInstances+1)
			outstanding += p.OwnDispatchWeight * (recent - outstanding)
		}
		if excess := outstanding - float64(t.Slots) + 1; excess > 0 {
			slot = excess * run / float64(t.Slots)
		}
	}
	return slot, tokens / rate
}

// reportedAt returns the time of the load report: the earlier of the engine's timestamp and the time of arrival, in case
// the clocks of the machines differ.
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

// latency returns the one-way network latency to the target in seconds.
func (p *Planner) latency(v *view.View, t *view.Target) float64 {
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
	return defaultPrefillRate
}
