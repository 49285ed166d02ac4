package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// inForce reports whether a node knows that all members have a version.
func inForce(version int64) func(*node) bool {
	return func(n *node) bool {
		for _, m := range n.p.table.members {
			if m.State.Live() && m.ConfigVersion < version {
				return false
			}
		}
		return n.p.self.ConfigVersion >= version
	}
}

// Guards against an instance that shows other members at an old configuration after they have the new one, as those do
// that are not its neighbours in the ring, and against the bytes that this takes.
func TestVersionsOfOthersAreKnown(t *testing.T) {
	t.Parallel()
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(uint64(size))
			c.drop = 0.02
			for i := range size {
				c.start(i)
			}
			c.join()
			c.run(5 * c.period)
			for version := range int64(3) {
				c.order[c.rng.IntN(size)].p.SetConfig(version + 1)
				took := c.until(inForce(version + 1))
				t.Logf("%d instances: version in force everywhere, and known by all, after %s", size, took)
				require.LessOrEqual(t, took, 5*time.Second)
			}
			wire := 0
			for _, n := range c.order {
				n.wire = 0
			}
			c.order[0].p.SetConfig(4)
			c.run(10 * c.period)
			for _, n := range c.order {
				wire += n.wire
			}
			rate := wire / size / 10
			t.Logf("%d instances: %d B/s sent by each in the 10 s after a change", size, rate)
			require.Less(t, rate, 2000)
			require.Empty(t, c.faults)
			c.drop = 0
			c.run(quiet / 6)
			c.checkRate(t)
		})
	}
}

// Guards against an instance that missed the messages about a version and then shows the old one for ever.
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
	// What the others still have to send is used up.
	for _, o := range c.order {
		o.p.seenSent, o.p.queue.urgentRounds = 1000, 0
	}
	require.LessOrEqual(t, c.until(inForce(1)), 2*repeatSeen*c.period)
	require.Empty(t, c.faults)
}
