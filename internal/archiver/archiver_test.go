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

// fake answers nothing; tests apply events by themselves.
type fake struct{ freed [][]Block }

// Events implements Client.
func (f *fake) Events(ctx context.Context, _ string, _ int64, _ time.Duration) (EventBatch, error) {
	<-ctx.Done()
	return EventBatch{}, ctx.Err()
}

// List implements Client.
func (f *fake) List(ctx context.Context, _ string) (EventBatch, error) {
	<-ctx.Done()
	return EventBatch{}, ctx.Err()
}

// Free implements Client.
func (f *fake) Free(_ context.Context, _ string, _ int64, parts []Block) error {
	f.freed = append(f.freed, parts)
	return nil
}

func archive(t *testing.T, self string, instances ...string) (*Archiver, *fake) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fake{}
	a := &Archiver{Self: self, Client: f, Log: logger.Discard()}
	a.SetStores(ctx, []*cataloger.Service{{Name: "s", Store: &cataloger.KVStore{Address: "s:1", CapacityTokens: 1000}}})
	a.SetInstances(ctx, instances)
	return a, f
}

// wholeX tells that the part x of the first weights is complete.
var wholeX = Event{Block: Block{"m/1", "x"}, Complete: true}

// Guards against a fetch of a part that is not known to be complete: one that is being written anew after the store
// started again, that was freed, or of a store that does not answer.
func TestOnlyWholePartsAreFetched(t *testing.T) {
	a, _ := archive(t, "a", "a")
	s := a.stores[0]
	now := time.Now()
	fetched := func() bool { return a.Plan("m/1", []string{"x"}, now).FetchFrom[0] != "" }
	require.False(t, fetched(), "nothing is known")
	a.apply(s, EventBatch{Epoch: 1, NextOffset: 1, Events: []Event{wholeX}}, now)
	require.True(t, fetched())
	a.apply(s, EventBatch{Epoch: 1, NextOffset: 2, Events: []Event{{Block: Block{"m/1", "x"}}}}, now)
	require.False(t, fetched(), "freed")
	a.apply(s, EventBatch{Epoch: 1, NextOffset: 3, Events: []Event{wholeX}}, now)
	a.apply(s, EventBatch{Epoch: 2, NextOffset: 1}, now)
	require.False(t, fetched(), "the store started again")
	a.apply(s, EventBatch{Epoch: 2, NextOffset: 1, Events: []Event{wholeX}}, now)
	require.True(t, fetched())
	a.apply(s, EventBatch{Epoch: 2, NextOffset: 9, Gap: true}, now)
	require.False(t, fetched(), "events are missing")
	a.apply(s, EventBatch{Epoch: 2, NextOffset: 9, Events: []Event{wholeX}}, now)
	a.forget(s, errors.New("no answer"))
	require.False(t, fetched(), "the store does not answer")
	a.apply(s, EventBatch{Epoch: 2, NextOffset: 9, Events: []Event{wholeX}}, now)
	require.Empty(t, a.Plan("m/1", []string{"x"}, now.Add(silentLife)).FetchFrom[0], "nothing was heard for too long")
	require.Empty(t, a.Plan("m/2", []string{"x"}, now).FetchFrom[0], "other weights")
}

// Guards against parts that are saved again by each call while the first save is under way.
func TestSavedOnce(t *testing.T) {
	a, _ := archive(t, "a", "a")
	now := time.Now()
	a.apply(a.stores[0], EventBatch{Epoch: 1}, now)
	require.Equal(t, "s:1", a.Plan("m/1", []string{"x"}, now).SaveTo[0])
	require.Empty(t, a.Plan("m/1", []string{"x"}, now.Add(time.Second)).SaveTo[0])
	a.stores[0].heard = now.Add(2 * saveLife)
	require.Equal(t, "s:1", a.Plan("m/1", []string{"x"}, now.Add(2*saveLife)).SaveTo[0], "a save that was lost")
}

// Guards against a store with more readers than it bears, against instances that never hear of a part, also if an
// announcement was lost or a follower died, and against a follower that has to tell all of them.
func TestNewsReachAll(t *testing.T) {
	var ids []string
	for i := range 82 {
		ids = append(ids, fmt.Sprint("i-", i))
	}
	var all []*Archiver
	var followed []*Archiver
	now := time.Now()
	for _, id := range ids {
		a, _ := archive(t, id, ids...)
		all = append(all, a)
		if s := a.stores[0]; s.cancel != nil {
			followed = append(followed, a)
			a.apply(s, EventBatch{Epoch: 1, NextOffset: 1}, now)
			a.apply(s, EventBatch{Epoch: 1, NextOffset: 2, Events: []Event{wholeX}}, now)
		}
	}
	require.Len(t, followed, followers)
	store := all[0].stores[0].key
	news := map[*Archiver][]StoreUpdate{}
	for _, f := range followed {
		_ = f.Updates() // is lost
		news[f] = f.Updates()
		told := 0
		for _, id := range ids {
			if f.ShouldSend(store, id) {
				told++
			}
		}
		require.Less(t, told, len(ids)/2, "one follower tells most of the others")
	}
	for _, a := range all {
		if a.stores[0].cancel != nil {
			continue
		}
		by := 0
		for _, f := range followed {
			if f.ShouldSend(store, a.Self) {
				by++
				a.Merge(news[f], now)
			}
		}
		require.Equal(t, tellers, by)
		require.Equal(t, "s:1", a.Plan("m/1", []string{"x"}, now).FetchFrom[0])
	}
}

// Guards against parts that were lost with a restart and are taken for whole again, since one of two followers has not seen
// the restart yet.
func TestNewsOfEarlierEpoch(t *testing.T) {
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprint("i-", i))
	}
	now := time.Now()
	for _, id := range ids {
		a, _ := archive(t, id, ids...)
		s := a.stores[0]
		if s.cancel != nil {
			continue
		}
		old := StoreUpdate{Store: s.key, Epoch: 7, Blocks: []uint64{wholeX.Block.Key()}}
		fetched := func() bool { return a.Plan("m/1", []string{"x"}, now).FetchFrom[0] != "" }
		a.Merge([]StoreUpdate{old}, now)
		require.True(t, fetched())
		a.Merge([]StoreUpdate{{Store: s.key, Epoch: 5}}, now)
		require.False(t, fetched())
		a.Merge([]StoreUpdate{old}, now)
		require.False(t, fetched())
		return
	}
	t.Fatal("all instances follow the store")
}

// Guards against kept context that is freed while it is wanted, or by several instances.
func TestFree(t *testing.T) {
	a, f := archive(t, "a", "a")
	a.apply(a.stores[0], EventBatch{Epoch: 1, Events: []Event{wholeX, {Block: Block{"m/2", "y"}, Complete: true}}}, time.Now())
	a.Free(context.Background(), func(scope string) bool { return scope == "m/1" })
	require.Equal(t, [][]Block{{{"m/1", "x"}}}, f.freed)
	require.Empty(t, a.Plan("m/1", []string{"x"}, time.Now()).FetchFrom[0])
	require.NotEmpty(t, a.Plan("m/2", []string{"y"}, time.Now()).FetchFrom[0])
	a.stores[0].place = 1
	a.Free(context.Background(), func(string) bool { return true })
	require.Len(t, f.freed, 1)
}
