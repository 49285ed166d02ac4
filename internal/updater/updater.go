// Package updater brings targets to the weight versions that the operator requested, as a rolling update.
//
// One instance at a time sends weight-update commands: the holder of a lease that
// is derived from a claim log in the metadata store. A claim is appended on the
// condition that the log ends at the offset that the claimant expects; the fencing
// token of its commands is derived from the offset of the claim and the era of the
// store, which rises when it is restored from a copy. The term of a lease is
// short and counted from before the claim was sent; a successor claims only after a
// delay that no command of the previous holder can outlast (see [Lease]). Without
// pending updates no instance claims the lease.
//
// Of many instances only a few follow the claim log. The others do so when updates
// are pending and no instance of a lower rank makes progress (see [Standby]).
//
// A claim names the targets that are about to be updated, and the holder announces
// them, so that all instances can exclude them from selection while they load
// weights. Each command carries the number of commands that the target must have
// accepted before, so that a delayed command has no effect after a newer one.
//
// Topic, log keys and log messages call a command "order" and the lease "order
// lease".
//
// # Usage
//
//	u := &updater.Updater{
//		Holder: "kochi-a-1", GuardInterval: guard, ClaimLog: cl, Targets: ts, View: w.View, VersionOf: f, OnVersionReported: g, Log: log,
//	}
//	go u.Run(ctx)
//	u.IsSwapping(id)
package updater

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/clocker"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// claimPollTimeout is how long a read of the claim log waits for new claims.
	claimPollTimeout = 12 * time.Second
	// storeTimeout bounds calls to the metadata store, in addition to the time for which they may wait.
	storeTimeout = 800 * time.Millisecond
	// reconcileInterval is the time between two checks for pending updates.
	reconcileInterval = 60 * time.Millisecond
	retryDelay        = 300 * time.Millisecond
	reportTimeout     = 300 * time.Millisecond
	// reportInterval is the least time between two reports of a target that is swapping.
	reportInterval = 80 * time.Millisecond
)

// Mode is how a target treats its runs when it swaps weights.
type Mode int

// Modes of a weight swap.
const (
	// ModeDrain lets runs end before the swap.
	ModeDrain Mode = iota
	// ModeAbort aborts runs.
	ModeAbort
	// ModeLive lets runs continue with the new weights.
	ModeLive
)

// Outcome is the result of a command or an append, as far as it is known.
type Outcome int

// Outcomes of commands and appends.
const (
	// Accepted means that it has taken effect or will do so.
	Accepted Outcome = iota
	// AlreadyApplied means that the target already was in the requested state.
	AlreadyApplied
	// Conflict means that a precondition failed.
	Conflict
	// Fenced means that the target has seen a higher fencing token.
	Fenced
	// NotApplied means that it had no effect and will have none.
	NotApplied
	// Unknown means that it may take effect, now or later.
	Unknown
)

// Command tells a target to swap the weights of a model.
type Command struct {
	Model        string
	Version      int64
	Mode         Mode
	Holder       string
	FencingToken int64
	// ExpectedSequence is the number of commands that the target must have accepted before; otherwise it refuses this one.
	ExpectedSequence int64
}

// Report is the state of a target as reported by itself.
type Report struct {
	// Versions holds the weight version of each model.
	Versions map[string]int64
	// InProgress reports whether the target is executing a command.
	InProgress bool
	// Sequence is the number of commands that the target has accepted.
	Sequence int64
	// Clock is the time on the targets' clock.
	Clock time.Duration
}

// Targets is the client for targets. It must be safe for concurrent use.
type Targets interface {
	Report(ctx context.Context, t *cataloger.Target) (Report, error)
	Send(ctx context.Context, t *cataloger.Target, c Command) Outcome
}

