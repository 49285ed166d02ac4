package updater

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/papayaworks/papayaworks/internal/clocker"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// Claim is one record of the claim log.
type Claim struct {
	Holder string `json:"holder"`
	// Nonce distinguishes this claim from others of the same holder.
	Nonce string `json:"nonce"`
	// Targets maps the targets that are about to receive a command to the requested version.
	Targets map[string]int64 `json:"targets,omitempty"`
}

// Records is a batch of consecutive claims from the claim log.
type Records struct {
	Claims []Claim
	// FirstOffset is the offset of the first claim; NextOffset is the offset after the last one. Both belong to Era.
	FirstOffset, NextOffset, Era int64
}

// ClaimLog is the append-only topic of claims in the metadata store.
type ClaimLog interface {
	// Append appends a claim on the condition that the log ends at offset at, whatever the era. It returns the position of the
	// claim, or, with [Conflict], the actual end of the log.
	Append(ctx context.Context, c Claim, at int64) (Position, Outcome)
	// Read returns the claims from an offset on. If there are none, it waits up to wait for new ones. The offset belongs to the
	// era of the returned records, which may be another one than that in which the caller got it.
	Read(ctx context.Context, from int64, wait time.Duration) (Records, error)
}

// follow applies the claims of the claim log until ctx is done.
func (u *Updater) follow(ctx context.Context) {
	var next Position
	synced := false
	for ctx.Err() == nil {
		active, known := u.shouldFollow()
		if !active {
			sleeper.Sleep(ctx, reconcileInterval)
			continue
		}
		rctx, wait := u.startPoll(ctx, known)
		records, err := u.ClaimLog.Read(rctx, next.Offset, wait)
		u.endPoll()
		if err != nil {
			if ctx.Err() == nil {
				logger.WithError(u.Log, err).Debug("could not read the claim log")
			}
			sleeper.Sleep(ctx, retryDelay)
			continue
		}
		if synced && records.Era != next.Era {
			u.startEra(records.Era)
			next = Position{Era: records.Era}
			continue
		}
		next, synced = Position{Offset: records.NextOffset, Era: records.Era}, true
		u.applyClaims(records)
	}
}

// startPoll returns the context of the next read of the claim log, which endPoll ends, and how long the read waits for claims.
func (u *Updater) startPoll(ctx context.Context, known bool) (context.Context, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	wait := claimPollTimeout
	if !known || u.refresh {
		wait, u.refresh = 0, false
	}
	ctx, u.endPoll = context.WithTimeout(ctx, wait+storeTimeout)
	return ctx, wait
}

// startEra gives up the lease and what is known of the claim log if the metadata store has begun an era.
func (u *Updater) startEra(era int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lease.LogEnd.Era == era {
		return
	}
	u.lease = u.lease.WithEra(era, clocker.SinceBoot())
	clear(u.nonces)
	u.Log.WithField("era", era).Info("order lease given up, as claims may be lost")
}

// shouldFollow reports whether this instance should read the claim log now, and whether the end of the log is known.
func (u *Updater) shouldFollow() (active, known bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.standby.ShouldFollow(clocker.SinceBoot()), u.lease.LogEndKnown
}

// applyClaims updates the lease and the swapping targets from claims of the log.
func (u *Updater) applyClaims(rs Records) {
	now := clocker.SinceBoot()
	u.mu.Lock()
	defer u.mu.Unlock()
	others := 0
	if rs.FirstOffset > u.lease.LogEnd.Offset && len(rs.Claims) == 0 {
		others++ // claims that the store has truncated may be those of other instances
	}
	for i, c := range rs.Claims {
		for id := range c.Targets {
			u.markSwapping(id, now+swapTimeout)
		}
		if sent, ok := u.nonces[c.Nonce]; ok {
			delete(u.nonces, c.Nonce)
			u.lease = u.lease.WithGrant(Position{Offset: rs.FirstOffset + int64(i), Era: rs.Era}, sent)
			others = 0
			continue
		}
		if c.Holder != u.Holder || !u.lease.HeldBySelf {
			others++
		}
	}
	u.lease = u.lease.WithClaims(others, Position{Offset: rs.NextOffset, Era: rs.Era}, now)
	if others > 0 {
		u.standby = u.standby.WithProgress(now)
	}
}

// claim appends a claim for the targets of next and reports whether it was granted.
func (u *Updater) claim(ctx context.Context, l Lease, next []Update) bool {
	c := Claim{Holder: u.Holder, Nonce: strconv.FormatUint(rand.Uint64(), 36), Targets: map[string]int64{}}
	for _, up := range next {
		c.Targets[up.Target.ID] = up.Version
	}
	sent := clocker.SinceBoot()
	u.mu.Lock()
	u.nonces[c.Nonce] = sent
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	at, out := u.ClaimLog.Append(ctx, c, l.LogEnd.Offset)
	if (out == Accepted || out == Conflict) && at.Era != l.LogEnd.Era {
		// The claim was made without knowledge of the claims of this era, so it is not used.
		u.startEra(at.Era)
		return false
	}
	if u.recordClaim(c, at, out, sent) {
		if u.OnClaim != nil {
			u.OnClaim()
		}
		return true
	}
	return false
}

// recordClaim applies the outcome of a claim that was sent at the given time, and reports whether it was granted.
func (u *Updater) recordClaim(c Claim, at Position, out Outcome, sent time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch out {
	case Accepted:
		delete(u.nonces, c.Nonce)
		u.lease = u.lease.WithGrant(at, sent)
		for id := range c.Targets {
			u.markSwapping(id, clocker.SinceBoot()+swapTimeout)
		}
		u.Log.WithField("fence", u.lease.FencingToken).WithField("targets", len(c.Targets)).Info("order lease acquired")
		return true
	case Conflict:
		delete(u.nonces, c.Nonce)
		if at != u.lease.LogEnd || !u.lease.HeldBySelf {
			u.lease = u.lease.WithConflict(at, clocker.SinceBoot())
			u.Log.WithField("end", at.Offset).Info("order lease is held by another instance")
		}
	}
	return false
}
