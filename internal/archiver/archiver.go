// Package archiver knows what the stores of kept context hold, and decides what is fetched from and saved to them.
//
// A store drops nothing by itself and does not know who reads from it, so that a
// part may be fetched only if it is known to be complete, and freed only if
// nobody can be reading it. This package follows the events of each store. It
// forgets everything about a store that it cannot reach or that has started
// again: a part that is written anew there would otherwise be taken for whole.
//
// The store of a part is computed by rendezvous hashing weighted by capacity, so
// that all instances save and look for a part at the same place without a word.
//
// A store bears few readers of its events. Where there are more instances, some
// follow each store, and each of them tells a part of the others what is new in
// its announcements (see [Updates]). Telling all of them would fill the link of a small instance.
//
// Parts of replaced weights are freed by the first of these instances once no target has had these weights for
// longer than any fetch lasts.
//
// # Usage
//
//	a := &archiver.Archiver{Client: c, Log: log}
//	a.SetStores(ctx, stores)
//	plan := a.Plan(scope, parts, now)
package archiver

import (
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
	// eventWait is how long a read of a store's events waits; it bounds how long a lost store goes unnoticed.
	eventWait = 400 * time.Millisecond
	// eventLimit is how long a read may take beyond its wait.
	eventLimit = 400 * time.Millisecond
	retryPause = 200 * time.Millisecond
	// saveLife is how long a save is taken to be under way; it is not asked for again before.
	saveLife = 4 * time.Second
	// followers is how many instances follow the events of one store; stores bear a dozen readers.
	followers = 8
	// tellers is how many followers tell each other instance, so that one that dies or a lost announcement does no harm.
	tellers = 2
	// maxNews bounds the new parts of a store in an announcement; the others follow in the next one.
	maxNews = 400
	// retoldParts is how many parts of a store an announcement tells again.
	retoldParts = 100
	// silentLife is how long what was told of a store holds without a further word.
	silentLife = 2 * time.Second
	// clockLife is how long the targets' clock is taken to go on as it was seen.
	clockLife = 10 * time.Second
	// maxSaves bounds the saves that are remembered.
	maxSaves = 20_000
)

// Block names a kept part: the scope that separates it from others, and its ID.
type Block struct{ Scope, ID string }

// Key returns the number by which a part is known.
func (p Block) Key() uint64 { return hasher.Hash(p.Scope, p.ID) }

// Event is one change at a store.
type Event struct {
	Block Block
	// Complete: the part is complete; otherwise it is gone.
	Complete bool
}

// EventBatch are the changes at a store since a position.
type EventBatch struct {
	// Epoch changes when the store starts again.
	Epoch      int64
	NextOffset int64
	// Gap: events are missing.
	Gap    bool
	Events []Event
	// Clock is the time on the clock of targets and stores when the answer was made; 0 if it was not told.
	Clock time.Duration
}

// Client calls stores of kept context.
type Client interface {
	Events(ctx context.Context, address string, since int64, wait time.Duration) (EventBatch, error)
	// List returns all complete parts.
	List(ctx context.Context, address string) (EventBatch, error)
	// Free drops parts if the store has not started again since.
	Free(ctx context.Context, address string, epoch int64, parts []Block) error
}

// Archiver follows the stores; it may be used by any number of goroutines.
type Archiver struct {
	// Self names this instance among those that share the following of stores.
	Self   string
	Client Client
	Log    logger.Log

	mu        sync.RWMutex
	instances []string
	stores    []*store
	saves     map[uint64]time.Time
	// offset is the time on the targets' clock at the start of this machine, as it was seen at a time.
	offset, offsetAt time.Duration
}

// SetStores takes the stores of a configuration.
func (a *Archiver) SetStores(ctx context.Context, stores []*cataloger.Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.saves == nil {
		a.saves = map[uint64]time.Time{}
	}
	var kept []*store
	for _, s := range stores {
		kept = append(kept, a.reuse(s.Store))
	}
	for _, old := range a.stores {
		if old.cancel != nil && !slices.Contains(kept, old) {
			old.cancel()
		}
	}
	a.stores = kept
	a.assign(ctx)
}

// reuse returns the store at the same address, or a new one; a.mu is held.
func (a *Archiver) reuse(cs *cataloger.KVStore) *store {
	for _, old := range a.stores {
		if old.Address == cs.Address {
			return old
		}
	}
	return &store{KVStore: cs, key: Block{ID: cs.Address}.Key(), parts: map[uint64]Block{}}
}

// SetInstances takes the instances that share the following of stores, this one included.
func (a *Archiver) SetInstances(ctx context.Context, ids []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances = ids
	a.assign(ctx)
}

// assign begins or ends the following of each store by this instance's place among all; a.mu is held.
func (a *Archiver) assign(ctx context.Context) {
	if len(a.instances) == 0 {
		return // the others are not known yet
	}
	for _, s := range a.stores {
		s.place = hasher.Rank(s.key, a.Self, a.instances)
		switch {
		case s.place < followers && s.cancel == nil:
			sctx, cancel := context.WithCancel(ctx)
			s.cancel, s.reachable = cancel, false
			go a.follow(sctx, s)
		case s.place >= followers && s.cancel != nil:
			s.cancel()
			s.cancel = nil
		}
	}
}

// follow reads the events of a store until ctx ends.
func (a *Archiver) follow(ctx context.Context, s *store) {
	for ctx.Err() == nil {
		rctx, cancel := context.WithTimeout(ctx, eventWait+eventLimit)
		ev, err := a.read(rctx, s)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			a.forget(s, err)
			sleeper.Sleep(ctx, retryPause)
			continue
		}
		a.apply(s, ev, time.Now())
	}
}

// read returns the events since the last ones, or the whole list if there is nothing to go on from.
func (a *Archiver) read(ctx context.Context, s *store) (EventBatch, error) {
	a.mu.RLock()
	reachable, next := s.reachable, s.next
	a.mu.RUnlock()
	if !reachable {
		return a.Client.List(ctx, s.Address)
	}
	return a.Client.Events(ctx, s.Address, next, eventWait)
}

// forget drops what is known of a store that did not answer.
func (a *Archiver) forget(s *store, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.reachable {
		logger.WithError(a.Log, err).WithField("store", s.Address).Warn("store of kept context is lost")
	}
	s.drop()
}

// apply takes events; after a restart or a gap the list is read anew.
func (a *Archiver) apply(s *store, ev EventBatch, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := s.reachable
	if known && (ev.Gap || ev.Epoch != s.epoch) {
		a.Log.WithField("store", s.Address).WithField("restarted", ev.Epoch != s.epoch).Info("store of kept context is read anew")
		s.drop()
		return
	}
	if !known {
		a.Log.WithField("store", s.Address).WithField("parts", len(ev.Events)).Info("store of kept context is followed")
		s.drop()
	}
	s.reachable, s.epoch, s.next, s.heard = true, ev.Epoch, ev.NextOffset, now
	a.sync(ev.Clock)
	for _, e := range ev.Events {
		key := e.Block.Key()
		if !e.Complete {
			delete(s.parts, key)
			continue
		}
		s.parts[key] = e.Block
		delete(a.saves, key)
		if known && len(a.instances) > followers {
			s.recent = append(s.recent, key)
		}
	}
}
