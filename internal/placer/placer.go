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

// Tier is one tier of a store that could take the context.
type Tier struct {
	Disk bool
	// BytesPerSec is the rate of the link for the tier, in bytes a second.
	BytesPerSec float64
	// Fits says whether the context fits, if need be after dropping others whose value together is DisplacedSeconds.
	Fits             bool
	DisplacedSeconds float64
}

// StoreOption is one store that could take the context, with the state of its link.
type StoreOption struct {
	Store   string
	Down    bool
	Backlog time.Duration
	// NewBytes is the size of what the store does not hold yet.
	NewBytes int64
	Tiers    []Tier
}

// Run is a finished run whose context could be kept.
type Run struct {
	Key Key
	// Bytes is the size of the whole context.
	Bytes int64
	// PrefillTime is the prefill time of the whole context.
	PrefillTime time.Duration
	// ResidencyTime is how long the context is expected to stay on the accelerator.
	ResidencyTime time.Duration
	// Stores are the stores to try, best first.
	Stores []StoreOption
}

// Decision says whether and where a context is kept.
type Decision struct {
	Export bool
	Store  string
	Disk   bool
	// SavedSeconds is the prefill time that a return saves, in seconds.
	SavedSeconds float64
	Reason       string
}

// The reasons of decisions.
const (
	ReasonStored     = "expected saving exceeds the cost of the link and of what is dropped"
	ReasonNothingNew = "nothing new to keep"
	ReasonUnlikely   = "expected saving is below the cost of the link and of what would be dropped"
	ReasonNoStore    = "no store has room and a free link"
)

// Placer is the policy.
type Placer struct {
	// LinkCostWeight weighs a second of link time against a second of prefill.
	LinkCostWeight float64
	// ImportCostWeight weighs a second of import against a second of prefill. The link works beside the prefill unit, which
	// all later requests wait for.
	ImportCostWeight float64
	// MaxBacklog is how far a link may be behind before the next store is tried.
	MaxBacklog time.Duration
	// AlwaysExport exports whatever there is, for comparison.
	AlwaysExport bool
}

// New returns the policy with the values that measured best, see docs/measurements.md.
func New() *Placer {
	return &Placer{LinkCostWeight: 0.1, ImportCostWeight: 0.05, MaxBacklog: 2 * time.Second}
}

// Decide says what happens to the context of a run.
func (p *Placer) Decide(run Run, returns *ReturnStats) Decision {
	out := Decision{Reason: ReasonNoStore}
	chance := returns.ReturnProbability(run.Key) * (1 - returns.ReturnShareWithin(run.Key, run.ResidencyTime))
	for _, pl := range run.Stores {
		if pl.Down || pl.Backlog > p.MaxBacklog {
			continue
		}
		if pl.NewBytes <= 0 {
			return Decision{Reason: ReasonNothingNew}
		}
		best := 0.0
		for _, t := range pl.Tiers {
			if !t.Fits || t.BytesPerSec <= 0 {
				continue
			}
			saving := max(0, run.PrefillTime.Seconds()-p.ImportCostWeight*float64(run.Bytes)/t.BytesPerSec)
			// What is stored already stays, so only the new part is gained.
			gain := chance * saving * float64(pl.NewBytes) / float64(max(1, run.Bytes))
			net := gain - p.LinkCostWeight*float64(pl.NewBytes)/t.BytesPerSec - t.DisplacedSeconds
			if net > best || (p.AlwaysExport && !out.Export) {
				best = net
				out = Decision{Export: true, Store: pl.Store, Disk: t.Disk, SavedSeconds: saving, Reason: ReasonStored}
			}
		}
		if out.Export {
			return out
		}
		out.Reason = ReasonUnlikely
	}
	return out
}

// StoredContext is a context in a store.
type StoredContext struct {
	Key          Key
	Bytes        int64
	SavedSeconds float64
	StoredAt     time.Time
}

// ExpectedSavings is what a context in a store is expected to save, in seconds: the chance that the conversation still comes
// back, given that it has not so far, times the prefill time that this saves. A full store drops the least per byte.
func ExpectedSavings(k StoredContext, returns *ReturnStats, now time.Time) float64 {
	chance, before := returns.ReturnProbability(k.Key), returns.ReturnShareWithin(k.Key, now.Sub(k.StoredAt))
	left := 1 - chance*before
	if left <= 0 {
		return 0
	}
	return k.SavedSeconds * chance * (1 - before) / left
}
