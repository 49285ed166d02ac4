package versioner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/asserter"
)

// newRecord returns a valid record with a configuration of the given name.
func newRecord(base int64, name string, partitions int) *Record {
	txt := configText(name, partitions)
	return &Record{Version: base + 1, Base: base, Author: name, ID: name, Hash: HashText(txt), Text: txt}
}

func modified(r *Record, change func(*Record)) *Record {
	change(r)
	return r
}

// Each case guards against one missing acceptance rule: it lists the records and the version that results from them.
func TestFoldAccepts(t *testing.T) {
	tests := map[string]struct {
		records []*Record
		want    int64
	}{
		"successive versions": {[]*Record{newRecord(0, "a", 1), newRecord(1, "b", 1)}, 2},
		"loser of a race":     {[]*Record{newRecord(0, "a", 1), newRecord(0, "b", 1)}, 1},
		"base not current":    {[]*Record{newRecord(1, "a", 1)}, 0},
		"hash mismatch":       {[]*Record{modified(newRecord(0, "a", 1), func(r *Record) { r.Hash = HashText("") })}, 0},
		"version skipped":     {[]*Record{modified(newRecord(0, "a", 1), func(r *Record) { r.Version = 2 })}, 0},
		"unknown key": {[]*Record{modified(newRecord(0, "a", 1), func(r *Record) {
			r.Text += "colour = 1\n"
			r.Hash = HashText(r.Text)
		})}, 0},
		"invalid value":        {[]*Record{newRecord(0, "a b", 1)}, 0},
		"partitions changed":   {[]*Record{newRecord(0, "a", 1), newRecord(1, "b", 2)}, 1},
		"after an invalid one": {[]*Record{newRecord(0, "a b", 1), newRecord(0, "b", 1)}, 1},
		"current as snapshot":  {[]*Record{newRecord(0, "a", 1), modified(newRecord(0, "a", 1), func(r *Record) { r.Snapshot, r.AsOf = true, 1 })}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := new(State)
			for i, r := range tc.records {
				s.Apply(appender.Batch{Records: []appender.Record{{Offset: int64(i), Data: r.Encode()}}})
			}
			require.Equal(t, tc.want, s.Current().Version())
			require.Empty(t, s.Conflict())
			require.EqualValues(t, len(tc.records), s.AsOf())
		})
	}
}

// Each case guards against a result of Publish that contradicts the log.
func TestPublish(t *testing.T) {
	tests := map[string]struct {
		faults appender.Faults
		before []*Record
		base   int64
		text   string
		want   int64
		winner string // author of the version that won; empty if Publish succeeds
		err    bool
	}{
		"first":                 {text: configText("x", 1), want: 1},
		"next":                  {before: []*Record{newRecord(0, "a", 1)}, base: 1, text: configText("x", 1), want: 2},
		"base is superseded":    {before: []*Record{newRecord(0, "a", 1), newRecord(1, "asha", 1)}, base: 1, text: configText("x", 1), winner: "asha"},
		"lost response":         {faults: appender.Faults{DropResponses: true}, text: configText("x", 1), want: 1},
		"record is duplicated":  {faults: appender.Faults{Duplicate: true}, text: configText("x", 1), want: 1},
		"log is unavailable":    {faults: appender.Faults{Down: true}, text: configText("x", 1), err: true},
		"invalid text":          {text: "nonsense", err: true},
		"partitions changed":    {before: []*Record{newRecord(0, "a", 1)}, base: 1, text: configText("x", 2), err: true},
		"log is slow":           {faults: appender.Faults{Delay: time.Second}, text: configText("x", 1), want: 1},
		"empty log, base not 0": {base: 3, text: configText("x", 1), err: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := appender.NewFake(nil)
				for _, r := range tc.before {
					_, err := log.Append(t.Context(), Stream, [][]byte{r.Encode()})
					require.NoError(t, err)
				}
				log.SetFaults(tc.faults)
				got, err := Publish(t.Context(), log, tc.base, "me", tc.text)
				var conflict *BaseConflictError
				switch {
				case tc.winner != "":
					require.ErrorAs(t, err, &conflict)
					require.Equal(t, tc.winner, conflict.Current.Author)
				case tc.err:
					require.Error(t, err)
				default:
					require.NoError(t, err)
					require.Equal(t, tc.want, got)
				}
			})
		})
	}
}

