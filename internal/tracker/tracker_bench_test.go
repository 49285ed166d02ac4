package tracker

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/placer"
)

// BenchmarkTracker measures the memory of the state for returning conversations, and the time to record a run.
func BenchmarkTracker(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			heap := func() float64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapAlloc)
			}
			now := time.Unix(1_700_000_000, 0)
			before := heap()
			t := New(func() time.Time { return now })
			record := func(i int) {
				now = now.Add(time.Millisecond)
				var k keyer.Key
				binary.BigEndian.PutUint64(k[:], uint64(i%n)*0x9e3779b97f4a7c15)
				h, known := t.Hint(k)
				t.SetHint(k, Hint{Target: "letters-1", Version: 1, Blocks: 3, DispatchedAt: now})
				t.RecordEnd(placer.Key{Account: fmt.Sprintf("account-%04d", i%1200), Application: fmt.Sprint(i % 3)}, known, now.Sub(h.DispatchedAt))
				t.RecordRun("m", .5, time.Second)
			}
			for i := range n {
				record(i)
			}
			memory := heap() - before
			for i := 0; b.Loop(); i++ {
				record(i)
			}
			b.ReportMetric(memory, "B-state")
			runtime.KeepAlive(t)
		})
	}
}
