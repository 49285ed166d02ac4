package gossiper

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spreadUsage has every instance send its usage once in five periods, as the limiter does while all accounts change. It
// returns the shares of receivers that have a local and a wide payload 3 s later, and the bytes that an instance sends per
// second. Each data centre also broadcasts the given number of load reports in each fifth of a period.
func spreadUsage(size, reports int) (local, wide, rate float64) {
	c := newCluster(uint64(size))
	c.lossRate = 0.02
	if size >= 70 {
		c.dataCentres = 12
	}
	for i := range size {
		c.start(i)
	}
	c.join()
	c.run(10 * c.period)
	for _, n := range c.order {
		n.sentBytes = 0
	}
	type payload struct {
		n    *node
		text string
		at   time.Time
		wide bool
	}
	var waiting []payload
	var got, want [2]float64 // numbers of local and of wide payloads
	const rounds = 12
	for i := range rounds * 5 {
		for j, n := range c.order {
			if (j+i)%25 != 0 {
				continue // the periods of the instances are staggered
			}
			text := fmt.Sprintf("%s %d %s", n.ID, i, strings.Repeat("x", 120))
			wideBody := []byte(nil)
			if j < c.dataCentres {
				wideBody = []byte(fmt.Sprintf("%s %d %s", n.ID, i, strings.Repeat("y", 400)))
			}
			_ = n.p.BroadcastUsage([]byte(text), wideBody, c.now)
			waiting = append(waiting, payload{n: n, text: fmt.Sprintf("%s %d", n.ID, i), at: c.now, wide: wideBody != nil})
		}
		for k := range reports * c.dataCentres {
			// Target k is in data centre k modulo the number of data centres, like instance k.
			target := (i*reports*c.dataCentres + k) % (70 * c.dataCentres)
			_ = c.order[target%size].p.BroadcastLoad(fmt.Sprintf("letters-%d", target), make([]byte, 40), c.now)
		}
		c.run(c.period / 5)
		for len(waiting) > 0 && c.now.Sub(waiting[0].at) >= 3*time.Second {
			w := waiting[0]
			waiting = waiting[1:]
			for _, o := range c.order {
				if o == w.n || (!w.wide && o.DataCentre != w.n.DataCentre && size > maxWideMembers) {
					continue
				}
				k := 0
				if w.wide {
					k = 1
				}
				want[k]++
				if strings.HasPrefix(o.usage[w.n.ID], w.text) {
					got[k]++
				}
			}
		}
	}
	sent := 0
	for _, n := range c.order {
		sent += n.sentBytes
	}
	return got[0] / want[0], got[1] / want[1], float64(sent) / float64(size) / rounds
}

// Guards against shared limits that are computed from outdated reports, and against reports that exceed their bandwidth.
func TestUsageArrivesInTime(t *testing.T) {
	t.Parallel()
	// At 420 instances a data centre has 70 targets, each reported every 3 s.
	for _, size := range sizes() {
		reports := map[int]int{7: 0, 70: 1, 112: 2, 420: 5}[size]
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			local, wide, rate := spreadUsage(size, reports)
			t.Logf("%d instances: after 3 s payloads reached %.2f %% of the data centre and %.2f %% of all; each sent %.0f B/s", size, 100*local, 100*wide, rate)
			require.Greater(t, local, 0.97)
			require.Greater(t, wide, 0.97)
			require.Less(t, rate, 7000.0)
		})
	}
}

// Guards against a partition of one data centre that is detected late, or healed late after it ends.
func TestDataCentrePartition(t *testing.T) {
	t.Parallel()
	large := 210
	if raceEnabled {
		large = 84
	}
	for _, size := range []int{7, 70, large} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(uint64(size))
			c.lossRate = 0.02
			if size >= 70 {
				c.dataCentres = 12
			}
			for i := range size {
				c.start(i)
			}
			c.join()
			c.run(5 * c.period)
			for _, n := range c.order {
				n.group = 0
				if n.DataCentre == "kochi-a" {
					n.group = 1
				}
			}
			// otherSideIs returns a check that all members on the other side of the partition have such a state at a node.
			otherSideIs := func(state func(State) bool) func(*node) bool {
				return func(n *node) bool {
					for _, m := range n.p.table.members {
						if (m.DataCentre == "kochi-a") != (n.group == 1) && !state(m.State) {
							return false
						}
					}
					return true
				}
			}
			detected := c.runUntil(otherSideIs(func(s State) bool { return s == Dead }))
			c.run(5 * time.Second)
			for _, n := range c.order {
				n.group = 0
			}
			healed := c.runUntil(func(n *node) bool {
				for _, m := range n.p.table.members {
					if m.State != Alive {
						return false
					}
				}
				return true
			})
			t.Logf("%d instances: partition detected by all after %s, healed after %s", size, detected, healed)
			require.Less(t, detected, 30*time.Second)
			require.Less(t, healed, 30*time.Second)
			c.lossRate = 0
			c.run(30 * c.period)
			require.Empty(t, c.disagreement())
			require.Empty(t, c.violations)
		})
	}
}
