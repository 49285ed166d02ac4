// Package estimator learns how much work requests cause, and how fast each target does it.
//
// Requests that look alike cost very different amounts of work, and targets of one
// service differ in speed, for long or for moments. An [Estimator] learns from the
// responses that an instance receives: for each service the rates in [Rates], for
// each plain service the duration of a request by route, and for each target its
// speed. It makes no decisions and sends nothing; it has no clock, and times are
// passed in.
//
// Values are means of logarithms with a small weight for each sample, whose distance
// from the mean is clipped. A sample therefore changes a value by a bounded factor,
// and a few wrong ones change little. Only complete responses of first attempts are
// samples: a repeated or resumed one does not show what a whole request costs.
//
// # Load pattern
//
// Many engines with one request of an instance at a time or fewer, of which a seventh
// takes 2.5 times as long for some 600 ms. A stated slowdown therefore counts for
// about 300 ms; after that, a target counts with what it has shown on average.
//
// # Usage
//
//	e := estimator.New()
//	e.RecordSlowdown("llm", process, 2.5, now)       // a response states it
//	if e.Enabled("llm", now) { ... }                 // targets of the service state slowdowns
//	e.Observe(sample, now)                           // a first attempt is complete
//	r, speed := e.Rates("llm"), e.Speed("engine-7", now)
package estimator

import (
	"math"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/throttler"
)

// Initial values of the rates.
const (
	// InitialPrefillTokensPerSec is the prefill rate of a lightly loaded engine.
	InitialPrefillTokensPerSec = 90_000
	// InitialFetchTokensPerSec is the rate at which an engine fetches stored KV cache.
	InitialFetchTokensPerSec = 400_000
	// InitialSlowdownPerRun is the fraction by which each running request slows an engine down.
	InitialSlowdownPerRun = 0.03
	// InitialStepTime is the time of an engine for one output token.
	InitialStepTime = 3 * time.Millisecond
	// InitialDuration is the duration of a request to a plain service.
	InitialDuration = 50 * time.Millisecond
)

const (
	// enabledTTL is how long after a stated slowdown the estimates of a service are used.
	enabledTTL = time.Minute
	// statedDecay is the time in which the weight of a stated slowdown against the learned speed falls to 1/e.
	statedDecay = 300 * time.Millisecond
	// slowThreshold is the stated slowdown from which other instances are told. The usual differences between targets are below it.
	slowThreshold = 1.5
	// maxSharedAge is the age up to which a stated slowdown is told to others; after it, it says little about the target. slowMemory is how
	// long after it was slow a target's other statements are told, too.
	maxSharedAge = 400 * time.Millisecond
	slowMemory   = time.Second
	// minSpeed and maxSpeed bound the speed of a target.
	minSpeed, maxSpeed = 0.2, 10
	// minPrefillSample is the least number of computed tokens of a prefill sample: below, other delays prevail.
	minPrefillSample = 1000
	// maxQueueFraction is the largest expected queueing time of a sample as a fraction of its expected time.
	maxQueueFraction = 0.3
	// minOutputSample is the least number of output tokens of a sample of the step time.
	minOutputSample = 8
	// maxServices, maxTargets and maxRoutes bound the memory, whatever the operator's records contain.
	maxServices, maxTargets, maxRoutes = 64, 4096, 64
)

// Weights and clips of the samples. A target gets few requests of one instance, so its samples have a higher weight.
const (
	serviceWeight, serviceClip = 0.05, 0.5
	targetWeight, targetClip   = 0.15, 0.7
	statedWeight               = 0.1
	// hiddenWeight gives a mean over the last few seconds of an instance in a large deployment; maxHidden bounds a sample.
	hiddenWeight, maxHidden = 0.05, 16.0
)

// Logarithms of the initial values.
var (
	logInitialPrefill  = -math.Log(InitialPrefillTokensPerSec)
	logInitialDuration = math.Log(InitialDuration.Seconds())
)

// Rates are the learned rates of a service. Times and rates are those of a target whose speed is 1.
type Rates struct {
	// PrefillTokensPerSec is the rate at which an engine computes prompt tokens, FetchTokensPerSec that at which it fetches stored ones.
	PrefillTokensPerSec, FetchTokensPerSec float64
	// SlowdownPerRun is the fraction by which each running request slows an engine down.
	SlowdownPerRun float64
	// StepTime is the time of an engine for one output token without other requests.
	StepTime time.Duration
}

