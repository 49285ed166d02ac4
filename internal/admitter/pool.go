package admitter

import "time"

// poolFill is the share of the slots that admitted runs may occupy without an expected delay. Above it, some targets have
// long queues while others are idle.
const poolFill = 0.8

// Pool is the aggregate load of the usable targets of a model as one instance sees it.
type Pool struct {
	// Slots is the total number of slots of the targets.
	Slots int
	// OwnRuns is the number of runs in flight that this instance admitted.
	OwnRuns int
	// ReportedRuns is the number of runs, of all instances, that the targets reported.
	ReportedRuns int
	// Instances is the number of instances that dispatch to the targets.
	Instances int
	// RunTime is the mean time for which a run occupies a slot.
	RunTime time.Duration
}

// QueueDelay estimates the wait for a slot of the pool. It assumes that every instance has as many runs as this one, since
// that number has no lag, unlike load reports. The total is capped at the reported number of runs, in case the other
// instances have less demand.
func (p Pool) QueueDelay() time.Duration {
	if p.Slots <= 0 {
		return 0
	}
	occupied := float64(min(p.OwnRuns*max(1, p.Instances), max(p.OwnRuns, p.ReportedRuns)))
	excess := max(0, occupied-poolFill*float64(p.Slots)+1)
	return time.Duration(excess / float64(p.Slots) * float64(p.RunTime))
}
