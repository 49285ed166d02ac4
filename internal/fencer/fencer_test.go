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

// simulatedLog is a log with fault injection. Its time is the true time, from which the clocks of the holders derive.
type simulatedLog struct {
	now     time.Time
	records []appender.Record
	// down makes all calls fail; loseResponses makes appends fail after they took effect.
	down          bool
	loseResponses bool
}

func (sim *simulatedLog) Append(_ context.Context, _ string, data [][]byte) (int64, error) {
	if sim.down {
		return 0, errors.New("log is down")
	}
	first := int64(len(sim.records))
	for _, d := range data {
		sim.records = append(sim.records, appender.Record{Offset: int64(len(sim.records)), AppendedAt: sim.now, Data: d})
	}
	if sim.loseResponses {
		return 0, errors.New("response lost")
	}
	return first, nil
}

func (sim *simulatedLog) Read(_ context.Context, _ string, from int64, _ int, _ time.Duration) (appender.Batch, error) {
	if sim.down {
		return appender.Batch{}, errors.New("log is down")
	}
	return appender.Batch{Records: sim.records[from:], NextOffset: int64(len(sim.records))}, nil
}

// skewedClock is a clock with a rate relative to true time.
type skewedClock struct {
	log   *simulatedLog
	start time.Time
	rate  float64
}

func (c skewedClock) Now() time.Time {
	return c.start.Add(time.Duration(float64(c.log.now.Sub(c.start)) * c.rate))
}

// Guards against two holders that send commands at the same time, in spite of pauses, log outages, lost responses and
// clocks with different rates, and against a fencing token that does not increase from one holder to the next.
func TestRandomLeaseHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		sim := &simulatedLog{now: start}
		ctx := context.Background()
		var holders []*Fencer
		for i := range 3 {
			rate := 0.9 + 0.1*float64(rapid.IntRange(0, 2).Draw(t, "rate"))
			f := New(sim, fmt.Sprintf("i%d", i), ttl, skewedClock{sim, start, rate})
			f.Request("targets")
			holders = append(holders, f)
		}
		lastToken, lastHolder := int64(-1), ""
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			f := holders[rapid.IntRange(0, 2).Draw(t, "holder")]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				_ = f.Poll(ctx, 0)
			case 2, 3:
				f.Campaign(ctx)
			case 4:
				sim.down = rapid.Bool().Draw(t, "down")
			case 5:
				sim.loseResponses = rapid.Bool().Draw(t, "lose")
			}
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			held := 0
			for _, h := range holders {
				_ = h.WithLease("targets", func(l Lease) error {
					held++
					if l.FencingToken < lastToken || (l.FencingToken == lastToken && h.Holder != lastHolder) {
						t.Fatalf("holder %s has fencing token %d after %s had %d", h.Holder, l.FencingToken, lastHolder, lastToken)
					}
					lastToken, lastHolder = l.FencingToken, h.Holder
					return nil
				})
			}
			if held > 1 {
				t.Fatalf("%d instances hold the lease at %s", held, sim.now.Sub(start))
			}
		}
		sim.down, sim.loseResponses = false, false
		for range 40 {
			for _, h := range holders {
				_ = h.Poll(ctx, 0)
				h.Campaign(ctx)
				_ = h.Poll(ctx, 0)
			}
			sim.now = sim.now.Add(time.Second)
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

// Guards against a holder that sends a command after it was paused past its term, for example by garbage collection.
func TestPausedHolderSendsNothing(t *testing.T) {
	sim := &simulatedLog{now: time.Unix(1_700_000_000, 0)}
	f := New(sim, "a", ttl, skewedClock{sim, sim.now, 1})
	f.Request("targets")
	f.Campaign(t.Context())
	require.NoError(t, f.Poll(t.Context(), 0))
	require.NoError(t, f.WithLease("targets", func(Lease) error { return nil }))
	sim.now = sim.now.Add(ttl)
	err := f.WithLease("targets", func(Lease) error {
		t.Error("sent after the end of the term")
		return nil
	})
	require.ErrorIs(t, err, ErrNotHeld)
}

// Guards against a decoder that panics or accepts records without a holder or resource.
func FuzzDecodeRecord(f *testing.F) {
	valid, err := Record{Resource: "targets", Holder: "a", Attempt: 1, TTLMs: 5000}.Encode()
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte{0x81})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err == nil && (r.Holder == "" || r.Resource == "") {
			t.Errorf("accepted %+v", r)
		}
	})
}

// Guards against append bursts when a holder dies, as all 420 instances request the lease; against an instance that
// becomes a candidate and never requests; and against a holder that stops renewing when it is no longer a candidate.
func TestOnlyCandidatesRequest(t *testing.T) {
	sim, ctx := &simulatedLog{now: time.Unix(1_700_000_000, 0)}, context.Background()
	candidate := false
	f := New(sim, "i0", ttl, skewedClock{sim, sim.now, 1})
	f.Candidate = func(string) bool { return candidate }
	f.Request("targets")
	f.Campaign(ctx)
	require.Empty(t, sim.records)
	require.False(t, f.active())
	candidate = true
	require.True(t, f.active())
	f.Campaign(ctx)
	require.Len(t, sim.records, 1)
	require.NoError(t, f.Poll(ctx, 0))
	candidate = false
	for range 20 {
		sim.now = sim.now.Add(ttl / renewDivisor)
		f.Campaign(ctx)
		require.NoError(t, f.Poll(ctx, 0))
		_, held := f.Held("targets")
		require.True(t, held, "a holder renews its lease")
		require.True(t, f.active())
	}
}
