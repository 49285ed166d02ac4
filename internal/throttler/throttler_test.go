package throttler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

var (
	epoch   = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	process = Process{Target: "w-1", StartedUnixMs: 7}
)

func limitOf(perSecond float64) Statement { return Statement{Limit: &perSecond} }

// fleet is a deployment of instances that all send to one target as fast as they may.
type fleet struct {
	r      *rand.Rand
	tables map[string]*Table
	// events are to happen at a time: a response or an announcement arrives, or an instance learns of the members.
	events map[time.Duration][]func(now time.Time)
	limit  float64
	// told is when an instance first received a response with a limit. arrivals are the requests of those that were told toldDelay
	// before.
	told     map[string]time.Duration
	arrivals []time.Duration
	// sent are all requests.
	sent   []time.Duration
	nextID int
}

const (
	fleetStep = 10 * time.Millisecond
	// announceInterval and memberDelay are those of a large deployment.
	announceInterval = 320 * time.Millisecond
	memberDelay      = 2 * time.Second
	// toldDelay is the time after which an instance that has received a response with a limit must keep it.
	toldDelay = 500 * time.Millisecond
)

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 1)), tables: map[string]*Table{}, told: map[string]time.Duration{}, events: map[time.Duration][]func(time.Time){}}
	for range n {
		f.add(0)
	}
	for _, t := range f.tables {
		t.SetInstances(f.ids(), epoch)
	}
	return f
}

func (f *fleet) ids() []string {
	var ids []string
	for id := range f.tables {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// later schedules f after a random delay of up to limit.
func (f *fleet) later(at, limit time.Duration, event func(time.Time)) {
	at += fleetStep + time.Duration(f.r.Int64N(int64(limit))).Truncate(fleetStep)
	f.events[at] = append(f.events[at], event)
}

// add adds an instance; the others and itself learn that later, each at its own time.
func (f *fleet) add(at time.Duration) {
	f.nextID++
	id := fmt.Sprintf("i-%d", f.nextID)
	f.tables[id] = New(id)
	f.announceMembers(at)
}

// remove removes an instance; the others learn that later.
func (f *fleet) remove(at time.Duration) {
	ids := f.ids()
	delete(f.tables, ids[f.r.IntN(len(ids))])
	f.announceMembers(at)
}

func (f *fleet) announceMembers(at time.Duration) {
	for _, id := range f.ids() {
		t := f.tables[id]
		f.later(at, memberDelay, func(now time.Time) { t.SetInstances(f.ids(), now) })
	}
}

// run plays the time up to end.
func (f *fleet) run(from, end time.Duration, churn bool) {
	for at := from; at < end; at += fleetStep {
		now := epoch.Add(at)
		for _, event := range f.events[at] {
			event(now)
		}
		delete(f.events, at)
		if churn && f.r.IntN(200) == 0 {
			f.remove(at)
			f.add(at)
		}
		for _, id := range f.ids() {
			t := f.tables[id]
			if t.Take(process, now) {
				f.sent = append(f.sent, at)
				if told, ok := f.told[id]; ok && at-told >= toldDelay {
					f.arrivals = append(f.arrivals, at)
				}
				limit := f.limit
				f.later(at, 100*time.Millisecond, func(now time.Time) {
					s := Statement{}
					if limit > 0 {
						s = limitOf(limit)
					}
					if _, ok := f.told[id]; !ok && limit > 0 {
						f.told[id] = now.Sub(epoch)
					}
					t.Record(process, s, now)
				})
			}
			if f.r.Int64N(int64(announceInterval/fleetStep)) == 0 {
				as := t.Announced(now)
				for _, other := range f.ids() {
					if peer := f.tables[other]; other != id && f.r.IntN(10) > 0 { // one datagram in ten is lost
						f.later(at, 20*time.Millisecond, func(now time.Time) { peer.Merge(as, now) })
					}
				}
			}
		}
	}
}

// most returns the largest number of requests in 4 s from a time on.
func most(times []time.Duration, from time.Duration) int {
	most := 0
	for i, at := range times {
		if at < from {
			continue
		}
		end, _ := slices.BinarySearch(times, at+4*time.Second)
		most = max(most, end-i)
	}
	return most
}

// Guards against a fleet whose instances together send more than a target's limit, or nothing.
func TestFleetKeepsLimit(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		instances int
		limit     float64
		churn     bool
	}{
		"one instance":                  {1, 2, false},
		"small deployment":              {7, 2.1, false},
		"less than one a second":        {7, 0.4, false},
		"instances come and go":         {7, 2.1, true},
		"large deployment":              {82, 2.3, false},
		"large, instances come, go":     {82, 1.8, true},
		"large, high limit":             {82, 20, true},
		"large, less than one a second": {82, 0.3, true},
	}
	for name, tc := range tests {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(seed, tc.instances)
				f.run(0, time.Second, false)
				f.limit = 3 * tc.limit
				f.run(time.Second, 8*time.Second, tc.churn)
				f.limit = tc.limit
				// The lower limit is known once a request has been answered; the bound starts 3 s after it was named.
				f.run(8*time.Second, 30*time.Second, tc.churn)
				require.LessOrEqual(t, float64(most(f.arrivals, 11*time.Second)), 1.5*4*tc.limit+5)
				first, _ := slices.BinarySearch(f.sent, 11*time.Second)
				require.Greater(t, float64(len(f.sent)-first), 0.5*tc.limit*19, "the limit is not used")
				f.limit = 0
				f.run(30*time.Second, 42*time.Second, false)
				require.Greater(t, most(f.sent, 38*time.Second), 20*tc.instances, "the limit has ended, but is kept")
			})
		}
	}
}

