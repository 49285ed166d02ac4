package admitter

import "time"

// poolFill is the part of the slots that admitted runs may fill without a wait; a fuller pool has long queues at some
// targets while others are idle.
const poolFill = 0.8

// Pool is the state of all targets of a model together, as one instance knows it.
type Pool struct {
	Slots int
	// Own is how many admitted runs of this instance have not ended.
	Own int
	// Reported is how many runs all targets reported, of all instances.
	Reported int
	// Instances is how many instances dispatch to the targets.
	Instances int
	// RunTime is the mean time for which a run holds a slot.
	RunTime time.Duration
}

// Wait estimates the wait for a slot of the pool. Each instance is taken to have as many runs as this one, which needs no
// report and so has no lag, but all together no more than were reported, in case the others have less demand.
func (p Pool) Wait() time.Duration {
	if p.Slots <= 0 {
		return 0
	}
	busy := float64(min(p.Own*max(1, p.Instances), max(p.Own, p.Reported)))
	over := max(0, busy-poolFill*float64(p.Slots)+1)
	return time.Duration(over / float64(p.Slots) * float64(p.RunTime))
}
