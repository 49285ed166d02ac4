package versioner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/logger"
)

// BenchmarkInForce measures the time from a publication until every reader has adopted it. The readers follow an
// emulated log over loopback sockets and share the machine's cores.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{7, 70, 420} {
		for _, size := range [][2]int{{10, 15}, {120, 150}} {
			b.Run(fmt.Sprintf("daemons=%d/targets=%d", n, size[1]), func(b *testing.B) {
				benchInForce(b, n, largeConfigText(size[0], size[1]))
			})
		}
	}
}

func benchInForce(b *testing.B, n int, text string) {
	l := &emulator.Log{}
	_, err := l.Start()
	require.NoError(b, err)
	defer l.Kill()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var wg sync.WaitGroup
	for range n {
		v := New(&appender.Client{Addr: l.Addr}, time.Hour)
		v.Rand, v.ErrorLog = rand.New(rand.NewPCG(1, 1)), logger.Discard()
		v.OnAdopt = func(AcceptedVersion) { wg.Done() }
		go v.Run(ctx)
	}
	var slowest time.Duration
	version := int64(0)
	for b.Loop() {
		wg.Add(n)
		start := time.Now()
		version, err = Publish(ctx, &appender.Client{Addr: l.Addr}, version, "bench", fmt.Sprintf("# %d\n%s", version, text))
		require.NoError(b, err)
		wg.Wait()
		slowest = max(slowest, time.Since(start))
	}
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest-ms")
}
