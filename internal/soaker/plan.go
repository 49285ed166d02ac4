package soaker

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind string
	// Selector selects the affected process or link; the caller takes it modulo the number of candidates of this kind.
	Selector int
	// Start is the offset from the start of the run; ActiveFor is how long the fault lasts.
	Start     time.Duration
	ActiveFor time.Duration
}

const (
	// meanInterval is the mean time between the starts of two faults. It is shorter than most faults, so that they overlap.
	meanInterval = 700 * time.Millisecond
	minDuration  = 200 * time.Millisecond
	maxDuration  = 2500 * time.Millisecond
	// burstShare is the share of faults that are followed by burstLen faults of the same kind, burstInterval apart.
	burstShare    = 0.2
	burstLen      = 3
	burstInterval = 150 * time.Millisecond
)

// NewPlan draws the faults of a run of the given length, sorted by their start. The same seed, kinds and length give the
// same plan.
func NewPlan(seed uint64, kinds []string, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	var out []Fault
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() * float64(meanInterval)) {
		f := Fault{
			Kind: kinds[r.IntN(len(kinds))], Selector: r.IntN(1 << 16), Start: at,
			ActiveFor: minDuration + time.Duration(r.Int64N(int64(maxDuration-minDuration))),
		}
		out = append(out, f)
		if r.Float64() < burstShare {
			for range burstLen {
				f.Start += burstInterval
				f.Selector = r.IntN(1 << 16)
				out = append(out, f)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.Start - b.Start) })
	return out
}
