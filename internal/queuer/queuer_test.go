package queuer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a queue with which fewer calls are served than by sending at once, callers get more refusals, or a call waits for more
// than half of its deadline.
func TestReplays(t *testing.T) {
	tests := map[string]func(r *replay){
		"burst":        func(*replay) {},
		"sustained":    func(r *replay) { r.burstUntil = r.length },
		"two attempts": func(r *replay) { r.attempts = 2 },
		"loss of a third": func(r *replay) {
			r.targets, r.slots, r.burstUntil, r.lostFrom, r.lostUntil = 6, 5, 0, 3*time.Second, 8*time.Second
		},
		"impatient callers": func(r *replay) { r.impatient = true },
		"stop":              func(r *replay) { r.stopAt = 4500 * time.Millisecond },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			var sums [2]tally
			for i, queued := range []bool{false, true} {
				for seed := range uint64(3) {
					r := newReplay(queued, seed)
					change(r)
					sums[i].add(r.run())
				}
				t.Logf("queued %v: %+v", queued, sums[i])
			}
			require.Greater(t, sums[1].served, sums[0].served)
			require.Less(t, sums[1].refusedArrivals, sums[0].refusedArrivals)
			require.Less(t, sums[1].refusedSends, sums[0].refusedSends)
			require.Greater(t, float64(sums[1].onTime), 0.8*float64(sums[0].onTime))
			require.LessOrEqual(t, sums[1].longestWait, 1500*time.Millisecond)
			require.Equal(t, name == "stop", sums[1].stopped > 0)
		})
	}
}

// Guards against an account with half of the load that takes the capacity from others inside their shares, and against urgent calls
// that are served no better than others.
func TestReplaySharesAndUrgency(t *testing.T) {
	play := func(pick func(r *rand.Rand) (string, int)) *replay {
		r := newReplay(true, 1)
		r.burstUntil, r.length, r.pickAccount, r.instances = 30*time.Second, 30*time.Second, pick, 12
		r.run()
		return r
	}
	accounts := play(func(r *rand.Rand) (string, int) {
		if n := r.IntN(20); n >= 10 {
			return fmt.Sprint("small-", n), DefaultPriority
		}
		return "large", DefaultPriority
	})
	var small tally
	for name, x := range accounts.byName {
		if name != "large" {
			small.add(*x)
		}
	}
	large := accounts.byName["large"].servedShare()
	t.Logf("served of the large account %.3f, of the small ones %.3f", large, small.servedShare())
	require.Greater(t, small.servedShare(), large+0.1)
	urgency := play(func(r *rand.Rand) (string, int) {
		p := 1 + 7*r.IntN(2)
		return fmt.Sprint(p), p
	})
	urgent, other := urgency.byName["1"].servedShare(), urgency.byName["8"].servedShare()
	t.Logf("served of the urgent calls %.3f, of the others %.3f", urgent, other)
	require.Greater(t, urgent, other+0.1)
}

// Guards against calls that leave the queue in another order, or all at once.
func TestOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	type call struct {
		account             string
		priority            int
		onTime, last, costs int
	}
	tests := map[string]struct {
		calls []call
		want  []int
	}{
		"urgent first":              {[]call{{"a", 5, 100, 900, 1}, {"b", 0, 500, 900, 1}}, []int{1, 0}},
		"accounts by turns":         {[]call{{"a", 5, 100, 900, 1}, {"a", 5, 101, 900, 1}, {"a", 5, 102, 900, 1}, {"b", 5, 200, 900, 1}}, []int{0, 3, 1, 2}},
		"by work, not by number":    {[]call{{"a", 5, 100, 900, 4}, {"a", 5, 101, 900, 4}, {"b", 5, 200, 900, 1}, {"b", 5, 201, 900, 1}, {"b", 5, 202, 900, 1}}, []int{0, 2, 3, 4, 1}},
		"earliest latest start":     {[]call{{"a", 5, 300, 900, 1}, {"a", 5, 100, 900, 1}, {"a", 5, 200, 900, 1}}, []int{1, 2, 0}},
		"late ones by the deadline": {[]call{{"a", 5, -100, 900, 1}, {"a", 5, 200, 950, 1}, {"a", 5, -50, 150, 1}}, []int{2, 1, 0}},
	}
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q := New[int](Limits{Calls: 10, Bytes: 100})
			for i, c := range tc.calls {
				res := q.Push(&Request[int]{Value: i, Account: c.account, Priority: c.priority, Cost: float64(c.costs), OnTimeStart: at(c.onTime), LastStart: at(c.last), WaitUntil: at(5000)}, now)
				require.Empty(t, res.Reason)
			}
			var got []int
			for q.Len() > 0 {
				got = append(got, q.Next(now, Freed, func(int) bool { return true }).Value)
			}
			require.Equal(t, tc.want, got)
			require.Zero(t, q.Wake())
		})
	}
}

