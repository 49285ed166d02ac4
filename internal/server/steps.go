package server

import (
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/internal/placer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/router"
	"github.com/papayaworks/papayaworks/internal/server/deliverer"
	"github.com/papayaworks/papayaworks/internal/server/dispatcher"
	"github.com/papayaworks/papayaworks/internal/server/gatekeeper"
	"github.com/papayaworks/papayaworks/internal/server/identifier"
	"github.com/papayaworks/papayaworks/internal/server/keeper"
	"github.com/papayaworks/papayaworks/internal/server/reader"
	"github.com/papayaworks/papayaworks/internal/server/selector"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// newSteps returns the request pipeline, in order, for one version of the configuration.
func (s *Server) newSteps(cfg *configurer.Config) []request.Step {
	steps := []request.Step{
		&reader.Step{},
		&identifier.Step{Signer: s.signer},
		&gatekeeper.Step{Gate: s.gate, Tracker: s.tracker, Now: time.Now, Seed: rand.Uint64},
		&selector.Step{Client: s.client, Tracker: s.tracker, Policy: router.New(), Seed: rand.Uint64},
		&dispatcher.Step{
			Client: s.client, Ledger: s.ledgerFor(cfg), Now: time.Now, RetryState: s.retries, Asserter: s.Asserter, Log: s.Log,
			OnDecision:     s.recordTargetDecision,
			TargetObserver: s.peers,
		},
		&deliverer.Step{Signer: s.signer, Now: time.Now, Asserter: s.Asserter},
		&keeper.Step{Client: s.client, Tracker: s.tracker, Policy: placer.New(), Log: s.Log},
	}
	for _, st := range steps {
		st.SetDefaults(cfg)
	}
	return steps
}
