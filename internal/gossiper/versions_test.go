package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// versionKnown returns a check that a node has a configuration version and knows that all live members have it.
func versionKnown(version int64) func(*node) bool {
	return func(n *node) bool {
		for _, m := range n.p.table.members {
			if m.State.Live() && m.ConfigVersion < version {
				return false
			}
		}
		return n.p.self.ConfigVersion >= version
	}
}

// Guards against an instance that still reports an earlier configuration version of members that already have the new one.
// Members that are not its neighbours in the ring do not report to it directly. Also bounds the bytes that this takes.
func TestVersionsOfOthersAreKnown(t *testing.T) {
	t.Parallel()
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(uint64(size))
			c.lossRate = 0.02
			for i := range size {
				c.start(i)
			}
			c.join()
			c.run(5 * c.period)
			for version := range int64(3) {
				c.order[c.rng.IntN(size)].p.SetConfig(version + 1)
				elapsed := c.runUntil(versionKnown(version + 1))
				t.Logf("%d instances: every instance has the version and knows that all have it after %s", size, elapsed)
				require.LessOrEqual(t, elapsed, 5*time.Second)
			}
			sentBytes := 0
			for _, n := range c.order {
				n.sentBytes = 0
			}
			c.order[0].p.SetConfig(4)
			c.run(10 * c.period)
			for _, n := range c.order {
				sentBytes += n.sentBytes
			}
			rate := sentBytes / size / 10
			t.Logf("%d instances: %d B/s sent by each in the 10 s after a change", size, rate)
			require.Less(t, rate, 2000)
			require.Empty(t, c.violations)
			c.lossRate = 0
			c.run(settleTime / 6)
			c.checkRate(t)
		})
	}
}

// Guards against an instance that misses the messages about a version and then reports the earlier one forever.
func TestVersionsAfterShortPartition(t *testing.T) {
	c := newCluster(5)
	for i := range 7 {
		c.start(i)
	}
	c.join()
	c.run(10 * c.period)
	n := c.order[3]
	c.order[0].p.SetConfig(1)
	c.run(100 * time.Millisecond)
	n.group = 1
	c.run(2 * c.period)
	n.group = 0
	// Exhaust the regular transmissions of the other instances.
	for _, o := range c.order {
		o.p.coverageSent, o.p.queue.urgentRounds = 1000, 0
	}
	require.LessOrEqual(t, c.runUntil(versionKnown(1)), 2*coverageRepeatPeriods*c.period)
	require.Empty(t, c.violations)
}
