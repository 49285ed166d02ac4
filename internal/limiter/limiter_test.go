package limiter

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// The fixed seed makes failures reproducible; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var epoch = time.Unix(1_000_000, 0)

func newAccount(rps, tps, streams int) configurer.Account {
	return configurer.Account{Name: "a", RequestsPerSecond: rps, TokensPerSecond: tps, Streams: streams}
}

// Guards against a single instance that does not grant the whole limit, or grants more.
func TestSingleInstanceGrantsWholeLimit(t *testing.T) {
	const seconds, burst = 10, int(BurstWindow / time.Second)
	tests := map[string]struct {
		a       configurer.Account
		tokens  int
		release bool
		want    int
		limit   Limit
	}{
		"requests": {newAccount(20, 1_000_000, 1000), 1, true, 20*burst + 20*seconds, Requests},
		"tokens":   {newAccount(1000, 100, 1000), 50, true, (100*burst + 100*seconds) / 50, Tokens},
		"streams":  {newAccount(1000, 1_000_000, 7), 1, false, 7, Streams},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := New("i1", "d1")
			n, last := 0, Decision{}
			for ms := range 10_000 {
				now := epoch.Add(time.Duration(ms) * time.Millisecond)
				if d := l.Acquire(tt.a, tt.tokens, now); d.Allowed {
					n++
					if tt.release {
						l.Release(tt.a, 0, now)
					}
				} else {
					last = d
				}
			}
			require.InDelta(t, tt.want, n, 1)
			require.Equal(t, tt.limit, last.Limit)
			require.Positive(t, last.RetryAfter)
		})
	}
}

// Guards against not charging the tokens of responses that are longer than expected.
func TestReleaseChargesTokens(t *testing.T) {
	l, a := New("i1", "d1"), newAccount(100, 100, 10)
	require.True(t, l.Acquire(a, 10, epoch).Allowed)
	full := int(100 * BurstWindow.Seconds())
	l.Release(a, full+400, epoch)
	d := l.Acquire(a, 10, epoch.Add(time.Second))
	require.False(t, d.Allowed)
	require.Equal(t, Tokens, d.Limit)
	require.True(t, l.Acquire(a, 10, epoch.Add(6*time.Second)).Allowed)
}

// Guards against reports that do not fit into a gossip message, that starve some accounts, or that repeat unchanged
// demands.
func TestReportIsSparse(t *testing.T) {
	l := New("instance-1", "kochi-a")
	now := epoch
	for i := range 100 {
		a := configurer.Account{Name: fmt.Sprintf("account-%04d", i), RequestsPerSecond: 100, TokensPerSecond: 1e5, Streams: 50}
		for range 50 {
			l.Acquire(a, 1000, now)
		}
	}
	reported := map[string]int{}
	for range 4 {
		usages := l.Report(now)
		require.LessOrEqual(t, len(usages), MaxUsages)
		data, err := Encode(usages)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxReportBytes, "larger reports of a data centre would exceed 7 KB/s")
		decoded, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, usages, decoded)
		for _, u := range usages {
			reported[u.Account]++
		}
		now = now.Add(ReportPeriod)
	}
	require.Len(t, reported, 100)
	require.Empty(t, l.Report(now.Add(-1)), "second report within ReportPeriod")
}

// Guards against malicious or corrupted payloads that make the decoder panic or move shares out of their range.
func FuzzDecode(f *testing.F) {
	good, _ := Encode([]Usage{{Account: "a", Requests: 1}, {Account: "b", DataCentre: "d2", Tokens: 5}})
	f.Add(good)
	f.Add([]byte{0x92, 0xc0, 0x95})
	f.Fuzz(func(t *testing.T, data []byte) {
		usages, err := Decode(data)
		if err != nil {
			return
		}
		l, a := New("i1", "d1"), newAccount(10, 10, 10)
		l.SetMembers([]Member{{ID: "i2", DataCentre: "d1"}, {ID: "i3", DataCentre: "d2"}}, epoch)
		l.Merge(Member{ID: "i2", DataCentre: "d1"}, usages, epoch)
		l.Merge(Member{ID: "i3", DataCentre: "d2"}, usages, epoch)
		for k, v := range l.Share(a, epoch) {
			if !(v >= 0 && v <= 10) {
				t.Fatalf("share of %v: got %v, want 0 to 10", Limit(k), v)
			}
		}
	})
}

