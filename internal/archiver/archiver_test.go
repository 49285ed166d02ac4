package archiver

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
)

// fakeClient blocks in Events and List, since tests apply events directly, and records calls of Free.
type fakeClient struct{ freed [][]Block }

// Events implements Client.
func (f *fakeClient) Events(ctx context.Context, _ string, _ int64, _ time.Duration) (EventBatch, error) {
	<-ctx.Done()
	return EventBatch{}, ctx.Err()
}

// List implements Client.
func (f *fakeClient) List(ctx context.Context, _ string) (EventBatch, error) {
	<-ctx.Done()
	return EventBatch{}, ctx.Err()
}

// Free implements Client.
func (f *fakeClient) Free(_ context.Context, _ string, _ int64, blocks []Block) error {
	f.freed = append(f.freed, blocks)
	return nil
}

func newArchiver(t *testing.T, self string, instances ...string) (*Archiver, *fakeClient) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fakeClient{}
	a := &Archiver{Self: self, Client: f, Log: logger.Discard()}
	a.SetStores(ctx, []*cataloger.Service{{Name: "s", Store: &cataloger.KVStore{Address: "s:1", CapacityTokens: 1000}}})
	a.SetInstances(ctx, instances)
	return a, f
}

// completeX is the completion of block x of weight version 1.
var completeX = Event{Block: Block{"m/1", "x"}, Complete: true}

// Guards against fetching a block that is not known to be complete: one that is being rewritten after a restart of the
// store, that was freed, or whose store is unreachable.
func TestFetchesOnlyCompleteBlocks(t *testing.T) {
	a, _ := newArchiver(t, "a", "a")
	s := a.stores[0]
	now := time.Now()
	fetchable := func() bool { return a.Plan("m/1", []string{"x"}, nil, now).FetchFrom[0] != "" }
	require.False(t, fetchable(), "no event received")
	a.apply(s, EventBatch{Epoch: 1, NextOffset: 1, Events: []Event{completeX}}, now)
	require.True(t, fetchable())
	a.apply(s, EventBatch{Epoch: 1, NextOffset: 2, Events: []Event{{Block: Block{"m/1", "x"}}}}, now)
	require.False(t, fetchable(), "freed")
	a.apply(s, EventBatch{Epoch: 1, NextOffset: 3, Events: []Event{completeX}}, now)
	a.apply(s, EventBatch{Epoch: 2, NextOffset: 1}, now)
	require.False(t, fetchable(), "store restarted")
	a.apply(s, EventBatch{Epoch: 2, NextOffset: 1, Events: []Event{completeX}}, now)
	require.True(t, fetchable())
	a.apply(s, EventBatch{Epoch: 2, NextOffset: 9, Gap: true}, now)
	require.False(t, fetchable(), "gap in the events")
	a.apply(s, EventBatch{Epoch: 2, NextOffset: 9, Events: []Event{completeX}}, now)
	a.markUnreachable(s, errors.New("no response"))
	require.False(t, fetchable(), "store unreachable")
	a.apply(s, EventBatch{Epoch: 2, NextOffset: 9, Events: []Event{completeX}}, now)
	require.Empty(t, a.Plan("m/1", []string{"x"}, nil, now.Add(updateTTL)).FetchFrom[0], "no read within updateTTL")
	require.Empty(t, a.Plan("m/2", []string{"x"}, nil, now).FetchFrom[0], "other weights")
}

// Guards against fetching a block that is written again after a restart of its store that this instance has not noticed: no save begins
// before the last fetch must have ended that was planned for the store's previous start.
func TestNoSaveDuringFetchesFromPreviousStart(t *testing.T) {
	clock, now := 100*time.Second, time.Now()
	unaware, _ := newArchiver(t, "a", "a")
	unaware.apply(unaware.stores[0], EventBatch{Epoch: 1, Clock: clock, Events: []Event{completeX}}, now)
	fetch := unaware.Plan("m/1", []string{"x"}, nil, now)
	require.NotEmpty(t, fetch.FetchFrom[0])
	require.Equal(t, clock+fetchLease, fetch.FetchBefore)
	// The store restarts right after that, and another instance notices it at once.
	aware, _ := newArchiver(t, "b", "b")
	s := aware.stores[0]
	aware.apply(s, EventBatch{Epoch: 1}, now.Add(-time.Minute))
	aware.apply(s, EventBatch{Epoch: 2}, now)
	for _, after := range []time.Duration{0, time.Second, fetchLease - 1} {
		aware.apply(s, EventBatch{Epoch: 2, Clock: clock + after}, now.Add(after))
		require.Empty(t, aware.Plan("m/1", []string{"x"}, nil, now.Add(after)).SaveTo[0], "%v after the restart", after)
	}
	require.NotEmpty(t, aware.Plan("m/1", []string{"x"}, nil, now.Add(fetchLease)).SaveTo[0])
}

