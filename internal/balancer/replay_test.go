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

// fleet simulates engines in virtual time. A request occupies memory from its start to its end, queues in FIFO order while
// memory is short, and runs more slowly the more requests run beside it.
type fleet struct {
	engines []*engine
	events  events
	now     time.Duration
}

type engine struct {
	target                   *cataloger.Target
	usedTokens, queuedTokens int
	running                  int
	waiting                  []*job
	unresponsive             bool
	// observed is the load that the instances know of.
	observed Candidate
}

// observe updates the load of all engines as known to the instances.
func (f *fleet) observe() {
	for _, e := range f.engines {
		e.observed = Candidate{Target: e.target, Outstanding: e.running + len(e.waiting), Tokens: e.usedTokens + e.queuedTokens, HashRank: 1, MeanDuration: replayHoldTime}
	}
}

// job is one request; first is the time to its first token, 0 until it starts.
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
	replayCapacityTokens = 100_000
	replayPromptTokens   = 10_000
	replayObjective      = 600 * time.Millisecond
	replayHoldTime       = time.Second
)

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.events, event{f.now + d, do}) }

func (f *fleet) start(e *engine) {
	for len(e.waiting) > 0 && e.usedTokens+e.waiting[0].tokens <= replayCapacityTokens && !e.unresponsive {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.queuedTokens -= j.tokens
		e.usedTokens += j.tokens
		e.running++
		j.first = f.now + PrefillTime(j.tokens) - j.at
		f.after(time.Duration(float64(replayHoldTime)*(1+slowdownPerRun*float64(e.running))), func() {
			e.usedTokens -= j.tokens
			e.running--
			f.start(e)
		})
	}
}

