package retrier

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
)

// A fixed seed makes failures reproducible; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var epoch = time.Unix(1_000_000, 0)

func TestDecide(t *testing.T) {
	empty := Budget{used: budgetBurst}
	tests := map[string]struct {
		a      Attempt
		b      Budget
		retry  bool
		reason string
	}{
		// Guards against failing a request that another target could serve.
		"refused": {Attempt{Number: 1, Outcome: NotRun, Remaining: time.Second}, Budget{}, true, "retry"},
		// Guards against failing a request that may be repeated.
		"repeatable": {Attempt{Number: 1, Outcome: Repeatable, Remaining: time.Second}, Budget{}, true, "retry"},
		// Guards against a second execution of a request that must not be repeated.
		"may have run": {Attempt{Number: 1, Outcome: Unknown, Remaining: time.Second}, Budget{}, false, "it may have run"},
		// Guards against unbounded retries of one request.
		"attempts": {Attempt{Number: MaxAttempts, Outcome: NotRun, Remaining: time.Second}, Budget{}, false, "no attempts left"},
		// Guards against a retry that cannot finish before the deadline.
		"deadline": {Attempt{Number: 1, Outcome: NotRun, Remaining: time.Millisecond}, Budget{}, false, "deadline"},
		// Guards against a retry storm.
		"budget": {Attempt{Number: 1, Outcome: NotRun, Remaining: time.Second}, empty, false, "retry budget is used up"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := Decide(tt.a, tt.b, 1)
			require.Equal(t, tt.retry, d.Retry)
			require.Equal(t, tt.reason, d.Reason)
		})
	}
}

// Guards against retries beyond the budget, in any order of requests and failures.
func TestRandomBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		requests, retries := 0, 0
		for _, fail := range rapid.SliceOfN(rapid.Bool(), 0, 2000).Draw(t, "attempts") {
			if !fail {
				b, requests = b.WithRequest(), requests+1
			} else if b.Allows() {
				b, retries = b.WithRetry(), retries+1
			}
			require.LessOrEqual(t, float64(retries), budgetBurst+BudgetShare*float64(requests)+1e-6)
		}
	})
}

// Guards against delays that do not grow, have no jitter or are unbounded.
func TestBackoff(t *testing.T) {
	for n := 1; n < 40; n++ {
		delays := map[time.Duration]bool{}
		for seed := range uint64(50) {
			d := Backoff(n, seed)
			bound := min(maxDelay, baseDelay<<min(n-1, 20))
			require.GreaterOrEqual(t, d, bound/2)
			require.LessOrEqual(t, d, bound)
			delays[d] = true
		}
		require.Greater(t, len(delays), 45)
	}
}

// Guards against a target that stays ejected after it has recovered, and against one that gets more than a probe before.
func TestEjectionAndProbe(t *testing.T) {
	e := NewEjector(map[string][]string{"m": {"a", "b", "c", "d"}})
	now := epoch
	for range failuresInRow {
		require.True(t, e.Allows("a", now))
		e.Observe("a", false, now)
	}
	require.Equal(t, Ejected, e.State("a"))
	require.False(t, e.Allows("a", now.Add(firstEjection-1)))
	now = now.Add(firstEjection)
	require.True(t, e.Allows("a", now), "one probe")
	require.False(t, e.Allows("a", now), "not a second one")
	e.Observe("a", false, now)
	require.False(t, e.Allows("a", now.Add(2*firstEjection-1)), "the second ejection is longer")
	now = now.Add(2 * firstEjection)
	require.True(t, e.Allows("a", now))
	require.True(t, e.Allows("a", now.Add(probeTimeout)), "a probe without a result is repeated")
	e.Observe("a", true, now)
	require.Equal(t, Serving, e.State("a"))
	e.SetLeaving("a", true)
	require.False(t, e.Allows("a", now))
	e.SetLeaving("a", false)
	require.True(t, e.Allows("a", now))
}

// Guards against ejecting more than MaxEjected of a pool, in any order of results.
func TestRandomEjectionKeepsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 15).Draw(t, "targets")
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprint(i))
		}
		pools := map[string][]string{"m": ids, "half": ids[:(n+1)/2]}
		e, now := NewEjector(pools), epoch
		bad := rapid.IntRange(0, n).Draw(t, "bad")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 500 {
			now = now.Add(time.Duration(r.IntN(200)) * time.Millisecond)
			i := r.IntN(n)
			if e.Allows(ids[i], now) {
				e.Observe(ids[i], i >= bad, now)
			}
			for name, pool := range pools {
				ejected := 0
				for _, id := range pool {
					if s := e.State(id); s == Ejected || s == Probing {
						ejected++
					}
				}
				if float64(ejected) > MaxEjected*float64(len(pool)) {
					t.Fatalf("%d of %d targets of pool %s are ejected", ejected, len(pool), name)
				}
			}
		}
	})
}
