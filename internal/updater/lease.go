package updater

import "time"

const (
	// leaseTerm is how long a holder may send commands, counted from before its claim was sent. It is short because a
	// successor has to wait for its end.
	leaseTerm = 700 * time.Millisecond
	// commandTimeout bounds how long after sending a command may reach a target.
	commandTimeout = 250 * time.Millisecond
	// takeoverMargin is added to the delay of a successor to allow for timers that fire late.
	takeoverMargin = 200 * time.Millisecond
)

// eraShift is the number of bits of a fencing token below the era. Numbers up to 53 bits pass through JSON unchanged.
const eraShift = 32

// Position is an offset of the claim log in one era of the metadata store. After the store was restored from a copy, a new era
// begins, and offsets are assigned again.
type Position struct{ Offset, Era int64 }

// fencingToken returns the token of the commands of a claim. It rises with each claim and with each era.
func (p Position) fencingToken() int64 { return p.Era<<eraShift + p.Offset + 1 }

// Lease is one instance's view of the lease that allows its holder to send commands. It is an immutable value. All times are
// those of a clock that also advances while the machine is suspended.
type Lease struct {
	// LogEnd is the position after the last claim; LogEndKnown reports whether the claim log was read yet in its era.
	LogEnd      Position
	LogEndKnown bool
	// OtherClaimSeenAt is when this instance last read a claim of another one, or had its own refused with [Conflict].
	OtherClaimSeenAt time.Duration
	// HeldByOther reports whether the last claim is that of another instance.
	HeldByOther bool
	// FencingToken and ValidUntil are those of this instance's claim; ValidUntil is 0 if it holds no lease.
	FencingToken int64
	ValidUntil   time.Duration
	// HeldBySelf reports whether the last claim is that of this instance; its term may have ended.
	HeldBySelf bool
}

// TakeoverDelay returns how long after the last claim of another instance this one may claim. By then, the other's term has
// ended, its last command has arrived or timed out, and the guard interval between two holders has passed.
func TakeoverDelay(guard time.Duration) time.Duration {
	return leaseTerm + commandTimeout + guard + takeoverMargin
}

// WithEra returns the lease at the start of an era of the metadata store. Claims may be lost, also that of another holder whose term
// has not ended, so the lease counts as claimed now.
func (l Lease) WithEra(era int64, now time.Duration) Lease {
	l.LogEnd, l.LogEndKnown = Position{Era: era}, false
	l.OtherClaimSeenAt, l.HeldByOther, l.HeldBySelf, l.ValidUntil = now, true, false, 0
	return l
}

// WithClaims returns the lease after the claim log was read up to next, with a number of claims by other instances since this
// one's last claim. They count as made now, because the time of a claim that was read late is unknown.
func (l Lease) WithClaims(others int, next Position, now time.Duration) Lease {
	if !l.LogEndKnown {
		// The store may just have been restored without the claim of a holder whose term has not ended.
		l = l.WithEra(next.Era, now)
		l.LogEnd, l.LogEndKnown = next, true
	}
	if next.Offset > l.LogEnd.Offset {
		l.LogEnd = next
	}
	if others > 0 {
		l.OtherClaimSeenAt, l.HeldByOther, l.HeldBySelf, l.ValidUntil = now, true, false, 0
	}
	return l
}

// WithConflict returns the lease after a claim was refused because the claim log ends at end instead of the expected offset.
func (l Lease) WithConflict(end Position, now time.Duration) Lease {
	l.LogEnd, l.OtherClaimSeenAt, l.HeldByOther, l.HeldBySelf, l.ValidUntil = end, now, true, false, 0
	return l
}

// WithGrant returns the lease after this instance's claim, sent at the given time, was appended at a position.
func (l Lease) WithGrant(at Position, sent time.Duration) Lease {
	l.LogEndKnown, l.HeldBySelf, l.HeldByOther = true, true, false
	l.LogEnd = Position{Offset: max(l.LogEnd.Offset, at.Offset+1), Era: at.Era}
	l.FencingToken, l.ValidUntil = at.fencingToken(), sent+leaseTerm
	return l
}

// WithoutTerm returns the lease after a target refused its fencing token.
func (l Lease) WithoutTerm() Lease {
	l.ValidUntil, l.HeldBySelf = 0, false
	return l
}

// Held reports whether this instance may send commands now.
func (l Lease) Held(now time.Duration) bool { return l.HeldBySelf && now < l.ValidUntil }

// MayClaim reports whether this instance may claim the lease now; guard is the guard interval between two holders.
func (l Lease) MayClaim(now, guard time.Duration) bool {
	if !l.LogEndKnown {
		return false
	}
	return !l.HeldByOther || now-l.OtherClaimSeenAt >= TakeoverDelay(guard)
}
