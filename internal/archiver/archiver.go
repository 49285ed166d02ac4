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
// Parts of replaced weights are freed once no target has had these weights for
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
	"hash/fnv"
	"math"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
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
	// maxSaves bounds the saves that are remembered.
	maxSaves = 20_000
)

// Part names a kept part: the scope that separates it from others, and its ID.
type Part struct{ Scope, ID string }

// Event is one change at a store.
type Event struct {
	Part Part
	// Whole: the part is complete; otherwise it is gone.
	Whole bool
}

// Events are the changes at a store since a position.
type Events struct {
	// Epoch changes when the store starts again.
	Epoch int64
	Next  int64
	// Lost: events are missing.
	Lost   bool
	Events []Event
}

// Client calls stores of kept context.
type Client interface {
	Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error)
	// List returns all complete parts.
	List(ctx context.Context, address string) (Events, error)
	// Free drops parts if the store has not started again since.
	Free(ctx context.Context, address string, epoch int64, parts []Part) error
}

// Archiver follows the stores; it may be used by any number of goroutines.
type Archiver struct {
	Client Client
	Log    logger.Log

	mu     sync.RWMutex
	stores []*store
	saves  map[Part]time.Time
}

// store is what is known of one store.
type store struct {
	*cataloger.ContextStore
	cancel context.CancelFunc
	// reachable: the store answered the last read of its events.
	reachable bool
	epoch     int64
	next      int64
	parts     map[Part]bool
}

// SetStores follows the stores of a configuration and no others.
func (a *Archiver) SetStores(ctx context.Context, stores []*cataloger.Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.saves == nil {
		a.saves = map[Part]time.Time{}
	}
	var kept []*store
	for _, s := range stores {
		kept = append(kept, a.reuse(ctx, s.Store))
	}
	for _, old := range a.stores {
		if !contains(kept, old) {
			old.cancel()
		}
	}
	a.stores = kept
}

// reuse returns the store at the same address, or begins to follow it; a.mu is held.
func (a *Archiver) reuse(ctx context.Context, cs *cataloger.ContextStore) *store {
	for _, old := range a.stores {
		if old.Address == cs.Address {
			return old
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &store{ContextStore: cs, cancel: cancel, parts: map[Part]bool{}}
	go a.follow(ctx, s)
	return s
}

func contains(stores []*store, s *store) bool {
	for _, x := range stores {
		if x == s {
			return true
		}
	}
	return false
}

// follow reads the events of a store until ctx ends.
func (a *Archiver) follow(ctx context.Context, s *store) {
	for ctx.Err() == nil {
		rctx, cancel := context.WithTimeout(ctx, eventWait+eventLimit)
		ev, err := a.read(rctx, s)
		cancel()
		if err != nil {
			a.forget(s, err)
			sleeper.Sleep(ctx, retryPause)
			continue
		}
		a.apply(s, ev)
	}
}

// read returns the events since the last ones, or the whole list if there is nothing to go on from.
func (a *Archiver) read(ctx context.Context, s *store) (Events, error) {
	if !s.reachable {
		return a.Client.List(ctx, s.Address)
	}
	return a.Client.Events(ctx, s.Address, s.next, eventWait)
}

// forget drops what is known of a store that did not answer.
func (a *Archiver) forget(s *store, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.reachable {
		logger.WithError(a.Log, err).WithField("store", s.Address).Warn("store of kept context is lost")
	}
	s.reachable = false
	s.parts = map[Part]bool{}
}

// apply takes events; after a restart or a gap the list is read anew.
func (a *Archiver) apply(s *store, ev Events) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := s.reachable
	if known && (ev.Lost || ev.Epoch != s.epoch) {
		a.Log.WithField("store", s.Address).WithField("restarted", ev.Epoch != s.epoch).Info("store of kept context is read anew")
		s.reachable, s.parts = false, map[Part]bool{}
		return
	}
	if !known {
		a.Log.WithField("store", s.Address).WithField("parts", len(ev.Events)).Info("store of kept context is followed")
		s.parts = map[Part]bool{}
	}
	s.reachable, s.epoch, s.next = true, ev.Epoch, ev.Next
	for _, e := range ev.Events {
		if e.Whole {
			s.parts[e.Part] = true
			delete(a.saves, e.Part)
		} else {
			delete(s.parts, e.Part)
		}
	}
}

// Plan says for each part of a prompt where to fetch it from and where to save it; empty where nowhere.
type Plan struct {
	Fetch, Save []string
	// Kept counts the parts that can be fetched, in order from the first.
	Kept int
}

// Lookup returns how many of the parts, in order from the first, can be fetched.
func (a *Archiver) Lookup(scope string, ids []string) int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	for i, id := range ids {
		p := Part{scope, id}
		if s := a.home(p); s == nil || !s.parts[p] {
			return i
		}
	}
	return len(ids)
}

// Plan returns where the parts of a prompt are fetched from and saved to.
func (a *Archiver) Plan(scope string, ids []string, now time.Time) Plan {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := Plan{Fetch: make([]string, len(ids)), Save: make([]string, len(ids))}
	for i, id := range ids {
		part := Part{scope, id}
		s := a.home(part)
		switch {
		case s == nil || !s.reachable:
		case s.parts[part]:
			p.Fetch[i] = s.Address
			if p.Kept == i {
				p.Kept++
			}
		case now.Sub(a.saves[part]) > saveLife && len(a.saves) < maxSaves:
			a.saves[part] = now
			p.Save[i] = s.Address
		}
	}
	return p
}

// home returns the store of a part; a.mu is held.
func (a *Archiver) home(p Part) *store {
	var best *store
	top := math.Inf(-1)
	for _, s := range a.stores {
		h := fnv.New64a()
		_, _ = h.Write([]byte(p.Scope))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(p.ID))
		_, _ = h.Write([]byte(s.Address))
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		u := (float64(x>>11) + 1) / (1 << 53)
		if score := -float64(s.CapacityTokens) / math.Log(u); score > top {
			top, best = score, s
		}
	}
	return best
}

// Free drops the parts whose scope is not wanted any more at all reachable stores.
func (a *Archiver) Free(ctx context.Context, unwanted func(scope string) bool) {
	type job struct {
		s     *store
		epoch int64
		parts []Part
	}
	var jobs []job
	a.mu.Lock()
	for _, s := range a.stores {
		j := job{s: s, epoch: s.epoch}
		for p := range s.parts {
			if unwanted(p.Scope) {
				j.parts = append(j.parts, p)
				delete(s.parts, p)
			}
		}
		if s.reachable && len(j.parts) > 0 {
			jobs = append(jobs, j)
		}
	}
	for p := range a.saves {
		if unwanted(p.Scope) {
			delete(a.saves, p)
		}
	}
	a.mu.Unlock()
	for _, j := range jobs {
		ctx, cancel := context.WithTimeout(ctx, eventWait+eventLimit)
		err := a.Client.Free(ctx, j.s.Address, j.epoch, j.parts)
		cancel()
		l := a.Log.WithField("store", j.s.Address).WithField("parts", len(j.parts))
		if err != nil {
			logger.WithError(l, err).Warn("could not free kept context")
			continue
		}
		l.Info("kept context of replaced weights was freed")
	}
}
