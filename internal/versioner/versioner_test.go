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

// record returns a record with a text that names it.
func record(base int64, name string, partitions int) *Record {
	txt := text(name, partitions)
	return &Record{Version: base + 1, Base: base, Author: name, ID: name, Hash: HashText(txt), Text: txt}
}

func with(r *Record, change func(*Record)) *Record {
	change(r)
	return r
}

// Each case guards against a rule of acceptance that is not applied: the records, and the version in force after them.
func TestFoldAccepts(t *testing.T) {
	tests := map[string]struct {
		records []*Record
		want    int64
	}{
		"one after the other": {[]*Record{record(0, "a", 1), record(1, "b", 1)}, 2},
		"loser of a race":     {[]*Record{record(0, "a", 1), record(0, "b", 1)}, 1},
		"base not in force":   {[]*Record{record(1, "a", 1)}, 0},
		"hash of other text":  {[]*Record{with(record(0, "a", 1), func(r *Record) { r.Hash = HashText("") })}, 0},
		"version skipped":     {[]*Record{with(record(0, "a", 1), func(r *Record) { r.Version = 2 })}, 0},
		"unknown key": {[]*Record{with(record(0, "a", 1), func(r *Record) {
			r.Text += "colour = 1\n"
			r.Hash = HashText(r.Text)
		})}, 0},
		"invalid value":      {[]*Record{record(0, "a b", 1)}, 0},
		"other partitions":   {[]*Record{record(0, "a", 1), record(1, "b", 2)}, 1},
		"after an invalid":   {[]*Record{record(0, "a b", 1), record(0, "b", 1)}, 1},
		"snapshot of itself": {[]*Record{record(0, "a", 1), with(record(0, "a", 1), func(r *Record) { r.Snapshot, r.AsOf = true, 1 })}, 1},
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

// Each case guards against a publisher that is told something else than what the log holds.
func TestPublish(t *testing.T) {
	tests := map[string]struct {
		faults appender.Faults
		before []*Record
		base   int64
		text   string
		want   int64
		lost   string // author of the winner
		err    bool
	}{
		"first":                  {text: text("x", 1), want: 1},
		"next":                   {before: []*Record{record(0, "a", 1)}, base: 1, text: text("x", 1), want: 2},
		"base is old":            {before: []*Record{record(0, "a", 1), record(1, "asha", 1)}, base: 1, text: text("x", 1), lost: "asha"},
		"lost response":          {faults: appender.Faults{DropResponses: true}, text: text("x", 1), want: 1},
		"record occurs twice":    {faults: appender.Faults{Duplicate: true}, text: text("x", 1), want: 1},
		"log is down":            {faults: appender.Faults{Down: true}, text: text("x", 1), err: true},
		"invalid text":           {text: "nonsense", err: true},
		"partitions must stay":   {before: []*Record{record(0, "a", 1)}, base: 1, text: text("x", 2), err: true},
		"log is slow":            {faults: appender.Faults{Delay: time.Second}, text: text("x", 1), want: 1},
		"nothing and base not 0": {base: 3, text: text("x", 1), err: true},
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
				var lost *BaseConflictError
				switch {
				case tc.lost != "":
					require.ErrorAs(t, err, &lost)
					require.Equal(t, tc.lost, lost.Current.Author)
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

// Guards against two winners of a race, and a loser who is not told: two operators publish at once, ten times.
func TestPublishersRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := appender.NewFake(nil)
		for base := range int64(10) {
			out := make(chan error, 2)
			for _, author := range []string{"asha", "binu"} {
				go func() {
					_, err := Publish(t.Context(), log, base, author, text(author, 1))
					out <- err
				}()
			}
			first, second := <-out, <-out
			if first == nil {
				first, second = second, first
			}
			require.NoError(t, second)
			var lost *BaseConflictError
			require.ErrorAs(t, first, &lost)
			require.Equal(t, base+1, lost.Current.Version)
		}
	})
}

// Guards against a configuration that the log's retention drops: the running instance states it again, and one that
// starts days later finds it. One that starts while the log is down gets it from a peer.
func TestSnapshotsOutliveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := appender.NewFake(nil)
		log.Retention = 24 * time.Hour
		old := New(log, log.Retention)
		old.Asserter = &asserter.Asserter{PanicOnViolation: true}
		go old.Run(ctx)
		_, err := Publish(ctx, log, 0, "asha", text("x", 1))
		require.NoError(t, err)
		const days = 5
		pass(days * 24 * time.Hour)
		require.LessOrEqual(t, log.AppendCount(), 1+2*days)
		late := New(log, log.Retention)
		go late.Run(ctx)
		pass(time.Second)
		require.EqualValues(t, 1, late.CurrentSnapshot().Version)
		require.Equal(t, text("x", 1), late.CurrentSnapshot().Text)

		log.SetFaults(appender.Faults{Down: true})
		cut := New(log, log.Retention)
		go cut.Run(ctx)
		rose, err := cut.MergeEncoded(late.CurrentSnapshot().Encode())
		require.NoError(t, err)
		require.True(t, rose)
		log.SetFaults(appender.Faults{})
		_, err = Publish(ctx, log, 1, "binu", text("y", 1))
		require.NoError(t, err)
		pass(5 * time.Second)
		for _, v := range []*Versioner{old, late, cut} {
			require.EqualValues(t, 2, v.CurrentSnapshot().Version)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against two contents of one version that nobody reports.
func TestConflictIsReported(t *testing.T) {
	v := New(appender.NewFake(nil), time.Hour)
	v.Asserter = &asserter.Asserter{}
	v.Merge(with(record(0, "a", 1), func(r *Record) { r.Snapshot, r.AsOf = true, 1 }))
	v.Merge(with(record(0, "b", 1), func(r *Record) { r.Snapshot, r.AsOf = true, 2 }))
	require.EqualValues(t, 1, v.Asserter.Violations())
	require.Equal(t, "a", v.CurrentSnapshot().Author)
	_, err := v.MergeEncoded([]byte("x"))
	require.Error(t, err)
	require.False(t, errors.Is(err, ErrNoSnapshot))
}

// Guards against records that crash a reader or change in a round trip.
func FuzzConfigRecord(f *testing.F) {
	f.Add(record(0, "a", 1).Encode())
	f.Add(with(record(4, "a", 1), func(r *Record) { r.Snapshot, r.AsOf = true, 7 }).Encode())
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

// pass lets time pass on the clock of the synctest bubble.
func pass(d time.Duration) { <-time.After(d) }
