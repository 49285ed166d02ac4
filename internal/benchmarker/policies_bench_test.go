package benchmarker

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/placer"
	"github.com/papayaworks/papayaworks/internal/router"
)

// onTime is the limit on the time to first token for a request that counts as on time.
const onTime = 2 * time.Second

// benchSeed is the seed of the workloads; docs/measurements.md uses seed 1.
var benchSeed = flag.Uint64("policies.seed", 1, "seed of the workloads")

// tally collects the results at the callers.
type tally struct {
	ttft       []time.Duration
	requests   []int // by account
	onTime     []int
	refused    int
	reusable   int64 // tokens of blocks that earlier turns had already computed
	peakOnTime int   // responses on time that end in the middle half of the workload
}

func (t *tally) recordRequest(r *run) {
	for len(t.requests) <= r.conv.account {
		t.requests, t.onTime = append(t.requests, 0), append(t.onTime, 0)
	}
	t.requests[r.conv.account]++
}

func (t *tally) recordFirstToken(r *run, d time.Duration) {
	t.ttft = append(t.ttft, d)
	t.reusable += int64(r.reusableBlocks * keyer.BlockTokens)
	if d <= onTime {
		t.onTime[r.conv.account]++
	}
}

// recordEnd counts responses that end in the middle half of the workload and were on time.
func (t *tally) recordEnd(s *sim, r *run) {
	if s.c.now > s.w.length/4 && s.c.now <= s.w.length*3/4 && r.firstAt-r.arrived+r.networkDelay <= onTime {
		t.peakOnTime++
	}
}

func (t *tally) report(b *testing.B, s *sim) {
	var recomputed, bytes int64
	for _, e := range s.engines {
		recomputed += e.recomputed
	}
	for _, st := range s.stores {
		bytes += st.linkBytes
	}
	requests, good, worst := 0, 0, 1.0
	for a, n := range t.requests {
		requests += n
		good += t.onTime[a]
		if n > 0 {
			worst = min(worst, float64(t.onTime[a])/float64(n))
		}
	}
	slices.Sort(t.ttft)
	at := func(q float64) float64 {
		return float64(t.ttft[min(len(t.ttft)-1, int(q*float64(len(t.ttft))))].Microseconds()) / 1000
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(at(0.5), "ttft-p50-ms")
	b.ReportMetric(at(0.95), "ttft-p95-ms")
	b.ReportMetric(float64(recomputed)/float64(max(1, t.reusable)), "recomputed-share")
	b.ReportMetric(float64(bytes)/1e6, "link-MB")
	b.ReportMetric(float64(good)/float64(requests), "on-time-share")
	b.ReportMetric(float64(t.refused)/float64(requests), "refused-share")
	b.ReportMetric(worst, "worst-account-on-time")
	b.ReportMetric(float64(t.peakOnTime)/(s.w.capacity()*s.w.length.Seconds()/2), "goodput-of-capacity")
	b.ReportMetric(float64(requests), "requests")
}

// productPolicy is the policy that instances use.
func productPolicy() *policy { return &policy{router: router.New(), placer: placer.New()} }

// policies returns the product policy and its baselines; nil stands for the oracle.
func policies() map[string]func() *policy {
	return map[string]func() *policy{
		"round-robin": roundRobin, "ours": productPolicy, "oracle": nil,
		"least-loaded":       func() *policy { return leastLoaded(false) },
		"prefix-hash":        func() *policy { return prefixHash(false) },
		"least-loaded+store": func() *policy { return leastLoaded(true) },
		"prefix-hash+store":  func() *policy { return prefixHash(true) },
	}
}

// ablations returns the product policy as "all", variants of it with one mechanism disabled or changed, and the bounded-load
// baseline.
func ablations() map[string]func() *policy {
	without := func(f func(p *policy, r *router.Planner)) func() *policy {
		return func() *policy {
			r := router.New()
			p := &policy{router: r, placer: placer.New()}
			f(p, r)
			return p
		}
	}
	return map[string]func() *policy{
		"all":           productPolicy,
		"bounded-load":  boundedLoad,
		"no-own":        without(func(_ *policy, r *router.Planner) { r.IgnoreOwnDispatches = true }),
		"no-mix":        without(func(_ *policy, r *router.Planner) { r.NoPartialImport = true }),
		"no-work-price": without(func(_ *policy, r *router.Planner) { r.PrefillCostWeight = 0 }),
		"no-tolerance":  without(func(_ *policy, r *router.Planner) { r.Tolerance = 0 }),
		"two-choices":   without(func(_ *policy, r *router.Planner) { r.LocalSample, r.RemoteSample, r.Tolerance = 1, 1, 0 }),
		"homes-only":    without(func(_ *policy, r *router.Planner) { r.LocalSample, r.RemoteSample = 0, 0 }),
		"full-scan":     without(func(_ *policy, r *router.Planner) { r.LocalSample, r.RemoteSample = 12, 12 }),
		"no-hints":      without(func(p *policy, _ *router.Planner) { p.noHint = true }),
		"no-shaper":     without(func(p *policy, _ *router.Planner) { p.noShaper = true }),
		"export-always": without(func(p *policy, _ *router.Planner) { p.placer.AlwaysExport = true }),
		"no-link-price": without(func(p *policy, _ *router.Planner) { p.placer.LinkCostWeight = 0 }),
		"no-admission":  without(func(p *policy, _ *router.Planner) { p.noAdmit = true }),
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var ks []string
	for k := range m {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	return ks
}

// BenchmarkPolicies plays each workload under each policy and reports latencies at the callers and traffic on the links.
func BenchmarkPolicies(b *testing.B) { benchmark(b, policies()) }

// BenchmarkAblation plays each workload under the product policy, its variants and the bounded-load baseline.
func BenchmarkAblation(b *testing.B) { benchmark(b, ablations()) }

func benchmark(b *testing.B, ps map[string]func() *policy) {
	ws := workloads()
	for _, wn := range sortedKeys(ws) {
		for _, pn := range sortedKeys(ps) {
			b.Run(wn+"/"+pn, func(b *testing.B) {
				for b.Loop() {
					w := ws[wn]
					if ps[pn] == nil {
						oracle(b, &w)
						continue
					}
					s := newSim(&w, ps[pn](), *benchSeed)
					s.simulate(*benchSeed)
					s.tally.report(b, s)
				}
			})
		}
	}
}

// oracle reports a bound that no policy can exceed: every request runs on an idle engine with all of its context cached.
func oracle(b *testing.B, w *workload) {
	var ttft []time.Duration
	convs, starts := w.conversations(*benchSeed)
	for i, c := range convs {
		at, blocks := starts[i], 0
		for ok := true; ok && at < w.length; {
			prefill := time.Duration(float64(c.tokens-blocks*keyer.BlockTokens) / w.size.prefill * float64(time.Second))
			ttft, blocks = append(ttft, prefill), c.tokens/keyer.BlockTokens
			var gap time.Duration
			gap, ok = c.nextTurn(w)
			at += prefill + time.Duration(float64(w.profile.outputTokens)/w.size.decode*float64(time.Second)) + gap
		}
	}
	slices.Sort(ttft)
	good, _ := slices.BinarySearch(ttft, onTime+1)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(ttft[len(ttft)/2].Microseconds())/1000, "ttft-p50-ms")
	b.ReportMetric(float64(ttft[len(ttft)*95/100].Microseconds())/1000, "ttft-p95-ms")
	b.ReportMetric(0, "recomputed-share")
	b.ReportMetric(float64(good)/float64(len(ttft)), "on-time-share")
	b.ReportMetric(float64(len(ttft)), "requests")
}
