package fencer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayaworks/papayaworks/internal/appender"
	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
)

const ttl = 5 * time.Second

// world is true time, the log with its faults, and one clock for each holder.
type world struct {
	now     time.Time
	records []appender.Record
	down    bool
	lose    bool
}

func (w *world) Append(_ context.Context, _ string, data [][]byte) (int64, error) {
	if w.down {
		return 0, errors.New("log is down")
	}
	first := int64(len(w.records))
	for _, d := range data {
		w.records = append(w.records, appender.Record{Offset: int64(len(w.records)), At: w.now, Data: d})
	}
	if w.lose {
		return 0, errors.New("answer lost")
	}
	return first, nil
}

func (w *world) Read(_ context.Context, _ string, from int64, _ int, _ time.Duration) (appender.Batch, error) {
	if w.down {
		return appender.Batch{}, errors.New("log is down")
	}
	return appender.Batch{Records: w.records[from:], Next: int64(len(w.records))}, nil
}

// skewed is a clock that runs at another rate than true time.
type skewed struct {
	w     *world
	start time.Time
	rate  float64
}

func (c skewed) Now() time.Time {
	return c.start.Add(time.Duration(float64(c.w.now.Sub(c.start)) * c.rate))
}

// Guards against two holders that both send orders, through pauses, log outages, lost answers and clocks of
// different rates, and against a fencing number that does not rise from one holder to the next.
func TestRandomLeaseHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		w := &world{now: start}
		ctx := context.Background()
		var holders []*Fencer
		for i := range 3 {
			rate := 0.9 + 0.1*float64(rapid.IntRange(0, 2).Draw(t, "rate"))
			f := New(w, fmt.Sprintf("i%d", i), ttl, skewed{w, start, rate})
			f.Request("targets")
			holders = append(holders, f)
		}
		lastFence, lastHolder := int64(-1), ""
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			f := holders[rapid.IntRange(0, 2).Draw(t, "holder")]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				_ = f.Poll(ctx, 0)
			case 2, 3:
				f.Campaign(ctx)
			case 4:
				w.down = rapid.Bool().Draw(t, "down")
			case 5:
				w.lose = rapid.Bool().Draw(t, "lose")
			}
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			held := 0
			for _, h := range holders {
				_ = h.WithLease("targets", func(l Lease) error {
					held++
					if l.FencingToken < lastFence || (l.FencingToken == lastFence && h.Holder != lastHolder) {
						t.Fatalf("holder %s has fencing number %d after %s had %d", h.Holder, l.FencingToken, lastHolder, lastFence)
					}
					lastFence, lastHolder = l.FencingToken, h.Holder
					return nil
				})
			}
			if held > 1 {
				t.Fatalf("%d holders believe to hold the lease at %s", held, w.now.Sub(start))
			}
		}
		w.down, w.lose = false, false
		for range 40 {
			for _, h := range holders {
				_ = h.Poll(ctx, 0)
				h.Campaign(ctx)
				_ = h.Poll(ctx, 0)
			}
			w.now = w.now.Add(time.Second)
		}
		held := 0
		for _, h := range holders {
			if _, ok := h.Held("targets"); ok {
				held++
			}
		}
		if held != 1 {
			t.Fatalf("%d holders after the faults ended", held)
		}
	})
}

// Guards against a holder that sends an order after it was paused past its term, as in a long garbage collection.
func TestPausedHolderSendsNothing(t *testing.T) {
	w := &world{now: time.Unix(1_700_000_000, 0)}
	f := New(w, "a", ttl, skewed{w, w.now, 1})
	f.Request("targets")
	f.Campaign(t.Context())
	require.NoError(t, f.Poll(t.Context(), 0))
	require.NoError(t, f.WithLease("targets", func(Lease) error { return nil }))
	w.now = w.now.Add(ttl)
	err := f.WithLease("targets", func(Lease) error {
		t.Error("sent after the term")
		return nil
	})
	require.ErrorIs(t, err, ErrNotHeld)
}

// Guards against decoders that crash or accept records without a holder.
func FuzzDecodeRecord(f *testing.F) {
	good, err := Record{Resource: "targets", Holder: "a", Attempt: 1, TTLMs: 5000}.Encode()
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte{0x81})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err == nil && (r.Holder == "" || r.Resource == "") {
			t.Errorf("accepted %+v", r)
		}
	})
}

// Guards against 420 instances that all append a request when a holder dies, against an instance that becomes a
// candidate and never requests, and against a holder that gives up because it is no candidate any more.
func TestOnlyCandidatesRequest(t *testing.T) {
	w, ctx := &world{now: time.Unix(1_700_000_000, 0)}, context.Background()
	candidate := false
	f := New(w, "i0", ttl, skewed{w, w.now, 1})
	f.Candidate = func(string) bool { return candidate }
	f.Request("targets")
	f.Campaign(ctx)
	require.Empty(t, w.records)
	require.False(t, f.engaged())
	candidate = true
	require.True(t, f.engaged())
	f.Campaign(ctx)
	require.Len(t, w.records, 1)
	require.NoError(t, f.Poll(ctx, 0))
	candidate = false
	for range 20 {
		w.now = w.now.Add(ttl / renewDivisor)
		f.Campaign(ctx)
		require.NoError(t, f.Poll(ctx, 0))
		_, held := f.Held("targets")
		require.True(t, held, "a holder renews its lease")
		require.True(t, f.engaged())
	}
}
