// Package limiter is the policy that shares each client account's limits between instances without a coordinator.
//
// An account is limited in requests a second, tokens a second and concurrent
// streams. Instance i may spend
//
//	limit x (0.2/N + 0.8 x d(i)/D)
//
// N counts the members, also those that died less than 10 minutes ago. d(i) is
// the instance's demand in force, the smallest that it advertised in the last
// [SettleTime]. D is d(i) plus what the others advertised last. Every member counts
// with at least a quarter of an even part, and advertises at most half as much
// again as it has in force, so that the limit does not go unused while demand
// rises everywhere.
//
// # Bound
//
// Let every advertisement reach every member within x seconds, outside of gaps
// of z seconds that end unnoticed, and let a partition be detected within y
// seconds, with x + y + z <= [SettleTime].
//
// Connected: the last value that i knows of j was advertised at most Settle ago,
// so it is at least d(j). Hence D >= the sum of all d(j), and the parts of all
// instances add up to at most 0.2 + 0.8 = 1.
//
// Partitioned into parts A, B, ...: until the detection, a demand in force is
// at most one that was advertised before the partition, which the other parts
// still hold, so the sum stays <= 1. At the detection a member fixes the
// fraction f = q/(p + q) of each lost part, with q the last it knows of the lost
// part and p the demand in force of its own. Members spend 1 - f among
// themselves. Since p is at most what the others hold of this part, and q at
// least what is in force there, the fractions p/(p + q) of all parts add up to
// at most 1. This holds until the members have been dead for 10 minutes; then
// each part may spend the whole limit: the sum is at most the number of parts.
//
// After a partition only one side may have noticed it. That side spends the
// smaller of its fixed fraction and its part by demand until Settle has passed.
//
// Reports that are later than that, or lost for longer, may let each instance
// spend up to the whole limit until they arrive; the sum is then at most N.
//
// An instance that has just joined adds at most 1/N until the others count it,
// one that does not know its members yet at most 1. Rounding adds at most one
// stream for each instance, and a bucket at most [BurstWindow] of its rate or one
// request. Tokens that are known only after a run are charged then.
//
// # Usage
//
//	l := limiter.New("kochi-a-1", "kochi-a")
//	l.SetMembers(members, now)
//	l.Merge("kochi-a-2", usage, now)
//	if d := l.Acquire(account, tokens, now); !d.Allowed { refuse(d.Limit, d.RetryAfter) }
//	defer l.Release(account, extraTokens, now)
//	send(l.Report(now))
//
// A [Limiter] has no clock and no goroutine; it belongs to one goroutine or lock.
package limiter
