package quarantiner

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
)

const (
	poison = uint64(0xdead)
	shared = uint64(1)
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// process returns one of the processes of ten targets.
func process(n int) Process { return Process{Target: fmt.Sprint("w-", n%10), StartedUnixMs: int64(n)} }

// step is an event at an instance: a crash of the numbered process, or a success if there is none.
type step struct {
	at     time.Duration
	crash  int
	blocks []uint64
}

func play(q *Quarantine, steps []step) {
	for _, s := range steps {
		if s.crash > 0 {
			q.RecordCrash(process(s.crash), s.blocks, epoch.Add(s.at))
		} else {
			q.RecordSuccess(s.blocks, epoch.Add(s.at))
		}
	}
}

func blocked(q *Quarantine, block uint64, now time.Time) bool {
	_, ok := q.Blocked([]uint64{block}, now)
	return ok
}

// Guards against a poison block that keeps reaching targets, and against sound blocks that are refused.
func TestEvidence(t *testing.T) {
	both := []uint64{shared, poison}
	second := time.Second
	other := step{at: second / 2, blocks: []uint64{99}} // some call succeeds, so that there is no general outage
	tests := map[string]struct {
		steps []step
		want  bool
	}{
		"two crashes":                       {[]step{{0, 1, both}, other, {second, 2, both}}, false},
		"three crashes":                     {[]step{{0, 1, both}, other, {second, 2, both}, {2 * second, 3, both}}, true},
		"one process reported three times":  {[]step{{0, 1, both}, other, {second, 1, both}, {2 * second, 1, both}}, false},
		"same target in three processes":    {[]step{{0, 10, both}, other, {second, 20, both}, {2 * second, 30, both}}, true},
		"three crashes in a burst":          {[]step{{0, 1, both}, {burstWindow / 3, 2, both}, {burstWindow / 2, 3, both}, other, {2 * second, 4, both}}, false},
		"late call of a burst":              {[]step{{0, 1, both}, other, {second, 2, both}, {second + burstWindow - 1, 3, both}}, false},
		"just after a burst":                {[]step{{0, 1, both}, other, {second, 2, both}, {second + burstWindow, 3, both}}, true},
		"success between":                   {[]step{{0, 1, both}, other, {second, 2, both}, {second + 1, 0, both}, {4 * second, 3, both}}, false},
		"success before the first":          {[]step{{0, 0, both}, {soundWindow - 1, 1, both}, {soundWindow, 0, nil}, {3 * second, 2, both}, {4 * second, 3, both}}, false},
		"success long before the first":     {[]step{{0, 0, both}, {soundWindow, 1, both}, {soundWindow + 1, 0, nil}, {4 * second, 2, both}, {5 * second, 3, both}}, true},
		"three crashes again after success": {[]step{{0, 1, both}, {1, 0, both}, {3 * second, 2, both}, {4 * second, 0, nil}, {5 * second, 3, both}, {6 * second, 4, both}}, true},
		"crashes over many minutes":         {[]step{{0, 1, both}, {evidenceTTL - second, 2, both}, {evidenceTTL - 1, 0, nil}, {evidenceTTL, 3, both}}, false},
		"outage, four crashes":              {[]step{{0, 1, both}, {second, 2, both}, {2 * second, 3, both}, {3 * second, 4, both}}, false},
		"outage, five crashes":              {[]step{{0, 1, both}, {second, 2, both}, {2 * second, 3, both}, {3 * second, 4, both}, {4 * second, 5, both}}, true},
		"call that fails long after the crash of its target": {[]step{{0, 1, both}, other, {second, 2, both}, {3 * second, 3, nil},
			{3*second + crashMergeWindow + 1, 3, both}}, false},
		"call that fails soon after the crash of its target": {[]step{{0, 1, both}, other, {second, 2, both}, {3 * second, 3, nil},
			{3*second + crashMergeWindow, 3, both}}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q := New()
			play(q, tc.steps)
			require.Equal(t, tc.want, blocked(q, poison, epoch.Add(tc.steps[len(tc.steps)-1].at)))
		})
	}
}

// Guards against refusing the sound calls that were unanswered at the same crashes.
func TestSharedBlocksAreNotBlamed(t *testing.T) {
	q := New()
	for n := range 20 {
		now := epoch.Add(time.Duration(n) * time.Second)
		q.RecordCrash(process(n), []uint64{shared, poison, uint64(1000 + n)}, now)
		q.RecordSuccess([]uint64{shared}, now.Add(300*time.Millisecond))
	}
	now := epoch.Add(20 * time.Second)
	remaining, ok := q.Blocked([]uint64{shared, poison}, now)
	require.True(t, ok)
	require.Equal(t, quarantineTime-18*time.Second, remaining, "quarantined at the third crash")
	for _, block := range []uint64{shared, 1000, 1019} {
		require.False(t, blocked(q, block, now), "block %d", block)
	}
}

