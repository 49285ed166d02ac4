package retrier

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// storm simulates the outage of a data centre in virtual time. All targets share one queue and serve every request in it,
// including those whose caller has timed out; callers retry after a time-out. There is no admission control, so that only
// the effect of retries shows.
type storm struct {
	servers     int // in three data centres
	service     time.Duration
	rate        float64 // requests per second
	timeout     time.Duration
	outageStart time.Duration // one of the data centres is down from outageStart
	outageEnd   time.Duration // until outageEnd
	length      time.Duration
	budgeted    bool
}

type arrival struct {
	at    time.Duration
	first bool
	n     int
}

type arrivals []arrival

func (h arrivals) Len() int           { return len(h) }
func (h arrivals) Less(i, j int) bool { return h[i].at < h[j].at }
func (h arrivals) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *arrivals) Push(x any)        { *h = append(*h, x.(arrival)) }
func (h *arrivals) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// run returns, for each second, the share of attempts started in it that are served on time.
func (s storm) run(seed uint64) []float64 {
	r := rand.New(rand.NewPCG(seed, 9))
	var b Budget
	good, all := make([]float64, s.length/time.Second+1), make([]float64, s.length/time.Second+1)
	q := &arrivals{{at: 0, first: true, n: 1}}
	backlog, last := time.Duration(0), time.Duration(0) // backlog in service time of one server
	for q.Len() > 0 {
		a := heap.Pop(q).(arrival)
		if a.at >= s.length {
			break
		}
		servers := s.servers
		if a.at >= s.outageStart && a.at < s.outageEnd {
			servers = s.servers * 2 / 3
		}
		backlog, last = max(0, backlog-time.Duration(servers)*(a.at-last)), a.at
		if a.first {
			heap.Push(q, arrival{at: a.at + time.Duration(r.ExpFloat64()/s.rate*float64(time.Second)), first: true, n: 1})
			b = b.WithRequest()
		}
		all[a.at/time.Second]++
		wait := backlog / time.Duration(servers)
		backlog += s.service
		if wait+s.service <= s.timeout {
			good[a.at/time.Second]++
			continue
		}
		budget := Budget{}
		if s.budgeted {
			budget = b
		}
		d := Decide(Attempt{Number: a.n, Outcome: Repeatable, Remaining: time.Hour}, budget, r.Uint64())
		if !d.Retry {
			continue
		}
		b = b.WithRetry()
		heap.Push(q, arrival{at: a.at + s.timeout + d.Delay, n: a.n + 1})
	}
	for i := range good {
		good[i] /= max(1, all[i])
	}
	return good
}

// recovery returns the time from the end of the outage to the start of the first 10 consecutive seconds in each of which at
// least 99 % of the attempts are on time, and false if there are none.
func (s storm) recovery(good []float64) (time.Duration, bool) {
	row := 0
	for i := int(s.outageEnd / time.Second); i < len(good)-1; i++ {
		if row++; good[i] < 0.99 {
			row = 0
		}
		if row == 10 {
			return time.Duration(i-9)*time.Second - s.outageEnd, true
		}
	}
	return 0, false
}

// Guards against retries that keep the targets overloaded after the cause of the overload has ended.
func TestRecoveryFromLossOfDataCentre(t *testing.T) {
	s := storm{
		servers: 36, service: 100 * time.Millisecond, rate: 0.75 * 360, timeout: time.Second,
		outageStart: 20 * time.Second, outageEnd: 50 * time.Second, length: 300 * time.Second,
	}
	for seed := range uint64(3) {
		s.budgeted = true
		with, ok := s.recovery(s.run(seed))
		require.True(t, ok, "seed %d: no recovery with the budget", seed)
		s.budgeted = false
		without, ok2 := s.recovery(s.run(seed))
		t.Logf("seed %d: recovery %v after the end of the outage with the budget; without: %v, recovered %t", seed, with, without, ok2)
		require.True(t, !ok2 || without > 2*with, "the budget makes no difference")
	}
}
