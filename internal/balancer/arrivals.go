package balancer

import "math"

// maxArrivals bounds the number of unknown requests at a target that are taken into account.
const maxArrivals = 32

// arrivals is the distribution of the number of requests at a target that this instance does not know of yet: those that others have sent
// since their last announcement. It is taken to be a Poisson distribution.
type arrivals struct {
	mean float64
	// excesses holds the expected number of requests beyond each number of free slots.
	excesses [maxArrivals]float64
}

func newArrivals(mean float64) arrivals {
	a := arrivals{mean: min(max(mean, 0), maxArrivals/2)}
	p := math.Exp(-a.mean) // probability of exactly k arrivals
	tail, excess := 1-p, a.mean
	for k := range a.excesses {
		a.excesses[k] = max(0, excess)
		excess -= tail
		p *= a.mean / float64(k+1)
		tail -= p
	}
	return a
}

// excess returns the expected number of requests that find no slot, if that many are free; a negative number stands for requests that
// already wait.
func (a *arrivals) excess(free int) float64 {
	switch {
	case free < 0:
		return a.mean - float64(free)
	case free >= maxArrivals:
		return 0
	}
	return a.excesses[free]
}
