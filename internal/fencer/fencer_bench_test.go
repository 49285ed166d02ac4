package fencer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
)

// BenchmarkLease reports, in simulated time, the appends by instances of which all or some are candidates for one resource,
// in steady state and after the holder dies. It also measures the time to apply one record to the lease table.
func BenchmarkLease(b *testing.B) {
	for _, size := range [][2]int{{7, 7}, {70, 70}, {420, 420}, {420, 8}} {
		n, candidates := size[0], size[1]
		b.Run(fmt.Sprintf("holders/%d/%d", n, candidates), func(b *testing.B) {
			var steady, takeover, bytes float64
			for b.Loop() {
				sim := &simulatedLog{now: time.Unix(1_700_000_000, 0)}
				var fs []*Fencer
				for i := range n {
					f := New(sim, fmt.Sprintf("kochi-a-%d-3k2j1h", i), ttl, skewedClock{sim, sim.now, 1})
					f.Candidate = func(string) bool { return i < candidates }
					f.Request("targets")
					fs = append(fs, f)
				}
				run := func(d time.Duration) float64 {
					before := len(sim.records)
					for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(ttl / (2 * renewDivisor)) {
						for _, f := range fs {
							_ = f.Poll(context.Background(), 0)
						}
						for _, f := range fs { // all have read the same records before any of them appends
							f.Campaign(context.Background())
						}
					}
					return float64(len(sim.records) - before)
				}
				run(2 * ttl)
				steady = run(time.Minute) / 60
				var alive []*Fencer
				for _, f := range fs {
					if _, ok := f.Held("targets"); !ok {
						alive = append(alive, f)
					}
				}
				fs = alive
				takeover = run(3 * ttl)
				bytes = float64(len(sim.records[0].Data))
			}
			b.ReportMetric(steady, "appends/s-steady")
			b.ReportMetric(takeover, "appends-after-death-15s")
			b.ReportMetric(bytes, "B/record")
			b.ReportMetric(0, "ns/op")
		})
	}
	for _, n := range []int{1, 12, 120} {
		b.Run(fmt.Sprintf("fold/%d", n), func(b *testing.B) {
			table, at := LeaseTable{}, time.Unix(1_700_000_000, 0)
			for i := range n {
				table = table.With(int64(i), at, Record{Resource: fmt.Sprintf("targets-%d", i), Holder: "a", TTLMs: 5000})
			}
			data, _ := Record{Resource: "targets-0", Holder: "a", TTLMs: 5000}.Encode()
			rec := appender.Record{Data: data, AppendedAt: at}
			for i := int64(n); b.Loop(); i++ {
				r, err := DecodeRecord(rec.Data)
				if err != nil {
					b.Fatal(err)
				}
				table = table.With(i, rec.AppendedAt, r)
			}
		})
	}
}
