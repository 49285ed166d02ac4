// Package archiver tracks which KV cache blocks the KV stores hold, and plans which blocks a request fetches and saves.
//
// A prompt is divided into blocks, each identified by a hash. The store of a block
// is computed by rendezvous hashing weighted by capacity, so all instances save a
// block to the same store, and look it up there, without coordination.
//
// A store evicts nothing by itself and does not track its readers. A block may
// therefore be fetched only if it is known to be complete, and freed only if no
// target can be reading it. This package follows the event stream of each store.
// It discards its state of a store that is unreachable or has restarted.
//
// It learns of a restart late, and neither a fetch nor a save names the start of the
// store that it was planned for. A fetch therefore ends, by the clock of the
// targets, at most fetchLease after the store was last known not to have restarted
// ([Plan].FetchBefore), and no save is planned for as long after a restart was
// noticed: while a block that was complete before may still be fetched, it is not
// written again. The same holds for saves that were planned before and wait at
// their targets (see [Save]).
//
// A store supports only a few readers of its event stream. In larger deployments
// a subset of the instances, chosen by rendezvous hashing, follows each store, and
// each follower forwards new blocks to some of the other instances in its
// announcements (see [StoreUpdate]). If every follower sent to every instance, the
// traffic would fill the link of a small instance.
//
// Blocks of superseded weights are freed by the first-ranked follower of a store,
// after no target has used these weights for longer than any fetch takes.
//
// # Usage
//
//	a := &archiver.Archiver{Self: id, Client: c, Log: log}
//	a.SetStores(ctx, stores)
//	a.SetInstances(ctx, ids)
//	plan := a.Plan(scope, blockIDs, allowed, now)
package archiver

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/hasher"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// longPollTimeout is how long a read of a store's events waits. It bounds the time to notice an unreachable store.
	longPollTimeout = 400 * time.Millisecond
	// readTimeout is how long a read may take in addition to longPollTimeout.
	readTimeout = 400 * time.Millisecond
	retryDelay  = 200 * time.Millisecond
	// saveTimeout is how long a save is assumed to be in progress. The block is not saved again within this time.
	saveTimeout = 4 * time.Second
	// followersPerStore is how many instances follow the events of one store. A store supports a dozen readers.
	followersPerStore = 8
	// sendersPerPeer is how many followers of a store send its updates to each other instance, so that a failed
	// follower or a lost announcement does no harm.
	sendersPerPeer = 2
	// maxNewBlocks bounds the new blocks of a store in an announcement. Further ones are sent in the next announcement.
	maxNewBlocks = 400
	// maxResentBlocks bounds the blocks of a store that an announcement repeats.
	maxResentBlocks = 100
	// updateTTL is how long the state of a store is valid after the last successful read of its events or the last update
	// from a follower.
	updateTTL = 2 * time.Second
	// fetchLease is how long after the last confirmation that a store has not restarted a fetch from it may end.
	fetchLease = updateTTL + 500*time.Millisecond
	// clockSampleTTL is how long the largest offset of the target clock is kept before a smaller one replaces it.
	clockSampleTTL = 10 * time.Second
	// maxPendingSaves is the number of recorded saves above which timed-out ones are removed.
	maxPendingSaves = 20_000
)

// Block identifies a KV cache block. Scope separates blocks that must not be shared, such as those of different
// weights or of isolated accounts. ID is the hash of the block as given in the request.
type Block struct{ Scope, ID string }

// Key returns the hash that identifies the block among instances.
func (b Block) Key() uint64 { return hasher.Hash(b.Scope, b.ID) }

// Event is a state change of one block at a store.
type Event struct {
	Block Block
	// Complete reports whether the block became complete; otherwise it was removed.
	Complete bool
}

// EventBatch holds the events of a store since an offset.
type EventBatch struct {
	// Epoch changes when the store restarts.
	Epoch      int64
	NextOffset int64
	// Gap reports whether events before these are missing.
	Gap    bool
	Events []Event
	// Clock is the time on the clock of targets and stores when the response was made; 0 if it was not reported.
	Clock time.Duration
	// ConfirmedAt is a time on that clock at which the store had the epoch; 0 means Clock.
	ConfirmedAt time.Duration
}

// Client calls KV stores.
type Client interface {
	// Events returns the events from an offset on, and waits up to wait for the first one.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (EventBatch, error)
	// List returns all complete blocks as events.
	List(ctx context.Context, address string) (EventBatch, error)
	// Free removes blocks, unless the store has restarted since the epoch.
	Free(ctx context.Context, address string, epoch int64, blocks []Block) error
}

