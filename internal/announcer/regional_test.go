package announcer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/logger"
)

// deployment returns an announcer in data centre dc-0 that knows n-1 peers in the given number of data centres, all recently heard of.
func deployment(n, dataCentres int, now time.Time) *Announcer {
	a := unstarted("dc-0")
	a.Self.ID = "i-0000"
	for i := 1; i < n; i++ {
		p := a.addPeer(Peer{ID: fmt.Sprintf("i-%04d", i), DataCentre: fmt.Sprint("dc-", i%dataCentres)}, now)
		p.receivedAt = now
	}
	a.replan()
	return a
}

// Guards against load that is known later, and against datagrams that become more, the more instances there are.
func TestAgeAndRateOfLoad(t *testing.T) {
	tests := map[string]struct {
		instances, dataCentres int
		wantRegional           bool
		// wantInterval is the mean age of a load at most.
		wantInterval time.Duration
	}{
		"6 in 3":     {6, 3, false, 60 * time.Millisecond},
		"25 in 4":    {25, 4, false, 100 * time.Millisecond},
		"66 in 4":    {66, 4, true, 150 * time.Millisecond},
		"82 in 5":    {82, 5, true, 150 * time.Millisecond},
		"295 in 5":   {295, 5, true, 300 * time.Millisecond},
		"420 in 12":  {420, 12, true, 300 * time.Millisecond},
		"1000 in 12": {1000, 12, true, 500 * time.Millisecond},
		"300 in 1":   {300, 1, false, 1200 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			a := deployment(tc.instances, tc.dataCentres, now)
			require.Equal(t, tc.wantRegional, a.plan.isRegional)
			require.LessOrEqual(t, a.plan.interval, tc.wantInterval)
			if !tc.wantRegional {
				return
			}
			local, receivers := a.regionalPeers(now, a.plan.interval)
			perSecond := float64(len(local)+len(receivers)) / a.plan.interval.Seconds()
			require.LessOrEqual(t, perSecond, 260.0, "datagrams with load per second")
		})
	}
}

// Guards against an instance that gets no digest of a data centre, and against one whose digests all come from the same instance: it
// would know nothing as long as that one is frozen.
func TestDigestsComeInTurn(t *testing.T) {
	now := time.Now()
	const instances, dataCentres, rounds = 295, 5, 60
	a := deployment(instances, dataCentres, now)
	interval := a.plan.interval
	// received counts the digests of dc-0 by receiver and sender.
	received := map[string]map[string]int{}
	for i := 0; i < instances; i += dataCentres {
		sender := deployment(instances, dataCentres, now)
		id := fmt.Sprintf("i-%04d", i)
		if i > 0 {
			p := sender.addPeer(Peer{ID: sender.Self.ID, DataCentre: "dc-0"}, now)
			p.receivedAt = now
			sender.removePeer(sender.peers[id])
			sender.Self.ID = id
		}
		for r := range rounds {
			at := now.Add(time.Duration(r) * interval)
			for _, p := range sender.peers {
				p.receivedAt = at
			}
			_, receivers := sender.regionalPeers(at, interval)
			for _, p := range receivers {
				if received[p.ID] == nil {
					received[p.ID] = map[string]int{}
				}
				received[p.ID][id]++
			}
		}
	}
	for i := range instances {
		id := fmt.Sprintf("i-%04d", i)
		if i%dataCentres == 0 {
			require.Empty(t, received[id], "an instance of the own data centre")
			continue
		}
		sum, most := 0, 0
		for _, n := range received[id] {
			sum, most = sum+n, max(most, n)
		}
		require.Equal(t, digestSenders*rounds, sum, id)
		require.LessOrEqual(t, most, rounds/10, "from one instance to %s", id)
	}
}