// Guards against two winners of a race and a loser without an error: two operators publish concurrently, ten times.
func TestPublishersRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := appender.NewFake(nil)
		for base := range int64(10) {
			out := make(chan error, 2)
			for _, author := range []string{"asha", "binu"} {
				go func() {
					_, err := Publish(t.Context(), log, base, author, configText(author, 1))
					out <- err
				}()
			}
			first, second := <-out, <-out
			if first == nil {
				first, second = second, first
			}
			require.NoError(t, second)
			var conflict *BaseConflictError
			require.ErrorAs(t, first, &conflict)
			require.Equal(t, base+1, conflict.Current.Version)
		}
	})
}

// Guards against losing the configuration when its record expires: a running instance restates it in snapshots, an
// instance that starts days later reads those, and one that starts while the log is down merges a peer's.
func TestSnapshotsOutliveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := appender.NewFake(nil)
		log.Retention = 24 * time.Hour
		running := New(log, log.Retention)
		running.Asserter = &asserter.Asserter{PanicOnViolation: true}
		go running.Run(ctx)
		_, err := Publish(ctx, log, 0, "asha", configText("x", 1))
		require.NoError(t, err)
		const days = 5
		advance(days * 24 * time.Hour)
		require.LessOrEqual(t, log.AppendCount(), 1+2*days)
		late := New(log, log.Retention)
		go late.Run(ctx)
		advance(time.Second)
		require.EqualValues(t, 1, late.CurrentSnapshot().Version)
		require.Equal(t, configText("x", 1), late.CurrentSnapshot().Text)

		log.SetFaults(appender.Faults{Down: true})
		isolated := New(log, log.Retention)
		go isolated.Run(ctx)
		increased, err := isolated.MergeEncoded(late.CurrentSnapshot().Encode())
		require.NoError(t, err)
		require.True(t, increased)
		log.SetFaults(appender.Faults{})
		_, err = Publish(ctx, log, 1, "binu", configText("y", 1))
		require.NoError(t, err)
		advance(5 * time.Second)
		for _, v := range []*Versioner{running, late, isolated} {
			require.EqualValues(t, 2, v.CurrentSnapshot().Version)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against two contents of one version that go unreported.
func TestConflictIsReported(t *testing.T) {
	v := New(appender.NewFake(nil), time.Hour)
	v.Asserter = &asserter.Asserter{}
	v.Merge(modified(newRecord(0, "a", 1), func(r *Record) { r.Snapshot, r.AsOf = true, 1 }))
	v.Merge(modified(newRecord(0, "b", 1), func(r *Record) { r.Snapshot, r.AsOf = true, 2 }))
	require.EqualValues(t, 1, v.Asserter.Violations())
	require.Equal(t, "a", v.CurrentSnapshot().Author)
	_, err := v.MergeEncoded([]byte("x"))
	require.Error(t, err)
	require.False(t, errors.Is(err, ErrNoSnapshot))
}

// Guards against records that crash a reader or change when encoded again.
func FuzzConfigRecord(f *testing.F) {
	f.Add(newRecord(0, "a", 1).Encode())
	f.Add(modified(newRecord(4, "a", 1), func(r *Record) { r.Snapshot, r.AsOf = true, 7 }).Encode())
	f.Add([]byte{0x81, 0xa4, 't', 'e', 'x', 't', 0xdb, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(r.Encode())
		require.NoError(t, err)
		require.Equal(t, r, again)
		s := new(State)
		s.Apply(appender.Batch{Records: []appender.Record{{Data: data}}})
		require.LessOrEqual(t, s.Current().Version(), int64(1))
	})
}

// advance advances the clock of the synctest bubble.
func advance(d time.Duration) { <-time.After(d) }