// quarantined returns a Quarantine in which the block poison has been quarantined at epoch.
func quarantined() *Quarantine {
	q := New()
	q.Merge(nil, []Entry{{poison, quarantineTime}}, epoch)
	return q
}

// Guards against a quarantine that no success can lift, and against instances that keep refusing a sound block.
func TestSuccessLiftsQuarantineEverywhere(t *testing.T) {
	a, b := quarantined(), quarantined()
	now := epoch.Add(time.Second)
	a.RecordSuccess([]uint64{poison}, now)
	require.False(t, blocked(a, poison, now))
	require.True(t, blocked(b, poison, now))
	a.Merge(nil, b.Entries(now), now)
	require.False(t, blocked(a, poison, now), "a recent success overrules another instance")
	b.Merge(nil, a.Entries(now), now)
	require.False(t, blocked(b, poison, now))
}

// Guards against a quarantine of a block in use that another instance has found by mistake.
func TestRecentSuccessOverrulesOtherInstance(t *testing.T) {
	q, now := New(), epoch.Add(time.Second)
	q.RecordSuccess([]uint64{shared}, epoch)
	q.Merge(nil, []Entry{{shared, quarantineTime}}, now)
	require.False(t, blocked(q, shared, now))
	require.Equal(t, []Entry{{shared, -time.Second}}, q.Entries(now), "the success is announced")
	now = epoch.Add(soundWindow)
	q.Merge(nil, []Entry{{shared, quarantineTime}}, now)
	require.True(t, blocked(q, shared, now), "the success is too long ago")
}

// Guards against a success that arrives once and clears a block forever, and against one that its sender knew before the crash.
func TestAnnouncedSuccessHasItsAge(t *testing.T) {
	q := New()
	q.Merge(nil, []Entry{{poison, -time.Second}}, epoch) // not a suspect yet
	play(q, []step{{0, 1, []uint64{poison}}, {1, 0, nil}, {time.Second, 2, []uint64{poison}}})
	now := epoch.Add(4 * time.Second)
	q.Merge(nil, []Entry{{poison, -4 * time.Second}}, now) // at epoch: clears both crashes
	play(q, []step{{4 * time.Second, 3, []uint64{poison}}, {5 * time.Second, 0, nil}, {6 * time.Second, 4, []uint64{poison}}})
	require.False(t, blocked(q, poison, epoch.Add(6*time.Second)))
	play(q, []step{{7 * time.Second, 5, []uint64{poison}}})
	require.True(t, blocked(q, poison, epoch.Add(7*time.Second)))
}

// Guards against a probe by each instance when a quarantine ends, of which each would crash a target.
func TestSingleProbe(t *testing.T) {
	var qs [7]*Quarantine
	for i := range qs {
		qs[i] = quarantined()
	}
	admitted := 0
	for elapsed := time.Duration(0); elapsed <= 2*quarantineTime+time.Minute; elapsed += 100 * time.Millisecond {
		now := epoch.Add(elapsed)
		if !blocked(qs[int(elapsed/(100*time.Millisecond))%len(qs)], poison, now) {
			admitted++
		}
		exchange(qs[:], now)
	}
	require.Equal(t, 2, admitted, "one at the end of each quarantine")
}

// Guards against a probe that is admitted for one expired block although another block of the call is still quarantined.
func TestProbeWithTwoQuarantinedBlocks(t *testing.T) {
	q := quarantined()
	q.Merge(nil, []Entry{{shared, quarantineTime}}, epoch.Add(time.Minute))
	now := epoch.Add(quarantineTime)
	remaining, ok := q.Blocked([]uint64{poison, shared}, now)
	require.True(t, ok)
	require.Equal(t, time.Minute, remaining)
	require.False(t, blocked(q, poison, now), "no probe has been sent yet")
	require.True(t, blocked(q, poison, now))
}

// Guards against instances that extend each other's quarantines by the transit time of their announcements.
func TestAnnouncementsDoNotExtendQuarantine(t *testing.T) {
	a, b := quarantined(), New()
	const transit = 500 * time.Millisecond
	now := epoch
	for now.Before(epoch.Add(quarantineTime - time.Second)) {
		fromA, fromB := a.Entries(now), b.Entries(now)
		now = now.Add(transit)
		a.Merge(nil, fromB, now)
		b.Merge(nil, fromA, now)
	}
	remaining, ok := a.Blocked([]uint64{poison}, now)
	require.True(t, ok)
	require.Equal(t, epoch.Add(quarantineTime), now.Add(remaining))
	require.False(t, blocked(b, poison, epoch.Add(quarantineTime+transit)))
}

