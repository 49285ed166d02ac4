package estimator

import "math"

const (
	// firstSamples is the number of samples that have a higher weight, like in a plain average, so that the initial value is left quickly.
	firstSamples = 10
	// highQuantile is the estimated quantile of durations; quantileStep is the largest change by a sample.
	highQuantile, quantileStep = 0.95, 0.1
	// regressionWeight is the weight of a new sample in a regression, minRegressionSamples the number of samples before it is used.
	regressionWeight, minRegressionSamples = 0.02, 50
	// maxSlope bounds the relative slope of a regression, minVariance is the variance of the running requests that it needs.
	maxSlope, minVariance = 0.2, 0.5
)

// logMean is a moving average of logarithms that starts with an initial value. The distance of a sample from the mean is clipped.
type logMean struct {
	mean  float64
	count int
}

// add adds a sample; one that is not finite is ignored.
func (m *logMean) add(x, initial, weight, clip float64) {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return
	}
	m.mean = m.or(initial)
	if m.count++; m.count < firstSamples {
		weight = max(weight, 1/float64(m.count+1))
	}
	m.mean += weight * min(max(x-m.mean, -clip), clip)
}

// isKnown reports whether there was a sample.
func (m *logMean) isKnown() bool { return m.count > 0 }

// or returns the mean, or initial before the first sample.
func (m *logMean) or(initial float64) float64 {
	if m.isKnown() {
		return m.mean
	}
	return initial
}

// quantile is an estimate of highQuantile that moves up or down by a fixed step with each sample.
type quantile struct {
	value float64
	known bool
}

func (q *quantile) add(x, initial float64) {
	if !q.known {
		q.value, q.known = initial, true
	}
	switch {
	case x > q.value:
		q.value += quantileStep * highQuantile
	default:
		q.value -= quantileStep * (1 - highQuantile)
	}
}

// regression is a moving linear regression y = a * (1 + b*x).
type regression struct {
	x, y, xx, xy float64
	count        int
}

func (r *regression) add(x, y float64) {
	if math.IsNaN(y) || math.IsInf(y, 0) {
		return
	}
	r.count++
	w := max(regressionWeight, 1/float64(r.count))
	r.x += w * (x - r.x)
	r.y += w * (y - r.y)
	r.xx += w * (x*x - r.xx)
	r.xy += w * (x*y - r.xy)
}

// fit returns a and b. Without enough samples, or while x hardly varies, b is the initial value, and a alone follows the samples.
func (r *regression) fit(initial, initialSlope float64) (a, b float64) {
	if r.count < minRegressionSamples {
		return initial, initialSlope
	}
	b = initialSlope
	if variance := r.xx - r.x*r.x; variance >= minVariance {
		slope := (r.xy - r.x*r.y) / variance
		if a = r.y - slope*r.x; a > 0 {
			b = min(max(slope/a, 0), maxSlope)
		}
	}
	return r.y / (1 + b*r.x), b
}

// clipRatio bounds a ratio to exp(-clip) and exp(clip).
func clipRatio(ratio, clip float64) float64 { return min(max(ratio, math.Exp(-clip)), math.Exp(clip)) }
