package queuer

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/internal/retrier"
)

// replay is a service in virtual time, with instances that know of the targets what their own requests show.
type replay struct {
	// queued enables the queue of the instances.
	queued                    bool
	rate                      float64
	instances, targets, slots int
	// attempts is the maximum number of attempts of a call.
	attempts                       int
	serviceTime, objective, budget time.Duration
	length, burstFrom, burstUntil  time.Duration
	// lostFrom is when a third of the targets becomes unreachable, which instances notice at once, until lostUntil.
	lostFrom, lostUntil time.Duration
	// stopAt is when the first instance stops.
	stopAt time.Duration
	// pickAccount returns the account and the priority of an arrival.
	pickAccount func(r *rand.Rand) (string, int)
	// impatient callers come back at once after a refusal, three times.
	impatient bool
	seed      uint64

	now time.Duration
	// arrivals is the source of arrivals, the same with and without the queue; rand that of everything else.
	arrivals, rand *rand.Rand
	events         eventHeap
	nodes          []*replayInstance
	hosts          []*replayTarget
	byName         map[string]*tally
}

// tally counts the calls of an account.
type tally struct {
	arrived, served, onTime, refused int
	// refusedArrivals are the refusals that callers got, refusedSends those by targets.
	refusedArrivals, refusedSends, stopped int
	longestWait                            time.Duration
}

// add adds the counts of another tally.
func (t *tally) add(o tally) {
	t.arrived += o.arrived
	t.served += o.served
	t.onTime += o.onTime
	t.refused += o.refused
	t.refusedArrivals += o.refusedArrivals
	t.refusedSends += o.refusedSends
	t.stopped += o.stopped
	t.longestWait = max(t.longestWait, o.longestWait)
}

// servedShare returns the served share of the calls that have arrived.
func (t *tally) servedShare() float64 { return float64(t.served) / float64(t.arrived) }

type replayCall struct {
	account             string
	priority            int
	at, received        time.Duration
	attempts, comeBacks int
	refusedBy           map[int]bool
	queuedFrom          time.Duration
	tally               *tally
}

type replayTarget struct {
	running int
	queue   []func()
	lost    bool
}

type replayInstance struct {
	r         *replay
	queue     *Queue[*replayCall]
	retries   retrier.WindowCounter
	inFlight  []int
	refusedAt []time.Duration
	stopped   bool
	wakeAt    time.Duration
}

type replayEvent struct {
	at time.Duration
	do func()
}

type eventHeap []replayEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(replayEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

const (
	replayLatency    = time.Millisecond
	replayRefusalTTL = 200 * time.Millisecond
	replayWaiting    = 2
)

var (
	replayRetries = retrier.WindowLimits{Share: 0.16, Slack: 0.2, Length: 10 * time.Second}
	replayEpoch   = time.Unix(1000, 0)
)

// newReplay returns the plain service of asdp-ops-grown with a burst.
func newReplay(queued bool, seed uint64) *replay {
	return &replay{
		queued: queued, rate: 390, instances: 72, targets: 5, slots: 6, attempts: 3, serviceTime: 60 * time.Millisecond, objective: 300 * time.Millisecond, budget: 3 * time.Second,
		length: 12 * time.Second, burstFrom: 3 * time.Second, burstUntil: 6 * time.Second, seed: seed,
		pickAccount: func(*rand.Rand) (string, int) { return "a", DefaultPriority },
	}
}

func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.events, replayEvent{r.now + d, do}) }

func (r *replay) clock() time.Time { return replayEpoch.Add(r.now) }