// Guards against counting a crash again each time that it is announced, also after a success.
func TestMergeIsIdempotent(t *testing.T) {
	q := New()
	report := []Crash{{process(1), [][]uint64{{poison}}}}
	play(q, []step{{0, 2, []uint64{poison}}, {1, 0, nil}})
	for n := range 60 {
		q.Merge(report, nil, epoch.Add(time.Duration(n+10)*100*time.Millisecond))
	}
	now := epoch.Add(8 * time.Second)
	require.False(t, blocked(q, poison, now))
	q.RecordSuccess([]uint64{poison}, now)
	q.Merge(report, nil, now.Add(3*time.Second))
	play(q, []step{{12 * time.Second, 3, []uint64{poison}}, {13 * time.Second, 4, []uint64{poison}}})
	require.False(t, blocked(q, poison, epoch.Add(13*time.Second)))
}

// Guards against announcing blocks that others would take for suspects although a call with them has succeeded, and against
// announcing crashes forever.
func TestCrashesAnnounced(t *testing.T) {
	q := New()
	play(q, []step{{0, 1, []uint64{shared, poison, poison}}, {time.Second, 0, []uint64{shared}}, {time.Second, 2, []uint64{shared}}, {2 * time.Second, 3, []uint64{poison, shared}}})
	require.Equal(t, []Crash{{process(3), [][]uint64{{poison}}}, {process(1), [][]uint64{{poison, poison}}}}, q.Crashes(epoch.Add(2*time.Second)))
	require.Equal(t, []Entry{{shared, -time.Second}}, q.Entries(epoch.Add(2*time.Second)))
	require.Empty(t, q.Crashes(epoch.Add(2*time.Second+announceTime+1)))
	require.Empty(t, q.Entries(epoch.Add(2*time.Second+announceTime+1)))
}

// Guards against refusing sound calls because all calls with the poison block have the same block before it and few others do.
func TestBlockBeforePoisonBlockIsNotQuarantined(t *testing.T) {
	const before = uint64(7)
	a, b := New(), New()
	for n := range 5 {
		now := epoch.Add(time.Duration(n) * time.Second)
		a.RecordSuccess([]uint64{shared}, now)
		b.RecordSuccess([]uint64{shared}, now)
		a.RecordCrash(process(n), []uint64{shared, before, poison}, now.Add(time.Millisecond))
		b.Merge(a.Crashes(now.Add(2*time.Millisecond)), a.Entries(now.Add(2*time.Millisecond)), now.Add(3*time.Millisecond))
	}
	for name, q := range map[string]*Quarantine{"own crashes": a, "announced crashes": b} {
		now := epoch.Add(5 * time.Second)
		require.True(t, blocked(q, poison, now), name)
		require.False(t, blocked(q, before, now), name)
		require.False(t, blocked(q, shared, now), name)
	}
}

// Guards against memory and datagrams that grow with the number of crashes, and against evicting a block with more evidence
// than others.
func TestBounds(t *testing.T) {
	q, now := New(), epoch
	play(q, []step{{0, 1, []uint64{poison}}, {1, 0, nil}, {time.Second, 2, []uint64{poison}}})
	next := uint64(1_000_000)
	for n := range 2 * maxCrashes {
		now = epoch.Add(time.Second + time.Duration(n)*time.Millisecond)
		blocks := make([]uint64, 0, 100)
		for range cap(blocks) {
			next++
			blocks = append(blocks, next)
		}
		q.RecordCrash(process(10+n), blocks, now)
		q.RecordSuccess([]uint64{next + 1<<40, next + 1<<41, next + 1<<42, next + 1<<43, next + 1<<44}, now)
	}
	require.LessOrEqual(t, len(q.suspects), maxSuspects)
	require.LessOrEqual(t, len(q.crashes), maxCrashes)
	require.LessOrEqual(t, len(q.recent.current), maxRecent)
	require.LessOrEqual(t, len(q.recent.previous), maxRecent)
	announced := 0
	for _, c := range q.Crashes(now) {
		for _, blocks := range c.Calls {
			announced += len(blocks)
		}
	}
	require.Equal(t, maxAnnouncedBlocks, announced)
	q.RecordCrash(process(3), []uint64{poison}, now)
	require.True(t, blocked(q, poison, now))

	now = now.Add(time.Second)
	for n := range 2 * maxQuarantined {
		q.Merge(nil, []Entry{{uint64(n + 1), quarantineTime}}, now)
	}
	require.EqualValues(t, maxQuarantined, q.quarantined.Load())
	require.True(t, blocked(q, poison, now), "other instances do not displace a block")
	require.LessOrEqual(t, len(q.Entries(now)), maxAnnouncedEntries)

	own := uint64(0xbad)
	for n := range 3 {
		now = now.Add(time.Second)
		q.RecordCrash(Process{Target: "own", StartedUnixMs: int64(n)}, []uint64{own}, now)
		q.RecordSuccess(nil, now.Add(1))
	}
	require.EqualValues(t, maxQuarantined, q.quarantined.Load())
	require.True(t, blocked(q, own, now))
}