// InitialRates returns the rates before any sample.
func InitialRates() Rates {
	return Rates{PrefillTokensPerSec: InitialPrefillTokensPerSec, FetchTokensPerSec: InitialFetchTokensPerSec, SlowdownPerRun: InitialSlowdownPerRun, StepTime: InitialStepTime}
}

// PrefillTime returns how long a target with this speed takes to compute a number of prompt tokens beside running requests.
func (r Rates) PrefillTime(tokens float64, running int, speed float64) time.Duration {
	return time.Duration(tokens / r.PrefillTokensPerSec * (1 + r.SlowdownPerRun*float64(running)) * speed * float64(time.Second))
}

// Sample is a complete response of the first attempt of a request.
type Sample struct {
	Service, Route string
	Process        throttler.Process
	IsEngine       bool
	// SharedTokens is the number of prompt tokens that may have been cached, UniqueTokens the number of the others.
	SharedTokens, UniqueTokens int
	// OutputTokens is the number of output tokens, 0 if it is not known.
	OutputTokens int
	// Running is the number of requests that ran on the target; QueueDelay is how long the request was expected to wait there.
	Running    int
	QueueDelay time.Duration
	// First is the time to the first event and Total that to the end of the response; they are equal if it is not a stream.
	First, Total time.Duration
	// Slowdown is the slowdown stated in the response, 0 if there is none.
	Slowdown float64
}

// Estimator holds what this instance has learned. It is safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	services map[string]*service
	targets  map[string]*target
}

// target is what is known of a process of a target.
type target struct {
	service       string
	startedUnixMs int64
	// own is the time that work takes beside the stated slowdown, as a multiple of the mean of the service.
	own logMean
	// meanStated is the mean of the stated slowdowns, stated the last one.
	meanStated logMean
	stated     float64
	statedAt   time.Time
	// slowAt is when the target last stated that it was slow.
	slowAt time.Time
}

// New returns an Estimator without samples.
func New() *Estimator {
	return &Estimator{services: map[string]*service{}, targets: map[string]*target{}}
}

// Retain removes all targets and services but those in the view. A target whose process has restarted starts anew.
func (e *Estimator) Retain(v *cataloger.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, t := range e.targets {
		if now, ok := v.Target(id); !ok || now.StartedUnixMs != t.startedUnixMs {
			delete(e.targets, id)
		}
	}
	if v.Catalog == nil {
		return
	}
	for name := range e.services {
		if v.Catalog.Services[name] == nil {
			delete(e.services, name)
		}
	}
}

// RecordSlowdown records the slowdown that a target of a service has stated: 1 is as usual, 2 twice as slow.
func (e *Estimator) RecordSlowdown(svc string, p throttler.Process, slowdown float64, now time.Time) {
	if !(slowdown > 0) || math.IsInf(slowdown, 0) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, t := e.service(svc), e.target(svc, p)
	if s == nil || t == nil || now.Before(t.statedAt) {
		return
	}
	t.state(slowdown, now)
	t.meanStated.add(math.Log(t.stated), 0, statedWeight, targetClip)
	if now.After(s.statedAt) {
		s.statedAt = now
	}
}

// state sets the slowdown that the target stated at a time.
func (t *target) state(slowdown float64, at time.Time) {
	t.stated, t.statedAt = min(max(slowdown, minSpeed), maxSpeed), at
	if t.stated >= slowThreshold {
		t.slowAt = at
	}
}

// MergeSlowdown records the slowdown that a target has stated to another instance at a time. It does not change what is learned of the
// target on average, since other instances report only what is unusual.
func (e *Estimator) MergeSlowdown(svc string, p throttler.Process, slowdown float64, at time.Time) {
	if !(slowdown > 0) || math.IsInf(slowdown, 0) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.target(svc, p); t != nil && at.After(t.statedAt) {
		t.state(slowdown, at)
	}
}

// RecentSlowdown is a slowdown that a target has stated some time ago.
type RecentSlowdown struct {
	Slowdown float64
	Age      time.Duration
}

// RecentSlowdowns returns what other instances should know: the targets that have stated within maxSharedAge that they are slow, or that they
// are not any more.
func (e *Estimator) RecentSlowdowns(now time.Time) map[string]RecentSlowdown {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out map[string]RecentSlowdown
	for id, t := range e.targets {
		if age := now.Sub(t.statedAt); age < maxSharedAge && t.statedAt.Sub(t.slowAt) < slowMemory {
			if out == nil {
				out = map[string]RecentSlowdown{}
			}
			out[id] = RecentSlowdown{Slowdown: t.stated, Age: age}
		}
	}
	return out
}

