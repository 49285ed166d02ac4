package balancer

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/estimator"
	"github.com/papayaworks/papayaworks/internal/throttler"
)

const (
	unevenEngines, unevenInstances = 24, 12
	unevenSlots, unevenMemory      = 16, 82_308
	unevenPrefillRate              = 61_200.0
	unevenStep                     = 3370 * time.Microsecond
	unevenLength                   = 30 * time.Second
	slowTime, slowShare, slowdown  = 600 * time.Millisecond, 0.15, 2.5
	wavePeriod, waveSwing          = 15 * time.Second, 0.55
)

// promptClass is one kind of request. Prompts with the same prefix share tokens.
type promptClass struct {
	rate, prefixes         float64
	shared, unique, output int
	objective              time.Duration
}

// unevenClasses are the requests of 24 engines of a deployment of 140.
var unevenClasses = []promptClass{
	{rate: 30, prefixes: 80, shared: 9122, unique: 2870, output: 38, objective: 800 * time.Millisecond},
	{rate: 74, prefixes: 40, shared: 650, unique: 177, output: 29, objective: 800 * time.Millisecond},
	{rate: 53, prefixes: 40, shared: 1861, unique: 507, output: 2, objective: 2 * time.Second},
}

// unevenEngine computes one prompt after the other, while the requests whose prompt is computed produce output. It is slow for moments.
type unevenEngine struct {
	target *cataloger.Target
	factor float64
	// slowFrom holds the starts of the slow times in order.
	slowFrom      []time.Duration
	waiting       []*unevenJob
	prefilling    bool
	running, used int
	// cached holds when each prefix was last used, cachedTokens their tokens.
	cached       map[string]time.Duration
	tokens       map[string]int
	cachedTokens int
}

type unevenJob struct {
	class    promptClass
	prefix   string
	at       time.Duration
	inst     *unevenInstance
	inFlight *InFlightRequest
	d        Decision
}

// unevenInstance knows its own requests, and those of the others from the last announcement.
type unevenInstance struct {
	table     *LoadTable
	estimates *estimator.Estimator
	peers     map[string]announcer.InFlight
}

type unevenReplay struct {
	fleet
	r         *rand.Rand
	engines   []*unevenEngine
	targets   []*cataloger.Target
	instances []*unevenInstance
	lag       time.Duration
	learned   bool

	offered, onTime, refused, sharedComputed, sharedTotal float64
}

// speedAt returns the speed of the engine at a time and when it changes.
func (e *unevenEngine) speedAt(t time.Duration) (speed float64, until time.Duration) {
	for _, from := range e.slowFrom {
		if t < from {
			return e.factor, from
		}
		if t < from+slowTime {
			return e.factor * slowdown, from + slowTime
		}
	}
	return e.factor, math.MaxInt64
}

// finish returns when work that takes d at usual speed is done if it starts at t.
func (e *unevenEngine) finish(t, d time.Duration) time.Duration {
	for {
		speed, until := e.speedAt(t)
		if end := t + time.Duration(float64(d)*speed); end <= until {
			return end
		}
		d -= time.Duration(float64(until-t) / speed)
		t = until
	}
}

// compute returns the number of prompt tokens that must be computed for a job, and caches its prefix instead of the ones that were not
// used for the longest time.
func (p *unevenReplay) compute(e *unevenEngine, j *unevenJob) int {
	_, hit := e.cached[j.prefix]
	if e.cached[j.prefix] = p.now; !hit {
		e.tokens[j.prefix] = j.class.shared
		e.cachedTokens += j.class.shared
	}
	for e.cachedTokens+e.used > unevenMemory {
		oldest := ""
		for id, at := range e.cached {
			if id != j.prefix && (oldest == "" || at < e.cached[oldest] || at == e.cached[oldest] && id < oldest) {
				oldest = id
			}
		}
		if oldest == "" {
			break
		}
		e.cachedTokens -= e.tokens[oldest]
		delete(e.cached, oldest)
	}
	p.sharedTotal += float64(j.class.shared)
	if hit {
		return j.class.unique
	}
	p.sharedComputed += float64(j.class.shared)
	return j.class.shared + j.class.unique
}

