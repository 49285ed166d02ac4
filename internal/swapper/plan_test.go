package swapper

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayaworks/papayaworks/internal/dialer"
	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// fleet simulates the targets of one model. A command takes effect immediately unless the test drops it.
type fleet struct {
	targets []*fakeTarget
}

type fakeTarget struct {
	id             string
	version        int64
	loadingVersion int64
	draining       bool
	running        int
	leaving        bool
}

func (f *fleet) reports() []Report {
	out := make([]Report, len(f.targets))
	for i, t := range f.targets {
		out[i] = Report{
			Target: configurer.Target{ID: t.id}, Reachable: true, Leaving: t.leaving,
			State: dialer.EngineState{
				Versions: map[string]int64{"m": t.version}, Loading: t.loadingVersion != 0, Draining: t.draining, Running: t.running,
			},
		}
	}
	return out
}

func (f *fleet) find(id string) *fakeTarget {
	for _, t := range f.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

func (f *fleet) count(match func(*fakeTarget) bool) int {
	n := 0
	for _, t := range f.targets {
		if match(t) {
			n++
		}
	}
	return n
}

func (f *fleet) apply(t *rapid.T, c Command) {
	tg := f.find(c.Target.ID)
	switch c.Kind {
	case dialer.CommandDrain:
		tg.draining = true
	case dialer.CommandResume:
		tg.draining = tg.leaving
	case dialer.CommandLoad:
		if tg.running > 0 {
			t.Fatalf("target %s got a load command with %d runs in progress", tg.id, tg.running)
		}
		tg.loadingVersion = c.Version
	}
}

// Guards against a swap that overloads the weight store, takes too many targets out of service, loads weights while runs are
// in progress, or never completes after lease holders die, commands are lost, loads fail or the desired version changes.
func TestRandomSwapConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 16).Draw(t, "targets")
		f := &fleet{}
		for i := range n {
			f.targets = append(f.targets, &fakeTarget{id: fmt.Sprintf("t%02d", i), version: 1, running: rapid.IntRange(0, 3).Draw(t, "running"),
				draining: rapid.IntRange(0, 2).Draw(t, "draining") == 0})
		}
		desired := int64(2)
		round := func(lossy bool) {
			loading := f.count(func(x *fakeTarget) bool { return x.loadingVersion != 0 })
			inService := func(x *fakeTarget) bool { return !x.draining && !x.leaving }
			before := f.count(inService)
			for _, c := range Plan(configurer.Model{Name: "m", Version: desired}, f.reports(), loading) {
				if lossy && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					continue // the lease holder died or the command was lost; the next round starts from reports only
				}
				f.apply(t, c)
			}
			staying := f.count(func(x *fakeTarget) bool { return !x.leaving })
			// If external drains put the fleet below the minimum, the swap must not take further targets out of service.
			if serving := f.count(inService); serving < min(before, MinServing(staying)) {
				t.Fatalf("%d of %d targets in service, want at least %d", serving, staying, MinServing(staying))
			}
			if l := f.count(func(x *fakeTarget) bool { return x.loadingVersion != 0 }); l > MaxConcurrentLoads {
				t.Fatalf("%d targets load at the same time", l)
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "rounds") {
			round(true)
			tg := f.targets[rapid.IntRange(0, n-1).Draw(t, "target")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				tg.running = max(0, tg.running-1)
			case 1:
				tg.loadingVersion = 0 // the load failed
			case 2:
				if tg.loadingVersion != 0 {
					tg.version, tg.loadingVersion = tg.loadingVersion, 0
				}
			case 3:
				if !tg.draining {
					tg.running++
				}
			case 4:
				if rapid.IntRange(0, 9).Draw(t, "newVersion") == 0 {
					desired = 3 - desired
				}
			}
		}
		for range 8 * (n + 1) {
			round(false)
			for _, tg := range f.targets {
				tg.running = 0
				if tg.loadingVersion != 0 {
					tg.version, tg.loadingVersion = tg.loadingVersion, 0
				}
			}
		}
		for _, tg := range f.targets {
			if tg.version != desired || tg.draining {
				t.Fatalf("target %s ended with version %d, draining %t; desired version %d", tg.id, tg.version, tg.draining, desired)
			}
		}
	})
}

// Guards against a minimum that never allows the swap of a single target or of a small pool, or that allows taking all
// targets of a larger pool out of service.
func TestMinServing(t *testing.T) {
	tests := map[string]struct{ n, want int }{
		"one": {1, 0}, "two": {2, 1}, "three": {3, 2}, "four": {4, 3}, "twelve": {12, 9},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, MinServing(tc.n)) })
	}
}