// Guards against fetching a block while a second save of it waits at a busy target: it would write the block again if the store restarted.
func TestNoFetchWhileSaveWaits(t *testing.T) {
	now := time.Now()
	newSynced := func(id string) *Archiver {
		a, _ := newArchiver(t, id, id)
		a.apply(a.stores[0], EventBatch{Epoch: 1}, now.Add(-fetchLease))
		a.apply(a.stores[0], EventBatch{Epoch: 1}, now)
		return a
	}
	tests := map[string]struct {
		end           func(s *Save)
		after         time.Duration
		wantFetchable bool
	}{
		"save waits":                {func(*Save) {}, time.Second, false},
		"save has begun":            {func(s *Save) { s.End() }, 0, true},
		"request abandoned":         {func(s *Save) { s.Abandon(now) }, time.Second, false},
		"request abandoned earlier": {func(s *Save) { s.Abandon(now) }, abandonedSaveTime + 1, true},
		"deadline reached":          {func(s *Save) { s.ExpireAt(now.Add(time.Second)) }, time.Second + 1, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			saver, other := newSynced("a"), newSynced("b")
			save := saver.Plan("m/1", []string{"x"}, nil, now).Save
			require.NotNil(t, save)
			tc.end(save)
			at := now.Add(tc.after)
			other.MergeSaves(saver.Saves(at), at)
			for _, a := range []*Archiver{saver, other} {
				a.apply(a.stores[0], EventBatch{Epoch: 1, Events: []Event{completeX}}, at)
				p := a.Plan("m/1", []string{"x"}, nil, at)
				require.Equal(t, tc.wantFetchable, p.FetchFrom[0] != "")
				require.Empty(t, p.SaveTo[0])
			}
			require.NotEmpty(t, other.Plan("m/1", []string{"x"}, nil, at.Add(minStatementTTL+1)).FetchFrom[0], "the statement is not repeated")
		})
	}
}

// Guards against a panic of an instance that has just started and is told of saves before it has read a configuration.
func TestSavesBeforeConfiguration(t *testing.T) {
	a, now := &Archiver{Self: "a", Client: &fakeClient{}, Log: logger.Discard()}, time.Now()
	a.MergeSaves([]SaveKey{1}, now)
	require.Empty(t, a.Saves(now))
	require.Nil(t, a.Plan("m/1", []string{"x"}, nil, now).Save)
}

// Guards against saving a block with each request while the first save is in progress.
func TestSavesOnce(t *testing.T) {
	a, _ := newArchiver(t, "a", "a")
	now := time.Now()
	a.apply(a.stores[0], EventBatch{Epoch: 1}, now.Add(-fetchLease))
	a.apply(a.stores[0], EventBatch{Epoch: 1}, now)
	require.Equal(t, "s:1", a.Plan("m/1", []string{"x"}, nil, now).SaveTo[0])
	require.Empty(t, a.Plan("m/1", []string{"x"}, nil, now.Add(time.Second)).SaveTo[0])
	a.stores[0].updatedAt = now.Add(2 * saveTimeout)
	require.Equal(t, "s:1", a.Plan("m/1", []string{"x"}, nil, now.Add(2*saveTimeout)).SaveTo[0], "save timed out")
}

// Guards against more readers than a store supports, against instances that never receive a block because an
// announcement was lost or a follower failed, and against a follower that has to send to all instances.
func TestUpdatesReachAllInstances(t *testing.T) {
	var ids []string
	for i := range 82 {
		ids = append(ids, fmt.Sprint("i-", i))
	}
	var all []*Archiver
	var followers []*Archiver
	now := time.Now()
	for _, id := range ids {
		a, _ := newArchiver(t, id, ids...)
		all = append(all, a)
		if s := a.stores[0]; s.cancel != nil {
			followers = append(followers, a)
			a.apply(s, EventBatch{Epoch: 1, NextOffset: 1}, now)
			a.apply(s, EventBatch{Epoch: 1, NextOffset: 2, Events: []Event{completeX}}, now)
		}
	}
	require.Len(t, followers, followersPerStore)
	store := all[0].stores[0].key
	updates := map[*Archiver][]StoreUpdate{}
	for _, f := range followers {
		_ = f.Updates() // a lost announcement
		updates[f] = f.Updates()
		recipients := 0
		for _, id := range ids {
			if f.ShouldSend(store, id) {
				recipients++
			}
		}
		require.Less(t, recipients, len(ids)/2, "one follower sends to most instances")
	}
	for _, a := range all {
		if a.stores[0].cancel != nil {
			continue
		}
		senders := 0
		for _, f := range followers {
			if f.ShouldSend(store, a.Self) {
				senders++
				a.Merge(updates[f], now)
			}
		}
		require.Equal(t, sendersPerPeer, senders)
		require.Equal(t, "s:1", a.Plan("m/1", []string{"x"}, nil, now).FetchFrom[0])
	}
}

