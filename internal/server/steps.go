package server

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/server/deliverer"
	"github.com/papayaworks/papayaworks/internal/server/dispatcher"
	"github.com/papayaworks/papayaworks/internal/server/gatekeeper"
	"github.com/papayaworks/papayaworks/internal/server/identifier"
	"github.com/papayaworks/papayaworks/internal/server/keeper"
	"github.com/papayaworks/papayaworks/internal/server/reader"
	"github.com/papayaworks/papayaworks/internal/server/selector"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// newSteps returns the path of a request, in order, for one version of the configuration.
func (s *Server) newSteps(cfg *configurer.Config) []request.Step {
	steps := []request.Step{
		&reader.Step{},
		&identifier.Step{Signer: s.signer},
		&gatekeeper.Step{},
		&selector.Step{},
		&dispatcher.Step{Client: s.client, Leaving: s.peers},
		&deliverer.Step{Signer: s.signer, Now: time.Now},
		&keeper.Step{Client: s.client, Log: s.Log},
	}
	for _, st := range steps {
		st.Default(cfg)
	}
	return steps
}