// Guards against load that counts twice while instances that announce it to all and instances that announce it to their data centre run
// side by side, and against load of instances that are gone.
func TestLoadOfOtherDataCentres(t *testing.T) {
	now := time.Now()
	a := deployment(60, 3, now)
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	requests := func() int {
		f, known := a.RemoteInFlight("t", time.Second)
		require.True(t, known)
		return f.Requests
	}
	one := map[string]InFlight{"t": {Requests: 1}}
	a.apply(announcement{ID: "i-0003", Sequence: 1, DataCentre: "dc-0", Load: &Load{InFlightByTarget: HashTargets(one)}}, from, now)
	require.Equal(t, 1, requests(), "the own data centre")
	a.apply(announcement{ID: "i-0003", Sequence: 2, DataCentre: "dc-0", State: State{LoadSeparate: true}}, from, now)
	require.Equal(t, 1, requests(), "a full announcement without the load")
	digest := func(id string, sequence uint64, n int) {
		a.apply(announcement{ID: id, Sequence: sequence, DataCentre: "dc-1", Digest: &digest{Load: Load{InFlightByTarget: HashTargets(map[string]InFlight{"t": {Requests: n}})}}}, from, now)
	}
	digest("i-0001", 1, 5)
	require.Equal(t, 6, requests())
	digest("i-0004", 1, 7)
	require.Equal(t, 8, requests(), "the next digest of the same data centre")
	a.apply(announcement{ID: "older", Sequence: 1, State: State{InFlightByTarget: one}}, from, now)
	require.Equal(t, 9, requests(), "an instance that does not state its data centre announces its load itself")
	a.apply(announcement{ID: "i-0003", Sequence: 3, DataCentre: "dc-0", State: State{Started: one}}, from, now)
	require.Equal(t, 10, requests(), "a start")
	a.apply(announcement{ID: "i-0003", Sequence: 4, DataCentre: "dc-0", Load: &Load{InFlightByTarget: HashTargets(map[string]InFlight{"t": {Requests: 2}})}}, from, now)
	require.Equal(t, 10, requests(), "the next load includes it")
	a.apply(announcement{ID: "i-0003", StartedUnixNano: 1, Sequence: 1, DataCentre: "dc-0", State: State{LoadSeparate: true}}, from, now)
	require.Equal(t, 8, requests(), "a new process has no load yet")
	a.mu.Lock()
	a.expireLoads(now.Add(time.Minute))
	a.mu.Unlock()
	require.Zero(t, requests())
}

// Guards against instances of another data centre that are taken for gone, although digests report that they are alive, and against
// gone ones that stay members.
func TestMembersFromDigests(t *testing.T) {
	now := time.Now()
	a := deployment(295, 5, now.Add(-10*time.Second))
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	for dc := range 5 {
		d := &digest{}
		for id, p := range a.peers {
			switch {
			case p.DataCentre != fmt.Sprint("dc-", dc), id == fmt.Sprintf("i-%04d", dc): // that one sends the digest
			case dc == 0:
				a.apply(announcement{ID: id, Sequence: 1, DataCentre: p.DataCentre, Load: &Load{}}, from, now)
			default:
				s := signOfLife{Hash: p.hash}
				if id == "i-0006" {
					s.AgeMs = 100
				}
				d.Alive = append(d.Alive, s)
			}
		}
		if dc > 0 {
			a.apply(announcement{ID: fmt.Sprintf("i-%04d", dc), Sequence: 1, DataCentre: fmt.Sprint("dc-", dc), Digest: d}, from, now)
		}
	}
	require.Len(t, a.members(now), 295)
	members := a.members(now.Add(1950 * time.Millisecond))
	require.Contains(t, members, "i-0001", "heard of 1.95 s ago, by its digest")
	require.NotContains(t, members, "i-0006", "heard of 2.05 s ago, by the digest of another instance")
}

