// Package keeper is the last step of the request pipeline: it decides whether the
// KV cache of a finished run is exported to a KV store, and to which one.
//
// It runs after the caller has received the response and never fails the request.
// It also reports the observations of the run to the tracker: the cache hits on
// the target, the time to first token, and the return of the conversation. The
// export itself runs in the background; it evicts other conversations if the
// tier of the store lacks free capacity.
//
// # Usage
//
//	s := &keeper.Step{Client: client, Tracker: tracker, Policy: placer.New(), Log: log}
package keeper

import (
	"context"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/placer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// Step exports the context of finished runs. Its exported fields must be set before Run.
type Step struct {
	Client  *dialer.Client
	Tracker *tracker.Tracker
	Policy  *placer.Placer
	Log     logger.Logger
}

// String returns the name of the step.
func (s *Step) String() string { return "keep" }

// SetDefaults does nothing, since the step has no settings.
func (s *Step) SetDefaults(*configurer.Config) {}

// Run reports the run to the tracker and queues the export of the conversation's blocks if the placement policy
// considers it worth the link bandwidth. It does nothing for calls, resumed streams and unfinished requests.
func (s *Step) Run(_ context.Context, r *request.Request) error {
	if r.Chat == nil || r.Resume != nil || !r.Finished {
		return nil
	}
	key := placer.Key{Account: r.Account.Name, Application: r.Chat.Application}
	s.recordRun(r, key)
	if len(r.Keys) == 0 {
		return nil
	}
	model, _ := r.View.Config.Model(r.Chat.Model)
	c := &exportCandidate{Request: r, blockBytes: int64(keyer.BlockTokens * model.BytesPerToken), prefillRate: float64(model.PrefillTokensPerSecond)}
	run := placer.Run{
		Key: key, Bytes: int64(len(r.Keys)) * c.blockBytes, Stores: s.storeOptions(c),
		PrefillTime: time.Duration(float64(len(r.Keys)*keyer.BlockTokens) / c.prefillRate * float64(time.Second)),
	}
	d := s.Tracker.Decide(s.Policy, run)
	if r.Reason = d.Reason; d.Export {
		s.export(c, d, placer.StoredContext{Key: key, Bytes: run.Bytes, SavedSeconds: d.SavedSeconds, StoredAt: s.Tracker.Now()})
	}
	return nil
}

// recordRun reports the observations of the run to the tracker.
func (s *Step) recordRun(r *request.Request, key placer.Key) {
	now := s.Tracker.Now()
	info := &r.ContextInfo
	s.Tracker.RecordEnd(key, info.Returning, info.Gap)
	s.Tracker.SetHint(r.Anchor, tracker.Hint{Target: r.Target.ID, Version: r.Scope.Version, Blocks: len(r.Keys), DispatchedAt: now})
	if r.RunStart == nil {
		return
	}
	s.Tracker.RecordFirstToken(r.Chat.Model, info.ExpectedTTFT, r.FirstTokenAt.Sub(r.ReceivedAt))
	if n := min(info.LastBlocks, len(r.Keys)); info.LastTarget == r.Target.ID && info.LastVersion == r.Scope.Version && info.Gap > 0 && n > 0 {
		s.Tracker.RecordCacheHits(info.Gap, min(1, float64(r.RunStart.CachedTokens)/float64(n*keyer.BlockTokens)))
	}
	if n := keyer.EstimateTokens(len(r.Prompt)); n > 0 {
		model, _ := r.View.Config.Model(r.Chat.Model)
		prefill := float64(r.RunStart.RecomputedTokens) / float64(model.PrefillTokensPerSecond) * float64(time.Second)
		s.Tracker.RecordRun(r.Chat.Model, float64(r.RunStart.RecomputedTokens)/float64(n), now.Sub(r.FirstTokenAt)+time.Duration(prefill))
	}
}