// begin starts the prefill of the first waiting request.
func (p *unevenReplay) begin(e *unevenEngine) {
	if e.prefilling || len(e.waiting) == 0 || e.running >= unevenSlots || e.used+e.waiting[0].size() > unevenMemory {
		return
	}
	j := e.waiting[0]
	e.waiting, e.prefilling = e.waiting[1:], true
	e.used += j.size()
	slow := 1 + 0.03*float64(e.running)
	work := time.Duration(float64(p.compute(e, j))/unevenPrefillRate*slow*float64(time.Second)) + unevenStep
	end := e.finish(p.now, work)
	e.running++
	p.after(end-p.now, func() {
		e.prefilling = false
		p.firstEvent(e, j)
		p.begin(e)
	})
}

func (j *unevenJob) size() int { return j.class.shared + j.class.unique + j.class.output }

// firstEvent handles the first event of a response, which states the load, and produces the rest of the output.
func (p *unevenReplay) firstEvent(e *unevenEngine, j *unevenJob) {
	now, first, in := p.time(), p.now, j.inst
	if first-j.at <= j.class.objective {
		p.onTime++
	}
	j.inFlight.ResponseStarted(now)
	speed, _ := e.speedAt(p.now)
	stated := speed / e.factor
	running := e.running
	in.table.RecordLoad(e.target.ID, Load{Running: running, Waiting: len(e.waiting), Slots: unevenSlots}, now)
	process := throttler.ProcessOf(e.target)
	if p.learned {
		in.estimates.RecordSlowdown("llm", process, stated, now)
	}
	rest := time.Duration(float64(j.class.output-1) * float64(unevenStep) * (1 + 0.03*float64(running)))
	p.after(e.finish(p.now, rest)-p.now, func() {
		e.running--
		e.used -= j.size()
		j.inFlight.End()
		in.table.RecordDuration("llm", p.now-j.at)
		in.estimates.Observe(estimator.Sample{
			Service: "llm", Process: process, IsEngine: true, SharedTokens: j.class.shared, UniqueTokens: j.class.unique, OutputTokens: j.class.output, Running: running,
			QueueDelay: j.d.Wait, First: first - j.at, Total: p.now - j.at, Slowdown: stated,
		}, p.time())
		p.begin(e)
	})
}

func (p *unevenReplay) time() time.Time { return time.Unix(0, 0).Add(p.now) }

// arrive sends one request of a class from a random instance.
func (p *unevenReplay) arrive(class promptClass) {
	in, now := p.instances[p.r.IntN(len(p.instances))], p.time()
	prefix := fmt.Sprint(class.shared, "/", int(class.prefixes*p.r.Float64()*p.r.Float64()))
	mean := in.table.MeanDuration("llm")
	input := Input{
		IsEngine: true, SharedTokens: class.shared, UniqueTokens: class.unique, OutputTokens: class.output, Objective: class.objective,
		CapacityTokens: unevenMemory, MeanHoldTime: mean, Seed: p.r.Uint64(),
	}
	if in.estimates.Enabled("llm", now) {
		rates := in.estimates.Rates("llm")
		input.Rates, input.LoadAge = &rates, p.lag
	}
	ranks := HashRanks(prefix, p.targets)
	for i, t := range p.targets {
		f := in.table.InFlight(t.ID).Add(in.peers[t.ID])
		c := Candidate{
			Target: t, HashRank: ranks[i], MeanDuration: mean, Tokens: f.Tokens, QueuedPrefillTokens: f.PrefillTokens,
			Outstanding: max(f.Requests, in.table.Outstanding(t.ID, 2*time.Second, now)), RecentlySentTokens: class.shared * in.table.RecentlySentBlocks(t.ID, []string{prefix}, now),
		}
		if input.Rates != nil {
			c.Slowdown = in.estimates.Speed(t.ID, now)
			c.QueuedPrefillTokens = max(0, c.QueuedPrefillTokens-in.table.ComputedTokens(t.ID, now))
		}
		input.Candidates = append(input.Candidates, c)
	}
	p.offered++
	d, err := Choose(input)
	if errors.Is(err, ErrObjectiveMissed) {
		p.refused++
		return
	}
	f := announcer.InFlight{Requests: 1, Tokens: class.shared + class.unique + class.output, PrefillTokens: d.PrefillTokens}
	j := &unevenJob{class: class, prefix: prefix, at: p.now, inst: in, d: d, inFlight: in.table.Start(d.Target.ID, f, now)}
	if input.Rates != nil {
		j.inFlight.Expect(d.Wait, d.Expected-d.Wait, now)
	}
	in.table.RecordSentBlocks(d.Target.ID, []string{prefix}, now)
	if f.Tokens >= 6000 { // announced at once
		for _, o := range p.instances {
			if o != in {
				o.peers[d.Target.ID] = o.peers[d.Target.ID].Add(f)
			}
		}
	}
	for _, e := range p.engines {
		if e.target == d.Target {
			p.after(time.Millisecond, func() {
				e.waiting = append(e.waiting, j)
				p.begin(e)
			})
		}
	}
}