// Guards against a queue that grows without bound or refuses the wrong call when it is full, that holds calls beyond the limit of their wait,
// that accepts calls without hope, and that releases many calls at once.
func TestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	anyRoom := func(string) bool { return true }
	push := func(q *Queue[string], name, account string, priority, bytes int, until time.Duration) PushResult[string] {
		return q.Push(&Request[string]{Value: name, Account: account, Priority: priority, Bytes: bytes, LastStart: now.Add(until), WaitUntil: now.Add(until)}, now)
	}
	q := New[string](Limits{Calls: 3, Bytes: 100})
	require.False(t, q.InUse(now))
	q.RecordRefusal(now)
	require.True(t, q.InUse(now.Add(UseAfterRefusal-1)))
	require.False(t, q.InUse(now.Add(UseAfterRefusal)))
	q.SetCapacity(6, 60*time.Millisecond, 4)
	require.Empty(t, push(q, "a1", "a", 5, 10, time.Second).Reason)
	require.Empty(t, push(q, "a2", "a", 7, 10, time.Second).Reason)
	require.Empty(t, push(q, "a3", "a", 5, 10, time.Second).Reason)
	require.Equal(t, Full, push(q, "a4", "a", 9, 10, time.Second).Reason)
	require.Equal(t, "a2", push(q, "b1", "b", 9, 10, time.Second).Evicted[0].Value)
	require.Len(t, push(q, "c1", "c", 0, 75, time.Second).Evicted, 1, "more bytes than the limit")
	require.Equal(t, Hopeless, push(q, "d1", "d", 9, 1, 50*time.Millisecond).Reason)
	require.Nil(t, q.Next(now, Paced, anyRoom), "the first call waits, too")
	at := q.Wake()
	require.Equal(t, "c1", q.Next(at, Paced, anyRoom).Value)
	require.Nil(t, q.Next(at, Paced, anyRoom), "a second one at once")
	require.Equal(t, "b1", q.Next(at, Freed, func(name string) bool { return name == "b1" }).Value, "the next one for which there is room")
	require.Len(t, q.Expire(now.Add(time.Second)), 1)
	require.False(t, q.Drop(&Request[string]{Account: "a", Priority: 5}))
	require.Empty(t, q.Clear())
}

// Guards against a request for which no target has enough memory that holds back smaller ones of its account.
func TestLargeRequestDoesNotBlock(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New[string](Limits{Calls: 10, Bytes: 100})
	for i, name := range []string{"large", "small"} {
		cost := float64(30_000 - 29_000*i)
		q.Push(&Request[string]{Value: name, Cost: cost, LastStart: now.Add(time.Second + time.Duration(i)), WaitUntil: now.Add(time.Second)}, now)
	}
	require.False(t, q.HasCheaper(500))
	require.True(t, q.HasCheaper(1000))
	require.Equal(t, "small", q.Next(now, Freed, func(name string) bool { return name == "small" }).Value)
	require.False(t, q.HasCheaper(1000))
}

func BenchmarkNext(b *testing.B) {
	now := time.Unix(1000, 0)
	q := New[int](Limits{Calls: 512, Bytes: 1 << 20})
	for i := range 512 {
		q.Push(&Request[int]{Value: i, Account: fmt.Sprint(i % 24), Priority: i % 3, LastStart: now.Add(time.Duration(i)), WaitUntil: now.Add(time.Hour)}, now)
	}
	for b.Loop() {
		r := q.Next(now, Freed, func(int) bool { return true })
		q.Push(r, now)
	}
}
