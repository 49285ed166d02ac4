package limiter

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// BenchmarkLimiter measures, by members and accounts, a request, a report, the merge of a full report, the memory of
// the limiter when all participants have advertised all demands, and the size of a report.
func BenchmarkLimiter(b *testing.B) {
	for _, members := range []int{7, 70, 420} {
		for _, accounts := range []int{10, 120, 1200} {
			benchLimiter(b, members, accounts)
		}
	}
}

func benchLimiter(b *testing.B, members, accounts int) {
	now, centres := time.Unix(1_700_000_000, 0), min(12, 3*members/7)
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := heap()
	l := New("i-0", "dc-0")
	var as []configurer.Account
	for i := range accounts {
		as = append(as, configurer.Account{Name: fmt.Sprintf("account-%04d", i), RequestsPerSecond: 50, TokensPerSecond: 20_000, Streams: 64})
	}
	l.SetAccounts(as, now)
	var ms []Member
	for i := range members {
		ms = append(ms, Member{ID: fmt.Sprintf("i-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%centres)})
	}
	l.SetMembers(ms, now)
	full := func(m Member, first int) []Usage {
		dc := m.DataCentre
		if dc == "dc-0" {
			dc = ""
		}
		var us []Usage
		for i := range min(MaxUsages, accounts) {
			us = append(us, Usage{Account: as[(first+i)%accounts].Name, DataCentre: dc, Requests: 3, Tokens: 900, Streams: 2})
		}
		return us
	}
	for _, m := range ms[1:] {
		for first := 0; first < accounts; first += MaxUsages {
			l.Merge(m, full(m, first), now)
		}
	}
	memory := heap() - before
	name := func(what string) string { return fmt.Sprintf("%s/%d/%d", what, members, accounts) }
	b.Run(name("acquire"), func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			now = now.Add(50 * time.Millisecond)
			l.Acquire(as[i%accounts], 300, now)
			l.Release(as[i%accounts], 300, now)
		}
		b.ReportMetric(memory, "B-state")
	})
	b.Run(name("report"), func(b *testing.B) {
		now = now.Add(ReportPeriod)
		for _, a := range as { // change all demands, so that the first report is full
			for range 20 {
				l.Acquire(a, 300, now)
			}
		}
		now = now.Add(ReportPeriod)
		first, err := Encode(l.Report(now))
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			now = now.Add(ReportPeriod)
			l.Report(now)
		}
		b.ReportMetric(float64(len(first)), "B-full")
	})
	b.Run(name("merge"), func(b *testing.B) {
		data, err := Encode(full(ms[1], 0))
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			us, err := Decode(data)
			if err != nil {
				b.Fatal(err)
			}
			l.Merge(ms[1], us, now)
		}
	})
	runtime.KeepAlive(l)
}

// BenchmarkUsage measures the bytes per second that one instance reports at the design rate of 23 requests/s, with
// requests spread randomly over the accounts and with the number of members at the design size.
func BenchmarkUsage(b *testing.B) {
	const rate, seconds = 23, 300
	for _, accounts := range []int{10, 120, 1200} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var size, reported float64
			for b.Loop() {
				size, reported = 0, 0
				now, rng := time.Unix(1_700_000_000, 0), rand.New(rand.NewPCG(1, uint64(accounts)))
				l := New("i-0", "dc-0")
				var as []configurer.Account
				for i := range accounts {
					as = append(as, configurer.Account{Name: fmt.Sprintf("account-%04d", i), RequestsPerSecond: 50, TokensPerSecond: 20_000, Streams: 64})
				}
				l.SetAccounts(as, now)
				var ms []Member
				for i := range 420 {
					ms = append(ms, Member{ID: fmt.Sprintf("i-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%12)})
				}
				l.SetMembers(ms, now)
				for range seconds {
					for range rate {
						a := as[rng.IntN(accounts)]
						now = now.Add(time.Second / rate)
						l.Acquire(a, 300, now)
						l.Release(a, 300, now)
					}
					us := l.Report(now)
					data, err := Encode(us)
					if err != nil {
						b.Fatal(err)
					}
					size, reported = size+float64(len(data)), reported+float64(len(us))
				}
			}
			b.ReportMetric(size/seconds, "B/s")
			b.ReportMetric(reported/seconds*ReportPeriod.Seconds(), "accounts/report")
			b.ReportMetric(0, "ns/op")
		})
	}
}