// Updater sends weight-update commands while it holds the lease. The exported fields must be set before Run.
type Updater struct {
	// Holder is the name of this instance.
	Holder string
	// GuardInterval is the time that must pass between commands of two different holders.
	GuardInterval time.Duration
	ClaimLog      ClaimLog
	Targets       Targets
	View          func() *cataloger.View
	// VersionOf returns the newest observed weight version of a model on a target.
	VersionOf func(*cataloger.Target, string) int64
	// OnVersionReported is called with each weight version that a target reports.
	OnVersionReported func(t *cataloger.Target, model string, version int64)
	// OnClaim is called after each granted claim, before the commands are sent; it may be nil.
	OnClaim func()
	Log     logger.Logger

	mu       sync.Mutex
	lease    Lease
	swapping Swapping
	// nonces holds the nonces of claims whose outcome is unknown, with the time at which each was sent.
	nonces  map[string]time.Duration
	standby Standby
	// sequences holds the number of accepted commands of target processes, nextReport the earliest time for the next request
	// of a target's state.
	sequences  map[string]int64
	nextReport map[string]time.Duration
	// attemptedAt holds when this instance last tried to command targets with pending updates.
	attemptedAt map[string]time.Duration
	// endPoll ends the read of the claim log in progress; nil before the first one. refresh makes the next one return at once.
	endPoll context.CancelFunc
	refresh bool
}

// IsSwapping reports whether a target is assumed to be swapping weights after a recent command.
func (u *Updater) IsSwapping(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.swapping[id]; !ok {
		return false // without a system call for the clock
	}
	return u.swapping.Contains(id, clocker.SinceBoot())
}

// Refresh reads the claim log again without waiting for the end of a long poll, whose connection may be dead or whose offset may
// belong to an earlier era. It is called when the metadata store is reachable again or was restored.
func (u *Updater) Refresh() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refresh = true
	if u.endPoll != nil {
		u.endPoll()
	}
}

// SetInstances sets the instances that may hold the lease, including this one. Until it is called, this instance has rank 0.
func (u *Updater) SetInstances(ids []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.standby = u.standby.WithRank(StandbyOf(u.Holder, ids))
}

// SwappingTargets returns the targets that are assumed to be swapping, with the remaining time for which each is excluded
// from selection. It returns nil unless this instance made the last claim.
func (u *Updater) SwappingTargets() map[string]time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.lease.HeldBySelf {
		return nil
	}
	now := clocker.SinceBoot()
	out := map[string]time.Duration{}
	for id, until := range u.swapping {
		if until > now {
			out[id] = until - now
		}
	}
	return out
}

// Merge adds the swapping targets that another instance announced.
func (u *Updater) Merge(targets map[string]time.Duration) {
	if len(targets) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := clocker.SinceBoot()
	u.standby = u.standby.WithProgress(now)
	for id, remaining := range targets {
		u.markSwapping(id, max(u.swapping[id], now+min(remaining, swapTimeout)))
	}
}

// markSwapping excludes a target from selection until a time; u.mu is held.
func (u *Updater) markSwapping(id string, until time.Duration) {
	if u.swapping == nil {
		u.swapping = Swapping{}
	}
	u.swapping[id] = until
}

// Run follows the claim log and sends commands until ctx is done.
func (u *Updater) Run(ctx context.Context) {
	u.mu.Lock()
	u.nonces, u.sequences, u.nextReport, u.attemptedAt = map[string]time.Duration{}, map[string]int64{}, map[string]time.Duration{}, map[string]time.Duration{}
	u.mu.Unlock()
	go u.follow(ctx)
	for sleeper.Sleep(ctx, reconcileInterval) {
		u.reconcile(ctx)
	}
}

// reconcile determines the updates that may start now, claims the lease for them and sends the commands.
func (u *Updater) reconcile(ctx context.Context) {
	v := u.View()
	pending := PendingUpdates(v, u.VersionOf)
	now := clocker.SinceBoot()
	u.mu.Lock()
	for id := range u.swapping {
		if u.settled(v, id, pending) {
			delete(u.swapping, id)
		}
	}
	u.standby = u.standby.WithPending(len(pending), now)
	if len(pending) == 0 {
		clear(u.attemptedAt)
	}
	if len(pending) == 0 || v.Draining {
		u.mu.Unlock()
		return
	}
	l, sb := u.lease, u.standby
	next := NextUpdates(v, pending, u.swapping, u.attemptedAt, now)
	u.mu.Unlock()
	switch {
	case len(next) == 0:
		if l.HeldBySelf {
			u.requestReports(ctx, pending)
		}
	case l.HeldBySelf, sb.Eligible(now) && l.MayClaim(now, u.GuardInterval):
		if u.claim(ctx, l, next) {
			u.sendCommands(ctx, next)
		}
	}
}

