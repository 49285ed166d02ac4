package watcher

import (
	"context"
	"errors"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// follower reads one source and passes what it has read to the control goroutine. It is used by a single goroutine.
type follower struct {
	w      *Watcher
	name   string
	source Source
	// wait returns how long the next read waits for changes; interval is the time between two reads.
	wait     func() time.Duration
	interval time.Duration

	pos    cursor
	times  publishTimes
	outage outage
	// confirmNow makes the next read return at once, because a long poll has become too long.
	confirmNow bool
	// readAt is when the last successful read was sent.
	readAt time.Duration
	// gaveUp reports whether the last read was a long poll that was given up because another instance had read further.
	gaveUp bool
}

// cursor is how far a source has been read.
type cursor struct {
	// synced reports whether a snapshot has been read. offset is then the one after the last change, in the history of era.
	synced      bool
	offset, era int64
}

// outage is a period in which all reads fail; the zero value is none.
type outage struct {
	failedReads int
	// since is the start of the first failed read, noticedAt its end.
	since     time.Duration
	noticedAt time.Time
	// retryDelay is the delay after the last failed read.
	retryDelay time.Duration
}

func (o outage) active() bool { return o.failedReads > 0 }

// withFailure returns the outage after another failed read, which started at the given time.
func (o outage) withFailure(start time.Duration, now time.Time) outage {
	if !o.active() {
		o.since, o.noticedAt = start, now
	}
	o.failedReads++
	o.retryDelay = min(max(2*o.retryDelay, minRetryDelay), maxRetryDelay)
	return o
}

// run reads the source until ctx is done: the operator's by long polling, others with an interval between reads.
func (f *follower) run(ctx context.Context) {
	f.times.complete = cataloger.UnknownTime
	for ctx.Err() == nil {
		startedAt, start, timeout := time.Now(), f.w.elapsed(), f.nextTimeout()
		b, err := f.w.read(ctx, f.source, f.positionToRead(start), timeout)
		f.confirmNow = errors.Is(err, errShortened)
		switch {
		case f.confirmNow:
		case errors.Is(err, errBehindPeers):
			f.gaveUp = true
			f.log().WithField("readMs", (f.w.elapsed() - start).Milliseconds()).Warn("long poll given up, as another instance has read further")
		case err != nil:
			f.retryLater(ctx, start, err)
		default:
			f.deliver(ctx, b, startedAt, start, timeout)
			f.pause(ctx, start)
		}
	}
}

func (f *follower) log() logger.Logger { return f.w.Log.WithField("source", f.name) }

func (f *follower) isOperator() bool { return f.source == f.w.Operator }

// nextTimeout returns the long-poll time-out of the next read. It is 0 after a failed read, so that the current configuration is confirmed
// as soon as the store is reachable, and if another instance has read further.
func (f *follower) nextTimeout() time.Duration {
	if f.outage.active() || f.confirmNow || f.isOperator() && f.pos.synced && f.w.peers.startCatchUp(f.pos) {
		return 0
	}
	if f.isOperator() && f.w.sharing.isShared.Load() {
		return 0
	}
	return f.wait()
}

// retryLater records a failed read and waits before the next one.
func (f *follower) retryLater(ctx context.Context, start time.Duration, err error) {
	if !f.outage.active() && ctx.Err() == nil {
		logger.WithError(f.log(), err).WithField("readMs", (f.w.elapsed() - start).Milliseconds()).Warn("metadata store unreachable")
	}
	f.outage = f.outage.withFailure(start, time.Now())
	if f.isOperator() {
		f.w.unreachableSince.Store(f.outage.noticedAt.UnixNano())
		f.w.operatorUnreachable.Store(true)
	}
	sleeper.Sleep(ctx, f.outage.retryDelay)
	if !f.isOperator() {
		f.w.awaitRecovery(ctx)
	}
}

// deliver passes a batch to the control goroutine. The read started at the given times and waited up to timeout.
func (f *follower) deliver(ctx context.Context, b Batch, startedAt time.Time, start, timeout time.Duration) {
	w := f.w
	if f.outage.active() {
		f.log().WithField("failedReads", f.outage.failedReads).WithField("outageMs", (w.elapsed() - f.outage.since).Milliseconds()).Info("metadata store reachable again")
		startedAt = f.outage.noticedAt
	}
	restored := f.pos.synced && b.Era != f.pos.era
	if restored {
		f.log().WithField("era", b.Era).WithField("previousEra", f.pos.era).Warn("metadata store restored from a copy")
		if f.isOperator() && w.OnRestore != nil {
			w.OnRestore()
		}
	}
	if recovered := f.outage.active() || restored || f.gaveUp; recovered && f.isOperator() && w.OnRecover != nil {
		w.OnRecover()
	}
	f.gaveUp = false
	e := event{batch: b, fromTargets: !f.isOperator(), isFirst: !f.pos.synced, sentAt: start, afterOutage: (f.outage.active() || restored) && f.pos.synced}
	e.publishedAt, e.observed = f.times.add(finishedRead{
		start: start, end: w.elapsed(), timeout: timeout, from: f.pos.offset, mayHaveMissed: restored && !w.peers.confirms(f.pos, startedAt),
	}, b)
	if f.isOperator() {
		// A response without changes may have been made at any time since the request, so only the time of the request is
		// confirmed.
		e.requestedAt = start
	}
	select {
	case w.events <- e:
	case <-ctx.Done():
		return
	}
	f.readAt = start
	f.pos, f.outage = cursor{synced: true, offset: b.NextOffset, era: b.Era}, outage{}
	if f.isOperator() {
		w.progress.Store(&Progress{Era: b.Era, Offset: b.NextOffset})
		w.operatorUnreachable.Store(false)
	}
}

// awaitRecovery waits until the operator's source is reachable, at most maxRecoveryWait.
func (w *Watcher) awaitRecovery(ctx context.Context) {
	for start := w.elapsed(); w.operatorUnreachable.Load() && w.elapsed()-start < maxRecoveryWait; {
		if !sleeper.Sleep(ctx, recoveryCheckInterval) {
			return
		}
	}
}

// Errors of long polls that were given up.
var (
	errBehindPeers = errors.New("another instance has read further")
	errShortened   = errors.New("the timeout of long polls has become shorter")
)

// read returns the changes after c, or a snapshot if c is not a position in the store's present history. It gives up a long poll of the
// operator's source if another instance has read further or the timeout has become shorter.
func (w *Watcher) read(ctx context.Context, s Source, c cursor, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	if s != w.Operator || wait == 0 || !c.synced {
		return readFrom(ctx, s, c, wait)
	}
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	go func() {
		if w.peers.awaitLead(ctx, c) {
			giveUp(errBehindPeers)
		}
	}()
	go func() {
		select {
		case <-w.shortened:
			giveUp(errShortened)
		case <-ctx.Done():
		}
	}()
	b, err := readFrom(ctx, s, c, wait)
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errBehindPeers) || errors.Is(cause, errShortened)) {
		err = cause
	}
	return b, err
}

// readFrom returns the changes after c, or a snapshot if c is not a position in the store's present history.
func readFrom(ctx context.Context, s Source, c cursor, wait time.Duration) (Batch, error) {
	if c.synced {
		b, err := s.Changes(ctx, c.offset, wait)
		if err != nil || b.Era == c.era || b.IsSnapshot {
			return b, err
		}
	}
	return s.Snapshot(ctx)
}