// Guards against full announcements that take most of the processor time of a large deployment although they say nothing, and against
// ones that are left out although they say something or the peer needs them.
func TestEmptyAnnouncementsAreLeftOut(t *testing.T) {
	now := time.Now()
	updates := []archiver.StoreUpdate{{Store: 1, Blocks: []uint64{1}}}
	local, remote, older := Peer{ID: "i-0005", DataCentre: "dc-0"}, Peer{ID: "i-0001", DataCentre: "dc-1"}, Peer{ID: "older"}
	tests := map[string]struct {
		instances int
		age       time.Duration
		state     State
		peer      Peer
		want      bool
	}{
		"nothing to say":                    {295, time.Minute, State{}, remote, false},
		"load alone":                        {295, time.Minute, State{InFlightByTarget: map[string]InFlight{"t": {Requests: 1}}}, local, false},
		"just started":                      {295, helloTime / 2, State{}, remote, true},
		"small deployment":                  {7, time.Minute, State{}, remote, true},
		"peer that states no data centre":   {295, time.Minute, State{}, older, true},
		"weight version":                    {295, time.Minute, State{Versions: []TargetVersion{{Target: "t"}}}, remote, true},
		"publish time":                      {295, time.Minute, State{Published: []PublishedVersion{{Model: "m"}}}, remote, true},
		"target that swaps weights":         {295, time.Minute, State{Swapping: map[string]time.Duration{"t": 1}}, local, true},
		"updates of a KV store":             {295, time.Minute, State{StoreUpdates: updates}, remote, true},
		"updates that others send the peer": {295, time.Minute, State{StoreUpdates: updates}, local, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := deployment(tc.instances, 5, now)
			a.startedUnixNano = now.Add(-tc.age).UnixNano()
			a.LocalState = func() State { return tc.state }
			a.ShouldSend = func(_ uint64, peer string) bool { return peer == remote.ID }
			require.Equal(t, tc.want, len(a.newEncoder(now).encode(tc.peer)) > 0)
		})
	}
}

// Guards against digests that fill small links between data centres: 163 targets and 59 instances, each 264 ms from each data centre.
func TestDigestSize(t *testing.T) {
	d := digest{Load: Load{InFlightByTarget: map[TargetHash]InFlight{}}}
	for i := range 163 {
		d.InFlightByTarget[TargetHashOf(fmt.Sprintf("i-%010x", i))] = InFlight{Requests: 16, Tokens: 80_000, PrefillTokens: 9_000}
	}
	for i := range 59 {
		d.Alive = append(d.Alive, signOfLife{Hash: hashOf(fmt.Sprint(i)), AgeMs: 200})
	}
	data, err := marshal(announcement{ID: "edge-kochi-a-1", DataCentre: "kochi-a", Sequence: 1 << 20, StartedUnixNano: time.Now().UnixNano(), Digest: &d})
	require.NoError(t, err)
	require.Less(t, len(data), 3072)
}

// Guards against totals that drift from the loads that they add up.
func TestRandomTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		a := deployment(40, 3, now)
		from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
		loads := rapid.MapOfN(rapid.SampledFrom([]string{"t-1", "t-2", "t-3"}), rapid.Custom(func(t *rapid.T) InFlight {
			return InFlight{Requests: rapid.IntRange(0, 3).Draw(t, "requests"), Tokens: rapid.IntRange(0, 9000).Draw(t, "tokens")}
		}), 0, 3)
		for range rapid.IntRange(1, 40).Draw(t, "announcements") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(1, 9).Draw(t, "instance")
			an := announcement{
				ID: fmt.Sprintf("i-%04d", i), DataCentre: fmt.Sprint("dc-", i%3),
				Sequence: uint64(rapid.IntRange(1, 30).Draw(t, "sequence")), StartedUnixNano: int64(rapid.IntRange(0, 1).Draw(t, "start")),
			}
			in := loads.Draw(t, "load")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				an.State.InFlightByTarget = in
			case 1:
				an.State.LoadSeparate = true
			case 2:
				an.State.Started = in
			case 3:
				an.Load = &Load{InFlightByTarget: HashTargets(in)}
			case 4:
				an.Digest = &digest{Load: Load{InFlightByTarget: HashTargets(in)}}
			case 5:
				a.mu.Lock()
				if p := a.peers[an.ID]; p != nil {
					a.removePeer(p)
				}
				a.expireLoads(now)
				a.mu.Unlock()
				continue
			}
			a.apply(an, from, now)
			want := loadTotals{}
			sum := func(r *loadReport) {
				if r.isCounted {
					r.each(func(target TargetHash, f InFlight) { want[target] = want[target].Add(f) })
				}
			}
			for _, p := range a.peers {
				sum(&p.load)
			}
			for _, r := range a.digests {
				sum(r)
			}
			for _, target := range []string{"t-1", "t-2", "t-3"} {
				if got, _ := a.RemoteInFlight(target, time.Minute); got != want[TargetHashOf(target)] {
					t.Fatalf("%s: %+v, want %+v", target, got, want[TargetHashOf(target)])
				}
			}
		}
	})
}