// network simulates limiters that exchange delayed messages, on virtual time in steps of one second.
type network struct {
	now      time.Time
	delay    int // maximum message delay in seconds
	r        *rand.Rand
	nodes    []*node
	messages []message
	a        configurer.Account
}

type node struct {
	Member
	l         *Limiter
	partition int
	down      bool
	demand    float64
	// deadAt holds the times at which this node declares other nodes dead.
	deadAt map[string]time.Time
}

type message struct {
	at       time.Time
	from, to *node
	usages   []Usage
}

func newNetwork(centres, perCentre, delay int, seed uint64) *network {
	n := &network{now: epoch, delay: delay, r: rand.New(rand.NewPCG(seed, 5)), a: newAccount(1000, 100000, 500)}
	for c := range centres {
		for range perCentre {
			n.join(c)
		}
	}
	return n
}

func (n *network) join(centre int) *node {
	x := &node{Member: Member{ID: fmt.Sprintf("i%d", len(n.nodes)), DataCentre: fmt.Sprintf("d%d", centre)}}
	x.l, x.deadAt = New(x.ID, x.DataCentre), map[string]time.Time{}
	x.l.SetAccounts([]configurer.Account{n.a}, n.now)
	n.nodes = append(n.nodes, x)
	return x
}

// connected reports whether messages between two nodes are delivered.
func connected(x, y *node) bool { return !x.down && !y.down && x.partition == y.partition }

// step simulates one second of membership changes, message deliveries and reports. It returns the sum of the shares of
// all live nodes as a fraction of the limit.
func (n *network) step() float64 {
	n.now = n.now.Add(time.Second)
	for _, x := range n.nodes {
		if !x.down {
			x.l.SetMembers(n.members(x), n.now)
			ac := x.l.account(n.a, n.now)
			ac.demand = demand{requests: x.demand * rateTimeConstant.Seconds(), at: n.now}
		}
	}
	pending := n.messages[:0]
	for _, m := range n.messages {
		switch {
		case m.at.After(n.now):
			pending = append(pending, m)
		case connected(m.from, m.to):
			m.to.l.Merge(m.from.Member, m.usages, n.now)
		}
	}
	n.messages = pending
	sum := 0.0
	for _, x := range n.nodes {
		if x.down {
			continue
		}
		usages := x.l.Report(n.now)
		for _, y := range n.nodes {
			if x != y && len(usages) > 0 && connected(x, y) {
				at := n.now.Add(time.Duration(n.r.IntN(n.delay+1)) * time.Second)
				n.messages = append(n.messages, message{at: at, from: x, to: y, usages: usages})
			}
		}
		sum += x.l.Share(n.a, n.now)[Requests]
	}
	return sum / float64(n.a.RequestsPerSecond)
}

// members returns the membership list of x. Another node is declared dead 7 to 10 s after the connection broke.
func (n *network) members(x *node) []Member {
	var out []Member
	for _, y := range n.nodes {
		m := y.Member
		if connected(x, y) {
			delete(x.deadAt, y.ID)
		} else if x.deadAt[y.ID].IsZero() {
			x.deadAt[y.ID] = n.now.Add(time.Duration(7+n.r.IntN(4)) * time.Second)
		}
		if at := x.deadAt[y.ID]; !at.IsZero() && !n.now.Before(at) {
			m.DeadSince = at
		}
		out = append(out, m)
	}
	return out
}

