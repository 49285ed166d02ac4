package exporter

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// BenchmarkMetrics measures the recording of one request, and the time and size of a scrape, by the number of distinct
// decision reasons.
func BenchmarkMetrics(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		m := New(Gauges{})
		for i := range n {
			m.RecordDecision("route", fmt.Sprintf("reason %d", i))
		}
		b.Run(fmt.Sprintf("request/%d", n), func(b *testing.B) {
			for b.Loop() {
				m.RecordOutcome(Answered)
				m.RecordFirstToken(time.Millisecond)
				m.RecordPromptTokens(1, 2, 3)
				for range 4 {
					m.RecordDecision("route", "reason 1")
				}
			}
		})
		b.Run(fmt.Sprintf("scrape/%d", n), func(b *testing.B) {
			var out bytes.Buffer
			for b.Loop() {
				out.Reset()
				m.Write(&out)
			}
			b.ReportMetric(float64(out.Len()), "B/scrape")
		})
	}
}