// RecordHidden records how many requests a target of a service has stated beyond those that this instance knew of when it chose the target.
func (e *Estimator) RecordHidden(svc string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.services[svc]; s != nil {
		s.hidden += hiddenWeight * (min(max(float64(n), -maxHidden), maxHidden) - s.hidden)
	}
}

// Hidden returns the mean number of requests at a target of a service that this instance does not know of; it is at least 0.
func (e *Estimator) Hidden(svc string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.services[svc]; s != nil {
		return max(0, s.hidden)
	}
	return 0
}

// Enabled reports whether a target of the service has stated a slowdown recently, so that the estimates are used.
func (e *Estimator) Enabled(svc string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[svc]
	return s != nil && s.isEnabled(now)
}

// Observe learns from a sample. It has no effect while the estimates of the service are not used.
func (e *Estimator) Observe(x Sample, now time.Time) {
	if x.First <= 0 || x.Total < x.First {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[x.Service]
	if s == nil || !s.isEnabled(now) {
		return
	}
	stated := 1.0
	if x.Slowdown > 0 && !math.IsInf(x.Slowdown, 0) {
		stated = min(max(x.Slowdown, minSpeed), maxSpeed)
	}
	t := e.target(x.Service, x.Process)
	if x.IsEngine {
		s.observeEngine(t, x, stated)
	} else {
		s.observePlain(t, x, stated, now)
	}
}

// addOwn adds the ratio of a measured time to the expected one; t may be nil.
func (t *target) addOwn(ratio float64) {
	if t != nil {
		t.own.add(math.Log(ratio), 0, targetWeight, targetClip)
	}
}

// Rates returns the learned rates of a service.
func (e *Estimator) Rates(svc string) Rates {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.services[svc]; s != nil {
		return s.rates()
	}
	return InitialRates()
}

// Durations returns the mean and a high quantile (0.95) of the duration of a request of a route to a plain service, without queueing, at
// a target whose speed is 1. It returns false before the first sample.
func (e *Estimator) Durations(svc, routeName string) (mean, high time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[svc]
	if s == nil || !s.duration.isKnown() {
		return 0, 0, false
	}
	r := s.routes[routeName]
	if r == nil || !r.mean.isKnown() {
		d := seconds(s.duration.mean)
		return d, d, true
	}
	return seconds(r.mean.mean), seconds(max(r.high.value, r.mean.mean)), true
}

func seconds(log float64) time.Duration { return time.Duration(math.Exp(log) * float64(time.Second)) }

// Speed returns how long work takes on a target as a multiple of the usual time of its service: 2 is twice as slow. A recently stated
// slowdown counts most; its weight decays towards the learned mean.
func (e *Estimator) Speed(id string, now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[id]
	if t == nil {
		return 1
	}
	log := t.own.or(0)
	if !t.statedAt.IsZero() {
		w := math.Exp(-max(0, now.Sub(t.statedAt).Seconds()) / statedDecay.Seconds())
		log += w*math.Log(t.stated) + (1-w)*t.meanStated.or(0)
	}
	return min(max(math.Exp(log), minSpeed), maxSpeed)
}

// StatedTargets returns the number of targets that have stated a slowdown recently.
func (e *Estimator) StatedTargets(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, t := range e.targets {
		if t.meanStated.isKnown() && now.Sub(t.statedAt) < enabledTTL {
			n++
		}
	}
	return n
}

// Services returns the names of the services whose estimates are used.
func (e *Estimator) Services(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for name, s := range e.services {
		if s.isEnabled(now) {
			out = append(out, name)
		}
	}
	return out
}

// service returns the state of a service and creates it if needed; e.mu is held. It returns nil if there are too many.
func (e *Estimator) service(name string) *service {
	s := e.services[name]
	if s == nil && len(e.services) < maxServices {
		s = &service{routes: map[string]*route{}}
		e.services[name] = s
	}
	return s
}

// target returns the state of a process and creates it if needed; e.mu is held. It returns nil if there are too many, or if a later
// process of the target is known.
func (e *Estimator) target(svc string, p throttler.Process) *target {
	t := e.targets[p.Target]
	switch {
	case t != nil && t.startedUnixMs == p.StartedUnixMs && t.service == svc:
		return t
	case t != nil && t.startedUnixMs > p.StartedUnixMs:
		return nil
	case t == nil && len(e.targets) >= maxTargets:
		return nil
	}
	t = &target{service: svc, startedUnixMs: p.StartedUnixMs}
	e.targets[p.Target] = t
	return t
}
