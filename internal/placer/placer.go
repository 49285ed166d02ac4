// Package placer decides what happens to the context of a finished run.
//
// A context is worth keeping if the prefill time that it is expected to save,
// by the chance that the conversation comes back after the engine has dropped
// it, exceeds the price of the link time for writing it. Returns are learned
// per account and application in bounded, decayed histograms of gaps. A context
// that is likely to come back soon goes to the memory tier, another to disk. A
// store that is dead, full or far behind is passed over for the next one, and
// without any the context is not kept.
//
// The policy is pure: its inputs are values, and time is an argument.
//
// # Usage
//
//	p := placer.New()
//	d := p.Decide(placer.Run{...}, returns)
//	if d.Export { queue(d.Store, d.Tier) }
package placer

import "time"

// Place is one store that could take the context, with the state of its link.
type Place struct {
	Store    string
	Down     bool
	Backlog  time.Duration
	MemFree  int64
	DiskFree int64
	// MemRate and DiskRate are the rates of the link for the tiers, in bytes a second.
	MemRate, DiskRate float64
}

// Run is a finished run whose context could be kept.
type Run struct {
	Key Key
	// Bytes is the size of the whole context, NewBytes of what the store does not hold yet.
	Bytes, NewBytes int64
	// Recompute is the prefill time of the whole context.
	Recompute time.Duration
	// Resident is how long the context is expected to stay on the accelerator.
	Resident time.Duration
	// Places are the stores to try, best first.
	Places []Place
}

// Decision says whether and where a context is kept.
type Decision struct {
	Export bool
	Store  string
	Disk   bool
	// Value is the expected saving per byte, in seconds; a store that is full drops the least.
	Value  float64
	Reason string
}

// The reasons of decisions.
const (
	ReasonKept     = "expected saving exceeds the cost of the link"
	ReasonNothing  = "nothing new to keep"
	ReasonUnlikely = "expected saving is below the cost of the link"
	ReasonNoStore  = "no store has room and a free link"
)

// Placer is the policy.
type Placer struct {
	// LinkPrice weighs a second of link time against a second of prefill.
	LinkPrice float64
	// MemoryHorizon is how long a context is meant to stay in the memory tier.
	MemoryHorizon time.Duration
	// MaxBacklog is how far a link may be behind before the next store is tried.
	MaxBacklog time.Duration
	// Always exports whatever there is, for comparison.
	Always bool
}

// New returns the policy with the values that measured best, see docs/measurements.md.
func New() *Placer {
	return &Placer{LinkPrice: 0.5, MemoryHorizon: 10 * time.Minute, MaxBacklog: 2 * time.Second}
}

// Decide says what happens to the context of a run.
func (p *Placer) Decide(run Run, returns *Returns) Decision {
	if run.NewBytes <= 0 || run.Bytes <= 0 {
		return Decision{Reason: ReasonNothing}
	}
	chance := returns.Chance(run.Key)
	late := 1 - returns.Within(run.Key, run.Resident)
	soon := returns.Within(run.Key, p.MemoryHorizon)
	reason := ReasonNoStore
	for _, pl := range run.Places {
		if pl.Down || pl.Backlog > p.MaxBacklog {
			continue
		}
		disk, rate, ok := tier(pl, run.NewBytes, soon >= 0.5)
		if !ok {
			continue
		}
		saving := chance * late * max(0, run.Recompute.Seconds()-float64(run.Bytes)/rate)
		cost := p.LinkPrice * float64(run.NewBytes) / rate
		if saving <= cost && !p.Always {
			reason = ReasonUnlikely
			continue
		}
		return Decision{Export: true, Store: pl.Store, Disk: disk, Value: Value(saving, run.Bytes), Reason: ReasonKept}
	}
	return Decision{Reason: reason}
}

// tier chooses the tier that has room, the memory tier first for what comes back soon.
func tier(pl Place, n int64, soon bool) (disk bool, rate float64, ok bool) {
	mem, dsk := pl.MemFree >= n && pl.MemRate > 0, pl.DiskFree >= n && pl.DiskRate > 0
	switch {
	case mem && (soon || !dsk):
		return false, pl.MemRate, true
	case dsk:
		return true, pl.DiskRate, true
	}
	return false, 0, false
}

// Value is the expected saving per byte, by which a full store chooses what to drop.
func Value(saving float64, n int64) float64 {
	if n <= 0 {
		return 0
	}
	return saving / float64(n)
}

const (
	// prefetchChance is the chance of a return in the window above which a prefetch is worth the link.
	prefetchChance = 0.5
	// prefetchWindow is how long prefetched blocks are expected to stay on the accelerator.
	prefetchWindow = 10 * time.Second
)

// Prefetch says whether a context should be brought to the accelerator at a time after its last run.
// The link must be idle, and the conversation must be likely to return while the blocks stay there.
func (p *Placer) Prefetch(k Key, since time.Duration, backlog time.Duration, returns *Returns) bool {
	if backlog > 0 {
		return false
	}
	before := returns.Within(k, since)
	soon := returns.Within(k, since+prefetchWindow) - before
	chance := returns.Chance(k)
	// The chance of a return in the window, given that there was none so far.
	left := 1 - chance*before
	return left > 0 && chance*soon/left >= prefetchChance
}
