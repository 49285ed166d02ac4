package benchmarker

import (
	"slices"
	"testing"
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/placer"
	"github.com/papayaworks/papayaworks/internal/router"
)

const (
	benchSeed = 1
	// onTime is the time to the first token within which a caller counts as served on time.
	onTime = 2 * time.Second
)

// tally counts what callers saw.
type tally struct {
	ttft           []time.Duration
	requests       []int // by account
	onTime         []int
	refused        int
	reusable       int64 // tokens
	peakDone       int
	fresh, prompts int64
}

func (t *tally) asked(r *run) {
	for len(t.requests) <= r.conv.account {
		t.requests, t.onTime = append(t.requests, 0), append(t.onTime, 0)
	}
	t.requests[r.conv.account]++
}

func (t *tally) first(r *run, d time.Duration) {
	t.ttft = append(t.ttft, d)
	t.reusable += int64(r.reusable * keyer.BlockTokens)
	if d <= onTime {
		t.onTime[r.conv.account]++
	}
}

// done counts answers that end in the middle half of the day and were on time.
func (t *tally) done(s *sim, r *run) {
	if s.c.now > s.w.length/4 && s.c.now <= s.w.length*3/4 && r.firstAt-r.arrived+r.distance <= onTime {
		t.peakDone++
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
	b.ReportMetric(float64(t.peakDone)/(s.w.capacity()*s.w.length.Seconds()/2), "goodput-of-capacity")
	b.ReportMetric(float64(requests), "requests")
}

func ours() *policy { return &policy{router: router.New(), placer: placer.New()} }

func policies() map[string]func() *policy {
	return map[string]func() *policy{
		"round-robin": roundRobin, "ours": ours,
		"least-loaded":       func() *policy { return leastLoaded(false) },
		"prefix-hash":        func() *policy { return prefixHash(false) },
		"least-loaded+store": func() *policy { return leastLoaded(true) },
		"prefix-hash+store":  func() *policy { return prefixHash(true) },
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

// BenchmarkPolicies plays each workload under each policy and reports what callers and links saw.
func BenchmarkPolicies(b *testing.B) {
	ws, ps := workloads(), policies()
	for _, wn := range sortedKeys(ws) {
		for _, pn := range sortedKeys(ps) {
			b.Run(wn+"/"+pn, func(b *testing.B) {
				for b.Loop() {
					w := ws[wn]
					s := newSim(&w, ps[pn](), benchSeed)
					s.play(benchSeed)
					s.tally.report(b, s)
				}
			})
		}
	}
}
