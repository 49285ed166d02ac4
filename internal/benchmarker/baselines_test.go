package benchmarker

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/router"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/internal/view"
)

func index(id string) int {
	n, _ := strconv.Atoi(id[2:])
	return n
}

func hint(r *run, now time.Time) tracker.Hint {
	return tracker.Hint{Target: id("t", r.target), Version: 1, Blocks: r.blocks, DispatchedAt: now}
}

// preferredTargets returns the preferred targets of the conversation's anchor in the region, as indexes.
func preferredTargets(r *run) []int {
	var buf [8]*view.Target
	v := r.instance.view
	var out []int
	for _, t := range v.AppendRegionPreferred(buf[:0], model, r.conv.anchor) {
		out = append(out, index(t.ID))
	}
	return out
}

// preferredStore returns the first preferred target whose store is not reported as down, or -1.
func preferredStore(r *run) int {
	for _, i := range preferredTargets(r) {
		if !r.instance.view.Store(id("s", i)).Down {
			return i
		}
	}
	return -1
}

// roundRobin selects the usable targets round robin, with a position per instance.
func roundRobin() *policy {
	p := &policy{next: map[*view.Dispatches]int{}}
	p.choose = func(s *sim, in *router.Input) *view.Target {
		ts := in.View.ModelTargets(model)
		position, ok := p.next[ts[0].Dispatches]
		if !ok {
			position = s.rng.IntN(len(ts))
		}
		defer func() { p.next[ts[0].Dispatches] = position }()
		for range ts {
			position++
			if t := ts[position%len(ts)]; t.Usable() {
				return t
			}
		}
		return nil
	}
	return p
}

// leastLoaded selects the usable target with the fewest outstanding requests: those of its last report plus the instance's own
// dispatches since. Ties are broken at random.
func leastLoaded(store bool) *policy {
	return &policy{useStore: store, choose: func(s *sim, in *router.Input) *view.Target {
		var best *view.Target
		least, n := 0, 0
		for _, t := range in.View.ModelTargets(model) {
			if !t.Usable() {
				continue
			}
			_, own := t.Dispatches.Backlog(0, time.UnixMilli(t.Load.AtMs), s.c.time(), 1)
			load := t.Load.Running + t.Load.Waiting + own
			if best == nil || load < least {
				best, least, n = t, load, 0
			}
			if load == least {
				if n++; s.rng.IntN(n) == 0 {
					best = t
				}
			}
		}
		return best
	}}
}

// prefixHash selects the usable target with the highest rendezvous weight for the conversation.
func prefixHash(store bool) *policy {
	return &policy{useStore: store, choose: func(_ *sim, in *router.Input) *view.Target {
		var best *view.Target
		var weight uint64
		for _, t := range in.View.ModelTargets(model) {
			if w := keyer.Weight(in.Anchor, t.ID); t.Usable() && (best == nil || w > weight) {
				best, weight = t, w
			}
		}
		return best
	}}
}

// boundedLoad selects the first target in the conversation's rendezvous order whose load is at most 1.25 times the mean.
func boundedLoad() *policy {
	return &policy{useStore: true, choose: func(s *sim, in *router.Input) *view.Target {
		var ts []*view.Target
		load, sum := map[string]float64{}, 0.0
		for _, t := range in.View.ModelTargets(model) {
			if !t.Usable() {
				continue
			}
			_, own := t.Dispatches.Backlog(0, time.UnixMilli(t.Load.AtMs), s.c.time(), 1)
			load[t.ID] = float64(t.Load.Running + t.Load.Waiting + own)
			sum += load[t.ID]
			ts = append(ts, t)
		}
		slices.SortFunc(ts, func(a, b *view.Target) int {
			return cmp.Compare(keyer.Weight(in.Anchor, b.ID), keyer.Weight(in.Anchor, a.ID))
		})
		for _, t := range ts {
			if load[t.ID] <= 1.25*(sum+1)/float64(len(ts)) {
				return t
			}
		}
		return nil
	}}
}
