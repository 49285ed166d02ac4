package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// busy runs a data centre whose instances report the targets each three periods and as many stores each thirty, and
// send a usage payload of the given size each five. It returns the cluster after the time, with the bytes of it.
func busy(size, targets, usage int, length time.Duration) *cluster {
	c := newCluster(uint64(targets))
	c.centres = 1
	for i := range size {
		c.start(i)
	}
	c.join()
	c.run(10 * c.period)
	for _, n := range c.order {
		n.sent, n.wire = 0, 0
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

// fresh returns the share of the items of a kind, of which every instance should have want, that are at most as old.
func (c *cluster) fresh(kind uint8, prefix string, want int, age time.Duration) float64 {
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

// Guards against load reports that usage payloads crowd out, payloads that load reports crowd out, and more bytes than
// an instance may send: 5 KB/s leave 2 KB/s of the 7 to polls, the log and the headers of packets.
func TestReportsAndUsageFitTogether(t *testing.T) {
	t.Parallel()
	const size, targets, length = 35, 70, 40 * time.Second
	for name, usage := range map[string]int{"full usage": 330, "no usage": 0} {
		t.Run(name, func(t *testing.T) {
			c := busy(size, targets, usage, length)
			wire := 0
			for _, n := range c.order {
				wire += n.wire
			}
			rate := float64(wire) / size / length.Seconds()
			loads, told := c.fresh(itemLoad, "letters", targets, 6*time.Second), c.fresh(itemUsage, "", size, 8*time.Second)
			t.Logf("%.1f %% of load reports and %.1f %% of payloads are known, %.0f B/s sent by each", 100*loads, 100*told, rate)
			require.GreaterOrEqual(t, loads, 0.99)
			require.Less(t, rate, 5000.0)
			if usage > 0 {
				require.GreaterOrEqual(t, told, 0.99)
			}
			require.Empty(t, c.faults)
		})
	}
}

// Guards against one kind of report that starves the other when both want more than the budget has, and against items
// that never get their turn.
func TestOverloadStarvesNoKind(t *testing.T) {
	t.Parallel()
	const size, targets = 35, 280
	c := busy(size, targets, MaxPayloadBytes-50, time.Minute)
	for _, n := range c.order {
		require.Less(t, float64(n.wire)/60, 7000.0)
	}
	loads, told := c.fresh(itemLoad, "letters", targets, 10*time.Second), c.fresh(itemUsage, "", size, 15*time.Second)
	t.Logf("%.1f %% of load reports and %.1f %% of payloads are known", 100*loads, 100*told)
	// 2,200 B of a period are a third of the 93 reports.
	require.Greater(t, loads, 0.3)
	require.Greater(t, told, 0.6)
}
