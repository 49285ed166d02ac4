package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/server/identifier"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const benchDataCentres = 12

// sizedConfig returns a configuration with n targets, each with a KV store, and the given number of accounts, in 12
// data centres.
func sizedConfig(n, accounts int) *configurer.Config {
	cfg := &configurer.Config{Deployment: configurer.Deployment{Name: "design-size"}}
	for i := range benchDataCentres {
		cfg.DataCentres = append(cfg.DataCentres, configurer.DataCentre{Name: fmt.Sprintf("dc-%02d", i), Region: fmt.Sprintf("region-%d", i%3)})
	}
	for i := range 5 {
		cfg.Models = append(cfg.Models, configurer.Model{Name: fmt.Sprintf("model-%d", i)})
	}
	for i := range n {
		dc, addr := fmt.Sprintf("dc-%02d", i%benchDataCentres), fmt.Sprintf("10.1.%d.%d", i>>8, i&255)
		cfg.Stores = append(cfg.Stores, configurer.Store{ID: fmt.Sprintf("store-%04d", i), Address: addr + ":9000", DataCentre: dc})
		cfg.Targets = append(cfg.Targets, configurer.Target{
			ID: fmt.Sprintf("letters-%04d", i), Address: addr + ":8000", DataCentre: dc, Kind: configurer.KindEngine,
			Models: []string{fmt.Sprintf("model-%d", i%5)}, Store: fmt.Sprintf("store-%04d", i),
		})
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%04d", i)
		cfg.Accounts = append(cfg.Accounts, configurer.Account{Name: name, KeySHA256: identifier.HashAPIKey(name), Share: 1})
	}
	cfg.SetDefaults()
	return cfg
}

// manyMembers returns a view with n live members spread over the data centres.
func manyMembers(v *view.View, n int) *view.View {
	var ms []view.Member
	for i := range n {
		ms = append(ms, view.Member{ID: fmt.Sprintf("i-%03d", i), DataCentre: fmt.Sprintf("dc-%02d", i%benchDataCentres), State: "alive"})
	}
	return v.WithMembers(ms)
}

func heapAlloc() float64 {
	runtime.GC()
	runtime.GC() // the second collection empties the sync.Pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkConfiguration measures the size of a configuration's text, the time to parse and validate it, and the memory
// of the result.
func BenchmarkConfiguration(b *testing.B) {
	for _, size := range [][2]int{{15, 10}, {150, 120}, {830, 1200}} {
		b.Run(fmt.Sprintf("%d-%d", size[0], size[1]), func(b *testing.B) {
			var out bytes.Buffer
			require.NoError(b, toml.NewEncoder(&out).Encode(sizedConfig(size[0], size[1])))
			text := out.String()
			_, err := configurer.Parse("bench", text) // fills the decoder's caches
			require.NoError(b, err)
			before := heapAlloc()
			cfg, err := configurer.Parse("bench", text)
			require.NoError(b, err)
			parsed := heapAlloc()
			id := &identifier.Step{}
			id.SetDefaults(cfg)
			index := heapAlloc()
			for b.Loop() {
				_, _ = configurer.Parse("bench", text)
			}
			b.ReportMetric(float64(len(text)), "B-text")
			b.ReportMetric(parsed-before, "B-config")
			b.ReportMetric(index-parsed, "B-accounts")
			runtime.KeepAlive(cfg)
			runtime.KeepAlive(id)
			runtime.KeepAlive(&out)
		})
	}
}

// BenchmarkResponsible measures how long an instance takes to determine the targets that it polls, once per period.
func BenchmarkResponsible(b *testing.B) {
	for _, members := range []int{7, 70, 420} {
		for _, n := range []int{15, 150, 830} {
			cfg := sizedConfig(n, 1)
			v := manyMembers(view.New(cfg, 1, "dc-00"), members)
			m := &membership{s: &Server{Settings: &configurer.Settings{Instance: configurer.Instance{ID: "i-000", DataCentre: "dc-00"}}}}
			b.Run(fmt.Sprintf("%d/%d", members, n), func(b *testing.B) {
				found := 0
				for b.Loop() {
					found = 0
					r := m.roster(v)
					for _, t := range cfg.Targets {
						if r.polls(t.ID, t.DataCentre) {
							found++
						}
					}
				}
				b.ReportMetric(float64(found), "polled")
			})
		}
	}
}

// byteCounter counts the bytes sent and received on the connections that it opens.
type byteCounter struct{ in, out atomic.Int64 }

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Add(int64(n))
	return n, err
}