// Archiver follows the KV stores; it is safe for concurrent use.
type Archiver struct {
	// Self is the ID of this instance among those of SetInstances.
	Self   string
	Client Client
	Log    logger.Logger

	mu           sync.RWMutex
	instances    []string
	stores       []*store
	pendingSaves map[uint64]time.Time
	// waiting holds the saves of this instance that wait at a target, stated when other instances have last stated that a save of a block
	// waits. Old statements were removed at prunedAt.
	waiting  map[*Save]struct{}
	stated   map[SaveKey]time.Time
	prunedAt time.Time
	// offset is the target clock minus the local clock, as sampled at the local time offsetAt.
	offset, offsetAt time.Duration
}

// SetStores replaces the KV stores. The state of a store is retained if its address is unchanged. Stores are followed
// until ctx is done.
func (a *Archiver) SetStores(ctx context.Context, stores []*cataloger.Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pendingSaves == nil {
		a.pendingSaves, a.waiting = map[uint64]time.Time{}, map[*Save]struct{}{}
	}
	var current []*store
	for _, s := range stores {
		current = append(current, a.reuse(s.Store))
	}
	for _, previous := range a.stores {
		if previous.cancel != nil && !slices.Contains(current, previous) {
			previous.cancel()
		}
	}
	a.stores = current
	a.assign(ctx)
}

// reuse returns the current store with the same address, or a new one; a.mu is held.
func (a *Archiver) reuse(cs *cataloger.KVStore) *store {
	for _, old := range a.stores {
		if old.Address == cs.Address {
			old.dataCentre = cs.DataCentre
			return old
		}
	}
	return &store{KVStore: cs, dataCentre: cs.DataCentre, key: Block{ID: cs.Address}.Key(), blocks: map[uint64]Block{}}
}

// SetInstances sets the instances among which the stores are divided, this one included.
func (a *Archiver) SetInstances(ctx context.Context, ids []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances = ids
	a.assign(ctx)
}

// assign starts or stops following each store according to this instance's rank; a.mu is held.
func (a *Archiver) assign(ctx context.Context) {
	if len(a.instances) == 0 {
		return // the other instances have not been discovered yet
	}
	for _, s := range a.stores {
		s.rank = hasher.Rank(s.key, a.Self, a.instances)
		switch {
		case s.rank < followersPerStore && s.cancel == nil:
			sctx, cancel := context.WithCancel(ctx)
			s.cancel, s.synced = cancel, false
			go a.follow(sctx, s)
		case s.rank >= followersPerStore && s.cancel != nil:
			s.cancel()
			s.cancel = nil
		}
	}
}

// follow reads the events of a store until ctx is done.
func (a *Archiver) follow(ctx context.Context, s *store) {
	for ctx.Err() == nil {
		rctx, cancel := context.WithTimeout(ctx, longPollTimeout+readTimeout)
		sentAt, _ := a.TargetClock()
		ev, err := a.read(rctx, s)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			a.markUnreachable(s, err)
			sleeper.Sleep(ctx, retryDelay)
			continue
		}
		if ev.Clock == 0 {
			ev.ConfirmedAt = sentAt
		}
		a.apply(s, ev, time.Now())
	}
}

// read returns the events since the last read, or all complete blocks if the state of the store is not valid.
func (a *Archiver) read(ctx context.Context, s *store) (EventBatch, error) {
	a.mu.RLock()
	synced, next := s.synced, s.nextOffset
	a.mu.RUnlock()
	if !synced {
		return a.Client.List(ctx, s.Address)
	}
	return a.Client.Events(ctx, s.Address, next, longPollTimeout)
}

// markUnreachable discards the state of a store after a failed read.
func (a *Archiver) markUnreachable(s *store, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.synced {
		logger.WithError(a.Log, err).WithField("store", s.Address).Warn("KV store unreachable")
	}
	s.reset()
}

// apply applies events. After a restart of the store or a gap in its events it discards the state of the store, and the
// next read returns all complete blocks.
func (a *Archiver) apply(s *store, ev EventBatch, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasSynced := s.synced
	if wasSynced && (ev.Gap || ev.Epoch != s.epoch) {
		a.Log.WithField("store", s.Address).WithField("restarted", ev.Epoch != s.epoch).Info("KV store resynchronizing")
		s.reset()
		return
	}
	if !wasSynced {
		a.Log.WithField("store", s.Address).WithField("parts", len(ev.Events)).Info("KV store synchronized")
		s.reset()
	}
	s.observeEpoch(ev.Epoch, cmp.Or(ev.ConfirmedAt, ev.Clock), now)
	s.synced, s.nextOffset = true, ev.NextOffset
	a.syncClock(ev.Clock)
	for _, e := range ev.Events {
		key := e.Block.Key()
		if !e.Complete {
			delete(s.blocks, key)
			continue
		}
		s.blocks[key] = e.Block
		delete(a.pendingSaves, key)
		if wasSynced && len(a.instances) > followersPerStore {
			s.completed = append(s.completed, key)
		}
	}
}
