package limiter

import (
	"time"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// evenShare is the fraction of a limit that is divided evenly, so that an instance can serve an account for which
	// it had no demand before.
	evenShare = 0.2
	// minDemandShare is the smallest demand that counts for a member, as a fraction of an even share of the limit. A
	// smaller value would leave most of the limit unused while demand rises at all instances.
	minDemandShare = 0.25
	// maxDemandGrowth bounds an advertised demand as a multiple of the demand in force. Each instance counts the others
	// with their advertised demands and itself with its demand in force, so this bounds the unused part of the limit
	// while demand rises everywhere.
	maxDemandGrowth = 1.5
	// DeadMemberTTL is how long a dead member is counted.
	DeadMemberTTL = 10 * time.Minute
	// SettleTime is how long a demand must have been advertised before it is in force. It covers the detection of a
	// partition (10 s), the propagation of an advertisement to another data centre (two report periods and twice 3 s)
	// and an interruption of 10 s that ends before it is detected.
	SettleTime = 40 * time.Second
	// BurstWindow is the time for which unused rate accumulates in a token bucket. With 1 s, an account limited to 12
	// requests/s that used one of six instances was refused its third request within a second although the deployment
	// was idle.
	BurstWindow = 5 * time.Second
	// streamRetryDelay is the retry delay suggested to callers whose account has too many streams.
	streamRetryDelay = time.Second
	// shareTTL is how long a computed share is used before it is recomputed.
	shareTTL = 250 * time.Millisecond
)

// Limit is a kind of limit.
type Limit int

// The kinds of limits.
const (
	Requests Limit = iota
	Tokens
	Streams
	limitCount
)

// String returns the name of the limit in the configuration.
func (l Limit) String() string {
	return [...]string{"requestsPerSecond", "tokensPerSecond", "streams"}[l]
}

// LimitValues holds a value for each kind of limit.
type LimitValues [limitCount]float64

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

// limitsOf returns the deployment-wide limits of an account.
func limitsOf(a configurer.Account) LimitValues {
	return LimitValues{float64(a.RequestsPerSecond), float64(a.TokensPerSecond), float64(a.Streams)}
}

// Member is one instance in the membership list.
type Member struct {
	ID         string
	DataCentre string
	// DeadSince is zero for a live member. Members that left gracefully are not listed.
	DeadSince time.Time
}

// Limiter enforces one instance's shares of the limits of all accounts. It is not safe for concurrent use.
type Limiter struct {
	id, dataCentre string

	members      int
	leader       bool // this instance reports the demand of its data centre to the others
	participants map[string]*participant
	accounts     map[string]*account
	lastReportAt time.Time
	cursor       string // the last account in the previous report
}

// account is the state of one account at this instance.
type account struct {
	limits       LimitValues
	demand       demand
	advertised   demandHistory
	centreDemand LimitValues // of the data centre, as last reported by this instance
	buckets      [2]float64
	refilledAt   time.Time
	streams      int
	share        LimitValues
	shareAt      time.Time
	// pendingReports and pendingCentreReports are the numbers of reports in which the demand of this instance and that
	// of its data centre are still to be sent.
	pendingReports, pendingCentreReports int
	sentAt                               time.Time
}

// New returns the limiter of an instance without other members.
func New(id, dataCentre string) *Limiter {
	return &Limiter{
		id: id, dataCentre: dataCentre, members: 1, leader: true, participants: map[string]*participant{}, accounts: map[string]*account{},
	}
}

// SetAccounts sets the accounts of the configuration and removes the state of all others.
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
	// Limit is the exhausted limit, and RetryAfter the time after which the account may have capacity again.
	Limit      Limit
	RetryAfter time.Duration
}

// Acquire charges one request and its known tokens and counts a stream. If a limit is exhausted, it returns the limit
// and charges nothing, but the request still counts as demand. Every allowed request must be followed by a Release.
func (l *Limiter) Acquire(a configurer.Account, tokens int, now time.Time) Decision {
	ac := l.account(a, now)
	ac.demand = ac.demand.withRequest(tokens, now)
	share := l.share(a.Name, ac, now)
	ac.refill(share, now)
	for k, need := range [2]float64{Requests: 1, Tokens: 0} {
		if ac.buckets[k] < need || ac.buckets[k] <= 0 {
			return Decision{Limit: Limit(k), RetryAfter: refillTime(max(need, 1)-ac.buckets[k], share[k])}
		}
	}
	if float64(ac.streams) >= max(1, share[Streams]) {
		return Decision{Limit: Streams, RetryAfter: streamRetryDelay}
	}
	ac.buckets[Requests]--
	ac.buckets[Tokens] -= float64(tokens)
	ac.streams++
	return Decision{Allowed: true}
}

// Release ends a request's stream and charges tokens in addition to those of [Limiter.Acquire]; a negative number is
// refunded.
func (l *Limiter) Release(a configurer.Account, tokens int, now time.Time) {
	ac := l.account(a, now)
	ac.streams = max(0, ac.streams-1)
	ac.buckets[Tokens] -= float64(tokens)
	ac.demand = ac.demand.withTokens(tokens, now)
}

// Share returns this instance's share of the account's limits.
func (l *Limiter) Share(a configurer.Account, now time.Time) LimitValues {
	return l.share(a.Name, l.account(a, now), now)
}

func (l *Limiter) account(a configurer.Account, now time.Time) *account {
	ac := l.accounts[a.Name]
	if ac == nil {
		ac = &account{refilledAt: now}
		l.accounts[a.Name] = ac
	}
	if lim := limitsOf(a); lim != ac.limits {
		isNew := ac.limits == LimitValues{}
		ac.limits, ac.shareAt = lim, time.Time{}
		if isNew {
			share := l.share(a.Name, ac, now)
			ac.buckets = [2]float64{bucketSize(share[Requests], 1), bucketSize(share[Tokens], 1)}
		}
	}
	return ac
}

// refill adds the tokens for the time since the last refill to the buckets.
func (ac *account) refill(share LimitValues, now time.Time) {
	dt := max(0, now.Sub(ac.refilledAt).Seconds())
	ac.refilledAt = now
	for k := range ac.buckets {
		ac.buckets[k] = min(ac.buckets[k]+share[k]*dt, bucketSize(share[k], 1))
	}
}

// bucketSize returns the size of a token bucket: what the rate yields in BurstWindow, but not less than least.
func bucketSize(rate, least float64) float64 { return max(least, rate*BurstWindow.Seconds()) }

// refillTime returns the time in which a rate yields an amount, at most one minute.
func refillTime(amount, rate float64) time.Duration {
	if rate <= 0 || amount/rate > time.Minute.Seconds() {
		return time.Minute
	}
	return time.Duration(max(0, amount/rate) * float64(time.Second))
}
