package benchmarker

import (
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/admitter"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/placer"
	"github.com/papayaworks/papayaworks/internal/router"
	"github.com/papayaworks/papayaworks/internal/server/keeper"
	"github.com/papayaworks/papayaworks/internal/shaper"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// policy is a way to route requests and to store their context.
type policy struct {
	choose          func(s *sim, in *router.Input) *view.Target // a baseline; nil for the product policy
	useStore        bool                                        // the baseline exports every context and imports stored ones
	router          router.Policy
	placer          *placer.Placer
	noHint, noAdmit bool
	noShaper        bool                     // exports start immediately instead of through the shaper
	next            map[*view.Dispatches]int // round-robin position of each instance, by the instance's Dispatches of the first target
}

// route selects the target of a run and its import; it returns false if the run is refused.
func (p *policy) route(s *sim, r *run) bool {
	in := router.Input{
		View: r.instance.view, Model: model, Anchor: r.conv.anchor, PromptBlocks: r.blocks, PromptTokens: r.prompt, Seed: s.rng.Uint64(),
	}
	if p.choose == nil {
		return p.plan(s, r, in)
	}
	t := p.choose(s, &in)
	if t == nil {
		return false
	}
	r.target = index(t.ID)
	if i := preferredStore(r); p.useStore && r.conv.turn > 0 && i >= 0 {
		r.source, r.sourceID = s.stores[i], i
		r.manifestBlocks = min(r.blocks, r.source.lookup(r.conv.anchor).blocks)
		r.importBlocks = r.manifestBlocks
	}
	t.Dispatches.Record(s.c.time(), r.prompt)
	return true
}

// plan routes a run like internal/server/selector, but looks up stored contexts in the simulated stores without delay. It returns
// false if the run is refused.
func (p *policy) plan(s *sim, r *run, in router.Input) bool {
	t, now := r.instance.tracker, s.c.time()
	m := t.Averages(model)
	in.ComputedShare, in.RunTime = m.ComputedShare, m.RunTime
	in.OtherInstances = s.liveCount() - 1
	in.RunRate, in.TokenRate = t.DispatchRates(model)
	r.lastRun, r.gap = router.LastRun{}, 0
	if r.conv.turn > 0 {
		p.setLastRun(s, r)
		in.LastRun = r.lastRun
		p.lookupManifest(s, r, &in)
	}
	d, err := p.router.Choose(in, now)
	if err != nil {
		return false
	}
	if !p.noAdmit && !r.admitted && !p.admitted(s, r, &d) {
		return false
	}
	r.expected = d.ExpectedTTFT
	r.target, r.importBlocks = index(d.Target.ID), d.Import.Blocks
	if r.importBlocks > 0 {
		if d.Reason != router.ReasonCached {
			t.RecordImport(id("s", r.sourceID), r.source.linkRate, r.source.weightedBytes(r.importBlocks, r.onDisk))
		}
	}
	d.Target.Dispatches.Record(now, d.PrefillTokens)
	t.RecordDispatch(model, d.PrefillTokens)
	return true
}

// admitted applies the admission policy to the queue delay and the time to first token that the decision expects.
func (p *policy) admitted(s *sim, r *run, d *router.Decision) bool {
	a := configurer.Account{
		Name: id("a", r.conv.account), Share: int(s.w.profile.accountWeights[r.conv.account]),
		FirstTokenMs: int(onTime.Milliseconds()), DeadlineMs: 60000,
	}
	decode := time.Duration(float64(r.outputTokens) / s.w.size.decode * float64(time.Second))
	e := admitter.Estimate{
		QueueDelay: d.QueueDelay + max(0, r.instance.tracker.Averages(model).Lateness), FirstTokenTime: d.ExpectedTTFT - d.QueueDelay, ServiceTime: d.ExpectedTTFT - d.QueueDelay + decode, Cost: float64(r.outputTokens),
	}
	pool := admitter.Pool{OwnRuns: r.instance.running, Instances: s.liveCount(), RunTime: r.instance.tracker.Averages(model).RunTime}
	for _, t := range r.instance.view.ModelTargets(model) {
		if t.Usable() {
			pool.Slots += t.Slots
			pool.ReportedRuns += t.Load.Running + t.Load.Waiting
		}
	}
	e.QueueDelay = max(e.QueueDelay, pool.QueueDelay())
	r.admitted = r.instance.admitter.Decide(a, e, s.c.time(), s.rng.Uint64()).Admitted
	if r.admitted {
		r.admittedBy = r.instance
		r.admittedBy.running++
	}
	return r.admitted
}

// setLastRun sets the last run of the conversation from the continuation token or the hints.
func (p *policy) setLastRun(s *sim, r *run) {
	t, c := r.instance.tracker, r.conv
	if c.hasToken {
		r.lastRun = router.LastRun{Target: id("t", c.last), Version: 1, Blocks: c.blocks}
		r.gap = max(1, s.c.now-c.lastEnd)
	}
	if h, ok := t.Hint(c.anchor); ok && !p.noHint && (!c.hasToken || h.Target == r.lastRun.Target) {
		r.lastRun = router.LastRun{Target: h.Target, Version: h.Version, Blocks: h.Blocks}
		r.gap = s.c.time().Sub(h.DispatchedAt)
	}
}

// lookupManifest looks for the manifest in the first two stores that are not down and uses the one with the most blocks.
func (p *policy) lookupManifest(s *sim, r *run, in *router.Input) {
	ids := preferredTargets(r)
	if r.conv.hasToken && !slices.Contains(ids, r.conv.last) {
		ids = append(ids, r.conv.last)
	}
	best, tried := contextEntry{}, 0
	for _, i := range ids {
		if in.View.Store(id("s", i)).Down {
			continue
		}
		if tried++; tried > 2 {
			break
		}
		if entry := s.stores[i].lookup(r.conv.anchor); !s.stores[i].dead && entry.blocks > best.blocks {
			best, r.sourceID = *entry, i
		}
	}
	if best.blocks > 0 {
		r.source, r.manifestBlocks, r.onDisk = s.stores[r.sourceID], min(r.blocks, best.blocks), best.disk
		rate := r.source.linkRate
		if best.disk {
			rate = r.source.diskRate
		}
		achieved, backlog := r.instance.tracker.AchievedShare(id("s", r.sourceID), r.source.linkRate)
		reported := time.Duration(in.View.Store(id("s", r.sourceID)).State.LinkBacklogMs) * time.Millisecond
		in.Stored = router.StoredContext{
			Store: id("s", r.sourceID), Version: 1, Blocks: r.manifestBlocks, Bytes: int64(r.manifestBlocks) * blockBytes,
			Backlog: max(backlog, reported), BytesPerSec: achieved * rate,
		}
	}
	if r.lastRun.Target != "" {
		in.LastRun.ResidentProbability = r.instance.tracker.ResidentProbability(r.gap)
	}
}

// storeContext records the run and exports its context if the policy says so, like internal/server/keeper.
func (p *policy) storeContext(s *sim, r *run) {
	if r.blocks == 0 {
		return
	}
	if p.choose != nil {
		if i := preferredStore(r); p.useStore && i >= 0 && !s.stores[i].dead {
			p.write(s, r, i, s.stores[i].evictFor(r.blocks), nil)
		}
		return
	}
	t, c := r.instance.tracker, r.conv
	key := placer.Key{Account: id("a", c.account)}
	t.RecordEnd(key, c.turn > 0, r.gap)
	t.SetHint(c.anchor, hint(r, s.c.time()))
	if r.lastRun.Target == id("t", r.target) && r.gap > 0 && r.lastRun.Blocks > 0 {
		t.RecordCacheHits(r.gap, min(1, float64(r.cached)/float64(r.lastRun.Blocks)))
	}
	prefill := time.Duration(float64(r.computed) / s.w.size.prefill * float64(time.Second))
	t.RecordRun(model, float64(r.computed)/float64(max(1, r.prompt)), s.c.now-r.firstAt+prefill)
	run := placer.Run{
		Key: key, Bytes: int64(r.blocks) * blockBytes, Stores: p.storeOptions(s, r),
		PrefillTime: time.Duration(float64(r.blocks*keyer.BlockTokens) / s.w.size.prefill * float64(time.Second)),
	}
	if d := t.Decide(p.placer, run); d.Export {
		p.export(s, r, d, placer.StoredContext{Key: key, Bytes: run.Bytes, SavedSeconds: d.SavedSeconds, StoredAt: s.c.time()})
	}
}

// export evicts contexts if the tier does not have enough free capacity, and queues the transfer.
func (p *policy) export(s *sim, r *run, d placer.Decision, k placer.StoredContext) {
	t, st := r.instance.tracker, index(d.Store)
	n := int64(r.blocks-p.storedBlocks(r, st)) * blockBytes
	if over := n - freeBytes(r, st, s.w, d.Disk); over > 0 {
		candidates, _, _ := t.EvictionCandidates(d.Store, d.Disk, over)
		for _, v := range candidates {
			if over <= 0 {
				break
			}
			t.RecordEvicted(d.Store, d.Disk, v.Anchor)
			if s.stores[st].remove(v.Anchor, v.Generation) {
				over -= v.Bytes
			}
		}
	}
	start := func(done func(bool)) {
		p.write(s, r, st, d.Disk, func(ok bool) {
			if ok {
				t.RecordStored(d.Store, d.Disk, tracker.StoredContext{StoredContext: k, Anchor: r.conv.anchor, Generation: int64(r.arrived)})
			}
			done(ok)
		})
	}
	if p.noShaper {
		start(func(bool) {})
		return
	}
	t.Transfer(d.Store, s.stores[st].linkRate, shaper.Job{Class: shaper.Export, Bytes: s.stores[st].weightedBytes(int(n/blockBytes), d.Disk)}, start)
}

// freeBytes returns the free capacity of a tier above the reserve, by the last report.
func freeBytes(r *run, st int, w *workload, disk bool) int64 {
	state := r.instance.view.Store(id("s", st)).State
	used, limit := state.MemoryUsed, int64(w.size.memoryMiB)*mib
	if disk {
		used, limit = state.DiskUsed, int64(w.size.diskMiB)*mib
	}
	return limit - limit/keeper.ReserveDivisor - used
}

// storedBlocks returns the number of blocks of the run that a store had when it was looked up.
func (p *policy) storedBlocks(r *run, st int) int {
	if r.source == nil || r.sourceID != st {
		return 0
	}
	return r.manifestBlocks
}

// storeOptions returns the stores of the preferred targets and of the run's target as options for the placer.
func (p *policy) storeOptions(s *sim, r *run) []placer.StoreOption {
	ids := preferredTargets(r)
	if !slices.Contains(ids, r.target) {
		ids = append(ids, r.target)
	}
	var out []placer.StoreOption
	for _, i := range ids {
		st, status := s.stores[i], r.instance.view.Store(id("s", i))
		achieved, backlog := r.instance.tracker.AchievedShare(id("s", i), st.linkRate)
		have := p.storedBlocks(r, i)
		pl := placer.StoreOption{
			Store: id("s", i), Down: status.Down, NewBytes: int64(r.blocks-have) * blockBytes,
			Backlog: max(backlog, time.Duration(status.State.LinkBacklogMs)*time.Millisecond),
		}
		for _, disk := range []bool{false, true} {
			if have > 0 && disk != r.onDisk {
				continue
			}
			t := placer.Tier{Disk: disk, BytesPerSec: achieved * st.linkRate, Fits: true}
			if disk {
				t.BytesPerSec = achieved * st.diskRate
			}
			if missing := pl.NewBytes - freeBytes(r, i, s.w, disk); missing > 0 {
				_, t.DisplacedSeconds, t.Fits = r.instance.tracker.EvictionCandidates(pl.Store, disk, min(missing, pl.NewBytes))
			}
			pl.Tiers = append(pl.Tiers, t)
		}
		out = append(out, pl)
	}
	return out
}

// write transfers the blocks that the store does not have yet, if the engine still caches the context, and calls done with the
// result; done may be nil.
func (p *policy) write(s *sim, r *run, to int, disk bool, done func(bool)) {
	st, e := s.stores[to], s.engines[r.target]
	have := p.storedBlocks(r, to)
	ok := !st.dead && !e.dead && e.cache.get(r.conv.anchor, false).blocks >= r.blocks && r.blocks > have
	end := s.c.now
	if ok {
		end = st.transfer(s.c.now, int64(r.blocks-have)*blockBytes, disk)
	}
	s.c.after(end-s.c.now, func() {
		if ok = ok && !st.dead; ok {
			ok = st.put(contextEntry{anchor: r.conv.anchor, blocks: r.blocks, disk: disk, at: r.arrived})
		}
		if done != nil {
			done(ok)
		}
	})
}
