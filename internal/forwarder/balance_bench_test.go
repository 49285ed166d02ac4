package forwarder

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/throttler"
	"github.com/papayaworks/papayaworks/internal/updater"
	"github.com/papayaworks/papayaworks/internal/watcher"
)

// noChanges is a source without records.
type noChanges struct{}

// Snapshot implements [watcher.Source].
func (noChanges) Snapshot(context.Context) (watcher.Batch, error) {
	return watcher.Batch{NextOffset: 1, IsSnapshot: true}, nil
}

// Changes implements [watcher.Source].
func (noChanges) Changes(ctx context.Context, from int64, _ time.Duration) (watcher.Batch, error) {
	<-ctx.Done()
	return watcher.Batch{NextOffset: from}, ctx.Err()
}

// serverWithTargets returns a server that knows n engines of one service, and a call with a prompt of three blocks.
func serverWithTargets(tb testing.TB, n int) (*Server, *Call) {
	tb.Helper()
	svc := &cataloger.Service{Name: "llm", MaxConnections: 1900, Engine: &cataloger.Engine{Slots: 16, CapacityTokens: 83_391, Models: []string{"m"}}}
	view := cataloger.NewView().WithCatalog(cataloger.New(1, nil, []cataloger.Service{*svc}, nil, cataloger.Limits{})).
		WithDesiredVersion("m", cataloger.DesiredVersion{Version: 1})
	d := view.Draft()
	for i := range n {
		d.Put(&cataloger.Target{
			ID: fmt.Sprintf("i-%010x", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: fmt.Sprint("dc-", i%5), Slots: 16,
			Versions: map[string]int64{"m": 1},
		})
	}
	view = view.WithDraft(d)
	s := &Server{
		Settings: &Settings{Instance: "a", DataCentre: "dc-0", SupersededGrace: 8 * time.Second}, Log: logger.Discard(), loads: balancer.NewLoadTable(),
		health: newHealth(), throttle: throttler.New("a"), Updater: &updater.Updater{}, Watcher: watcher.New(noChanges{}, noChanges{}, logger.Discard()),
	}
	s.health.setTargets(view)
	ctx, cancel := context.WithCancel(tb.Context())
	tb.Cleanup(cancel)
	go s.Watcher.Run(ctx)
	s.Watcher.Apply(ctx, func(*cataloger.View) *cataloger.View { return view })
	for s.Watcher.View() != view {
		time.Sleep(time.Millisecond)
	}
	c := &Call{HTTP: httptest.NewRequest("POST", "/", nil), View: view, Service: svc, Route: &cataloger.Route{Objective: 600 * time.Millisecond}}
	c.Headers.Prompt = Prompt{Model: "m", InputTokens: 12_000, MaxOutputTokens: 17, Blocks: []Block{{"a", 512}, {"b", 8610}, {"c", 2870}}}
	return s, c
}

// BenchmarkBalance measures one decision among 163 engines, without what it reads of other instances.
func BenchmarkBalance(b *testing.B) {
	s, c := serverWithTargets(b, 163)
	now := time.Now()
	for b.Loop() {
		if _, err := s.balance(c, now); err != nil {
			b.Fatal(err)
		}
	}
}
