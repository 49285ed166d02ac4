package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxBehind bounds the number of requests to which a prefill is taken to be a delay.
	maxBehind = 6
	// baseBehind is the number of requests that are expected to arrive at an engine while it computes a prompt.
	baseBehind = 2
	// behindPerRequest is the share of the requests at an engine that a prefill delays: most of them only produce output meanwhile.
	behindPerRequest = 0.25
	// jitterPerAge is the increase of the jitter per second of age of what is known of the other instances. It reaches unknownLoadJitter
	// at 0.3 s.
	jitterPerAge = 0.5
)

// chooseLearned is [Choose] with learned rates. Candidates that are expected to be on time come first.
func (in Input) chooseLearned() (Decision, error) {
	r := rand.New(rand.NewPCG(in.Seed, 1))
	jitter := min(unknownLoadJitter, costJitter+jitterPerAge*in.LoadAge.Seconds())
	if in.LoadUnknown {
		jitter = unknownLoadJitter
	}
	best, bestOnTime := Decision{}, false
	least := time.Duration(math.MaxInt64)
	for _, c := range in.Candidates {
		d := in.estimateLearned(c)
		onTime := !in.IsEngine || in.Objective <= 0 || d.Expected <= in.Objective
		jittered := time.Duration(float64(d.Cost) * (1 + jitter*r.Float64()))
		if onTime && !bestOnTime || onTime == bestOnTime && jittered < least {
			least, best, bestOnTime = jittered, d, onTime
		}
	}
	if best.Target == nil {
		return Decision{}, ErrNoTarget
	}
	if in.LoadUnknown {
		best.Reason += ReasonLoadUnknown
	}
	if !bestOnTime {
		return best, ErrObjectiveMissed
	}
	return best, nil
}

// estimateLearned returns the decision that would choose c, from learned rates and the speed of the target.
func (in Input) estimateLearned(c Candidate) Decision {
	speed := c.Slowdown
	if !(speed > 0) {
		speed = 1
	}
	d := Decision{Target: c.Target, Reason: ReasonLeastLatency, Outstanding: c.Outstanding}
	slots := max(1, c.Target.Slots)
	if excess := c.Outstanding + 1 - slots; excess > 0 {
		d.QueueDelay = time.Duration(float64(c.MeanDuration) * float64(excess) / float64(slots) * speed)
	}
	extra := time.Duration(0)
	if c.Remote {
		extra += crossDataCentreRTT
	}
	if c.Superseded {
		extra += supersededPenalty
	}
	if !in.IsEngine {
		own := in.Duration
		if own <= 0 {
			own = c.MeanDuration
		}
		fill := float64(c.Outstanding) / float64(slots)
		d.Wait = d.QueueDelay
		d.Expected = d.Wait + extra + time.Duration(float64(own)*speed)
		d.Cost = d.Expected + time.Duration(float64(own)*speed*fill*fill)
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
	prefill := in.Rates.PrefillTime(float64(d.PrefillTokens), c.Outstanding, speed)
	d.Wait = d.QueueDelay + in.Rates.PrefillTime(float64(c.QueuedPrefillTokens), c.Outstanding, speed) + time.Duration(fetch*float64(time.Second))
	d.Expected = d.Wait + prefill + extra
	behind := min(maxBehind, baseBehind+behindPerRequest*float64(c.Outstanding))
	d.Cost = d.Expected + time.Duration(behind*float64(prefill))
	return d
}
