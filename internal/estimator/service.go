package estimator

import (
	"math"
	"time"
)

// service is what is known of a service.
type service struct {
	statedAt time.Time
	// secondsPerToken is the mean time for a prompt token.
	secondsPerToken logMean
	steps           regression
	// duration is the mean duration of a request of any route.
	duration logMean
	routes   map[string]*route
	// hidden is the mean number of requests at a target that the instance did not know of.
	hidden float64
}

// route is the duration of the requests of one route to a plain service.
type route struct {
	mean   logMean
	high   quantile
	usedAt time.Time
}

func (s *service) isEnabled(now time.Time) bool {
	return !s.statedAt.IsZero() && now.Sub(s.statedAt) < enabledTTL
}

// observeEngine learns from the time to the first event and from the time between the first and the last one.
func (s *service) observeEngine(t *target, x Sample, stated float64) {
	rates := s.rates()
	prefill := x.First - time.Duration(float64(rates.StepTime)*stated)
	if x.Total == x.First { // the whole output was computed before
		prefill -= time.Duration(float64(x.OutputTokens) * float64(rates.StepTime) * stated)
	}
	prefill -= x.QueueDelay
	if tokens := s.computedTokens(x, prefill, stated); tokens >= minPrefillSample && prefill > 0 {
		if expected := rates.PrefillTime(tokens, x.Running, 1); float64(x.QueueDelay) <= maxQueueFraction*float64(expected) {
			slowdown := 1 + rates.SlowdownPerRun*float64(x.Running)
			s.secondsPerToken.add(math.Log(prefill.Seconds()/tokens/slowdown/stated), logInitialPrefill, serviceWeight, serviceClip)
			t.addOwn(float64(prefill) / float64(expected) / stated)
		}
	}
	if n := x.OutputTokens - 1; n >= minOutputSample && x.Total > x.First {
		step := float64(x.Total-x.First) / float64(n) / stated
		expected := float64(rates.StepTime) * (1 + rates.SlowdownPerRun*float64(x.Running))
		s.steps.add(float64(x.Running), expected*clipRatio(step/expected, targetClip))
		t.addOwn(step / expected)
	}
}

// computedTokens returns how many prompt tokens a prefill most likely computed: those that can not have been cached, or all. Of both, the
// number whose expected time is nearer to the measured one counts.
func (s *service) computedTokens(x Sample, prefill time.Duration, stated float64) float64 {
	all, unique := float64(x.SharedTokens+x.UniqueTokens), float64(x.UniqueTokens)
	if prefill <= 0 || x.SharedTokens == 0 {
		return all
	}
	rates := s.rates()
	distance := func(tokens float64) float64 {
		return math.Abs(math.Log(float64(prefill) / float64(rates.PrefillTime(tokens, x.Running, stated))))
	}
	if unique > 0 && distance(unique) < distance(all) {
		return unique
	}
	return all
}

// observePlain learns from the duration of a request to a plain service.
func (s *service) observePlain(t *target, x Sample, stated float64, now time.Time) {
	r := s.route(x.Route, now)
	expected := r.mean.or(s.duration.or(logInitialDuration))
	d := (x.Total - x.QueueDelay).Seconds()
	if d <= 0 || x.QueueDelay.Seconds() > maxQueueFraction*math.Exp(expected)*stated {
		return
	}
	t.addOwn(d / math.Exp(expected) / stated)
	logDuration := math.Log(d / stated)
	s.duration.add(logDuration, logInitialDuration, serviceWeight, serviceClip)
	r.mean.add(logDuration, expected, serviceWeight, serviceClip)
	r.high.add(logDuration, r.mean.mean)
}

// route returns a route of the service, instead of the one that was not used for the longest time if there are maxRoutes.
func (s *service) route(name string, now time.Time) *route {
	r := s.routes[name]
	if r == nil {
		if len(s.routes) >= maxRoutes {
			oldest := ""
			for n, o := range s.routes {
				if oldest == "" || o.usedAt.Before(s.routes[oldest].usedAt) {
					oldest = n
				}
			}
			delete(s.routes, oldest)
		}
		r = &route{}
		s.routes[name] = r
	}
	r.usedAt = now
	return r
}

func (s *service) rates() Rates {
	r := InitialRates()
	r.PrefillTokensPerSec = math.Exp(-s.secondsPerToken.or(logInitialPrefill))
	step, slope := s.steps.fit(float64(InitialStepTime), InitialSlowdownPerRun)
	r.StepTime, r.SlowdownPerRun = time.Duration(step), slope
	return r
}
