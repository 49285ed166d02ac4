package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

var testNow = time.Unix(1_000_000, 0)

// testView returns a view of n targets in three data centres of one region and in one of another region.
func testView(n int, status func(i int) view.Status) *view.View {
	cfg := &configurer.Config{Models: []configurer.Model{{Name: "m", PrefillTokensPerSecond: 20000}}}
	for i := range 4 {
		cfg.DataCentres = append(cfg.DataCentres, configurer.DataCentre{Name: fmt.Sprint("dc", i), Region: fmt.Sprint("r", i/3)})
	}
	changes := map[string]view.Status{}
	for i := range n {
		id := fmt.Sprint("t", i)
		cfg.Targets = append(cfg.Targets, configurer.Target{
			ID: id, Kind: configurer.KindEngine, Models: []string{"m"}, DataCentre: fmt.Sprint("dc", i%4), Slots: 8,
		})
		changes[id] = status(i)
	}
	return view.New(cfg, 1, "dc0").WithTargets(changes)
}

func drawStatus(t *rapid.T, i int) view.Status {
	return view.Status{
		Load: dialer.Load{
			AtMs: testNow.Add(-time.Second).UnixMilli(), Running: rapid.IntRange(0, 8).Draw(t, fmt.Sprint("running", i)),
			WaitingTokens: rapid.IntRange(0, 50000).Draw(t, fmt.Sprint("tokens", i)),
		},
		LoadAt: testNow, Versions: map[string]int64{"m": rapid.Int64Range(1, 2).Draw(t, fmt.Sprint("version", i))},
		Leaving: rapid.IntRange(0, 2).Draw(t, fmt.Sprint("leaving", i)) == 0, Down: rapid.IntRange(0, 4).Draw(t, fmt.Sprint("down", i)) == 0,
	}
}

func drawInput(t *rapid.T) Input {
	n := rapid.IntRange(1, 60).Draw(t, "targets")
	blocks := rapid.IntRange(0, 20).Draw(t, "blocks")
	return Input{
		View: testView(n, func(i int) view.Status { return drawStatus(t, i) }), Model: "m",
		Anchor: keyer.Key{rapid.Byte().Draw(t, "anchor")}, PromptBlocks: blocks,
		PromptTokens:  blocks*keyer.BlockTokens + rapid.IntRange(1, keyer.BlockTokens-1).Draw(t, "rest"),
		ComputedShare: rapid.Float64Range(0, 1).Draw(t, "share"), RunTime: time.Second,
		Stored: StoredContext{
			Store: "s", Version: rapid.Int64Range(1, 2).Draw(t, "stored version"), Blocks: rapid.IntRange(0, 20).Draw(t, "stored"),
			Bytes: 80 << 20, Backlog: time.Duration(rapid.IntRange(0, 2000).Draw(t, "backlog")) * time.Millisecond,
			BytesPerSec: rapid.Float64Range(0, 1e9).Draw(t, "rate"),
		},
		LastRun: LastRun{
			Target: fmt.Sprint("t", rapid.IntRange(0, n).Draw(t, "last")), Version: rapid.Int64Range(1, 2).Draw(t, "last version"),
			Blocks: rapid.IntRange(0, 20).Draw(t, "last blocks"), ResidentProbability: rapid.Float64Range(0, 1).Draw(t, "resident"),
		},
		Seed: rapid.Uint64().Draw(t, "seed"),
	}
}

// Guards against dispatch to a leaving or failed target, use of blocks of another weight version, import of more blocks
// than the prompt has, an unbounded set of candidates, and a choice that depends on anything but the input.
func TestRandomDecisionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		d, err := New().Choose(in, testNow)
		usable := 0
		for _, tg := range in.View.ModelTargets("m") {
			if tg.Usable() {
				usable++
			}
		}
		if err != nil {
			require.Zero(t, usable, "a usable target exists but was not found")
			return
		}
		for _, tg := range append(d.Alternatives, d.Target) {
			require.True(t, tg.Usable(), "target %s is leaving or down", tg.ID)
		}
		require.NotContains(t, d.Alternatives, d.Target)
		require.LessOrEqual(t, d.CandidateCount, MaxCandidates)
		require.LessOrEqual(t, d.Import.Blocks, min(in.PromptBlocks, in.Stored.Blocks))
		if d.Import.Blocks > 0 {
			require.Equal(t, in.Stored.Version, d.Target.Version("m"), "import of another version")
		}
		if in.LastRun.Version != d.Target.Version("m") {
			require.NotEqual(t, ReasonCached, d.Reason, "cached blocks of another version")
		}
		require.GreaterOrEqual(t, d.ExpectedTTFT, time.Duration(0))
		again, _ := New().Choose(in, testNow)
		require.Equal(t, d, again)
	})
}

func idle(int) view.Status {
	return view.Status{Load: dialer.Load{AtMs: testNow.UnixMilli()}, LoadAt: testNow, Versions: map[string]int64{"m": 1}}
}

