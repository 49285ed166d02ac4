// Package keeper is the last step: it decides what happens to the context of a finished run.
//
// It runs after the caller has the answer and never fails the request.
//
// # Usage
//
//	s := &keeper.Step{Client: client, Log: log}
package keeper

import (
	"context"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// exportTimeout bounds one export over a slow link.
const exportTimeout = 30 * time.Second

// Step keeps context.
type Step struct {
	Client *dialer.Client
	Log    logger.Log
}

// String names the step.
func (s *Step) String() string { return "keep" }

// Default has nothing to take from the configuration.
func (s *Step) Default(*configurer.Config) {}

// Run orders the export of the conversation's blocks to the store beside the target.
func (s *Step) Run(_ context.Context, r *request.Request) error {
	if r.Chat == nil || r.Resume != nil || !r.Finished || len(r.Keys) == 0 {
		return nil
	}
	store, ok := r.View.Config.Store(r.Target.Store)
	if !ok {
		return nil
	}
	in := &dialer.ExportRequest{
		Anchor: r.Anchor, Account: r.Account.Name, Model: r.Chat.Model, Version: r.Scope.Version, Keys: r.Keys,
		StoreAddress: store.Address, Tier: dialer.TierMemory, Generation: r.Received.UnixNano(),
	}
	addr := r.Target.Address
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
		defer cancel()
		if err := s.Client.Export(ctx, addr, in); err != nil {
			logger.WithError(s.Log, err).Debug("context was not kept")
		}
	}()
	return nil
}
