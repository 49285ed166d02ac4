package controller

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// centres is the number of data centres at the design size. An instance receives the target reports of one of them.
const centres = 12

// newConfig returns a configuration with n targets, spread evenly over the data centres.
func newConfig(n int) *configurer.Config {
	cfg := &configurer.Config{}
	for i := range centres {
		cfg.DataCentres = append(cfg.DataCentres, configurer.DataCentre{Name: fmt.Sprintf("dc-%d", i), Region: fmt.Sprintf("r-%d", i%3)})
	}
	for i := range n {
		cfg.Targets = append(cfg.Targets, configurer.Target{
			ID: fmt.Sprintf("letters-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%centres), Kind: configurer.KindEngine,
			Models: []string{fmt.Sprintf("m-%d", i%5)}, Store: fmt.Sprintf("store-%d", i),
		})
	}
	return cfg
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkViewChange measures the control goroutine's cost of one report by a peer, of one poll of the local data
// centre and of a new configuration, and the memory of one view.
func BenchmarkViewChange(b *testing.B) {
	for _, n := range []int{15, 150, 830} {
		cfg := newConfig(n)
		before := heap()
		v := view.New(cfg, 1, "dc-0")
		memory := heap() - before
		one := map[string]view.Status{"letters-0": {Versions: map[string]int64{"m-0": 1}}}
		local := map[string]view.Status{}
		for i := 0; i < n; i += centres {
			local[fmt.Sprintf("letters-%d", i)] = view.Status{}
		}
		b.Run(fmt.Sprintf("report/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.WithTargets(one)
			}
			b.ReportMetric(memory, "B-view")
		})
		b.Run(fmt.Sprintf("poll/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.WithTargets(local)
			}
		})
		b.Run(fmt.Sprintf("config/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := int64(2); b.Loop(); i++ {
				v.WithConfig(cfg, i)
			}
		})
	}
}
