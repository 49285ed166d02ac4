package limiter

import (
	"time"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// evenPart of a limit is divided evenly, so that an instance can serve an account it had no demand of.
	evenPart = 0.2
	// floorPart of an even part of a limit is the demand that every member counts with at least. A small floor would
	// leave most of the limit unused while demand rises from it everywhere.
	floorPart = 0.25
	// growth bounds how far an advertised demand may be above the one in force. While all rise at once each instance
	// counts the others with what they advertise and itself with what is in force, so this bounds what is unused.
	growth = 1.5
	// DeadMemberTTL is how long a dead member counts.
	DeadMemberTTL = 10 * time.Minute
	// SettleTime is how long a demand must have been advertised before it is in force. It covers the detection of a
	// partition (10 s), the way of an advertisement to another data centre (two report periods and two times 3 s) and
	// a gap of 10 s without messages that ends before it is detected.
	SettleTime = 40 * time.Second
	// BurstWindow is the time for which an unused rate adds up. With 1 s, an account of 12 requests a second that came to one
	// of six instances was refused its third request of a second at an idle deployment.
	BurstWindow = 5 * time.Second
	// streamRetry is when a caller whose account has too many streams should try again.
	streamRetry = time.Second
	// shareLife is how long a computed part of a limit is used.
	shareLife = 250 * time.Millisecond
)

// Limit is a kind of limit.
type Limit int

// The kinds of limits.
const (
	Requests Limit = iota
	Tokens
	Streams
	limits
)

// String names the limit as in the configuration.
func (l Limit) String() string {
	return [...]string{"requestsPerSecond", "tokensPerSecond", "streams"}[l]
}

// LimitValues holds a value for each kind of limit.
type LimitValues [limits]float64

func (v LimitValues) max(o LimitValues) LimitValues {
	for i := range v {
		v[i] = max(v[i], o[i])
	}
	return v
}

func (v LimitValues) min(o LimitValues) LimitValues {
	for i := range v {
		v[i] = min(v[i], o[i])
	}
	return v
}

func (v LimitValues) add(o LimitValues) LimitValues {
	for i := range v {
		v[i] += o[i]
	}
	return v
}

func (v LimitValues) scale(f float64) LimitValues {
	for i := range v {
		v[i] *= f
	}
	return v
}

// limitsOf returns the whole limits of an account.
func limitsOf(a configurer.Account) LimitValues {
	return LimitValues{float64(a.RequestsPerSecond), float64(a.TokensPerSecond), float64(a.Streams)}
}

// Member is one instance as the membership knows it.
type Member struct {
	ID         string
	DataCentre string
	// DeadSince is zero for a live member. A member that left in an orderly way is not listed.
	DeadSince time.Time
}

// Limiter holds the shared limits of one instance.
type Limiter struct {
	id, dataCentre string

	members  int
	leader   bool // this instance reports the sum of its data centre
	units    map[string]*unit
	accounts map[string]*account
	reportAt time.Time
	cursor   string
}

// account is what this instance knows of one account's use of itself.
type account struct {
	limits  LimitValues
	demand  demand
	own     track
	sum     LimitValues // of the data centre, as this instance reported it last
	level   [2]float64
	filled  time.Time
	streams int
	share   LimitValues
	shareAt time.Time
	// dirty and dirtySum count the reports in which the own demand and the sum are still to be sent.
	dirty, dirtySum int
	sentAt          time.Time
}

// New returns the limiter of an instance that knows no other member.
func New(id, dataCentre string) *Limiter {
	return &Limiter{
		id: id, dataCentre: dataCentre, members: 1, leader: true, units: map[string]*unit{}, accounts: map[string]*account{},
	}
}

// SetAccounts takes the accounts of the configuration and forgets others.
func (l *Limiter) SetAccounts(as []configurer.Account, now time.Time) {
	keep := make(map[string]bool, len(as))
	for _, a := range as {
		keep[a.Name] = true
		l.account(a, now)
	}
	for name := range l.accounts {
		if !keep[name] {
			delete(l.accounts, name)
		}
	}
}

// Decision is the result of [Limiter.Acquire].
type Decision struct {
	Allowed bool
	// Limit is the kind that is used up, and RetryAfter when the account may have room again.
	Limit      Limit
	RetryAfter time.Duration
}

// Acquire charges one request with its known tokens and opens a stream, or says which limit is used up.
func (l *Limiter) Acquire(a configurer.Account, tokens int, now time.Time) Decision {
	ac := l.account(a, now)
	ac.demand = ac.demand.with(tokens, now)
	share := l.share(a.Name, ac, now)
	ac.fill(share, now)
	for k, need := range [2]float64{Requests: 1, Tokens: 0} {
		if ac.level[k] < need || ac.level[k] <= 0 {
			return Decision{Limit: Limit(k), RetryAfter: waitFor(max(need, 1)-ac.level[k], share[k])}
		}
	}
	if float64(ac.streams) >= max(1, share[Streams]) {
		return Decision{Limit: Streams, RetryAfter: streamRetry}
	}
	ac.level[Requests]--
	ac.level[Tokens] -= float64(tokens)
	ac.streams++
	return Decision{Allowed: true}
}

// Release closes a request's stream and charges tokens beyond those of [Limiter.Acquire]; a negative number gives back.
func (l *Limiter) Release(a configurer.Account, tokens int, now time.Time) {
	ac := l.account(a, now)
	ac.streams = max(0, ac.streams-1)
	ac.level[Tokens] -= float64(tokens)
	ac.demand = ac.demand.after(tokens, now)
}

// Share returns what this instance may spend of the account's limits.
func (l *Limiter) Share(a configurer.Account, now time.Time) LimitValues {
	return l.share(a.Name, l.account(a, now), now)
}

func (l *Limiter) account(a configurer.Account, now time.Time) *account {
	ac := l.accounts[a.Name]
	if ac == nil {
		ac = &account{filled: now}
		l.accounts[a.Name] = ac
	}
	if lim := limitsOf(a); lim != ac.limits {
		fresh := ac.limits == LimitValues{}
		ac.limits, ac.shareAt = lim, time.Time{}
		if fresh {
			share := l.share(a.Name, ac, now)
			ac.level = [2]float64{burst(share[Requests], 1), burst(share[Tokens], 1)}
		}
	}
	return ac
}

// fill adds the time since the last fill to the buckets.
func (ac *account) fill(share LimitValues, now time.Time) {
	dt := max(0, now.Sub(ac.filled).Seconds())
	ac.filled = now
	for k := range ac.level {
		ac.level[k] = min(ac.level[k]+share[k]*dt, burst(share[k], 1))
	}
}

// burst returns the size of a bucket.
func burst(rate, least float64) float64 { return max(least, rate*BurstWindow.Seconds()) }

// waitFor returns the time in which a rate gives an amount, at most a minute.
func waitFor(amount, rate float64) time.Duration {
	if rate <= 0 || amount/rate > time.Minute.Seconds() {
		return time.Minute
	}
	return time.Duration(max(0, amount/rate) * float64(time.Second))
}
