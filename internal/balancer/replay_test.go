package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
)

// fleet is a small model of engines on virtual time: a call holds memory from its start to its end, waits in order while
// there is none, and runs more slowly the more calls run beside it.
type fleet struct {
	engines []*engine
	events  events
	now     time.Duration
}

type engine struct {
	target       *cataloger.Target
	used, queued int
	running      int
	waiting      []*job
	silent       bool
	// seen is the load that the instances know.
	seen Candidate
}

// look has the instances learn the load of all engines.
func (f *fleet) look() {
	for _, e := range f.engines {
		e.seen = Candidate{Target: e.target, Busy: e.running + len(e.waiting), Tokens: e.used + e.queued, Home: 1, Service: replayHold}
	}
}

type job struct {
	at     time.Duration
	tokens int
	first  time.Duration
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

const (
	replayCapacity  = 100_000
	replayTokens    = 10_000
	replayObjective = 600 * time.Millisecond
	replayHold      = time.Second
)

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.events, event{f.now + d, do}) }

func (f *fleet) start(e *engine) {
	for len(e.waiting) > 0 && e.used+e.waiting[0].tokens <= replayCapacity && !e.silent {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.queued -= j.tokens
		e.used += j.tokens
		e.running++
		j.first = f.now + ReadTime(j.tokens) - j.at
		f.after(time.Duration(float64(replayHold)*(1+slowdownPerRun*float64(e.running))), func() {
			e.used -= j.tokens
			e.running--
			f.start(e)
		})
	}
}

// replay plays a load in calls a second, with some engines silent for a time, and returns the share of offered calls
// that were on time in each second, and that of the calls that were taken in. What is in flight becomes known after a lag,
// to all instances together; each call comes from another instance.
func replay(refuse bool, rate float64, silent int, from, until, length, lag time.Duration) (offered, taken []float64) {
	f := &fleet{}
	for i := range 12 {
		f.engines = append(f.engines, &engine{target: &cataloger.Target{ID: fmt.Sprint(i), Slots: 64}})
	}
	r := rand.New(rand.NewPCG(7, 7))
	n := int(length / time.Second)
	all, in, good := make([]float64, n), make([]float64, n), make([]float64, n)
	var jobs []*job
	setSilent := func(on bool) func() {
		return func() {
			for _, e := range f.engines[:silent] {
				if e.silent = on; !on {
					f.start(e)
				}
			}
		}
	}
	heap.Push(&f.events, event{from, setSilent(true)})
	heap.Push(&f.events, event{until, setSilent(false)})
	var learn func()
	learn = func() {
		f.look()
		f.after(lag, learn)
	}
	if f.look(); lag > 0 {
		learn()
	}
	var arrive func()
	arrive = func() {
		if lag == 0 {
			f.look()
		}
		f.after(time.Duration(r.ExpFloat64()/rate*float64(time.Second)), arrive)
		in0 := Input{Engine: true, Own: replayTokens, Capacity: replayCapacity, Hold: replayHold, Seed: r.Uint64()}
		if refuse {
			in0.Objective = replayObjective
		}
		for _, e := range f.engines {
			if e.silent && f.now > from+700*time.Millisecond {
				continue // calls without a word have told that it is silent
			}
			in0.Candidates = append(in0.Candidates, e.seen)
		}
		all[f.now/time.Second]++
		d, err := Choose(in0)
		if err != nil {
			return
		}
		in[f.now/time.Second]++
		j := &job{at: f.now, tokens: replayTokens}
		jobs = append(jobs, j)
		for _, e := range f.engines {
			if e.target == d.Target {
				e.waiting = append(e.waiting, j)
				e.queued += j.tokens
				f.start(e)
			}
		}
	}
	arrive()
	for len(f.events) > 0 {
		ev := heap.Pop(&f.events).(event)
		if f.now = ev.at; f.now >= length {
			break
		}
		ev.do()
	}
	for _, j := range jobs {
		if j.first > 0 && j.first <= replayObjective {
			good[j.at/time.Second]++
		}
	}
	offered, taken = make([]float64, n), make([]float64, n)
	for i := range good {
		offered[i], taken[i] = good[i]/max(1, all[i]), good[i]/max(1, in[i])
	}
	return offered, taken
}

func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(len(xs))
}

// Guards against an overload in which all calls are taken in and all are late. A quarter of the engines is silent from
// the 2nd to the 12th second; the rest bears three quarters of the load.
func TestReplaySilentEngines(t *testing.T) {
	const rate, silent = 78, 3
	play := func(refuse bool) (offered, taken []float64) {
		return replay(refuse, rate, silent, 2*time.Second, 12*time.Second, 30*time.Second, 0)
	}
	offered, taken := play(true)
	without, _ := play(false)
	t.Logf("on time of all offered from the 4th to the 12th second: %.2f with refusals, %.2f without", mean(offered[4:12]), mean(without[4:12]))
	t.Logf("from the 14th to the 28th second: %.2f with refusals, %.2f without", mean(offered[14:28]), mean(without[14:28]))
	require.Greater(t, mean(taken[4:12]), 0.95, "calls that were taken in are late")
	require.Greater(t, mean(offered[14:28]), 0.95, "calls are late after the engines are back")
	require.Greater(t, mean(offered[4:12]), mean(without[4:12]))
}

