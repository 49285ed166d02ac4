package gossiper

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkMembership measures the processor time of one instance per period with one change of a leaving target every 10
// periods, its traffic and the memory of its state.
func BenchmarkMembership(b *testing.B) {
	for _, size := range []int{7, 70, 420} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			before := heapBytes()
			c := newCluster(uint64(size))
			for i := range size {
				c.start(i)
			}
			c.join()
			c.run(10 * c.period)
			state := float64(heapBytes()-before) / float64(size)
			for _, n := range c.order {
				n.sentMessages, n.sentBytes = 0, 0
			}
			b.ResetTimer()
			for i := range b.N {
				if i%10 == 0 {
					n := c.order[c.rng.IntN(size)]
					n.p.SetTargetLeaving(fmt.Sprintf("letters-%d", i%100), i%20 == 0, c.now.Add(time.Hour), c.now)
				}
				c.run(c.period)
			}
			b.StopTimer()
			var messages, sentBytes int
			for _, n := range c.order {
				messages, sentBytes = messages+n.sentMessages, sentBytes+n.sentBytes
			}
			per := float64(b.N) * float64(size)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/per, "us/instance-period")
			b.ReportMetric(float64(sentBytes)/per, "B/instance-s")
			b.ReportMetric(float64(messages)/per, "msgs/instance-period")
			b.ReportMetric(state, "B-state/instance")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(c)
		})
	}
}
