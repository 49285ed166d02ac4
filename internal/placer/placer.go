// Package placer decides whether the KV cache of a finished run is exported to a KV store, and to which one.
//
// An export is worthwhile if the expected savings exceed its cost. The savings are
// the prefill time saved by a return of the conversation, times the probability that
// it returns after the engine has evicted the KV cache. The cost is the weighted
// link time of the export plus the expected savings of what the store has to evict
// for it. Return probabilities are learned per account and application, with bounded
// and decayed histograms of the idle gaps between runs (see [ReturnStats]). The tier
// (memory or disk) with the highest net savings is chosen. A store that is down, full
// or has a long link backlog is skipped in favour of the next one; if none remains,
// the KV cache is not exported.
//
// The policy is pure: its inputs are values, and time is an argument.
//
// # Usage
//
//	p := placer.New()
//	d := p.Decide(placer.Run{...}, returns)
//	if d.Export { queue(d.Store, d.Disk) }
package placer

import "time"

// Tier is one tier of a store that an export could go to.
type Tier struct {
	// Disk reports whether it is the disk tier rather than the memory tier.
	Disk bool
	// BytesPerSec is the transfer rate to and from the tier over the link; 0 excludes the tier.
	BytesPerSec float64
	// Fits reports whether the export fits into the tier, possibly after the eviction of stored KV cache whose expected
	// savings are DisplacedSeconds.
	Fits             bool
	DisplacedSeconds float64
}

// StoreOption is one store that an export could go to, with the state of its link.
type StoreOption struct {
	Store   string
	Down    bool
	Backlog time.Duration
	// NewBytes is the size of the blocks that the store does not hold yet.
	NewBytes int64
	Tiers    []Tier
}

// Run is a finished run whose KV cache may be exported.
type Run struct {
	Key Key
	// Bytes is the size of the complete KV cache of the run.
	Bytes int64
	// PrefillTime is the time to recompute the complete KV cache.
	PrefillTime time.Duration
	// ResidencyTime is how long the KV cache is expected to stay on the accelerator.
	ResidencyTime time.Duration
	// Stores holds the candidate stores in order of preference.
	Stores []StoreOption
}

// Decision says whether the KV cache of a run is exported, and to which tier of which store.
type Decision struct {
	Export bool
	Store  string
	Disk   bool
	// SavedSeconds is the prefill time that a return of the conversation saves.
	SavedSeconds float64
	Reason       string
}

// Values of [Decision.Reason].
const (
	ReasonStored     = "expected saving exceeds the cost of the link and of what is dropped"
	ReasonNothingNew = "nothing new to keep"
	ReasonUnlikely   = "expected saving is below the cost of the link and of what would be dropped"
	ReasonNoStore    = "no store has room and a free link"
)

// Placer is the export policy.
type Placer struct {
	// LinkCostWeight is the cost of a second of link time for an export, in seconds of prefill.
	LinkCostWeight float64
	// ImportCostWeight is the cost of a second of import, in seconds of prefill. It is low because imports run in parallel
	// with prefill, whereas all later requests queue behind a prefill.
	ImportCostWeight float64
	// MaxBacklog is the longest link backlog with which a store is considered.
	MaxBacklog time.Duration
	// AlwaysExport exports even without expected net savings; it serves as a baseline in benchmarks.
	AlwaysExport bool
}

// New returns a Placer with the default weights; docs/measurements.md compares them with other values.
func New() *Placer {
	return &Placer{LinkCostWeight: 0.1, ImportCostWeight: 0.05, MaxBacklog: 2 * time.Second}
}

// Decide decides whether and where to export the KV cache of a run.
func (p *Placer) Decide(run Run, returns *ReturnStats) Decision {
	out := Decision{Reason: ReasonNoStore}
	probability := returns.ReturnProbability(run.Key) * (1 - returns.ReturnShareWithin(run.Key, run.ResidencyTime))
	for _, st := range run.Stores {
		if st.Down || st.Backlog > p.MaxBacklog {
			continue
		}
		if st.NewBytes <= 0 {
			return Decision{Reason: ReasonNothingNew}
		}
		best := 0.0
		for _, tier := range st.Tiers {
			if !tier.Fits || tier.BytesPerSec <= 0 {
				continue
			}
			savedSeconds := max(0, run.PrefillTime.Seconds()-p.ImportCostWeight*float64(run.Bytes)/tier.BytesPerSec)
			// Blocks that the store already holds stay there, so the gain is proportional to the new bytes.
			gain := probability * savedSeconds * float64(st.NewBytes) / float64(max(1, run.Bytes))
			net := gain - p.LinkCostWeight*float64(st.NewBytes)/tier.BytesPerSec - tier.DisplacedSeconds
			if net > best || (p.AlwaysExport && !out.Export) {
				best = net
				out = Decision{Export: true, Store: st.Store, Disk: tier.Disk, SavedSeconds: savedSeconds, Reason: ReasonStored}
			}
		}
		if out.Export {
			return out
		}
		out.Reason = ReasonUnlikely
	}
	return out
}

// StoredContext is the KV cache of a conversation in a store.
type StoredContext struct {
	Key          Key
	Bytes        int64
	SavedSeconds float64
	StoredAt     time.Time
}

// ExpectedSavings returns the expected prefill time in seconds that a stored context saves: the probability that the
// conversation still returns, given that it has not returned so far, times the prefill time that a return saves. A full store
// evicts the contexts with the least expected savings per byte.
func ExpectedSavings(c StoredContext, returns *ReturnStats, now time.Time) float64 {
	probability, elapsedShare := returns.ReturnProbability(c.Key), returns.ReturnShareWithin(c.Key, now.Sub(c.StoredAt))
	remaining := 1 - probability*elapsedShare
	if remaining <= 0 {
		return 0
	}
	return c.SavedSeconds * probability * (1 - elapsedShare) / remaining
}