func (b *byteCounter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	return countingConn{c, b}, err
}

// BenchmarkPoll measures polls of engines, KV stores, the log and the platform's list against emulators: HTTP bytes on
// the wire and CPU time, which includes the emulator's.
func BenchmarkPoll(b *testing.B) {
	report := func(b *testing.B, counter *byteCounter, one func()) {
		one()
		counter.in.Store(0)
		counter.out.Store(0)
		start := cpuTime()
		b.ResetTimer()
		for range b.N {
			one()
		}
		b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(b.N), "cpu-us/poll")
		b.ReportMetric(float64(counter.out.Load())/float64(b.N), "B-out/poll")
		b.ReportMetric(float64(counter.in.Load())/float64(b.N), "B-in/poll")
	}
	b.Run("engine", func(b *testing.B) {
		e, counter := &emulator.Engine{Models: map[string]int64{"m": 1}, Slots: 8}, new(byteCounter)
		_, err := e.Start()
		require.NoError(b, err)
		defer e.Kill()
		s := &Server{client: dialer.NewWithDial(counter.dial)}
		report(b, counter, func() { require.True(b, s.pollTarget(b.Context(), configurer.Target{ID: "e", Address: e.Addr}).ok) })
	})
	b.Run("store", func(b *testing.B) {
		st, counter := &emulator.KVStore{ID: "s", MemoryBytes: 1 << 30, LinkBytesPerSec: 1e9}, new(byteCounter)
		_, err := st.Start()
		require.NoError(b, err)
		defer st.Kill()
		client := dialer.NewWithDial(counter.dial)
		report(b, counter, func() {
			_, err := client.StoreState(b.Context(), st.Addr)
			require.NoError(b, err)
		})
	})
	b.Run("log", func(b *testing.B) {
		l, counter := new(emulator.Log), new(byteCounter)
		_, err := l.Start()
		require.NoError(b, err)
		defer l.Kill()
		c := &appender.Client{Addr: l.Addr, HTTP: dialer.NewWithDial(counter.dial).HTTP()}
		report(b, counter, func() {
			_, err := c.Read(b.Context(), "ledger.17", 1_000_000, appender.DefaultMaxRecords, 0)
			require.NoError(b, err)
		})
	})
	for _, n := range []int{22, 220, 1250} {
		b.Run(fmt.Sprintf("list/%d", n), func(b *testing.B) {
			l, counter := new(emulator.InstanceList), new(byteCounter)
			_, err := l.Start()
			require.NoError(b, err)
			defer l.Kill()
			for i := range n {
				l.Set(emulator.ListEntry{ID: fmt.Sprintf("letters-%04d", i), Kind: "target", Address: fmt.Sprintf("10.1.%d.%d:8000", i>>8, i&255), DataCentre: "dc-00"})
			}
			s := &Server{client: dialer.NewWithDial(counter.dial), Settings: &configurer.Settings{Platform: configurer.Platform{List: l.Addr}}}
			m := &membership{s: s, localMarks: map[string]time.Time{}, listedLeaving: map[string]bool{}}
			report(b, counter, func() { require.NoError(b, m.fetchList(b.Context())) })
		})
	}
}

