package gossiper

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkReports measures the traffic of one instance when each target of its data centre is reported every 4 periods and
// each of their stores every 40, by one instance. The body has the size of a load report. With usage, each instance also
// sends a full usage payload every 5 periods; with large usage, one of 771 bytes, which exceeds the budget.
func BenchmarkReports(b *testing.B) {
	for name, targets := range map[string]int{"0": 0, "14": 14, "70": 70, "140": 140, "0-usage": 0, "70-usage": 70, "70-large-usage": 70} {
		b.Run(name, func(b *testing.B) {
			usage, full := strings.HasSuffix(name, "usage"), 330
			if strings.Contains(name, "large") {
				full = 771
			}
			const size = 35 // instances of one data centre
			c := newCluster(uint64(targets))
			c.dataCentres = 1
			for i := range size {
				c.start(i)
			}
			c.join()
			c.run(10 * c.period)
			for _, n := range c.order {
				n.sentMessages, n.sentBytes = 0, 0
			}
			body, rounds, reports, payloads := make([]byte, 33), 0, 0, 0
			b.ResetTimer()
			for i := range b.N {
				for t := i % 4; t < targets; t += 4 {
					n := c.order[t%size].p
					if err := n.BroadcastLoad(fmt.Sprintf("letters-%04d", t), body, c.now); err != nil {
						b.Fatal(err)
					}
					if i/4%10 != t/4%10 {
						continue
					}
					if err := n.BroadcastLoad(fmt.Sprintf("store/store-%04d", t), body, c.now); err != nil {
						b.Fatal(err)
					}
				}
				for j, n := range c.order {
					if usage && (i+j)%5 == 0 {
						if err := n.p.BroadcastUsage(make([]byte, full), nil, c.now); err != nil {
							b.Fatal(err)
						}
					}
				}
				c.run(c.period)
				rounds++
			}
			b.StopTimer()
			for _, n := range c.order {
				reports += len(n.p.items[itemLoad])
				payloads += len(n.p.items[itemLocalUsage])
			}
			var messages, sentBytes int
			for _, n := range c.order {
				messages, sentBytes = messages+n.sentMessages, sentBytes+n.sentBytes
			}
			per := float64(rounds * size)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/per, "us/instance-period")
			b.ReportMetric(float64(sentBytes)/per, "B/instance-s")
			b.ReportMetric(float64(messages)/per, "msgs/instance-period")
			b.ReportMetric(float64(reports)/size, "reports-known")
			b.ReportMetric(float64(payloads)/size, "usage-known")
			b.ReportMetric(0, "ns/op")
		})
	}
}
