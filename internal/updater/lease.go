package updater

import "time"

const (
	// term is how long a claim allows its holder to give orders, from before the claim was sent. It is short since a
	// successor has to wait for its end.
	term = 700 * time.Millisecond
	// orderTimeout bounds how long after its sending an order may reach a target.
	orderTimeout = 250 * time.Millisecond
	// takeoverMargin is added to the wait of a successor, for timers that fire late.
	takeoverMargin = 200 * time.Millisecond
)

// Lease is what one instance knows about who may give orders; it is an immutable value. All times are on a clock that
// goes on while the machine is suspended.
type Lease struct {
	// LogEnd is the offset after the last claim; LogEndKnown tells whether it was read yet.
	LogEnd      int64
	LogEndKnown bool
	// OtherClaimSeenAt is when the last claim of another instance was seen.
	OtherClaimSeenAt time.Duration
	// HeldByOther: there was a claim of another instance, and it is the last one.
	HeldByOther bool
	// FencingToken and ValidUntil are those of the own claim; ValidUntil is 0 if there is none.
	FencingToken int64
	ValidUntil   time.Duration
	// HeldBySelf: the last claim is that of this instance.
	HeldBySelf bool
}

// TakeoverDelay returns how long after the last claim of another instance this one may claim: the other's term has ended, its
// last order has arrived, and the time has passed in which two holders must not give orders in turn.
func TakeoverDelay(apart time.Duration) time.Duration {
	return term + orderTimeout + apart + takeoverMargin
}

// WithClaims returns the lease after claims of other instances were read up to next; at the first read it is not known
// when they were made, so they count as made now.
func (l Lease) WithClaims(others int, next int64, now time.Duration) Lease {
	if next > l.LogEnd || !l.LogEndKnown {
		l.LogEnd = next
	}
	l.LogEndKnown = true
	if others > 0 {
		l.OtherClaimSeenAt, l.HeldByOther, l.HeldBySelf, l.ValidUntil = now, true, false, 0
	}
	return l
}

// WithConflict returns the lease after a claim was refused because the journal ends elsewhere.
func (l Lease) WithConflict(end int64, now time.Duration) Lease {
	l.LogEnd, l.OtherClaimSeenAt, l.HeldByOther, l.HeldBySelf, l.ValidUntil = end, now, true, false, 0
	return l
}

// WithGrant returns the lease after the own claim, sent at a time, was appended at an offset.
func (l Lease) WithGrant(offset int64, sent time.Duration) Lease {
	l.LogEndKnown, l.HeldBySelf, l.HeldByOther = true, true, false
	l.LogEnd = max(l.LogEnd, offset+1)
	l.FencingToken, l.ValidUntil = offset+1, sent+term
	return l
}

// WithoutTerm returns the lease after a target refused its fencing number.
func (l Lease) WithoutTerm() Lease {
	l.ValidUntil, l.HeldBySelf = 0, false
	return l
}

// Held reports whether orders may be given now.
func (l Lease) Held(now time.Duration) bool { return l.HeldBySelf && now < l.ValidUntil }

// MayClaim reports whether a claim may be sent now, apart being the time within which holders must not take turns.
func (l Lease) MayClaim(now, apart time.Duration) bool {
	if !l.LogEndKnown {
		return false
	}
	return !l.HeldByOther || now-l.OtherClaimSeenAt >= TakeoverDelay(apart)
}
