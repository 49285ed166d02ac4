package admitter

import "time"

// poolFill is the part of the slots that admitted runs may fill without a wait; a fuller pool has long queues at some
// targets while others are idle.
const poolFill = 0.8

// Pool is the state of all targets of a model together, as one instance knows it.
type Pool struct {
	Slots int
	// OwnRuns is how many admitted runs of this instance have not ended.
	OwnRuns int
	// ReportedRuns is how many runs all targets reported, of all instances.
	ReportedRuns int
	// Instances is how many instances dispatch to the targets.
	Instances int
	// RunTime is the mean time for which a run holds a slot.
	RunTime time.Duration
}

// QueueDelay estimates the wait for a slot of the pool. Each instance is taken to have as many runs as this one, which needs no
// report and so has no lag, but all together no more than were reported, in case the others have less demand.
func (p Pool) QueueDelay() time.Duration {
	if p.Slots <= 0 {
		return 0
	}
	busy := float64(min(p.OwnRuns*max(1, p.Instances), max(p.OwnRuns, p.ReportedRuns)))
	over := max(0, busy-poolFill*float64(p.Slots)+1)
	return time.Duration(over / float64(p.Slots) * float64(p.RunTime))
}