// Guards against statements that are dropped or kept by mistake.
func TestStatements(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		act  func(t *Table)
		want Reason
	}{
		"no statement":    {func(t *Table) { t.Record(process, Statement{}, epoch) }, ""},
		"limit":           {func(t *Table) { t.Record(process, limitOf(0.5), epoch) }, ReasonLimit},
		"limit of zero":   {func(t *Table) { t.Record(process, limitOf(0), epoch) }, ReasonLimit},
		"another process": {func(t *Table) { t.Record(Process{"w-1", 6}, limitOf(0.5), epoch) }, ""},
		"ended":           {func(t *Table) { t.Record(process, limitOf(0.5), epoch); t.Record(process, Statement{}, epoch.Add(1)) }, ""},
		"followed by an odd one": {func(t *Table) {
			t.Record(process, limitOf(0.5), epoch)
			t.Record(process, Statement{LimitUnreadable: true}, epoch.Add(1))
		}, ReasonLimit},
		"odd one":   {func(t *Table) { t.Record(process, Statement{LimitUnreadable: true}, epoch) }, ""},
		"announced": {func(t *Table) { t.Merge([]Announced{{process, limitOf(0.5), second}}, epoch) }, ReasonLimit},
		"announced end": {func(t *Table) {
			t.Record(process, limitOf(0.5), epoch)
			t.Merge([]Announced{{process, Statement{}, 0}}, epoch.Add(1))
		}, ""},
		"announced end, older": {func(t *Table) {
			t.Record(process, limitOf(0.5), epoch)
			t.Merge([]Announced{{process, Statement{}, second}}, epoch.Add(1))
		}, ReasonLimit},
		"not registered for a time": {func(t *Table) {
			t.Record(process, limitOf(0.5), epoch)
			t.Retain(cataloger.NewView(), epoch)
			t.Retain(cataloger.NewView(), epoch.Add(absenceTTL))
		}, ReasonLimit},
		"not registered for long": {func(t *Table) {
			t.Record(process, limitOf(0.5), epoch)
			t.Retain(cataloger.NewView(), epoch)
			t.Retain(cataloger.NewView(), epoch.Add(absenceTTL+1))
		}, ""},
		"leaving": {func(t *Table) { t.Record(process, Statement{Leaving: true}, epoch) }, ReasonLeaving},
		"leaving, not withdrawn": {func(t *Table) {
			t.Record(process, Statement{Leaving: true}, epoch)
			t.Record(process, Statement{}, epoch.Add(1))
		}, ReasonLeaving},
		"leaving, announced":        {func(t *Table) { t.Merge([]Announced{{process, Statement{Leaving: true}, second}}, epoch) }, ReasonLeaving},
		"process before is leaving": {func(t *Table) { t.Record(Process{"w-1", 6}, Statement{Leaving: true}, epoch) }, ""},
		"retry after":               {func(t *Table) { t.Record(process, Statement{RetryAfter: second + 1}, epoch) }, ReasonRetryAfter},
		"retry after, over":         {func(t *Table) { t.Record(process, Statement{RetryAfter: second}, epoch) }, ""},
		"retry after, shorter follows": {func(t *Table) {
			t.Record(process, Statement{RetryAfter: 2 * second}, epoch)
			t.Record(process, Statement{RetryAfter: 1}, epoch)
		}, ReasonRetryAfter},
		"retry after, answer follows": {func(t *Table) {
			t.Record(process, Statement{RetryAfter: 2 * second}, epoch)
			t.Record(process, Statement{}, epoch)
		}, ReasonRetryAfter},
		"retry after of another": {func(t *Table) { t.Merge([]Announced{{process, Statement{RetryAfter: 2 * second}, 0}}, epoch) }, ""},
		"members unknown":        {func(t *Table) { t.SetInstances(nil, epoch); t.Record(process, limitOf(0.5), epoch) }, ReasonOtherSenders},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tbl := New("a")
			tbl.SetInstances([]string{"a"}, epoch)
			tc.act(tbl)
			v := tbl.Check(process, epoch.Add(second))
			require.Equal(t, tc.want, v.Reason)
			require.Equal(t, tc.want != "" && tc.want != ReasonLeaving, v.Wait > 0)
			require.Equal(t, tc.want == "", tbl.Take(process, epoch.Add(second)))
		})
	}
}

// Guards against peers that do not know that a target refuses requests for a time, or that know it for longer.
func TestPauseIsAnnounced(t *testing.T) {
	refused, peer := New("a"), New("b")
	refused.Record(process, Statement{RetryAfter: 3 * time.Second}, epoch)
	now := epoch.Add(time.Second)
	peer.Merge(refused.Announced(now), now)
	require.True(t, peer.IsPausedElsewhere(process, epoch.Add(3*time.Second-1)))
	require.False(t, peer.IsPausedElsewhere(process, epoch.Add(3*time.Second)))
	require.False(t, refused.IsPausedElsewhere(process, now))
	refused.Record(process, Statement{RetryAfter: 2 * maxPause}, now)
	require.Equal(t, maxPause, refused.Check(process, now).Wait)
}

// Guards against an instance that starts and does not know a limit, because no response has arrived for a time; and against as many
// copies of each limit in the announcements as there are instances.
func TestSendersAnnounceLimit(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g"}
	later := epoch.Add(announceTime + 1)
	announcing := 0
	for _, id := range ids {
		tbl := New(id)
		tbl.SetInstances(ids, epoch)
		tbl.Record(process, limitOf(0.5), epoch)
		require.Len(t, tbl.Announced(epoch.Add(announceTime)), 1, "a recent response")
		for _, a := range tbl.Announced(later) {
			announcing++
			late := New("late")
			late.Merge([]Announced{a}, later)
			require.Equal(t, ReasonOtherSenders, late.Check(process, later).Reason)
		}
	}
	require.Equal(t, baseSenders, announcing)
}
