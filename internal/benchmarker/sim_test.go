package benchmarker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/internal/admitter"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/router"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	model          = "m"
	reportInterval = time.Second
	// reportLag is the age of a load report when it arrives.
	reportLag = time.Second
	// regionLatency is the one-way latency between data centres of a region.
	regionLatency = 1200 * time.Microsecond
	// retryDelay is the time after which a caller retries a request that was lost.
	retryDelay = time.Second
	// missedReports is the number of missed load reports after which a target counts as down.
	missedReports = 3
)

// run is one request with its routing decision and its progress.
type run struct {
	conv                         *conv
	arrived                      time.Duration
	prompt, blocks, outputTokens int
	reusableBlocks               int // blocks that earlier turns of the conversation had already computed
	instance, admittedBy         *instance
	target                       int
	source                       *store
	sourceID                     int // index of source
	importBlocks                 int // blocks to import by the routing decision
	cached, imported, computed   int
	attempt                      int           // incremented when the engine is killed
	networkDelay                 time.Duration // round trip between the instance and the engine
	manifestBlocks               int           // blocks in the manifest that was looked up
	onDisk, admitted             bool
	lastRun                      router.LastRun
	gap                          time.Duration // since the last run of the conversation
	firstAt, expected            time.Duration // virtual time of the first token; time to first token that the router expects
}

// instance is one entry instance with its own view, tracker and admission state.
type instance struct {
	view     *view.View
	tracker  *tracker.Tracker
	admitter *admitter.Admitter
	dead     bool
	running  int // admitted runs in progress
}

// sim is the simulation of one workload under one policy.
type sim struct {
	c           *clock
	w           *workload
	p           *policy
	cfg         *configurer.Config
	engines     []*engine
	stores      []*store
	instances   []*instance
	rng         *rand.Rand
	loadHistory [][]dialer.Load // by engine: the latest load report that has arrived, then those that have not arrived yet
	tally       tally
}

func id(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i) }

func newSim(w *workload, p *policy, seed uint64) *sim {
	s := &sim{c: new(clock), w: w, p: p, rng: rand.New(rand.NewPCG(seed, 0)), cfg: &configurer.Config{}}
	sz := &w.size
	s.cfg.Models = []configurer.Model{{Name: model, PrefillTokensPerSecond: int(sz.prefill)}}
	for i := range sz.dataCentres {
		s.cfg.DataCentres = append(s.cfg.DataCentres, configurer.DataCentre{Name: id("dc", i), Region: "r"})
	}
	for i := range sz.engines {
		dc := i % sz.dataCentres
		e := &engine{c: s.c, size: sz, dataCentre: dc, cache: newContextCache(sz.cache)}
		e.onFirstToken, e.onEnd = s.onFirstToken, s.onEnd
		s.engines = append(s.engines, e)
		s.stores = append(s.stores, &store{
			mem: newContextCache(sz.memoryMiB * mib / blockBytes), disk: newContextCache(sz.diskMiB * mib / blockBytes),
			linkRate: float64(sz.linkMiBPerSec) * mib, diskRate: float64(sz.diskMiBPerSec) * mib, slowdown: 1,
		})
		s.cfg.Stores = append(s.cfg.Stores, configurer.Store{
			ID: id("s", i), DataCentre: id("dc", dc), LinkMiBPerSec: sz.linkMiBPerSec, DiskMiBPerSec: sz.diskMiBPerSec,
			MemoryMiB: sz.memoryMiB, DiskMiB: sz.diskMiB,
		})
		s.cfg.Targets = append(s.cfg.Targets, configurer.Target{
			ID: id("t", i), Store: id("s", i), DataCentre: id("dc", dc), Kind: configurer.KindEngine,
			Models: []string{model}, Slots: sz.slots, CacheBlocks: sz.cache,
		})
	}
	s.cfg.SetDefaults()
	s.loadHistory = make([][]dialer.Load, sz.engines)
	for i := range sz.instances {
		in := &instance{view: view.New(s.cfg, 1, id("dc", i%sz.dataCentres)), tracker: tracker.New(s.c.time), admitter: admitter.New()}
		in.tracker.AfterFunc = s.c.after
		s.instances = append(s.instances, in)
	}
	return s
}

// simulate runs the workload to its end.
func (s *sim) simulate(seed uint64) {
	convs, starts := s.w.conversations(seed)
	for i, c := range convs {
		s.c.after(starts[i], func() { s.sendNext(c) })
	}
	for t := time.Duration(0); t < s.w.length; t += reportInterval {
		s.c.after(t, s.report)
	}
	if s.w.faults != nil {
		s.w.faults(s)
	}
	s.c.run()
}

