// Package selector is the step that selects the target of a request.
//
// It collects what is known about the context of the conversation (from the
// caller's continuation token, the tracker's hints and the manifests in KV
// stores), calls the routing policy, and sets the target, the import and the
// alternatives of the request. A manifest is used only up to the first block that
// does not match the request's account, model, weight version and block keys. The
// lookup has a short timeout, so an unreachable store delays a request little.
//
// # Usage
//
//	s := &selector.Step{Client: client, Tracker: tracker, Policy: router.New(), Seed: rand.Uint64}
package selector

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/router"
	"github.com/papayaworks/papayaworks/internal/server/identifier"
	"github.com/papayaworks/papayaworks/internal/shaper"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// Step selects targets. Its exported fields must be set before Run.
type Step struct {
	Client  *dialer.Client
	Tracker *tracker.Tracker
	Policy  router.Policy
	// Seed returns the random seed of a decision.
	Seed func() uint64
}

// String returns the name of the step.
func (s *Step) String() string { return "route" }

// SetDefaults does nothing, since the step has no settings.
func (s *Step) SetDefaults(*configurer.Config) {}

// Run selects the target. Without a usable target, the request is refused as not run.
func (s *Step) Run(ctx context.Context, r *request.Request) error {
	if r.Call != nil {
		return selectService(r)
	}
	if r.Resume != nil {
		t, ok := r.View.Target(r.Resume.Target)
		if !ok {
			return request.Fail(http.StatusGone, request.CodeRunLost, "the target of the stream is no longer in the configuration")
		}
		r.Target, r.RunID, r.Reason = t, r.Resume.Run, "stream position names the target"
		return nil
	}
	identifier.SetScope(r, lookupVersion(r))
	m := s.findStoredContext(ctx, r)
	in := s.input(r)
	now := s.Tracker.Now()
	d, err := s.Policy.Choose(in, now)
	if errors.Is(err, router.ErrNoTarget) {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "no target serves model %q", r.Chat.Model)
	}
	if err != nil {
		return err
	}
	s.apply(r, d, m)
	d.Target.Dispatches.Record(now, d.PrefillTokens)
	s.Tracker.RecordDispatch(r.Chat.Model, d.PrefillTokens)
	return nil
}

// apply sets the decision in the request and records the import on the link of its store, unless the blocks are probably
// still cached by the target: then the import is a fallback that usually transfers nothing.
func (s *Step) apply(r *request.Request, d router.Decision, m *dialer.Manifest) {
	r.Target, r.Reason, r.Alternatives = d.Target, d.Reason, d.Alternatives
	r.ContextInfo.ExpectedTTFT, r.ContextInfo.QueueDelay = d.ExpectedTTFT, d.QueueDelay+max(0, s.Tracker.Averages(r.Chat.Model).Lateness)
	if d.Version != 0 {
		identifier.SetScope(r, d.Version)
	}
	if d.Import.Blocks == 0 || m == nil || m.Version != r.Scope.Version {
		return
	}
	st, ok := r.View.StoreConfig(d.Import.Store)
	if !ok {
		return
	}
	manifest := *m
	manifest.Blocks = m.Blocks[:d.Import.Blocks]
	r.Import = &dialer.Import{StoreAddress: st.Address, Manifest: manifest}
	if r.Reason != router.ReasonCached {
		limit := linkRate(st, dialer.TierMemory)
		s.Tracker.RecordImport(st.ID, limit, shaper.WeightedBytes(totalBytes(manifest.Blocks), linkRate(st, m.Tier), limit))
	}
}

// lookupVersion returns the weight version for which stored context is looked up: that of the conversation's last run if
// its target still serves that version, otherwise that of the first usable preferred target, otherwise the configured
// one.
func lookupVersion(r *request.Request) int64 {
	model, _ := r.View.Config.Model(r.Chat.Model)
	if c := r.Continuation; c != nil && c.Version != 0 {
		if t, ok := r.View.Target(c.Target); ok && t.Usable() && t.Version(r.Chat.Model) == c.Version {
			return c.Version
		}
	}
	identifier.SetScope(r, model.Version)
	var buf [8]*view.Target
	for _, t := range r.View.AppendRegionPreferred(buf[:0], r.Chat.Model, r.Anchor) {
		if v := t.Version(r.Chat.Model); t.Usable() && v != 0 {
			return v
		}
	}
	return model.Version
}

// input returns the input of the routing policy.
func (s *Step) input(r *request.Request) router.Input {
	averages := s.Tracker.Averages(r.Chat.Model)
	in := router.Input{
		View: r.View, Model: r.Chat.Model, Anchor: r.Anchor, PromptBlocks: len(r.Keys), PromptTokens: keyer.EstimateTokens(len(r.Prompt)),
		ComputedShare: averages.ComputedShare, RunTime: averages.RunTime, Seed: s.Seed(),
	}
	in.OtherInstances = otherInstances(r.View)
	in.RunRate, in.TokenRate = s.Tracker.DispatchRates(r.Chat.Model)
	info := &r.ContextInfo
	if info.LastTarget != "" && info.Gap > 0 {
		in.LastRun = router.LastRun{
			Target: info.LastTarget, Version: info.LastVersion, Blocks: info.LastBlocks, ResidentProbability: s.Tracker.ResidentProbability(info.Gap),
		}
	}
	if len(info.StoredBlocks) > 0 {
		st, _ := r.View.StoreConfig(info.Store)
		achieved, backlog := s.Tracker.AchievedShare(info.Store, linkRate(st, dialer.TierMemory))
		reported := configurer.Milliseconds(int(r.View.Store(info.Store).State.LinkBacklogMs))
		in.Stored = router.StoredContext{
			Store: info.Store, Version: info.StoredVersion, Blocks: len(info.StoredBlocks), Bytes: totalBytes(info.StoredBlocks),
			Backlog: max(backlog, reported), BytesPerSec: achieved * linkRate(st, info.Tier),
		}
	}
	return in
}

// otherInstances returns the number of other live instances in the region, which dispatch to the same targets.
func otherInstances(v *view.View) int {
	n := 0
	for i := range v.Members {
		if m := &v.Members[i]; (m.State == "alive" || m.State == "suspect") && v.Region(m.DataCentre) == v.Region(v.DataCentre) {
			n++
		}
	}
	return max(0, n-1)
}

// selectService selects the target of a plain service by the idempotency key, so that a retried call goes to the same
// target.
func selectService(r *request.Request) error {
	id := r.IdempotencyKey
	if id == "" {
		id = r.ID
	}
	sum := sha256.Sum256([]byte(r.Account.Name + "\x00" + id))
	t := preferredTarget(keyer.Key(sum[:keyer.KeyBytes]), r.View.ServiceTargets(r.Call.Service), r.View.DataCentre)
	if t == nil {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "no target offers service %q", r.Call.Service)
	}
	r.Target, r.Reason = t, "home of the call"
	return nil
}

// preferredTarget returns the usable target with the highest rendezvous weight for the key, with targets of the given
// data centre first, or nil.
func preferredTarget(k keyer.Key, ts []*view.Target, dataCentre string) *view.Target {
	var best *view.Target
	var bestLocal bool
	var bestWeight uint64
	for _, t := range ts {
		if !t.Usable() {
			continue
		}
		local, w := t.DataCentre == dataCentre, keyer.Weight(k, t.ID)
		if best == nil || (local && !bestLocal) || (local == bestLocal && w > bestWeight) {
			best, bestLocal, bestWeight = t, local, w
		}
	}
	return best
}