// BenchmarkSharedLoad measures the encoded size of a load report as it is broadcast.
func BenchmarkSharedLoad(b *testing.B) {
	st := view.Status{
		Load:     dialer.Load{AtMs: time.Now().UnixMilli(), Running: 8, Waiting: 40, WaitingTokens: 120_000, Blocks: 60, CapacityBlocks: 64},
		Versions: map[string]int64{"model-1": 17},
	}
	var body []byte
	for b.Loop() {
		body, _ = encodeLoad(st)
	}
	b.ReportMetric(float64(len(body)), "B/report")
	raw, _ := json.Marshal(st.Load)
	b.ReportMetric(float64(len(raw)), "B/json")
}

// BenchmarkControl measures the control work of an instance without traffic for some seconds: its polls of an emulated
// engine and KV store (whose CPU time is included), the reports received from peers, and its memory. The other instances
// exist only in its view, so gossip and the log are not included.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ members, targets, accounts int }{{7, 15, 10}, {70, 150, 120}, {420, 830, 1200}} {
		b.Run(fmt.Sprintf("%d-%d", size.members, size.targets), func(b *testing.B) {
			benchControl(b, size.members, sizedConfig(size.targets, size.accounts))
		})
	}
}

func benchControl(b *testing.B, members int, cfg *configurer.Config) {
	e, st := &emulator.Engine{Models: map[string]int64{"model-0": 1}, Slots: 8}, &emulator.KVStore{ID: "s", LinkBytesPerSec: 1e9}
	_, err := e.Start()
	require.NoError(b, err)
	defer e.Kill()
	_, err = st.Start()
	require.NoError(b, err)
	defer st.Kill()
	var remote []string // targets of the same data centre that other instances poll
	for i := range cfg.Targets {
		cfg.Targets[i].Address, cfg.Stores[i].Address = e.Addr, st.Addr
	}
	before := heapAlloc()
	s := New(&configurer.Settings{
		Instance: configurer.Instance{ID: "i-000", DataCentre: "dc-00", Listen: "127.0.0.1:0"},
		Keys:     configurer.Keys{Token: []string{fmt.Sprintf("%064x", 1)}},
	}, cfg, logger.Discard(), recorder.New(recorder.NewClock(time.Now), "i-000", 4096, nil), nil)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	counter := new(byteCounter)
	s.Network = countingNetwork{counter}
	require.NoError(b, s.Start(ctx))
	defer s.Kill()
	s.control.Apply(ctx, func(v *view.View) *view.View { return manyMembers(v, members) })
	<-time.After(2 * time.Second) // the first poll covers all targets, since no members were known
	counter.in.Store(0)
	counter.out.Store(0)
	r := s.peers.roster(s.control.View())
	for _, t := range cfg.Targets {
		if !r.polls(t.ID, t.DataCentre) && t.DataCentre == "dc-00" {
			remote = append(remote, t.ID)
		}
	}
	body, err := encodeLoad(view.Status{Versions: map[string]int64{"model-0": 1}})
	require.NoError(b, err)
	seconds := max(5, b.N)
	start, startCPU := time.Now(), cpuTime()
	interval := time.Hour
	if len(remote) > 0 {
		interval = minBroadcastInterval / time.Duration(len(remote))
	}
	tick, end := time.NewTicker(interval), time.After(time.Duration(seconds)*time.Second)
	defer tick.Stop()
	for i, run := 0, true; run; i++ {
		select {
		case <-tick.C:
			s.peers.onLoad(remote[i%len(remote)], body)
		case <-end:
			run = false
		}
	}
	elapsed := time.Since(start).Seconds()
	b.ReportMetric((cpuTime()-startCPU).Seconds()/elapsed*100, "%core")
	b.ReportMetric(float64(counter.out.Load())/elapsed, "B-out/s")
	b.ReportMetric(float64(counter.in.Load())/elapsed, "B-in/s")
	b.ReportMetric((heapAlloc()-before)/(1<<20), "MiB")
	b.ReportMetric(0, "ns/op")
}

// countingNetwork counts the bytes exchanged with targets and KV stores.
type countingNetwork struct{ counter *byteCounter }

func (n countingNetwork) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	return n.counter.dial(ctx, network, addr)
}

func (n countingNetwork) PacketConn(c net.PacketConn) net.PacketConn { return c }
