package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
)

var testNow = time.Unix(1_000_000, 0)

// Guards against an export to a store that is down, full or has a long backlog, and against an export that costs more than it
// saves.
func TestRandomExportPaysOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReturnStats()
		k := Key{Account: "a"}
		for range rapid.IntRange(0, 50).Draw(t, "ended") {
			r.RecordEnd(k, testNow)
		}
		for range rapid.IntRange(0, 50).Draw(t, "returned") {
			r.RecordReturn(k, time.Duration(rapid.IntRange(0, 10000).Draw(t, "gap"))*time.Second, testNow)
		}
		run := Run{Key: k, Bytes: 40 << 20, PrefillTime: time.Second}
		options := map[string]StoreOption{}
		for i := range rapid.IntRange(0, 4).Draw(t, "stores") {
			st := StoreOption{
				Store: fmt.Sprint("s", i), Down: rapid.Bool().Draw(t, "down"), NewBytes: rapid.Int64Range(0, 40<<20).Draw(t, "new"),
				Backlog: time.Duration(rapid.IntRange(0, 4000).Draw(t, "backlog")) * time.Millisecond,
				Tiers: []Tier{{
					Disk: rapid.Bool().Draw(t, "disk"), BytesPerSec: rapid.Float64Range(0, 4e8).Draw(t, "rate"),
					Fits: rapid.Bool().Draw(t, "fits"), DisplacedSeconds: rapid.Float64Range(0, 1).Draw(t, "displaced"),
				}},
			}
			run.Stores, options[st.Store] = append(run.Stores, st), st
		}
		p := New()
		d := p.Decide(run, r)
		require.NotEmpty(t, d.Reason)
		if !d.Export {
			return
		}
		st := options[d.Store]
		tier := st.Tiers[0]
		require.False(t, st.Down)
		require.LessOrEqual(t, st.Backlog, p.MaxBacklog)
		require.True(t, tier.Fits)
		require.Equal(t, tier.Disk, d.Disk)
		cost := p.LinkCostWeight*float64(st.NewBytes)/tier.BytesPerSec + tier.DisplacedSeconds
		require.Greater(t, d.SavedSeconds*r.ReturnProbability(k), cost)
	})
}

// Guards against unbounded histories, probabilities outside 0..1, and a share of returns that decreases with the gap.
func TestRandomReturnsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReturnStats()
		k := Key{Account: "a"}
		for i := range rapid.IntRange(0, 1500).Draw(t, "events") {
			if i%3 == 0 {
				r.RecordEnd(k, testNow)
			}
			r.RecordReturn(k, time.Duration(i*i)*time.Second, testNow)
		}
		for i := range 3 {
			r.RecordEnd(Key{Account: fmt.Sprint(i)}, testNow)
		}
		require.LessOrEqual(t, r.ReturnProbability(k), 1.0)
		last := 0.0
		for d := time.Second; d < 1000*time.Hour; d *= 2 {
			w := r.ReturnShareWithin(k, d)
			require.GreaterOrEqual(t, w, last)
			require.LessOrEqual(t, w, 1.0)
			last = w
		}
		require.LessOrEqual(t, ExpectedSavings(StoredContext{Key: k, SavedSeconds: 1, StoredAt: testNow}, r, testNow.Add(time.Hour)), 1.0)
	})
}

// Guards against memory that grows with the number of accounts and applications.
func TestReturnStatsEvictTheOldest(t *testing.T) {
	r := NewReturnStats()
	for i := range maxKeys + 10 {
		r.RecordEnd(Key{Account: fmt.Sprint(i)}, testNow.Add(time.Duration(i)*time.Second))
	}
	require.Equal(t, maxKeys, r.Len())
}
