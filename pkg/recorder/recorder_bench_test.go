package recorder

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"
)

// counter is a writer that counts the bytes written to it.
type counter int

func (c *counter) Write(p []byte) (int, error) { *c += counter(len(p)); return len(p), nil }

var _ io.Writer = new(counter)

// BenchmarkRecord measures the time to record an event, its size in the event file and the memory per event of a full
// ring buffer.
func BenchmarkRecord(b *testing.B) {
	for _, size := range []int{1024, 4096, 65536} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			heap := func() float64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapAlloc)
			}
			before, written := heap(), new(counter)
			r := New(NewClock(time.Now), "kochi-a-1", size, written)
			event := func(i int) Event {
				return Event{Kind: "route", Request: fmt.Sprintf("kochi-a-1-3k2j1h-%08d", i), Account: "repair-trust",
					Target: "letters-17", Step: "route", Reason: "home target of the conversation"}
			}
			for i := range size {
				r.Record(event(i))
			}
			memory := heap() - before
			for i := 0; b.Loop(); i++ {
				r.Record(event(i))
			}
			b.ReportMetric(memory/float64(size), "B/event")
			b.ReportMetric(float64(*written)/float64(size+b.N), "B/line")
			runtime.KeepAlive(r)
		})
	}
}