// run plays the load and returns the sum over all accounts.
func (r *replay) run() tally {
	r.arrivals, r.rand, r.byName = rand.New(rand.NewPCG(r.seed, 1)), rand.New(rand.NewPCG(r.seed, 2)), map[string]*tally{}
	for range r.targets {
		r.hosts = append(r.hosts, &replayTarget{})
	}
	for range r.instances {
		in := &replayInstance{r: r, queue: New[*replayCall](Limits{Calls: 256, Bytes: 1 << 20}), inFlight: make([]int, r.targets), refusedAt: make([]time.Duration, r.targets)}
		for i := range in.refusedAt {
			in.refusedAt[i] = -time.Hour
		}
		in.queue.SetCapacity(r.targets*r.slots, r.serviceTime, r.instances)
		r.nodes = append(r.nodes, in)
	}
	setLost := func(on bool) func() {
		return func() {
			for _, h := range r.hosts[:r.targets/3] {
				h.lost = on
			}
		}
	}
	if r.lostUntil > 0 {
		r.after(r.lostFrom, setLost(true))
		r.after(r.lostUntil, setLost(false))
	}
	if r.stopAt > 0 {
		r.after(r.stopAt, r.nodes[0].stop)
	}
	r.after(0, r.arrive)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.do()
	}
	var sum tally
	for _, t := range r.byName {
		sum.add(*t)
	}
	return sum
}