// Guards against state that stays after its end when nothing else happens.
func TestPrune(t *testing.T) {
	q := quarantined()
	play(q, []step{{0, 1, []uint64{shared}}})
	q.Entries(epoch.Add(2 * quarantineTime))
	require.Empty(t, q.suspects)
	require.Empty(t, q.crashes)
	require.Zero(t, q.quarantined.Load())
}

// Guards against a change of the names or types that other instances expect.
func TestWireFormat(t *testing.T) {
	crashes := []Crash{{Process{"w-1", 7}, [][]uint64{{1, 1 << 63}, {2}}}}
	data, err := msgpack.Marshal(crashes)
	require.NoError(t, err)
	var generic []map[string]any
	require.NoError(t, msgpack.Unmarshal(data, &generic))
	require.Equal(t, map[string]any{"t": "w-1", "b": int64(7)}, generic[0]["p"])
	var decodedCrashes []Crash
	require.NoError(t, msgpack.Unmarshal(data, &decodedCrashes))
	require.Equal(t, crashes, decodedCrashes)

	entries := []Entry{{1, time.Second}, {1 << 63, -time.Second}}
	data, err = msgpack.Marshal(entries)
	require.NoError(t, err)
	require.NoError(t, msgpack.Unmarshal(data, &generic))
	require.Equal(t, map[string]any{"k": uint64(1), "r": int64(time.Second)}, generic[0])
	var decodedEntries []Entry
	require.NoError(t, msgpack.Unmarshal(data, &decodedEntries))
	require.Equal(t, entries, decodedEntries)
}

// Guards against data races; it is only useful with the race detector.
func TestConcurrentUse(t *testing.T) {
	q := New()
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for n := range 200 {
				now := epoch.Add(time.Duration(n) * 100 * time.Millisecond)
				q.RecordCrash(process(n), []uint64{poison, uint64(g)}, now)
				q.RecordSuccess([]uint64{uint64(g)}, now)
				q.Blocked([]uint64{poison, uint64(g)}, now)
				q.Merge(q.Crashes(now), q.Entries(now), now)
			}
		})
	}
	wg.Wait()
	require.True(t, blocked(q, poison, epoch.Add(20*time.Second)))
}

// exchange sends the announcements of all instances to all others.
func exchange(qs []*Quarantine, now time.Time) {
	for i, from := range qs {
		crashes, entries := from.Crashes(now), from.Entries(now)
		for j, to := range qs {
			if i != j {
				to.Merge(crashes, entries, now)
			}
		}
	}
}

// Guards against sound blocks that are quarantined although calls with them succeed, and against a poison block that is not
// quarantined at all instances after three separate crashes, wherever its calls arrive.
func TestRandomCrashesAtSevenInstances(t *testing.T) {
	const instances = 7
	rapid.Check(t, func(t *rapid.T) {
		var qs [instances]*Quarantine
		for i := range qs {
			qs[i] = New()
		}
		instance := rapid.IntRange(0, instances-1)
		sound := []uint64{1, 2, 3, 4, 5}
		now := epoch
		for n := range rapid.IntRange(3, 12).Draw(t, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(int(burstWindow/time.Millisecond), 20_000).Draw(t, "gapMs")) * time.Millisecond)
			poisonAt := instance.Draw(t, "poison at")
			if n >= 3 {
				for i := range qs {
					require.True(t, blocked(qs[i], poison, now), "poison block at instance %d after %d crashes", i, n)
				}
			}
			// Each instance notices the crash with the blocks of its own calls.
			for i, q := range qs {
				blocks := rapid.SliceOfNDistinct(rapid.SampledFrom(sound), 0, len(sound), rapid.ID[uint64]).Draw(t, "unanswered")
				if i == poisonAt {
					blocks = slices.Insert(blocks, rapid.IntRange(0, len(blocks)).Draw(t, "position"), poison)
				}
				q.RecordCrash(process(n), blocks, now)
			}
			exchange(qs[:], now)
			// Each sound block succeeds at one instance before the next crash.
			for _, block := range sound {
				qs[instance.Draw(t, "success at")].RecordSuccess([]uint64{block}, now.Add(burstWindow/4))
			}
			exchange(qs[:], now.Add(burstWindow/2-1))
			for i, q := range qs {
				for _, block := range sound {
					require.False(t, blocked(q, block, now.Add(burstWindow/2)), "sound block %d at instance %d after %d crashes", block, i, n+1)
				}
			}
		}
	})
}