// replay simulates a load of rate requests per second, with some engines unresponsive from one time until another. It
// returns the share of offered requests that were on time, and that of admitted requests, for each second. All instances
// learn the load of the engines after the same lag; each request arrives at a different instance.
func replay(refuse bool, rate float64, unresponsive int, from, until, length, lag time.Duration) (offered, admitted []float64) {
	f := &fleet{}
	for i := range 12 {
		f.engines = append(f.engines, &engine{target: &cataloger.Target{ID: fmt.Sprint(i), Slots: 64}})
	}
	r := rand.New(rand.NewPCG(7, 7))
	n := int(length / time.Second)
	all, admittedCount, good := make([]float64, n), make([]float64, n), make([]float64, n)
	var jobs []*job
	setUnresponsive := func(on bool) func() {
		return func() {
			for _, e := range f.engines[:unresponsive] {
				if e.unresponsive = on; !on {
					f.start(e)
				}
			}
		}
	}
	heap.Push(&f.events, event{from, setUnresponsive(true)})
	heap.Push(&f.events, event{until, setUnresponsive(false)})
	var refresh func()
	refresh = func() {
		f.observe()
		f.after(lag, refresh)
	}
	if f.observe(); lag > 0 {
		refresh()
	}
	var arrive func()
	arrive = func() {
		if lag == 0 {
			f.observe()
		}
		f.after(time.Duration(r.ExpFloat64()/rate*float64(time.Second)), arrive)
		input := Input{IsEngine: true, UniqueTokens: replayPromptTokens, CapacityTokens: replayCapacityTokens, MeanHoldTime: replayHoldTime, Seed: r.Uint64()}
		if refuse {
			input.Objective = replayObjective
		}
		for _, e := range f.engines {
			if e.unresponsive && f.now > from+700*time.Millisecond {
				continue // its unanswered requests have shown that it is unresponsive
			}
			input.Candidates = append(input.Candidates, e.observed)
		}
		all[f.now/time.Second]++
		d, err := Choose(input)
		if err != nil {
			return
		}
		admittedCount[f.now/time.Second]++
		j := &job{at: f.now, tokens: replayPromptTokens}
		jobs = append(jobs, j)
		for _, e := range f.engines {
			if e.target == d.Target {
				e.waiting = append(e.waiting, j)
				e.queuedTokens += j.tokens
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
	offered, admitted = make([]float64, n), make([]float64, n)
	for i := range good {
		offered[i], admitted[i] = good[i]/max(1, all[i]), good[i]/max(1, admittedCount[i])
	}
	return offered, admitted
}

func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(len(xs))
}

// Guards against an overload in which all requests are admitted and all are late. A quarter of the engines is unresponsive
// from the 2nd to the 12th second; the others can sustain three quarters of the load.
func TestReplayUnresponsiveEngines(t *testing.T) {
	const rate, unresponsive = 78, 3
	play := func(refuse bool) (offered, admitted []float64) {
		return replay(refuse, rate, unresponsive, 2*time.Second, 12*time.Second, 30*time.Second, 0)
	}
	offered, admitted := play(true)
	without, _ := play(false)
	t.Logf("share of offered requests on time from the 4th to the 12th second: %.2f with refusals, %.2f without", mean(offered[4:12]), mean(without[4:12]))
	t.Logf("from the 14th to the 28th second: %.2f with refusals, %.2f without", mean(offered[14:28]), mean(without[14:28]))
	require.Greater(t, mean(admitted[4:12]), 0.95, "admitted requests are late")
	require.Greater(t, mean(offered[14:28]), 0.95, "requests are late after the engines have recovered")
	require.Greater(t, mean(offered[4:12]), mean(without[4:12]))
}

// Guards against refusals while there is free capacity: a burst of 1.7 times the load for 3 s on a fleet that is half full.
func TestReplayBurstWithFreeCapacity(t *testing.T) {
	offered, _ := replay(true, 40*1.7, 0, 0, 0, 10*time.Second, 0)
	require.Greater(t, mean(offered[1:9]), 0.99)
}

// Guards against many instances choosing the same engine because each learns of the others' requests too late. A fleet that
// is two thirds full is replayed with requests announced one by one, known after 2 ms, and with periodic announcements, known
// after 0.5 s.
func TestReplayManyInstances(t *testing.T) {
	play := func(lag time.Duration) float64 {
		offered, _ := replay(true, 60, 0, 0, 0, 20*time.Second, lag)
		return mean(offered[1:19])
	}
	immediate, periodic := play(2*time.Millisecond), play(500*time.Millisecond)
	t.Logf("on time: %.2f with requests announced one by one, %.2f with periodic announcements only", immediate, periodic)
	require.Greater(t, immediate, 0.95)
	require.Greater(t, immediate, periodic)
}

// Guards against decisions that ignore memory, queued prefill, the preferred target, superseded weights or the data centre,
// and against instances that all choose the same of two equal targets.
func TestChoose(t *testing.T) {
	target := func(id string) *cataloger.Target { return &cataloger.Target{ID: id, Slots: 10} }
	engine := Input{IsEngine: true, SharedTokens: 8000, UniqueTokens: 1000, CapacityTokens: 100_000, MeanHoldTime: time.Second, Objective: replayObjective}
	tests := map[string]struct {
		in   Input
		want string
		err  error
	}{
		"preferred":                    {engine.with(Candidate{Target: target("a"), HashRank: 1}, Candidate{Target: target("b")}), "b", nil},
		"preferred is full":            {engine.with(Candidate{Target: target("a"), HashRank: 1}, Candidate{Target: target("b"), Tokens: 150_000}), "a", nil},
		"preferred has queued prefill": {engine.with(Candidate{Target: target("a"), HashRank: 1}, Candidate{Target: target("b"), QueuedPrefillTokens: 40_000}), "a", nil},
		"stored KV cache is fetched":   {engine.with(Candidate{Target: target("a"), HashRank: 1, StoredTokens: 8000}, Candidate{Target: target("b"), HashRank: 1}), "a", nil},
		"superseded weights":           {engine.with(Candidate{Target: target("a"), HashRank: 1, Superseded: true}, Candidate{Target: target("b"), HashRank: 1}), "b", nil},
		"all are full":                 {engine.with(Candidate{Target: target("a"), Tokens: 190_000}), "a", ErrObjectiveMissed},
		"no candidate":                 {engine, "", ErrNoTarget},
		"plain: least loaded":          {Input{}.with(Candidate{Target: target("a"), Outstanding: 9, MeanDuration: time.Second}, Candidate{Target: target("b"), Outstanding: 2, MeanDuration: time.Second}), "b", nil},
		"plain: local queue is long":   {Input{}.with(Candidate{Target: target("a"), Outstanding: 25, MeanDuration: time.Second}, Candidate{Target: target("b"), Outstanding: 9, MeanDuration: time.Second, Remote: true}), "b", nil},
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
		in := Input{Seed: seed}.with(Candidate{Target: target("a"), MeanDuration: time.Second}, Candidate{Target: target("b"), MeanDuration: time.Second})
		d, err := Choose(in)
		require.NoError(t, err)
		chosen[d.Target.ID]++
	}
	require.Greater(t, min(chosen["a"], chosen["b"]), 30)
}

// with returns the input with the given candidates.
func (in Input) with(cs ...Candidate) Input {
	in.Candidates = cs
	return in
}

// Guards against conversations whose preferred target changes when another target is added or removed.
func TestHashRanksAreStable(t *testing.T) {
	var targets []*cataloger.Target
	for i := range 12 {
		targets = append(targets, &cataloger.Target{ID: fmt.Sprint("t-", i)})
	}
	preferred := func(key string, ts []*cataloger.Target) string {
		for i, rank := range HashRanks(key, ts) {
			if rank == 0 {
				return ts[i].ID
			}
		}
		return ""
	}
	counts := map[string]int{}
	for i := range 1200 {
		key := fmt.Sprint("conversation ", i)
		before, after := preferred(key, targets), preferred(key, targets[:11])
		counts[before]++
		if before != "t-11" {
			require.Equal(t, before, after)
		}
	}
	for id, n := range counts {
		require.InDelta(t, 100, n, 40, id)
	}
}

// Guards against every request trying a target to which a connection failed, and against a target that is never retried.
func TestUnreachable(t *testing.T) {
	table, now := NewLoadTable(), time.Unix(0, 0)
	table.RecordConnectFailure("t", now)
	require.True(t, table.Status("t", now.Add(minConnectBackoff-1)).Unreachable)
	now = now.Add(minConnectBackoff)
	require.False(t, table.Status("t", now).Unreachable)
	table.Start("t", announcer.InFlight{Requests: 1}, now)
	require.True(t, table.Status("t", now).Unreachable, "one request tries it")
	table.RecordConnectFailure("t", now)
	require.True(t, table.Status("t", now.Add(2*minConnectBackoff-1)).Unreachable)
	for range 20 {
		table.RecordConnectFailure("t", now)
	}
	require.False(t, table.Status("t", now.Add(maxConnectBackoff)).Unreachable)
	table.RecordConnected("t")
	require.False(t, table.Status("t", now).Unreachable)
	require.False(t, table.Status("other", now).Unreachable)
}
