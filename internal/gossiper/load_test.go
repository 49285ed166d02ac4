package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runWithReports runs a data centre whose instances report each target every 3 periods and as many stores every 30, and send
// a usage payload of the given size every 5. It returns the cluster after the given time, with the messages and bytes sent
// in that time.
func runWithReports(size, targets, usage int, length time.Duration) *cluster {
	c := newCluster(uint64(targets))
	c.dataCentres = 1
	for i := range size {
		c.start(i)
	}
	c.join()
	c.run(10 * c.period)
	for _, n := range c.order {
		n.sentMessages, n.sentBytes = 0, 0
	}
	for i := range int(length / c.period) {
		for t := i % 3; t < targets; t += 3 {
			n := c.order[t%size].p
			_ = n.BroadcastLoad(fmt.Sprintf("letters-%04d", t), make([]byte, 33), c.now)
			if i/3%10 == t%10 {
				_ = n.BroadcastLoad(fmt.Sprintf("store/store-%04d", t), make([]byte, 33), c.now)
			}
		}
		for j, n := range c.order {
			if usage > 0 && (i+j)%5 == 0 {
				_ = n.p.BroadcastUsage(make([]byte, usage), nil, c.now)
			}
		}
		c.run(c.period)
	}
	return c
}

// freshShare returns the share of items of a kind that are at most of the given age. Every instance should have want items.
func (c *cluster) freshShare(kind uint8, prefix string, want int, age time.Duration) float64 {
	got := 0
	for _, n := range c.order {
		for key, it := range n.p.items[kind] {
			if len(key) >= len(prefix) && key[:len(prefix)] == prefix && c.now.Sub(time.UnixMilli(it.WallMs)) <= age {
				got++
			}
		}
	}
	return float64(got) / float64(want*len(c.order))
}

// Guards against load reports and usage payloads that displace each other, and against an instance that exceeds its
// bandwidth. 5 KB/s leave 2 KB/s of the 7 KB/s per instance for polls, the log and packet headers.
func TestReportsAndUsageFitTogether(t *testing.T) {
	t.Parallel()
	const size, targets, length = 35, 70, 40 * time.Second
	for name, usage := range map[string]int{"full usage": 330, "no usage": 0} {
		t.Run(name, func(t *testing.T) {
			c := runWithReports(size, targets, usage, length)
			sentBytes := 0
			for _, n := range c.order {
				sentBytes += n.sentBytes
			}
			rate := float64(sentBytes) / size / length.Seconds()
			loads, payloads := c.freshShare(itemLoad, "letters", targets, 6*time.Second), c.freshShare(itemLocalUsage, "", size, 8*time.Second)
			t.Logf("%.1f %% of load reports and %.1f %% of payloads are up to date; each instance sent %.0f B/s", 100*loads, 100*payloads, rate)
			require.GreaterOrEqual(t, loads, 0.99)
			require.Less(t, rate, 5000.0)
			if usage > 0 {
				require.GreaterOrEqual(t, payloads, 0.99)
			}
			require.Empty(t, c.violations)
		})
	}
}

// Guards against one kind of report that starves the other when both exceed the budget, and against items that are never
// sent.
func TestOverloadStarvesNoKind(t *testing.T) {
	t.Parallel()
	const size, targets = 35, 280
	c := runWithReports(size, targets, MaxPayloadBytes-50, time.Minute)
	for _, n := range c.order {
		require.Less(t, float64(n.sentBytes)/60, 7000.0)
	}
	loads, payloads := c.freshShare(itemLoad, "letters", targets, 10*time.Second), c.freshShare(itemLocalUsage, "", size, 15*time.Second)
	t.Logf("%.1f %% of load reports and %.1f %% of payloads are up to date", 100*loads, 100*payloads)
	// The budget of 2,200 B per period fits a third of the 93 reports per period.
	require.Greater(t, loads, 0.3)
	require.Greater(t, payloads, 0.6)
}