func (r *replay) arrive() {
	if r.now >= r.length {
		return
	}
	rate := r.rate
	if r.now >= r.burstFrom && r.now < r.burstUntil {
		rate *= 1.7
	}
	r.after(time.Duration(r.arrivals.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	c := &replayCall{at: r.now}
	c.account, c.priority = r.pickAccount(r.arrivals)
	if r.byName[c.account] == nil {
		r.byName[c.account] = &tally{}
	}
	c.tally = r.byName[c.account]
	c.tally.arrived++
	r.receive(c)
}

// receive gives a call to one of the instances that are not stopped.
func (r *replay) receive(c *replayCall) {
	in := r.nodes[r.rand.IntN(len(r.nodes))]
	if in.stopped {
		in = r.nodes[1+r.rand.IntN(len(r.nodes)-1)]
	}
	c.received, c.attempts, c.refusedBy = r.now, 0, map[int]bool{}
	in.retries.RecordRequest(replayRetries, r.clock())
	in.dispatch(c)
}

// dispatch sends a call or lets it wait.
func (in *replayInstance) dispatch(c *replayCall) {
	r := in.r
	if r.queued && !in.stopped && in.queue.InUse(r.clock()) && (in.queue.Len() > 0 || c.attempts >= r.attempts-1 || !in.hasRoom(c)) {
		in.push(c)
		return
	}
	if c.attempts > 0 && !in.retries.TryRetry(replayRetries, r.clock()) {
		in.push(c)
		return
	}
	in.send(c, -1)
}

func (in *replayInstance) push(c *replayCall) {
	r := in.r
	c.queuedFrom = r.now
	remaining := c.at + r.budget - r.now
	until := min(c.received+r.budget/2, r.now+remaining/2)
	res := in.queue.Push(&Request[*replayCall]{
		Value: c, Account: c.account, Priority: c.priority, OnTimeStart: replayEpoch.Add(c.at + r.objective - r.serviceTime),
		LastStart: replayEpoch.Add(c.at + r.budget - r.serviceTime), WaitUntil: replayEpoch.Add(until),
	}, r.clock())
	for _, e := range res.Evicted {
		in.refuse(e.Value)
	}
	if res.Reason != "" {
		in.refuse(c)
		return
	}
	in.arm()
}

// arm calls wake at the time of the queue's Wake.
func (in *replayInstance) arm() {
	at := in.queue.Wake()
	if at.IsZero() || in.wakeAt > in.r.now {
		return
	}
	in.wakeAt = max(in.r.now+time.Microsecond, at.Sub(replayEpoch))
	in.r.after(in.wakeAt-in.r.now, func() {
		in.wakeAt = 0
		for _, e := range in.queue.Expire(in.r.clock()) {
			in.refuse(e.Value)
		}
		in.release(Paced, -1)
		in.arm()
	})
}

// release sends the next call, if possible to the target where a place was freed; -1 if that is none.
func (in *replayInstance) release(t Trigger, freed int) {
	next := in.queue.Next(in.r.clock(), t, func(c *replayCall) bool {
		return (t == Freed || in.hasRoom(c)) && (c.attempts == 0 || in.retries.TryRetry(replayRetries, in.r.clock()))
	})
	if next != nil {
		c := next.Value
		c.tally.longestWait = max(c.tally.longestWait, in.r.now-c.queuedFrom)
		in.send(c, freed)
	}
}

func (in *replayInstance) stop() {
	in.stopped = true
	for _, e := range in.queue.Clear() {
		e.Value.tally.stopped++
		in.refuse(e.Value)
	}
}

func (in *replayInstance) hasRoom(c *replayCall) bool {
	for i := range in.inFlight {
		if !in.isFull(i) && !c.refusedBy[i] && !in.r.hosts[i].lost {
			return true
		}
	}
	return false
}

func (in *replayInstance) isFull(i int) bool {
	return in.inFlight[i] >= in.r.slots+replayWaiting || in.r.now-in.refusedAt[i] < replayRefusalTTL
}

// send sends a call to the given target, else to that with the fewest own requests, if possible one that has not refused one lately.
func (in *replayInstance) send(c *replayCall, freed int) {
	r := in.r
	best, least := -1, 0.0
	for i, n := range in.inFlight {
		if r.hosts[i].lost {
			continue
		}
		cost := float64(n) + r.rand.Float64()
		if in.isFull(i) {
			cost += 1000
		}
		if c.refusedBy[i] {
			if !r.queued {
				continue
			}
			cost += 10
		}
		if i == freed {
			cost = -1
		}
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	c.attempts++
	in.inFlight[best]++
	r.after(replayLatency, func() {
		r.hosts[best].accept(r, func(served bool) {
			r.after(replayLatency, func() { in.answer(c, best, served) })
		})
	})
}

// accept runs a request, now or after others, or refuses it.
func (h *replayTarget) accept(r *replay, answer func(served bool)) {
	start := func() {
		h.running++
		r.after(time.Duration(float64(r.serviceTime)*(0.9+0.2*r.rand.Float64())), func() {
			h.running--
			if len(h.queue) > 0 {
				next := h.queue[0]
				h.queue = h.queue[1:]
				next()
			}
			answer(true)
		})
	}
	switch {
	case h.running >= r.slots && len(h.queue) >= replayWaiting:
		answer(false)
	case h.running >= r.slots:
		h.queue = append(h.queue, start)
	default:
		start()
	}
}

func (in *replayInstance) answer(c *replayCall, target int, served bool) {
	r := in.r
	in.inFlight[target]--
	if served {
		if r.now <= c.at+r.budget {
			c.tally.served++
		}
		if r.now <= c.at+r.objective {
			c.tally.onTime++
		}
		if r.queued {
			in.queue.RecordDeparture(r.clock())
			in.release(Freed, target)
			in.arm()
		}
		return
	}
	c.tally.refusedSends++
	in.refusedAt[target] = r.now
	c.refusedBy[target] = true
	in.queue.RecordRefusal(r.clock())
	switch {
	case c.attempts >= r.attempts:
		in.refuse(c)
	case r.queued && !in.stopped:
		in.dispatch(c)
	case in.retries.TryRetry(replayRetries, r.clock()):
		in.send(c, -1)
	default:
		in.refuse(c)
	}
}

// refuse tells the caller, who comes back once if that leaves enough time.
func (in *replayInstance) refuse(c *replayCall) {
	r := in.r
	c.tally.refusedArrivals++
	remaining := c.at + r.budget - r.now
	wait := 300 * time.Millisecond
	if r.queued {
		wait = max(wait, min(in.queue.RoomExpectedIn(r.clock()), remaining*4/15))
	}
	wait = time.Duration(float64(wait) * (0.75 + 0.5*r.rand.Float64()))
	comeBacks := 1
	if r.impatient {
		wait, comeBacks = 2*replayLatency, 3
	}
	if c.comeBacks >= comeBacks || wait > remaining/3 {
		c.tally.refused++
		return
	}
	c.comeBacks++
	r.after(wait, func() { r.receive(c) })
}