// settled reports whether a swapping target has the requested weights, was removed or exceeded its time; u.mu is held.
func (u *Updater) settled(v *cataloger.View, id string, pending []Update) bool {
	if _, ok := v.Target(id); !ok {
		return true
	}
	for _, up := range pending {
		if up.Target.ID == id {
			return clocker.SinceBoot() > u.swapping[id]
		}
	}
	return true
}

// sendCommands sends the commands concurrently and waits for all responses.
func (u *Updater) sendCommands(ctx context.Context, next []Update) {
	var wg sync.WaitGroup
	for _, up := range next {
		wg.Go(func() { u.sendCommand(ctx, up) })
	}
	wg.Wait()
}

// sendCommand sends one command if the target still needs it and the lease is still held.
func (u *Updater) sendCommand(ctx context.Context, up Update) {
	t := up.Target
	key := t.ID + "/" + strconv.FormatInt(t.StartedUnixMs, 10)
	u.mu.Lock()
	u.attemptedAt[t.ID] = clocker.SinceBoot()
	count, ok := u.sequences[key]
	u.mu.Unlock()
	if !ok {
		r, err := u.report(ctx, t)
		if err != nil {
			logger.WithError(u.Log, err).WithField("target", t.ID).Info("target did not report its state")
			u.clearSwapping(t.ID)
			return
		}
		if r.Versions[up.Model] >= up.Version || r.InProgress {
			return
		}
		count = r.Sequence
	}
	u.mu.Lock()
	l := u.lease
	u.mu.Unlock()
	if !l.Held(clocker.SinceBoot()) {
		u.clearSwapping(t.ID)
		return
	}
	sctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	out := u.Targets.Send(sctx, t, Command{
		Model: up.Model, Version: up.Version, Mode: ModeLive, Holder: u.Holder, FencingToken: l.FencingToken, ExpectedSequence: count,
	})
	u.Log.WithField("target", t.ID).WithField("version", up.Version).WithField("fence", l.FencingToken).WithField("outcome", int(out)).Info("order was given")
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.sequences, key)
	switch out {
	case Accepted:
		u.sequences[key] = count + 1
	case Fenced:
		u.lease = u.lease.WithoutTerm()
	case NotApplied, Conflict, Unknown:
		// With Unknown, the command may still be executed much later. It then has no effect if another one was accepted
		// before, because of the expected sequence.
		u.markSwapping(t.ID, clocker.SinceBoot()+retryDelay)
	}
}

// clearSwapping ends the exclusion of a target.
func (u *Updater) clearSwapping(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.swapping, id)
}

// report requests the state of a target and passes on its weight versions.
func (u *Updater) report(ctx context.Context, t *cataloger.Target) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := u.Targets.Report(ctx, t)
	if err == nil {
		for model, v := range r.Versions {
			u.OnVersionReported(t, model, v)
		}
	}
	return r, err
}

// requestReports requests the state of the swapping targets, so that the next ones can be updated as soon as these are done.
func (u *Updater) requestReports(ctx context.Context, pending []Update) {
	now := clocker.SinceBoot()
	var wg sync.WaitGroup
	u.mu.Lock()
	for _, up := range pending {
		if _, ok := u.swapping[up.Target.ID]; !ok || now < u.nextReport[up.Target.ID] {
			continue
		}
		u.nextReport[up.Target.ID] = now + reportInterval
		wg.Go(func() {
			if _, err := u.report(ctx, up.Target); err != nil {
				logger.WithError(u.Log, err).WithField("target", up.Target.ID).Debug("target did not report its state")
			}
		})
	}
	u.mu.Unlock()
	wg.Wait()
}
