// Package watcher follows the configuration and the target registrations in the metadata store.
//
// It reads two sources: the operator's records by long polling, and the targets'
// records at a fixed interval, since targets write so often that a long poll would
// return at once. One goroutine owns the control state. It applies each change and
// publishes an immutable [cataloger.View], which requests read without a lock.
//
// If the metadata store is unreachable, the last view stays in force. Targets
// whose records expired during an outage are removed only if they do not register
// again shortly after it. A write from before a removal, which the store may apply
// late, brings no target back: departures are shared with the other instances, and
// a record that may be from before one is proven first.
//
// The age of the configuration is measured on a clock that includes time in which
// the machine is suspended, because API keys may be trusted only for a limited
// time after they were last confirmed.
//
// # Usage
//
//	w := watcher.New(operatorSource, targetSource, log)
//	go w.Run(ctx)
//	v := w.View()
package watcher

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/clocker"
	"github.com/papayaworks/papayaworks/internal/logger"
)

const (
	// defaultLongPollTimeout is how long a read of the operator's source waits for changes. While the store is
	// reachable, the configuration age is at most twice this value. A dead connection is noticed in the same time.
	defaultLongPollTimeout = 2 * time.Second
	// defaultPollInterval is the time between two reads of the targets' source.
	defaultPollInterval = 600 * time.Millisecond
	// expiryInterval is the time between two checks for targets that did not register again after an outage.
	expiryInterval = 300 * time.Millisecond
	// readTimeout is how long a read may take in addition to its long-poll time-out.
	readTimeout = 900 * time.Millisecond
	// minRetryDelay is the delay after a first failed read. It doubles with each failure up to maxRetryDelay, since all
	// instances of a deployment read from the same store.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// recoveryCheckInterval is the time between two checks whether the operator's source is reachable again. Other
	// sources are read only then, since the store charges for failed calls too.
	recoveryCheckInterval = 100 * time.Millisecond
	// maxRecoveryWait is how long the reads of another source are suspended for the operator's source to recover.
	maxRecoveryWait = 2400 * time.Millisecond
	// reregistrationGrace is how long a target whose record expired during an outage may take to register again. Live
	// targets do so within 2 s of the store's recovery.
	reregistrationGrace = 2200 * time.Millisecond
)

// Change is one published change: ConfigChange, DesiredVersionChange, EvacuationChange, TargetUpdated, TargetRemoved or InvalidRecord.
type Change interface{ change() }

// ConfigChange is a new configuration.
type ConfigChange struct{ Catalog *cataloger.Catalog }

// DesiredVersionChange sets the weight version that the targets of a model are to load.
type DesiredVersionChange struct {
	Model   string
	Version int64
}

// EvacuationChange says whether the targets of a data centre must not get further calls.
type EvacuationChange struct {
	DataCentre  string
	IsEvacuated bool
}

// TargetUpdated is a new registration record of one target.
type TargetUpdated struct{ Target *cataloger.Target }

// TargetRemoved is the deletion or expiry of a target's record.
type TargetRemoved struct{ ID string }

// InvalidRecord is a record that could not be decoded. It is logged and leaves the view unchanged.
type InvalidRecord struct {
	Key string
	Err error
}

func (ConfigChange) change()         {}
func (DesiredVersionChange) change() {}
func (EvacuationChange) change()     {}
func (TargetUpdated) change()        {}
func (TargetRemoved) change()        {}
func (InvalidRecord) change()        {}

// Batch is a list of changes in order, with the offset after them.
type Batch struct {
	Changes    []Change
	NextOffset int64
	// Era counts how often the store was restored from a copy; 0 if it is not known. Offsets are valid in their era only.
	Era int64
	// IsSnapshot reports whether the batch holds the complete current state instead of the changes since an offset.
	IsSnapshot bool
}