// Guards against a choice of another data centre that saves no time, and against staying in a congested local one.
func TestChooseWeighsDistance(t *testing.T) {
	for name, tc := range map[string]struct {
		local, remote int // waiting tokens
		wantLocal     bool
	}{
		"idle everywhere":        {0, 0, true},
		"gain below the latency": {20, 0, true},
		"long local queue":       {20000, 0, false},
		"longer remote queue":    {20000, 40000, true},
	} {
		t.Run(name, func(t *testing.T) {
			v := testView(12, func(i int) view.Status {
				st := idle(i)
				if st.Load.WaitingTokens = tc.remote; i%4 == 0 {
					st.Load.WaitingTokens = tc.local
				}
				return st
			})
			p := New()
			p.Tolerance = 0
			d, err := p.Choose(Input{View: v, Model: "m", PromptTokens: 1000, ComputedShare: 1, Seed: 1}, testNow)
			require.NoError(t, err)
			require.Equal(t, tc.wantLocal, d.Target.DataCentre == "dc0")
		})
	}
}

// Guards against the wrong source of the context: a slow link must lead to a recompute, and a wait in the queue allows a
// partial import.
func TestChooseContextSource(t *testing.T) {
	base := Input{Model: "m", PromptBlocks: 10, PromptTokens: 20100, ComputedShare: 1, Seed: 1}
	for name, tc := range map[string]struct {
		rate     float64
		last     LastRun
		waiting  int
		reason   string
		imported int
	}{
		"fast link":           {rate: 400e6, reason: ReasonImport, imported: 10},
		"link without a rate": {rate: 0, reason: ReasonRecompute},
		"slow link":           {rate: 4e6, reason: ReasonRecompute},
		"slow link, queue":    {rate: 20e6, waiting: 20000, reason: ReasonPartialImport, imported: 4},
		"on accelerator":      {rate: 400e6, last: LastRun{Target: "t3", Version: 1, Blocks: 10, ResidentProbability: 1}, reason: ReasonCached},
		"other version":       {rate: 0, last: LastRun{Target: "t3", Version: 2, Blocks: 10, ResidentProbability: 1}, reason: ReasonRecompute},
		"evicted from cache":  {rate: 400e6, last: LastRun{Target: "t3", Version: 1, Blocks: 10}, reason: ReasonImport, imported: 10},
		"probably evicted":    {rate: 400e6, last: LastRun{Target: "t3", Version: 1, Blocks: 10, ResidentProbability: 0.01}, reason: ReasonImport, imported: 10},
	} {
		t.Run(name, func(t *testing.T) {
			in := base
			in.View = testView(12, func(i int) view.Status {
				st := idle(i)
				st.Load.WaitingTokens = tc.waiting
				return st
			})
			in.LastRun = tc.last
			in.Stored = StoredContext{Store: "s", Version: 1, Blocks: 10, Bytes: 40 << 20, BytesPerSec: tc.rate}
			d, err := New().Choose(in, testNow)
			require.NoError(t, err)
			require.Equal(t, tc.reason, d.Reason)
			if tc.reason != ReasonCached {
				require.Equal(t, tc.imported, d.Import.Blocks)
			}
		})
	}
}

// Guards against a cost of decisions that grows with the number of targets or prompts.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{15, 150, 830, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := testView(n, idle)
			const prompts = 100_000
			anchors := make([]keyer.Key, prompts)
			for i := range anchors {
				anchors[i] = keyer.Anchor(keyer.Scope{Model: "m"}, "", fmt.Sprint(i))
			}
			p, i := New(), 0
			b.ReportAllocs()
			for b.Loop() {
				in := Input{
					View: v, Model: "m", Anchor: anchors[i%prompts], PromptBlocks: 10, PromptTokens: 20100, ComputedShare: 1,
					Stored:  StoredContext{Store: "s", Version: 1, Blocks: 10, Bytes: 40 << 20, BytesPerSec: 4e8},
					LastRun: LastRun{Target: "t3", Version: 1, Blocks: 10, ResidentProbability: 0.5}, Seed: uint64(i), RunTime: time.Second,
				}
				i++
				if _, err := p.Choose(in, testNow.Add(time.Second)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against instances that all follow one load report to the same target. Own runs that are still in progress must
// count, with as many assumed for each other instance, even if the report shows an idle target.
func TestChooseCountsRecentOwnRuns(t *testing.T) {
	in := Input{View: testView(2, idle), Model: "m", PromptTokens: 100, ComputedShare: 1, RunTime: 3 * time.Second, OtherInstances: 5}
	loaded, _ := in.View.Target("t0")
	for range 6 {
		loaded.Dispatches.Record(testNow.Add(-2*time.Second), 100)
	}
	d, err := New().Choose(in, testNow)
	require.NoError(t, err)
	require.Equal(t, "t1", d.Target.ID)
	d, err = New().Choose(in, testNow.Add(1250*time.Millisecond))
	require.NoError(t, err)
	require.Equal(t, "t0", d.Target.ID)
}