// Guards against shares that exceed the limit in sum while all instances are connected, during and after a partition,
// and when instances crash, with message delays of at most 3 s.
func TestRandomSumStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(1, 3).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "instances"), 3, rapid.Uint64().Draw(t, "seed"))
		crashed := 0
		for range rapid.IntRange(2, 12).Draw(t, "phases") {
			for _, x := range n.nodes {
				x.demand = rapid.SampledFrom([]float64{0, 0.1, 30, 300, 5000}).Draw(t, "demand")
			}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0: // a partition between data centres
				for _, x := range n.nodes {
					x.partition = int(x.DataCentre[1]-'0') % 2
				}
			case 1:
				for _, x := range n.nodes {
					x.partition = 0
				}
			case 2:
				if crashed+1 < len(n.nodes) {
					n.nodes[crashed].down = true
					crashed++
				}
			}
			for range rapid.IntRange(1, 100).Draw(t, "seconds") {
				if sum := n.step(); sum > 1+1e-4 {
					t.Fatalf("after %v: got shares of %.4f of the limit in sum, want at most 1", n.now.Sub(epoch), sum)
				}
				if n.now.Sub(epoch) > DeadMemberTTL {
					return // each side of a partition may then spend the whole limit
				}
			}
		}
	})
}

// Guards against an excess of more than 1/N for each joining instance, and against sides of a partition that each spend
// more than the whole limit after 10 minutes.
func TestBoundWhenJoiningAndLongPartition(t *testing.T) {
	n := newNetwork(2, 3, 3, 1)
	for _, x := range n.nodes {
		x.demand = 500
	}
	for range 60 {
		require.LessOrEqual(t, n.step(), 1+1e-4)
	}
	n.join(0).demand = 5000
	n.join(1).demand = 5000
	worst := 0.0
	for range 120 {
		worst = max(worst, n.step())
	}
	t.Logf("two instances join six: shares of at most %.3f of the limit in sum", worst)
	require.LessOrEqual(t, worst, 1+2.0/8+1e-4)
	for _, x := range n.nodes {
		x.partition = int(x.DataCentre[1] - '0')
	}
	for s := range 900 {
		sum := n.step()
		if s < int(DeadMemberTTL.Seconds()) {
			require.LessOrEqual(t, sum, 1+1e-4, "second %d of the partition", s)
		}
		worst = max(worst, sum)
	}
	t.Logf("15 min of partition: shares of at most %.3f of the limit in sum", worst)
	require.LessOrEqual(t, worst, 2+1e-4)
}

// Guards against unbounded shares when reports are delayed by more than SettleTime covers. Each instance may then spend
// at most the whole limit, and the sum must return to the limit once reports arrive in time.
func TestStaleReports(t *testing.T) {
	n := newNetwork(2, 3, 90, 2)
	worst := 0.0
	for s := range 600 {
		if s%100 == 0 {
			for i, x := range n.nodes {
				x.demand = []float64{5000, 0, 50}[(i+s/100)%3]
			}
		}
		worst = max(worst, n.step())
	}
	t.Logf("reports up to 90 s late: shares of at most %.3f of the limit in sum", worst)
	require.LessOrEqual(t, worst, float64(len(n.nodes)))
	n.delay = 3
	last := 0.0
	for range 200 {
		last = n.step()
	}
	require.LessOrEqual(t, last, 1+1e-4)
}

// Guards against shares that ignore demand: the only instance with demand must get most of the limit.
func TestShareFollowsDemand(t *testing.T) {
	n := newNetwork(3, 2, 3, 3)
	n.nodes[4].demand = 5000
	for range 500 {
		n.step()
	}
	got := n.nodes[4].l.Share(n.a, n.now)[Requests] / 1000
	t.Logf("share of the only instance with demand: %.3f of the limit", got)
	require.Greater(t, got, 0.2/6+0.8*0.8)
}

// Guards against leaving most of the limit unused while demand rises at all instances at once, as before a deadline.
func TestLimitIsUsedWhenDemandRisesEverywhere(t *testing.T) {
	for _, demand := range []float64{30, 300, 5000} {
		n := newNetwork(3, 2, 3, 4)
		least := 1.0
		for range 600 {
			least = min(least, n.step())
			for _, x := range n.nodes {
				x.demand = demand
			}
		}
		t.Logf("demand of %.0f at each of 6 instances: shares of at least %.3f of the limit in sum", demand, least)
		require.Greater(t, least, 0.7)
	}
}