// Source is a stream of changes in the metadata store.
type Source interface {
	// Snapshot returns the complete current state.
	Snapshot(ctx context.Context) (Batch, error)
	// Changes returns the changes from an offset on, and waits up to wait for the first one. If the store no longer
	// retains the offset, it returns a snapshot.
	Changes(ctx context.Context, from int64, wait time.Duration) (Batch, error)
}

// Watcher follows both sources. Its methods may be called from any goroutine, except Run, which is called once.
type Watcher struct {
	Operator, Targets Source
	Log               logger.Logger
	// LongPollTimeout is how long a read of the operator's source waits for changes at first. 0 and values above the default
	// mean the default.
	LongPollTimeout time.Duration
	// PollInterval is the time between two reads of the targets' source; 0 means the default.
	PollInterval time.Duration
	// HeartbeatInterval is the time between two records of a target; 0 means the default.
	HeartbeatInterval time.Duration
	// BeforePublish is called on the control goroutine with each new view before the view is in force, OnPublish after it. Both may be nil.
	BeforePublish func(*cataloger.View)
	OnPublish     func(*cataloger.View)
	// OnRestore is called when the store was restored from a copy, so that what this instance wrote there may be lost. It must not
	// block, and may be nil.
	OnRestore func()
	// OnRecover is called when the operator's source was read over a connection that other readers of the store do not have yet: after an
	// outage, a restoration or a long poll that was given up. It must not block, and may be nil.
	OnRecover func()

	// IsHealthy sends a health request to a target and reports whether the target says that it is healthy and not leaving. It is called for
	// targets that register again shortly after they were removed; it may be nil.
	IsHealthy func(ctx context.Context, t *cataloger.Target, path string) bool

	// elapsed is a clock that includes time in which the machine is suspended; tests replace it. bootedAt is the time of day at its start,
	// as it was when the watcher was created.
	elapsed         func() time.Duration
	bootedAt        time.Time
	view            atomic.Pointer[cataloger.View]
	confirmedAt     atomic.Int64
	longPollTimeout atomic.Int64
	// shortened ends a long poll because the timeout has become shorter.
	shortened           chan struct{}
	operatorUnreachable atomic.Bool
	// unreachableSince is the Unix time in nanoseconds at which the first read of the current outage failed.
	unreachableSince atomic.Int64
	events           chan event
	// progress is the position of the operator's source; nil before the first read.
	progress atomic.Pointer[Progress]
	peers    *peerProgress
	sharing  sharing
	// sharedReadInterval is the time between two reads of the operator's source by an instance that is no reader.
	sharedReadInterval atomic.Int64
	// expired holds the removal times of targets whose records expired during an outage.
	expired    map[string]time.Time
	departures *departures
	heartbeats map[string]heartbeatEstimate
	outliers   outliers
	// unproven holds records of removed targets that may have been written before the removal.
	unproven map[string]unprovenRecord
	// healthRequests holds targets whose health is to be requested.
	healthRequests chan *cataloger.Target
	// era is that of the last batch.
	era int64
	// firstReadAt is when the first batch of targets was read.
	firstReadAt time.Time
}

// event is a message to the control goroutine: a batch, or a function to apply.
type event struct {
	batch Batch
	// fromTargets reports whether the batch is one of the targets' source, and isFirst whether it is the first one. sentAt is when it was
	// requested.
	fromTargets, isFirst bool
	sentAt               time.Duration
	// requestedAt is when the batch was requested from the operator's source; 0 for other sources.
	requestedAt time.Duration
	// publishedAt is when the changes of the batch were published; if it was not observed, the earliest possible time or
	// [cataloger.UnknownTime].
	publishedAt time.Duration
	observed    bool
	// afterOutage reports whether reads failed or the store was restored since the last batch of the same source.
	afterOutage bool
	apply       func(*cataloger.View) *cataloger.View
	// healthy is a target with an unproven record that has called itself healthy.
	healthy *cataloger.Target
}

