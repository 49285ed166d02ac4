package admitter

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// fairShareInterval is the time between computations of the fair share, which sorts all accounts: at 1,200 accounts that
// takes longer than a decision.
const fairShareInterval = 100 * time.Millisecond

// Admitter makes admission decisions and holds the meters of all client accounts. It is not safe for concurrent use.
type Admitter struct {
	// EarlyDrop is passed to [Decide]; [New] enables it.
	EarlyDrop bool

	entries     map[string]entry
	fairShare   FairShare
	fairShareAt time.Time
}

// entry is the state of one account.
type entry struct {
	share int
	meter Meter
}

// New returns an admitter without any demand.
func New() *Admitter {
	return &Admitter{EarlyDrop: true, entries: map[string]entry{}, fairShare: FairShare{RatePerShare: math.Inf(1)}}
}

// Decide admits or refuses a request and updates the meter of its account.
func (ad *Admitter) Decide(a configurer.Account, e Estimate, now time.Time, seed uint64) Decision {
	if ad.fairShareAt.IsZero() || now.Sub(ad.fairShareAt) >= fairShareInterval {
		ad.refresh(now)
	}
	m := ad.entries[a.Name].meter
	d := Decide(Input{Account: a, Estimate: e, Meter: m, FairShare: ad.fairShare, EarlyDrop: ad.EarlyDrop}, now, seed)
	ad.entries[a.Name] = entry{share: a.Share, meter: m.With(e.Cost, d.Admitted, waitSlack(a, e), now)}
	return d
}

// FairShare returns the fair share that decisions currently use.
func (ad *Admitter) FairShare() FairShare { return ad.fairShare }

// Meter returns the meter of an account, and an empty one for an account without demand.
func (ad *Admitter) Meter(account string) Meter { return ad.entries[account].meter }

// refresh computes the fair share and removes accounts without demand. It visits the accounts in a fixed order, because
// sums of floats depend on the order and decisions must be reproducible.
func (ad *Admitter) refresh(now time.Time) {
	ds := make([]Demand, 0, len(ad.entries))
	for _, name := range slices.Sorted(maps.Keys(ad.entries)) {
		e := ad.entries[name]
		if !e.meter.Active(now) {
			delete(ad.entries, name)
			continue
		}
		ds = append(ds, Demand{
			Share: e.share, Offered: e.meter.Offered(now), Admitted: e.meter.Admitted(now), Slack: e.meter.slack,
		})
	}
	ad.fairShare, ad.fairShareAt = NewFairShare(ds), now
}
