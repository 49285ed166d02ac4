package admitter

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// levelPeriod is how often the fair shares are computed; a sort of 1,200 accounts takes longer than one decision.
const levelPeriod = 100 * time.Millisecond

// Admitter holds the meters of all accounts. It belongs to one goroutine or lock.
type Admitter struct {
	// EarlyDrop is passed on to [Decide]; [New] sets it.
	EarlyDrop bool

	entries map[string]entry
	level   FairShare
	levelAt time.Time
}

type entry struct {
	share int
	meter Meter
}

// New returns a book without demand.
func New() *Admitter {
	return &Admitter{EarlyDrop: true, entries: map[string]entry{}, level: FairShare{RatePerShare: math.Inf(1)}}
}

// Decide admits or refuses a request and counts it.
func (b *Admitter) Decide(a configurer.Account, e Estimate, now time.Time, seed uint64) Decision {
	if b.levelAt.IsZero() || now.Sub(b.levelAt) >= levelPeriod {
		b.refresh(now)
	}
	m := b.entries[a.Name].meter
	d := Decide(Input{Account: a, Estimate: e, Meter: m, FairShare: b.level, EarlyDrop: b.EarlyDrop}, now, seed)
	b.entries[a.Name] = entry{share: a.Share, meter: m.With(e.Cost, d.Admitted, slackOf(a, e), now)}
	return d
}

// FairShare returns the fair shares in force.
func (b *Admitter) FairShare() FairShare { return b.level }

// Meter returns the meter of an account.
func (b *Admitter) Meter(account string) Meter { return b.entries[account].meter }

// refresh computes the level and forgets accounts without demand. The order of the accounts is fixed, because sums of
// floats depend on it and a decision must not differ between two runs.
func (b *Admitter) refresh(now time.Time) {
	ds := make([]Demand, 0, len(b.entries))
	for _, name := range slices.Sorted(maps.Keys(b.entries)) {
		e := b.entries[name]
		if !e.meter.Active(now) {
			delete(b.entries, name)
			continue
		}
		ds = append(ds, Demand{
			Share: e.share, Offered: e.meter.Offered(now), Admitted: e.meter.Admitted(now), Slack: e.meter.slack,
		})
	}
	b.level, b.levelAt = NewFairShare(ds), now
}