// Guards against load that does not reach the instances of other data centres, and against an instance that has stopped and is still a
// member there, in a deployment in which load is announced as digests.
func TestAnnounceAcrossDataCentres(t *testing.T) {
	const instances, dataCentres = 30, 2
	reg := new(memoryRegistry)
	var all []*Announcer
	var cancels []context.CancelFunc
	members := make([]chan int, instances)
	for i := range instances {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		addr := c.LocalAddr().String()
		require.NoError(t, c.Close())
		inFlight := map[string]InFlight{}
		if i < 4 {
			inFlight["t"] = InFlight{Requests: 1}
		}
		members[i] = make(chan int, 64)
		a := &Announcer{
			Self: Peer{ID: fmt.Sprint("i-", i), Address: addr, DataCentre: fmt.Sprint("dc-", i%dataCentres)}, Registry: reg, Log: logger.Discard(),
			LocalState:       func() State { return State{InFlightByTarget: inFlight} },
			LocalLoad:        func() Load { return Load{InFlightByTarget: HashTargets(inFlight)} },
			OnState:          func(State) {},
			OnMembersChanged: func(ids []string) { members[i] <- len(ids) },
		}
		require.NoError(t, a.Start())
		ctx, cancel := context.WithCancel(context.Background())
		cancels = append(cancels, cancel)
		t.Cleanup(cancel)
		go a.Run(ctx)
		all = append(all, a)
	}
	requests := func(i int) int {
		f, _ := all[i].RemoteInFlight("t", time.Minute)
		return f.Requests
	}
	plan := func(i int) loadPlan {
		all[i].mu.RLock()
		defer all[i].mu.RUnlock()
		return all[i].plan
	}
	for i := range instances {
		require.Eventually(t, func() bool { return plan(i).isRegional }, 20*time.Second, 10*time.Millisecond)
	}
	require.Eventually(t, func() bool { return requests(28) == 4 && requests(29) == 4 && requests(0) == 3 }, 20*time.Second, 10*time.Millisecond)
	cancels[0]()
	require.Eventually(t, func() bool { return requests(28) == 3 && requests(29) == 3 }, 20*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		for {
			select {
			case n := <-members[29]:
				if n == instances-1 {
					return true
				}
			default:
				return false
			}
		}
	}, 20*time.Second, 10*time.Millisecond)
}

// BenchmarkRemoteInFlight measures what one decision reads of the other instances' load at 163 targets.
func BenchmarkRemoteInFlight(b *testing.B) {
	for _, n := range []int{6, 82, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			a := deployment(n, 5, now)
			targets := make([]string, 163)
			for i := range targets {
				targets[i] = fmt.Sprintf("i-%010x", i)
			}
			from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
			for i := 1; i < n; i++ {
				l := Load{InFlightByTarget: map[TargetHash]InFlight{}}
				for k := range 10 {
					l.InFlightByTarget[TargetHashOf(targets[(i*7+k*13)%len(targets)])] = InFlight{Requests: 1, Tokens: 900}
				}
				a.apply(announcement{ID: fmt.Sprintf("i-%04d", i), Sequence: 1, DataCentre: fmt.Sprint("dc-", i%5), Load: &l}, from, now)
			}
			for b.Loop() {
				for _, t := range targets {
					a.RemoteInFlight(t, time.Minute)
				}
			}
		})
	}
}

// Guards against choices by an old load that count as choices by a current one.
func TestLoadAgeIsIntervalOfLoad(t *testing.T) {
	a := &Announcer{Self: Peer{ID: "a", DataCentre: "x"}}
	a.reset()
	young := a.LoadAge()
	for i := range 100 {
		a.addPeer(Peer{ID: fmt.Sprint(i), DataCentre: "x"}, time.Now())
	}
	require.Equal(t, minInterval, young)
	require.Equal(t, 100*intervalPerPeer, a.LoadAge())
}