// report samples the loads and updates every instance with the latest load reports that are at least reportLag old and the
// current states of the stores. A dead engine sends no reports and counts as down after missedReports.
func (s *sim) report() {
	reports, stores := map[string]view.Status{}, map[string]view.StoreStatus{}
	for i, e := range s.engines {
		s.loadHistory[i] = append(s.loadHistory[i], dialer.Load{
			AtMs: s.c.time().UnixMilli(), Running: len(e.active), Waiting: len(e.queue), WaitingTokens: e.waitingTokens,
			Blocks: e.cache.used, CapacityBlocks: e.size.cache,
		})
		for len(s.loadHistory[i]) > 1 && s.loadHistory[i][1].AtMs <= s.c.time().Add(-reportLag).UnixMilli() {
			s.loadHistory[i] = s.loadHistory[i][1:]
		}
		st := view.Status{Load: s.loadHistory[i][0], LoadAt: s.c.time(), Versions: map[string]int64{model: 1}}
		reports[id("t", i)] = st
	}
	for i, st := range s.stores {
		stores[id("s", i)] = view.StoreStatus{Down: st.dead, State: dialer.StoreState{
			MemoryUsed: int64(st.mem.used) * blockBytes, DiskUsed: int64(st.disk.used) * blockBytes,
			LinkBacklogMs: max(0, st.linkFreeAt-s.c.now).Milliseconds(), LinkBytes: st.linkBytes,
		}}
	}
	for _, in := range s.instances {
		statuses := map[string]view.Status{}
		for i, e := range s.engines {
			k := id("t", i)
			st := reports[k]
			if old, _ := in.view.Target(k); e.dead {
				st = old.Status
				st.Down = st.Down || s.c.time().Sub(old.LoadAt) >= missedReports*reportInterval
			}
			statuses[k] = st
		}
		in.view = in.view.WithTargets(statuses).WithStores(stores)
	}
}

// sendNext sends the next request of a conversation.
func (s *sim) sendNext(c *conv) {
	r := &run{conv: c, arrived: s.c.now, prompt: c.tokens, blocks: c.tokens / 2000, outputTokens: s.w.profile.outputTokens, reusableBlocks: c.blocks}
	s.tally.recordRequest(r)
	s.send(r)
}

// send dispatches a request at a random live instance, as the load balancer would, with a second attempt if the selected engine
// refuses it.
func (s *sim) send(r *run) {
	for n := r.conv.rng.IntN(len(s.instances)); ; n++ {
		if r.instance = s.instances[n%len(s.instances)]; !r.instance.dead {
			break
		}
	}
	r.source, r.importBlocks, r.cached, r.imported, r.manifestBlocks = nil, 0, 0, 0, 0
	for range 2 {
		if !s.p.route(s, r) {
			break
		}
		e := s.engines[r.target]
		r.networkDelay = 0
		if id("dc", e.dataCentre) != r.instance.view.DataCentre {
			r.networkDelay = 2 * regionLatency
		}
		if e.enqueue(r) {
			return
		}
		if e.dead { // a refused connection marks the target as down without waiting for a report
			t, _ := r.instance.view.Target(id("t", r.target))
			st := t.Status
			st.Down = true
			r.instance.view = r.instance.view.WithTargets(map[string]view.Status{t.ID: st})
		}
	}
	r.release()
	s.tally.refused++
}

// liveCount returns the number of live instances, which every instance knows from its member list.
func (s *sim) liveCount() (n int) {
	for _, in := range s.instances {
		if !in.dead {
			n++
		}
	}
	return n
}

// release decrements the count of runs at the instance that admitted the run.
func (r *run) release() {
	if r.admittedBy != nil {
		r.admittedBy.running--
		r.admittedBy = nil
	}
}

func (s *sim) onFirstToken(r *run) {
	r.firstAt = s.c.now
	r.instance.tracker.RecordFirstToken(model, r.expected, s.c.now-r.arrived+r.networkDelay)
	s.tally.recordFirstToken(r, s.c.now-r.arrived+r.networkDelay)
}

// onEnd stores the context and schedules the next turn of the conversation after its idle gap.
func (s *sim) onEnd(r *run) {
	s.tally.recordEnd(s, r)
	r.release()
	s.p.storeContext(s, r)
	c := r.conv
	c.last, c.lastEnd, c.blocks = r.target, s.c.now, r.blocks
	if gap, ok := c.nextTurn(s.w); ok && s.c.now+gap < s.w.length {
		s.c.after(gap, func() { s.sendNext(c) })
	}
}

// slowLinks divides the link rates of the first n stores by a factor.
func (s *sim) slowLinks(n int, by float64) {
	for _, st := range s.stores[:n] {
		st.slowdown = by
	}
}

// killStores kills the first n stores; their contents are lost.
func (s *sim) killStores(n int) {
	for _, st := range s.stores[:n] {
		st.dead, st.mem, st.disk = true, newContextCache(st.mem.capacity), newContextCache(st.disk.capacity)
	}
}

// killDataCentre kills the engines, stores and instances of a data centre; callers retry lost requests after retryDelay.
func (s *sim) killDataCentre(dc int) {
	for i, e := range s.engines {
		if e.dataCentre != dc {
			continue
		}
		for _, r := range e.kill() {
			s.c.after(retryDelay, func() { s.send(r) })
		}
		st := s.stores[i]
		st.dead, st.mem, st.disk = true, newContextCache(st.mem.capacity), newContextCache(st.disk.capacity)
	}
	for i, in := range s.instances {
		in.dead = in.dead || i%s.w.size.dataCentres == dc
	}
}

// restoreDataCentre restarts the engines, stores and instances of a data centre.
func (s *sim) restoreDataCentre(dc int) {
	for i, e := range s.engines {
		if e.dataCentre == dc {
			e.dead, s.stores[i].dead = false, false
		}
	}
	for i, in := range s.instances {
		if i%s.w.size.dataCentres == dc {
			in.dead = false
		}
	}
}