// Guards against refusals while there is room: a burst of 1.7 times the load for 3 s on a fleet that is half full.
func TestReplayBurstWithRoom(t *testing.T) {
	offered, _ := replay(true, 40*1.7, 0, 0, 0, 10*time.Second, 0)
	require.Greater(t, mean(offered[1:9]), 0.99)
}

// Guards against calls of many instances that meet at one engine, since each learns what the others have sent only when it
// fills the engine already: a fleet that is two thirds full, and announcements that take 0.5 s to come round, against calls
// that are told one by one and known after a way of 2 ms.
func TestReplayManyInstances(t *testing.T) {
	play := func(lag time.Duration) float64 {
		offered, _ := replay(true, 60, 0, 0, 0, 20*time.Second, lag)
		return mean(offered[1:19])
	}
	atOnce, announced := play(2*time.Millisecond), play(500*time.Millisecond)
	t.Logf("on time: %.2f told at once, %.2f with announcements only", atOnce, announced)
	require.Greater(t, atOnce, 0.95)
	require.Greater(t, atOnce, announced)
}

// Guards against decisions that ignore memory, reading that is still to be done, the home of a conversation, distance,
// or that all instances make alike.
func TestChoose(t *testing.T) {
	target := func(id string) *cataloger.Target { return &cataloger.Target{ID: id, Slots: 10} }
	engine := Input{Engine: true, Shared: 8000, Own: 1000, Capacity: 100_000, Hold: time.Second, Objective: replayObjective}
	tests := map[string]struct {
		in   Input
		want string
		err  error
	}{
		"home":                   {engine.with(Candidate{Target: target("a"), Home: 1}, Candidate{Target: target("b")}), "b", nil},
		"home is full":           {engine.with(Candidate{Target: target("a"), Home: 1}, Candidate{Target: target("b"), Tokens: 150_000}), "a", nil},
		"home has much to read":  {engine.with(Candidate{Target: target("a"), Home: 1}, Candidate{Target: target("b"), Reading: 40_000}), "a", nil},
		"context can be fetched": {engine.with(Candidate{Target: target("a"), Home: 1, Kept: 8000}, Candidate{Target: target("b"), Home: 1}), "a", nil},
		"replaced weights":       {engine.with(Candidate{Target: target("a"), Home: 1, Old: true}, Candidate{Target: target("b"), Home: 1}), "b", nil},
		"all are full":           {engine.with(Candidate{Target: target("a"), Tokens: 190_000}), "a", ErrLate},
		"nobody":                 {engine, "", ErrNoTarget},
		"plain: least busy":      {Input{}.with(Candidate{Target: target("a"), Busy: 9, Service: time.Second}, Candidate{Target: target("b"), Busy: 2, Service: time.Second}), "b", nil},
		"plain: a queue":         {Input{}.with(Candidate{Target: target("a"), Busy: 25, Service: time.Second}, Candidate{Target: target("b"), Busy: 9, Service: time.Second, Remote: true}), "b", nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d, err := Choose(tc.in)
			require.ErrorIs(t, err, tc.err)
			if tc.want != "" {
				require.Equal(t, tc.want, d.Target.ID)
			}
		})
	}
	chosen := map[string]int{}
	for seed := range uint64(100) {
		in := Input{Seed: seed}.with(Candidate{Target: target("a"), Service: time.Second}, Candidate{Target: target("b"), Service: time.Second})
		d, err := Choose(in)
		require.NoError(t, err)
		chosen[d.Target.ID]++
	}
	require.Greater(t, min(chosen["a"], chosen["b"]), 30)
}

// with returns the input with candidates.
func (in Input) with(cs ...Candidate) Input {
	in.Candidates = cs
	return in
}

// Guards against homes that move when a target comes or goes which is not theirs.
func TestHomesStay(t *testing.T) {
	var targets []*cataloger.Target
	for i := range 12 {
		targets = append(targets, &cataloger.Target{ID: fmt.Sprint("t-", i)})
	}
	home := func(key string, ts []*cataloger.Target) string {
		for i, place := range Homes(key, ts) {
			if place == 0 {
				return ts[i].ID
			}
		}
		return ""
	}
	counts := map[string]int{}
	for i := range 1200 {
		key := fmt.Sprint("conversation ", i)
		before, after := home(key, targets), home(key, targets[:11])
		counts[before]++
		if before != "t-11" {
			require.Equal(t, before, after)
		}
	}
	for id, n := range counts {
		require.InDelta(t, 100, n, 40, id)
	}
}

// Guards against a target that is tried by every call after a connection to it failed, and against one that is never tried
// again.
func TestUnreachable(t *testing.T) {
	b, now := NewBook(), time.Unix(0, 0)
	b.Unreached("t", now)
	require.True(t, b.Standing("t", now.Add(firstUnreached-1)).Unreachable)
	now = now.Add(firstUnreached)
	require.False(t, b.Standing("t", now).Unreachable)
	b.Begin("t", announcer.InFlight{Requests: 1}, now)
	require.True(t, b.Standing("t", now).Unreachable, "one call tries it")
	b.Unreached("t", now)
	require.True(t, b.Standing("t", now.Add(2*firstUnreached-1)).Unreachable)
	for range 20 {
		b.Unreached("t", now)
	}
	require.False(t, b.Standing("t", now.Add(lastUnreached)).Unreachable)
	b.Reached("t")
	require.False(t, b.Standing("t", now).Unreachable)
	require.False(t, b.Standing("other", now).Unreachable)
}
