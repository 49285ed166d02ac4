package server

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/server/identifier"
	"github.com/papayaworks/papayaworks/pkg/caller"
	"github.com/papayaworks/papayaworks/pkg/configurer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const (
	// benchTokens is the number of output tokens per request; at the design size it is 3,000,000 / 9,000.
	benchTokens  = 333
	benchPrompt  = 24000 // bytes
	benchWorkers = 4
	instantSpeed = 1e6 // factor by which the emulator is faster than real time
)

// startEntry starts one instance in front of one engine.
func startEntry(tb testing.TB, e *emulator.Engine) *Server {
	tb.Helper()
	_, err := e.Start()
	require.NoError(tb, err)
	tb.Cleanup(e.Kill)
	cfg := &configurer.Config{
		Deployment:  configurer.Deployment{Name: "test"},
		DataCentres: []configurer.DataCentre{{Name: "a", Region: "r"}},
		// Admission estimates the queue delay from the configured rate, so this must be the emulator's.
		Models: []configurer.Model{{Name: "m", PrefillTokensPerSecond: 1 << 30, DecodeTokensPerSecond: 1 << 20}},
		Targets: []configurer.Target{{
			ID: "e", Address: e.Addr, DataCentre: "a", Kind: configurer.KindEngine, Models: []string{"m"}, Slots: e.Slots,
		}},
		Accounts: []configurer.Account{{
			Name: "acc", KeySHA256: identifier.HashAPIKey("key"), RequestsPerSecond: 1 << 20, TokensPerSecond: 1 << 30, Streams: 1 << 20,
			FirstTokenMs: 60_000, DeadlineMs: 600_000,
		}},
	}
	cfg.SetDefaults()
	require.Empty(tb, cfg.Validate("test"))
	set := &configurer.Settings{
		Instance: configurer.Instance{ID: "i", DataCentre: "a", Listen: "127.0.0.1:0"},
		Keys:     configurer.Keys{Token: []string{strings.Repeat("ab", 32)}},
	}
	rec := recorder.New(recorder.NewClock(time.Now), "i", 64, nil)
	s := New(set, cfg, logger.Discard(), rec, &asserter.Asserter{Recorder: rec})
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(tb, s.Start(ctx))
	tb.Cleanup(func() {
		cancel()
		s.Kill()
	})
	return s
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// measure runs n requests on a few workers and returns the sorted times to first token and the CPU time of the process.
func measure(n int, one func(i int) time.Duration) ([]time.Duration, time.Duration) {
	out := make([]time.Duration, n)
	start := cpuTime()
	var wg sync.WaitGroup
	next := make(chan int)
	for range benchWorkers {
		wg.Go(func() {
			for i := range next {
				out[i] = one(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
	used := cpuTime() - start
	slices.Sort(out)
	return out, used
}

// BenchmarkEntryPath compares a request through an instance with the same request sent to the engine directly.
// The CPU time of the direct run, which contains the shares of the emulator and of the client, is subtracted.
func BenchmarkEntryPath(b *testing.B) {
	e := &emulator.Engine{Models: map[string]int64{"m": 1}, Slots: 64, Speed: instantSpeed, CacheBlocks: 4096}
	s := startEntry(b, e)
	direct := dialer.New()
	prompt := strings.Repeat("x", benchPrompt)
	cl := &caller.Client{Addresses: []string{s.Addr()}, Key: "key", HTTP: caller.NewHTTPClient()}
	n := max(b.N, 400)
	one := func(i int) time.Duration {
		t0 := time.Now()
		st, err := direct.Run(b.Context(), e.Addr, &dialer.RunRequest{
			Run: fmt.Sprintf("direct-%d-%d", b.N, i), Model: "m", Prompt: prompt,
			PromptTokens: len(prompt) / 4, MaxTokens: benchTokens,
		}, 0)
		require.NoError(b, err)
		defer st.Close()
		var first time.Duration
		for ev, err := range st.Events() {
			require.NoError(b, err)
			if first == 0 && ev.Chunk != nil {
				first = time.Since(t0)
			}
		}
		return first
	}
	directTimes, directCPU := measure(n, one)
	b.ResetTimer()
	times, used := measure(n, func(i int) time.Duration {
		res, err := cl.Chat(b.Context(), caller.ChatRequest{
			Model: "m", Stream: true, MaxTokens: benchTokens, Seed: int64(i), Messages: []caller.Message{{Role: "user", Content: prompt}},
		})
		require.NoError(b, err)
		return res.TimeToFirstToken
	})
	b.StopTimer()
	perRequest := (used - directCPU) / time.Duration(n)
	quantile := func(ds []time.Duration, q float64) float64 { return float64(ds[int(q*float64(n-1))].Microseconds()) }
	b.ReportMetric(quantile(times, .5)-quantile(directTimes, .5), "added-ttft-p50-us")
	b.ReportMetric(quantile(times, .95)-quantile(directTimes, .95), "added-ttft-p95-us")
	b.ReportMetric(float64(perRequest.Microseconds()), "cpu-us/request")
	b.ReportMetric(float64(time.Second)/float64(perRequest), "requests/s/core")
	b.ReportMetric(benchTokens*float64(time.Second)/float64(perRequest), "tokens/s/core")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStreamMemory measures the memory per open stream at several numbers of streams.
func BenchmarkStreamMemory(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			e := &emulator.Engine{Models: map[string]int64{"m": 1}, Slots: 2 * n, DecodeTokensPerSec: 0.01, PrefillTokensPerSec: 1e12}
			s := startEntry(b, e)
			perDirect := memoryOf(b, n, e.Addr, "/v1/runs", func(i int) string {
				return `{"run":"d` + strconv.Itoa(i) + `","model":"m","maxTokens":100,"prompt":"p"}`
			}, e)
			perStream := memoryOf(b, n, s.Addr(), "/v1/chat/completions", func(int) string {
				return `{"model":"m","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"p"}]}`
			}, e)
			b.ReportMetric((perStream-perDirect)/1024, "KiB/stream")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// memoryOf opens n streams and returns the growth of heap and stacks per stream in bytes.
func memoryOf(b *testing.B, n int, addr, path string, body func(int) string, e *emulator.Engine) float64 {
	b.Helper()
	pool := caller.NewHTTPClient()
	used := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	before, running := used(), e.RunningCount()
	open := make([]io.Closer, n)
	for i := range n {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+addr+path, strings.NewReader(body(i)))
		require.NoError(b, err)
		req.Header.Set("Authorization", "Bearer key")
		res, err := pool.Do(req) //nolint:bodyclose // The bodies are closed together below.
		require.NoError(b, err)
		buf := make([]byte, 1)
		_, err = res.Body.Read(buf)
		require.NoError(b, err)
		open[i] = res.Body
	}
	require.Equal(b, running+n, e.RunningCount())
	after := used()
	for _, c := range open {
		c.Close()
	}
	return float64(after-before) / float64(n)
}
