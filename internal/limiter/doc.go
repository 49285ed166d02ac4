// Package limiter divides the rate limits of each client account between instances without a coordinator.
//
// An account is limited in requests per second, tokens per second and concurrent
// streams. Each instance advertises its demand for each account and enforces its
// own share of the limit with token buckets. The share of instance i is
//
//	limit x (0.2/N + 0.8 x d(i)/D)
//
// N is the number of members, including those that died less than 10 minutes ago
// ([DeadMemberTTL]). d(i) is the demand in force of the instance: the smallest
// value that it advertised during the last [SettleTime]. D is the sum of d(i) and
// the last advertised demands of all other members. The demand of every member
// counts as at least a quarter of an even share, and a member advertises at most
// 1.5 times its demand in force. Otherwise, much of the limit would be unused while
// demand rises at all instances.
//
// # Bound
//
// Assume that every advertisement reaches every member within x seconds, except
// during interruptions of up to z seconds that the membership does not detect, that
// a partition is detected within y seconds, and that x + y + z <= [SettleTime].
//
// Connected: the last value that i received from j was j's current advertisement at
// some time during the last SettleTime, so it is at least d(j). Hence D is at least
// the sum of all d(j), and the shares of all instances add up to at most
// 0.2 + 0.8 = 1 times the limit. The sums below are also multiples of the limit.
//
// Partitioned into A, B, ...: until the partition is detected, a demand in force is
// at most a value that was advertised before the partition, which the other sides
// still use, so the sum stays <= 1. On detection, a member fixes the fraction
// f = q/(p + q) of each disconnected side, where q is the last known demand of that
// side and p the demand in force of its own. Members divide only 1 - f among
// themselves. p is at most the value that the other sides hold for this side, and q
// is at least the demand in force there, so the fractions p/(p + q) of all sides
// add up to at most 1. This holds until the disconnected members have been dead for
// 10 minutes. From then on each side may spend the whole limit, and the sum is at
// most the number of sides.
//
// When a partition ends, possibly only one side has detected it. That side uses the
// smaller of its share with fixed fractions and its share by demand until SettleTime
// has passed.
//
// If reports are delayed further, or lost for longer, each instance may spend up to
// the whole limit until they arrive; the sum is then at most N.
//
// An instance that has just joined adds at most 1/N until the others count it, and
// at most 1 while it does not know its members yet. Rounding adds at most one stream
// for each instance. A token bucket adds at most [BurstWindow] of its rate or one
// request. Tokens that are known only after a request are charged at that time.
//
// # Usage
//
//	l := limiter.New("kochi-a-1", "kochi-a")
//	l.SetMembers(members, now)
//	l.Merge(member, usages, now)
//	if d := l.Acquire(account, tokens, now); !d.Allowed { refuse(d.Limit, d.RetryAfter) }
//	defer l.Release(account, extraTokens, now)
//	send(l.Report(now))
//
// A [Limiter] has no clock and no goroutine. It is not safe for concurrent use.
package limiter