// New returns a watcher with an empty view.
func New(operator, targets Source, log logger.Logger) *Watcher {
	w := &Watcher{
		Operator: operator, Targets: targets, Log: log, elapsed: clocker.SinceBoot,
		events: make(chan event, 16), shortened: make(chan struct{}, 1), peers: newPeerProgress(), expired: map[string]time.Time{},
		departures: newDepartures(), heartbeats: map[string]heartbeatEstimate{}, unproven: map[string]unprovenRecord{}, healthRequests: make(chan *cataloger.Target, maxHealthRequests), outliers: outliers{}, bootedAt: time.Now().Add(-clocker.SinceBoot()).Round(0),
	}
	w.view.Store(cataloger.NewView())
	return w
}

// View returns the current view.
func (w *Watcher) View() *cataloger.View { return w.view.Load() }

// ConfigAge returns the time since the operator's configuration was last confirmed to be current, suspended time
// included. It returns one hour before the first read.
func (w *Watcher) ConfigAge() time.Duration {
	at := w.confirmedAt.Load()
	if at == 0 {
		return time.Hour
	}
	return w.elapsed() - time.Duration(at)
}

// Apply submits a change of the view to the control goroutine and returns before it is applied. It blocks while the
// queue is full, and drops the change if ctx is done first.
func (w *Watcher) Apply(ctx context.Context, f func(*cataloger.View) *cataloger.View) {
	select {
	case w.events <- event{apply: f}:
	case <-ctx.Done():
	}
}

// Run follows the sources until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	w.longPollTimeout.CompareAndSwap(0, int64(w.LongPollTimeout))
	go (&follower{w: w, name: "operator", source: w.Operator, wait: w.operatorWait}).run(ctx)
	go (&follower{w: w, name: "targets", source: w.Targets, wait: func() time.Duration { return 0 }, interval: w.pollInterval()}).run(ctx)
	go w.runHealthRequests(ctx)
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-w.events:
			w.handle(e, w.now())
			if e.requestedAt > 0 {
				w.confirmedAt.Store(int64(e.requestedAt))
			}
		case <-t.C:
			w.expire(w.now())
		case <-w.departures.learned:
			w.applyLearned(w.now())
		}
	}
}

// pollInterval returns the time between two reads of the targets' source.
func (w *Watcher) pollInterval() time.Duration { return cmp.Or(w.PollInterval, defaultPollInterval) }

// now returns the time of day. It follows the clock that includes suspended time, and no later change of the machine's time of day.
func (w *Watcher) now() time.Time { return w.bootedAt.Add(w.elapsed()) }

// SetLongPollTimeout replaces LongPollTimeout. A long poll in progress ends if it may take longer. It may be called from any goroutine.
func (w *Watcher) SetLongPollTimeout(d time.Duration) {
	previous := w.operatorWait()
	w.longPollTimeout.Store(int64(d))
	if w.operatorWait() < previous {
		select {
		case w.shortened <- struct{}{}:
		default: // already triggered
		}
	}
}

// operatorWait returns how long the next read of the operator's source waits for changes.
func (w *Watcher) operatorWait() time.Duration {
	if d := time.Duration(w.longPollTimeout.Load()); d > 0 && d <= defaultLongPollTimeout {
		return d
	}
	return defaultLongPollTimeout
}

// handle applies an event and publishes the resulting view.
func (w *Watcher) handle(e event, now time.Time) {
	if e.healthy != nil {
		w.handleHealthy(e.healthy, now)
		return
	}
	old := w.view.Load()
	v := old
	if e.apply != nil {
		v = e.apply(v)
	}
	if e.isFirst && e.fromTargets {
		w.firstReadAt = now
	}
	if e.apply == nil {
		if e.batch.Era != w.era && w.era != 0 {
			w.departures.restore(now)
		}
		w.era = e.batch.Era
	}
	present, d, expired, unproven := map[string]bool{}, v.Draft(), len(w.expired), len(w.unproven)
	for _, c := range e.batch.Changes {
		v = w.applyChange(v, d, c, e, now, present)
	}
	// A snapshot without targets removes none: that of the operator's source never has any.
	if e.batch.IsSnapshot && len(present) > 0 {
		w.removeMissing(d, present, e.afterOutage, now)
	}
	if e.fromTargets {
		w.dropDeparted(d, now, true)
		w.confirmUnproven(d, e, now)
		w.checkHealth()
	}
	v = w.applyEvacuations(v.WithDraft(d), e)
	w.publish(old, v)
	if e.fromTargets {
		changed := !isSameTargets(old, v) || len(w.expired) != expired || len(w.unproven) > unproven || hasRemovals(e.batch)
		w.sharing.targets.recordRead(e.batch.Era, e.batch.NextOffset, e.sentAt, changed, e.isFirst, len(w.unproven) > 0)
	}
}

