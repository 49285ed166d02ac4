package admitter

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// A fixed seed makes failures repeatable; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var testNow = time.Unix(1_000_000, 0)

func account(share int) configurer.Account {
	return configurer.Account{Name: "a", Share: share, FirstTokenMs: 550, DeadlineMs: 10000}
}

func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	over := Meter{}.With(1000, true, 500*ms, testNow)
	overload := FairShare{RatePerShare: 10, Slack: 500 * ms}
	tests := map[string]struct {
		in       Input
		admitted bool
		reason   Reason
	}{
		// Guards against refusals without load.
		"idle": {Input{Estimate: Estimate{FirstTokenTime: 100 * ms, ServiceTime: time.Second}}, true, WithinShare},
		// Guards against admitting a request whose first token would be late.
		"late first token": {Input{Estimate: Estimate{QueueDelay: 500 * ms, FirstTokenTime: 100 * ms, ServiceTime: time.Second}}, false, PastTarget},
		// Guards against admitting a request whose response would be truncated at the deadline.
		"late end": {Input{Estimate: Estimate{FirstTokenTime: 100 * ms, ServiceTime: 11 * time.Second}}, false, PastDeadline},
		// Guards against refusing a long prompt on every retry.
		"long prompt on idle targets": {Input{Estimate: Estimate{FirstTokenTime: 900 * ms, ServiceTime: 2 * time.Second}}, true, PromptTooLong},
		// Guards against a long prompt that delays requests that can meet their target.
		"long prompt under load": {Input{Estimate: Estimate{QueueDelay: 300 * ms, FirstTokenTime: 900 * ms, ServiceTime: 2 * time.Second}}, false, PastTarget},
		// Guards against leaving capacity unused.
		"over share with free capacity": {Input{Estimate: Estimate{QueueDelay: 100 * ms, FirstTokenTime: 50 * ms}, Meter: over, FairShare: overload}, true, Borrowed},
		// Guards against a large account that fills the queues shared by all accounts.
		"over share without free capacity": {Input{Estimate: Estimate{QueueDelay: 300 * ms, FirstTokenTime: 50 * ms}, Meter: over, FairShare: overload}, false, OverShare},
		// Guards against an account with a loose target that makes others miss theirs.
		"tighter target of another": {
			Input{Estimate: Estimate{QueueDelay: 300 * ms, FirstTokenTime: 50 * ms}, FairShare: FairShare{RatePerShare: math.Inf(1), Slack: 200 * ms}}, false, PastTarget,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.in.Account = account(1)
			if tt.in.FairShare.RatePerShare == 0 {
				tt.in.FairShare.RatePerShare = math.Inf(1)
			}
			d := Decide(tt.in, testNow, 1)
			require.Equal(t, tt.admitted, d.Admitted)
			require.Equal(t, tt.reason, d.Reason)
			require.Equal(t, !tt.admitted, d.RetryAfter > 0)
		})
	}
}

// Guards against a priority without effect on the bound for borrowed capacity.
func TestPriorityRaisesBorrowedBound(t *testing.T) {
	in := Input{
		Account: account(1), Estimate: Estimate{QueueDelay: 300 * time.Millisecond},
		Meter: Meter{}.With(1000, true, 500*time.Millisecond, testNow), FairShare: FairShare{RatePerShare: 10, Slack: 500 * time.Millisecond},
	}
	require.False(t, Decide(in, testNow, 1).Admitted)
	in.Account.Priority = 3
	require.True(t, Decide(in, testNow, 1).Admitted)
}

// Guards against a fair share that allocates more than the capacity, leaves some of it unused, or leaves an account below
// its share.
func TestRandomFairShareIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ds := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Demand {
			offered := rapid.Float64Range(0.1, 100).Draw(t, "offered")
			return Demand{
				Share: rapid.IntRange(1, 8).Draw(t, "share"), Offered: offered,
				Admitted: offered * rapid.Float64Range(0, 1).Draw(t, "admitted"),
			}
		}), 1, 20).Draw(t, "demands")
		f := NewFairShare(ds)
		capacity, used := 0.0, 0.0
		for _, d := range ds {
			capacity += d.Admitted
			used += min(d.Offered, f.RatePerShare*float64(d.Share))
		}
		require.InDelta(t, capacity, used, 1e-6*capacity+1e-9)
	})
}

// Guards against refused callers that all retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	in := Input{
		Account: account(1), Estimate: Estimate{QueueDelay: 2 * time.Second, FirstTokenTime: 50 * time.Millisecond}, FairShare: FairShare{RatePerShare: math.Inf(1)},
	}
	delays := map[time.Duration]bool{}
	for seed := range uint64(100) {
		d := Decide(in, testNow, seed).RetryAfter
		require.InDelta(t, 1500*float64(time.Millisecond), float64(d), 400*float64(time.Millisecond))
		delays[d] = true
	}
	require.Greater(t, len(delays), 90)
}

// BenchmarkDecide measures one decision among 1,200 active accounts.
func BenchmarkDecide(b *testing.B) {
	ad := New()
	as := make([]configurer.Account, 1200)
	for i := range as {
		as[i] = account(1 + i%4)
		as[i].Name = fmt.Sprintf("account-%d", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		now := testNow.Add(time.Duration(i) * 50 * time.Microsecond)
		ad.Decide(as[i%len(as)], Estimate{QueueDelay: 200 * time.Millisecond, FirstTokenTime: 50 * time.Millisecond, Cost: 1000}, now, uint64(i))
	}
}

// Guards against decisions that depend on the iteration order of a map: two admitters with the same inputs must agree.
func TestAdmitterIsDeterministic(t *testing.T) {
	fairShares := func() (out []FairShare) {
		ad := New()
		for i := range 5000 {
			a := account(1 + i%7)
			a.Name = fmt.Sprintf("account-%d", i%97)
			e := Estimate{QueueDelay: 300 * time.Millisecond, FirstTokenTime: 50 * time.Millisecond, Cost: 0.1 + float64(i%13)/3}
			ad.Decide(a, e, testNow.Add(time.Duration(i)*10*time.Millisecond), uint64(i))
			out = append(out, ad.FairShare())
		}
		return out
	}
	first := fairShares()
	for range 3 {
		require.Equal(t, first, fairShares())
	}
}