// Guards against restoring blocks that a restart of the store discarded, because one of two followers has not noticed
// the restart yet.
func TestUpdatesOfPreviousEpoch(t *testing.T) {
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprint("i-", i))
	}
	now := time.Now()
	for _, id := range ids {
		a, _ := newArchiver(t, id, ids...)
		s := a.stores[0]
		if s.cancel != nil {
			continue
		}
		old := StoreUpdate{Store: s.key, Epoch: 7, Blocks: []uint64{completeX.Block.Key()}}
		fetchable := func() bool { return a.Plan("m/1", []string{"x"}, nil, now).FetchFrom[0] != "" }
		a.Merge([]StoreUpdate{old}, now)
		require.True(t, fetchable())
		a.Merge([]StoreUpdate{{Store: s.key, Epoch: 5}}, now)
		require.False(t, fetchable())
		a.Merge([]StoreUpdate{old}, now)
		require.False(t, fetchable())
		return
	}
	t.Fatal("all instances follow the store, want one that does not")
}

// Guards against freeing blocks that are still wanted, and against several instances freeing the same blocks.
func TestFree(t *testing.T) {
	a, f := newArchiver(t, "a", "a")
	a.apply(a.stores[0], EventBatch{Epoch: 1, Events: []Event{completeX, {Block: Block{"m/2", "y"}, Complete: true}}}, time.Now())
	a.Free(context.Background(), func(scope string) bool { return scope == "m/1" })
	require.Equal(t, [][]Block{{{"m/1", "x"}}}, f.freed)
	require.Empty(t, a.Plan("m/1", []string{"x"}, nil, time.Now()).FetchFrom[0])
	require.NotEmpty(t, a.Plan("m/2", []string{"y"}, nil, time.Now()).FetchFrom[0])
	a.stores[0].rank = 1
	a.Free(context.Background(), func(string) bool { return true })
	require.Len(t, f.freed, 1)
}

// Guards against blocks that are fetched from or saved to a store in a data centre that the call may not use, also after the configuration
// has moved the store, and against calls without KV cache although an allowed store is left.
func TestStoresOutsideHomes(t *testing.T) {
	a := &Archiver{Self: "a", Client: &fakeClient{}, Log: logger.Discard()}
	set := func(dataCentre1, dataCentre2 string) {
		a.SetStores(t.Context(), []*cataloger.Service{
			{Name: "s1", Store: &cataloger.KVStore{Address: "s:1", DataCentre: dataCentre1, CapacityTokens: 1000}},
			{Name: "s2", Store: &cataloger.KVStore{Address: "s:2", DataCentre: dataCentre2, CapacityTokens: 1000}},
		})
	}
	set("home", "away")
	now := time.Now()
	var ids []string
	var complete []Event
	for i := range 20 {
		ids = append(ids, fmt.Sprint("b", i))
		complete = append(complete, Event{Block: Block{"m/1", ids[i]}, Complete: true})
	}
	for _, s := range a.stores {
		a.apply(s, EventBatch{Epoch: 1, NextOffset: 1}, now.Add(-fetchLease))
		a.apply(s, EventBatch{Epoch: 1, NextOffset: 1, Events: complete}, now)
	}
	home := func(dataCentre string) bool { return dataCentre == "home" }
	nowhere := func(string) bool { return false }
	require.Contains(t, a.Plan("m/1", ids, nil, now).FetchFrom, "s:2")
	for _, scope := range []string{"m/1", "m/2"} { // complete everywhere, and nowhere
		p := a.Plan(scope, ids, home, now)
		for i := range ids {
			require.Equal(t, "s:1", p.FetchFrom[i]+p.SaveTo[i])
		}
		p = a.Plan(scope, ids, nowhere, now)
		require.Equal(t, make([]string, len(ids)), p.FetchFrom)
		require.Equal(t, make([]string, len(ids)), p.SaveTo)
	}
	require.Equal(t, len(ids), a.Lookup("m/1", ids, home, now))
	require.Zero(t, a.Lookup("m/1", ids, nowhere, now))
	set("away", "home")
	require.NotContains(t, a.Plan("m/1", ids, home, now).FetchFrom, "s:1", "the store has moved")
}
