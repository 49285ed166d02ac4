package soaker

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one fault in a plan.
type Fault struct {
	Kind string
	// Selector chooses among what the kind can hit.
	Selector  int
	Start     time.Duration
	ActiveFor time.Duration
}

const (
	// meanGap is the mean time between the beginnings of two faults; they last for up to longestFault, so they overlap.
	meanGap       = 700 * time.Millisecond
	shortestFault = 200 * time.Millisecond
	longestFault  = 2500 * time.Millisecond
	// seriesShare of the faults is followed by others of the same kind at once.
	seriesShare = 0.2
	seriesLen   = 3
	seriesGap   = 150 * time.Millisecond
)

// NewPlan draws the faults of a run of some length.
func NewPlan(seed uint64, kinds []string, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	var out []Fault
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		f := Fault{
			Kind: kinds[r.IntN(len(kinds))], Selector: r.IntN(1 << 16), Start: at,
			ActiveFor: shortestFault + time.Duration(r.Int64N(int64(longestFault-shortestFault))),
		}
		out = append(out, f)
		if r.Float64() < seriesShare {
			for range seriesLen {
				f.Start += seriesGap
				f.Selector = r.IntN(1 << 16)
				out = append(out, f)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.Start - b.Start) })
	return out
}
