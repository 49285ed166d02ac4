package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// baseBehind is the number of requests to which a prefill is a delay on an idle engine: those that arrive meanwhile. maxBehind bounds
	// the number on a busy one.
	baseBehind, maxBehind = 4, 12
	// timelyShare is the share of the candidates that must be able to serve a request on time before it leaves the target with the lowest
	// cost because that would be late. Below it, recomputing its prompt elsewhere would take capacity that other requests need.
	timelyShare = 0.75
	// refusalMargin is how far the expected time must exceed the objective for a refusal. It is a mean: the shared part of a prompt is either
	// cached or not.
	refusalMargin = 1.2
	// jitterPerAge is the increase of the jitter per second of age of what is known of the other instances.
	jitterPerAge = 0.5
)

// timelyFractions are the fractions of the objective at which a request counts as timely. The lower one is tried first, since the expected
// time is a mean, and the target may become slow.
var timelyFractions = [...]float64{0.5, 1}

// chooseLearned is [Choose] with learned rates.
func (in Input) chooseLearned() (Decision, error) {
	r := rand.New(rand.NewPCG(in.Seed, 1))
	jitter := min(unknownLoadJitter, costJitter+jitterPerAge*in.LoadAge.Seconds())
	if in.LoadUnknown {
		jitter = unknownLoadJitter
	}
	behind, spread := in.meanBehind(), in.spread()
	hidden := newArrivals(in.HiddenRequests)
	best, bestExpected := -1, time.Duration(0)
	least := time.Duration(math.MaxInt64)
	var timely [len(timelyFractions)]timelyChoice
	for i := range in.Candidates {
		d := in.estimateLearned(&in.Candidates[i], behind, &hidden)
		factor := 1 + jitter*r.Float64()
		if spread > 0 {
			factor += spread * (r.ExpFloat64() - factor)
		}
		jittered := time.Duration(float64(d.Cost) * factor)
		if jittered < least {
			least, best, bestExpected = jittered, i, d.Expected
		}
		if in.IsEngine && in.Objective > 0 {
			for k, fraction := range timelyFractions {
				if float64(d.Expected) <= fraction*float64(in.Objective) {
					timely[k].add(i, jittered)
				}
			}
		}
	}
	if best < 0 {
		return Decision{}, ErrNoTarget
	}
	for k, fraction := range timelyFractions {
		if t := &timely[k]; float64(bestExpected) > fraction*float64(in.Objective) && t.count > 0 && float64(t.count) >= timelyShare*float64(len(in.Candidates)) {
			best = t.index
			break
		}
	}
	d := in.estimateLearned(&in.Candidates[best], behind, &hidden)
	if in.LoadUnknown {
		d.Reason += ReasonLoadUnknown
	}
	if in.IsEngine && in.Objective > 0 && float64(d.Expected) > refusalMargin*float64(in.Objective) {
		return d, ErrObjectiveMissed
	}
	return d, nil
}

// timelyChoice is the candidate with the lowest cost among those that are expected to be timely, and their number.
type timelyChoice struct {
	index, count int
	cost         time.Duration
}

func (t *timelyChoice) add(index int, cost time.Duration) {
	if t.count++; t.count == 1 || cost < t.cost {
		t.index, t.cost = index, cost
	}
}

// spread returns how much of a choice between targets of a plain service is left to chance: 0 with a current picture of the load, 1 if it is
// older than a request takes, so that the requests in it have ended. Targets are then chosen with probabilities about in inverse
// proportion to their costs; otherwise all instances would follow the same picture to the same target.
func (in *Input) spread() float64 {
	switch {
	case in.IsEngine || len(in.Candidates) == 0:
		return 0
	case in.LoadUnknown:
		return 1
	}
	return min(1, float64(in.LoadAge)/float64(max(1, in.Candidates[0].MeanDuration)))
}

// meanBehind returns the number of requests to which a prefill is taken to be a delay. It is that of the mean candidate: the number on each
// one would move conversations away from busy preferred targets, whose queue counts already.
func (in *Input) meanBehind() float64 {
	sum := 0
	for i := range in.Candidates {
		sum += in.Candidates[i].Outstanding
	}
	return min(maxBehind, baseBehind+float64(sum)/float64(max(1, len(in.Candidates))))
}

// estimateLearned returns the decision that would choose c, from learned rates, the speed of the target and the distribution of the requests
// there that are not known.
func (in *Input) estimateLearned(c *Candidate, behind float64, hidden *arrivals) Decision {
	speed := c.Slowdown
	if !(speed > 0) {
		speed = 1
	}
	d := Decision{Target: c.Target, Reason: ReasonLeastLatency, Outstanding: c.Outstanding}
	slots := max(1, c.Target.Slots)
	if in.IsEngine {
		d.QueueDelay = time.Duration(float64(c.MeanDuration) * hidden.excess(slots-1-c.Outstanding) / float64(slots) * speed)
	} else if excess := c.Outstanding + 1 - slots; excess > 0 {
		d.QueueDelay = time.Duration(float64(c.MeanDuration) * float64(excess) / float64(slots) * speed)
	}
	var extra time.Duration
	if c.Remote {
		extra += crossDataCentreRTT
	}
	if c.Superseded {
		extra += supersededPenalty
	}
	if !in.IsEngine {
		duration := in.Duration
		if duration <= 0 {
			duration = c.MeanDuration
		}
		own, fill := float64(duration)*speed*c.warmingFactor(), float64(c.Outstanding)/float64(slots)
		d.Wait = d.QueueDelay
		d.Expected = d.Wait + extra + time.Duration(own)
		d.Cost = d.Expected + time.Duration(own*fill*fill)
		return d
	}
	if c.HashRank == 0 {
		d.Reason = ReasonPreferred
	}
	if excess := c.Tokens + in.SharedTokens + in.UniqueTokens + in.OutputTokens - int(maxFillRatio*float64(in.CapacityTokens)); in.CapacityTokens > 0 && excess > 0 {
		d.QueueDelay = max(d.QueueDelay, time.Duration(float64(in.MeanHoldTime)*float64(excess)/float64(in.CapacityTokens)*speed))
	}
	cached := in.cachedTokens(c)
	fetch := max(0, float64(c.StoredTokens)-cached) / in.Rates.FetchTokensPerSec
	d.IsFetched = fetch > 0
	d.PrefillTokens = in.SharedTokens + in.UniqueTokens - int(max(cached, float64(c.StoredTokens)))
	d.Wait = d.QueueDelay + in.Rates.PrefillTime(float64(c.QueuedPrefillTokens), c.Outstanding, speed) + time.Duration(fetch*float64(time.Second))
	d.Expected = d.Wait + extra + in.Rates.PrefillTime(float64(d.PrefillTokens), c.Outstanding, speed*c.warmingFactor())
	// The capacity that the prefill takes is counted at usual speed: a preferred target is left for the time that it is slower, no more.
	d.Cost = d.Expected + time.Duration(behind*float64(in.Rates.PrefillTime(float64(d.PrefillTokens), 0, 1)))
	return d
}