// SetSharedReadInterval sets the time between two reads of the operator's source by an instance that is no reader; 0 means the default.
// It may be called from any goroutine.
func (w *Watcher) SetSharedReadInterval(d time.Duration) { w.sharedReadInterval.Store(int64(d)) }

func (w *Watcher) publish(old, v *cataloger.View) {
	if v == old {
		return
	}
	if w.BeforePublish != nil {
		w.BeforePublish(v)
	}
	w.view.Store(v)
	if w.OnPublish != nil {
		w.OnPublish(v)
	}
}

// applyChange returns the view after one change of an event. Changes of targets are made in the draft, and the IDs of updated
// targets are added to present.
func (w *Watcher) applyChange(v *cataloger.View, d *cataloger.Draft, c Change, e event, now time.Time, present map[string]bool) *cataloger.View {
	switch c := c.(type) {
	case ConfigChange:
		n := v.WithCatalog(c.Catalog)
		w.Log.WithField("version", c.Catalog.Version).WithField("taken", n != v).Info("configuration read")
		if len(c.Catalog.UnknownKinds) > 0 {
			w.Log.WithField("version", c.Catalog.Version).WithField("routes", c.Catalog.UnknownKinds).Warn("kinds of routes unknown")
		}
		if len(c.Catalog.UnreadableNumbers) > 0 {
			w.Log.WithField("version", c.Catalog.Version).WithField("fields", c.Catalog.UnreadableNumbers).Warn("numbers of the configuration cannot be read")
		}
		if len(c.Catalog.UnreadableHomes) > 0 {
			w.Log.WithField("version", c.Catalog.Version).WithField("of", c.Catalog.UnreadableHomes).Warn("homes of the configuration cannot be read")
		}
		return n
	case DesiredVersionChange:
		w.Log.WithField("model", c.Model).WithField("version", c.Version).WithField("publishTimeKnown", e.publishedAt != cataloger.UnknownTime).
			Info("desired weight version read")
		d := cataloger.DesiredVersion{Version: c.Version, PublishedAt: e.publishedAt}
		if e.observed {
			d.Source = cataloger.Observed
		}
		return v.WithDesiredVersion(c.Model, d)
	case TargetUpdated:
		if err := checkTarget(v, d, c.Target, now); err != nil {
			return w.applyChange(v, d, InvalidRecord{Key: c.Target.ID, Err: err}, e, now, present)
		}
		t, counts := w.checkDeparture(d, c.Target, e, now)
		if !counts {
			// A target in use has registered again since its removal, and an unproven record remains one.
			_, inUse := d.Target(c.Target.ID)
			_, isUnproven := w.unproven[c.Target.ID]
			if inUse || isUnproven {
				present[c.Target.ID] = true
			}
			return v
		}
		present[t.ID] = true
		w.putTarget(d, t, now, e.isFirst)
	case TargetRemoved:
		w.removeTarget(d, c.ID, e.afterOutage, now)
	case InvalidRecord:
		if _, ok := d.Target(c.Key); ok {
			// The target's state before holds on.
			present[c.Key] = true
		}
		w.Log.WithField("key", c.Key).WithField("error", c.Err.Error()).Warn("invalid record ignored")
	}
	return v
}