// announce replaces what an instance knows of the others, over and over.
func (p *unevenReplay) announce(in *unevenInstance) {
	in.peers = map[string]announcer.InFlight{}
	for _, o := range p.instances {
		if o != in {
			for id, f := range o.table.InFlightByTarget(p.time()) {
				in.peers[id] = in.peers[id].Add(f)
			}
		}
	}
	if p.now < unevenLength {
		p.after(p.lag, func() { p.announce(in) })
	}
}

// replayUneven replays requests of all classes at a multiple of their rates and objectives.
func replayUneven(seed uint64, load, objectives float64, lag time.Duration, learned bool) *unevenReplay {
	p := &unevenReplay{r: rand.New(rand.NewPCG(seed, 3)), lag: lag, learned: learned}
	for i := range unevenEngines {
		e := &unevenEngine{target: &cataloger.Target{ID: fmt.Sprint(i), Slots: unevenSlots}, factor: 1, cached: map[string]time.Duration{}, tokens: map[string]int{}}
		if i%2 == 1 {
			e.factor = 1.3
		}
		for t := time.Duration(0); t < 2*unevenLength; t += slowTime {
			t += time.Duration(p.r.ExpFloat64() * float64(slowTime) * (1 - slowShare) / slowShare)
			e.slowFrom = append(e.slowFrom, t)
		}
		p.engines, p.targets = append(p.engines, e), append(p.targets, e.target)
	}
	for range unevenInstances {
		p.instances = append(p.instances, &unevenInstance{table: NewLoadTable(), estimates: estimator.New(), peers: map[string]announcer.InFlight{}})
	}
	for i, in := range p.instances {
		p.after(lag*time.Duration(i)/unevenInstances, func() { p.announce(in) })
	}
	for _, class := range unevenClasses {
		class.objective = time.Duration(float64(class.objective) * objectives)
		for t := time.Duration(0); t < unevenLength; {
			wave := 1 + waveSwing*math.Sin(2*math.Pi*float64(t)/float64(wavePeriod))
			t += time.Duration(p.r.ExpFloat64() / (class.rate * load * wave) * float64(time.Second))
			heap.Push(&p.events, event{t, func() { p.arrive(class) }})
		}
	}
	for len(p.events) > 0 {
		ev := heap.Pop(&p.events).(event)
		p.now = ev.at
		ev.do()
	}
	return p
}

// Guards against decisions by fixed costs where engines differ in speed, for long and for moments, prompts differ in size and demand comes
// in waves, while 12 instances know the requests of the others with a delay.
func TestReplayUnevenEngines(t *testing.T) {
	const seeds = 2
	tests := map[string]struct {
		load, objectives float64
		lag              time.Duration
		gain             float64
	}{
		"usual load":        {1.4, 1, 150 * time.Millisecond, -0.001},
		"high load":         {2, 1, 150 * time.Millisecond, -0.001},
		"old picture":       {1.7, 1, 400 * time.Millisecond, -0.001},
		"strict objectives": {2, 0.5, 150 * time.Millisecond, -0.001},
		"overload":          {2.6, 1, 150 * time.Millisecond, 0.01},
		"heavy overload":    {3.2, 1, 150 * time.Millisecond, 0.01},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var onTime, refused, computed [2]float64
			for seed := range uint64(seeds) {
				for i, learned := range []bool{false, true} {
					p := replayUneven(seed, tc.load, tc.objectives, tc.lag, learned)
					onTime[i] += p.onTime / p.offered / seeds
					refused[i] += p.refused / p.offered / seeds
					computed[i] += p.sharedComputed / p.sharedTotal / seeds
				}
			}
			t.Logf("on time: %.4f by fixed costs, %.4f by learned ones; refused: %.4f, %.4f; shared tokens computed: %.3f, %.3f", onTime[0], onTime[1], refused[0], refused[1], computed[0], computed[1])
			require.Greater(t, onTime[1], onTime[0]+tc.gain)
			require.Less(t, computed[1], 0.9*computed[0])
		})
	}
}
