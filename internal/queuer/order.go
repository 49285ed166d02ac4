package queuer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// account holds the waiting requests of one account and priority.
type account[T any] struct {
	name     string
	priority int
	requests []*Request[T]
	deficit  float64
}

// first returns the request with the earliest latest start, the first one among equals.
func (a *account[T]) first(now time.Time) *Request[T] {
	return slices.MinFunc(a.requests, func(x, y *Request[T]) int { return x.latestStart(now).Compare(y.latestStart(now)) })
}

// order returns the accounts in the order in which their first requests are sent: by priority, then by the rounds that the deficit
// round robin needs until the account has the deficit for its first request, then by the order of the round.
func (q *Queue[T]) order(now time.Time) []*account[T] {
	out := slices.Clone(q.accounts)
	quantum := q.quantum()
	slices.SortStableFunc(out, func(x, y *account[T]) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.rounds(x.first(now), quantum), y.rounds(y.first(now), quantum)))
	})
	return out
}

// quantum returns the work that an account gets in a round: the largest cost, so that each can send a request.
func (q *Queue[T]) quantum() float64 {
	out := 1.0
	for _, a := range q.accounts {
		for _, r := range a.requests {
			out = max(out, r.cost())
		}
	}
	return out
}

func (a *account[T]) rounds(r *Request[T], quantum float64) float64 {
	return max(0, math.Ceil((r.cost()-a.deficit)/quantum))
}

// serve removes a request that is sent, and charges its account.
func (q *Queue[T]) serve(a *account[T], r *Request[T]) {
	quantum := q.quantum()
	if n := a.rounds(r, quantum); n > 0 {
		for _, o := range q.accounts {
			if o.priority == a.priority {
				o.deficit = min(o.deficit+n*quantum, 2*quantum)
			}
		}
	}
	a.deficit -= r.cost()
	// The account goes to the end of the round.
	i := slices.Index(q.accounts, a)
	for ; i+1 < len(q.accounts) && q.accounts[i+1].priority == a.priority; i++ {
		q.accounts[i], q.accounts[i+1] = q.accounts[i+1], q.accounts[i]
	}
	q.Drop(r)
}

// ahead returns the number of waiting requests that are sent before a new one.
func (q *Queue[T]) ahead(r *Request[T], now time.Time) int {
	n, own := 0, 0
	if a := q.find(r.Account, r.Priority); a != nil {
		for _, o := range a.requests {
			if !o.latestStart(now).After(r.latestStart(now)) {
				own++
			}
		}
	}
	for _, a := range q.accounts {
		switch {
		case a.priority < r.Priority:
			n += len(a.requests)
		case a.priority == r.Priority && a.name != r.Account:
			n += min(len(a.requests), own+1)
		}
	}
	return n + own
}

// leastUrgent returns the least urgent request of the account with the most requests.
func (q *Queue[T]) leastUrgent(now time.Time) *Request[T] {
	counts := map[string]int{}
	for _, a := range q.accounts {
		counts[a.name] += len(a.requests)
	}
	var worst *account[T]
	for _, a := range q.accounts { // the less urgent come later
		if worst == nil || counts[a.name] > counts[worst.name] || a.name == worst.name {
			worst = a
		}
	}
	return slices.MaxFunc(worst.requests, func(x, y *Request[T]) int { return x.latestStart(now).Compare(y.latestStart(now)) })
}

func (q *Queue[T]) find(name string, priority int) *account[T] {
	for _, a := range q.accounts {
		if a.name == name && a.priority == priority {
			return a
		}
	}
	return nil
}

// cheapest returns the waiting request with the lowest cost, the most urgent one among equals, and its account.
func (q *Queue[T]) cheapest() (*account[T], *Request[T]) {
	var of *account[T]
	var out *Request[T]
	for _, a := range q.accounts {
		for _, r := range a.requests {
			if out == nil || r.cost() < out.cost() {
				of, out = a, r
			}
		}
	}
	return of, out
}
