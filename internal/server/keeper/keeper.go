// Package keeper is the last step: it decides what happens to the context of a finished run.
//
// It runs after the caller has the answer and never fails the request. It also
// tells the tracker what the run showed: whether the blocks were where they
// were expected, and that the conversation came back.
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
	"github.com/papayaworks/papayaworks/internal/shaper"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// exportTimeout bounds one export over a slow link.
	exportTimeout = 30 * time.Second
	mib           = 1 << 20
)

// Step keeps context.
type Step struct {
	Client  *dialer.Client
	Tracker *tracker.Tracker
	Policy  *placer.Placer
	Log     logger.Log
}

// String names the step.
func (s *Step) String() string { return "keep" }

// Default has nothing to take from the configuration.
func (s *Step) Default(*configurer.Config) {}

// Run learns from the run and queues the export of the conversation's blocks if that is worth the link.
func (s *Step) Run(_ context.Context, r *request.Request) error {
	if r.Chat == nil || r.Resume != nil || !r.Finished {
		return nil
	}
	key := placer.Key{Account: r.Account.Name, Application: r.Chat.Application}
	s.learn(r, key)
	if len(r.Keys) == 0 {
		return nil
	}
	model, _ := r.View.Config.Model(r.Chat.Model)
	block := int64(keyer.BlockTokens * model.BytesPerToken)
	run := placer.Run{
		Key: key, Bytes: int64(len(r.Keys)) * block, NewBytes: int64(len(r.Keys)-held(r, r.Target.Store)) * block,
		Recompute: time.Duration(float64(len(r.Keys)*keyer.BlockTokens) / float64(model.PrefillTokensPerSecond) * float64(time.Second)),
		Places:    s.places(r),
	}
	d := s.Tracker.Decide(s.Policy, run)
	if r.Reason = d.Reason; d.Export {
		s.export(r, d, block)
	}
	return nil
}

// learn tells the tracker what the run showed.
func (s *Step) learn(r *request.Request, key placer.Key) {
	now := s.Tracker.Now()
	k := &r.Known
	s.Tracker.Ended(key, k.Returning, k.Gap)
	s.Tracker.Remember(r.Anchor, tracker.Hint{Target: r.Target.ID, Version: r.Scope.Version, Blocks: len(r.Keys), At: now})
	if r.Start == nil {
		return
	}
	if n := min(k.LastBlocks, len(r.Keys)); k.LastTarget == r.Target.ID && k.LastVersion == r.Scope.Version && k.Gap > 0 && n > 0 {
		s.Tracker.Found(k.Gap, min(1, float64(r.Start.CachedTokens)/float64(n*keyer.BlockTokens)))
	}
	if n := keyer.Tokens(len(r.Prompt)); n > 0 {
		s.Tracker.Ran(r.Chat.Model, float64(r.Start.RecomputedTokens)/float64(n), now.Sub(r.FirstToken))
	}
}

// held is how many of the request's leading blocks a store holds already.
func held(r *request.Request, store string) int {
	if r.Known.Store != store || r.Known.Version != r.Scope.Version {
		return 0
	}
	return min(len(r.Known.Stored), len(r.Keys))
}

// places returns the stores for the context: the one that holds it, the one beside the target, those of the homes.
func (s *Step) places(r *request.Request) []placer.Place {
	var buf [8]*view.Target
	ids := []string{r.Target.Store}
	home := r.View.HomeDataCentre(r.Chat.Model, r.Anchor)
	for _, t := range r.View.AppendHomes(buf[:0], r.Chat.Model, home, r.Anchor) {
		if t.Store != r.Target.Store {
			ids = append(ids, t.Store)
		}
	}
	out := make([]placer.Place, 0, len(ids))
	for _, id := range ids {
		if st, ok := r.View.StoreConfig(id); ok && st.DisabledReason == "" {
			out = append(out, s.place(r, st))
		}
	}
	return out
}

func (s *Step) place(r *request.Request, st configurer.Store) placer.Place {
	status := r.View.Store(st.ID)
	mem, disk := float64(st.LinkMiBPerSec)*mib, float64(min(st.DiskMiBPerSec, st.LinkMiBPerSec))*mib
	rate, backlog := s.Tracker.Rate(st.ID, mem)
	return placer.Place{
		Store: st.ID, Down: status.Down || s.Tracker.Suspected(st.ID),
		Backlog: max(backlog, configurer.Milliseconds(int(status.State.LinkBacklogMs))),
		MemFree: int64(st.MemoryMiB)*mib - status.State.MemoryUsed, DiskFree: int64(st.DiskMiB)*mib - status.State.DiskUsed,
		MemRate: rate, DiskRate: min(rate, disk),
	}
}

// export queues the transfer; the target writes only the blocks that the store does not hold.
func (s *Step) export(r *request.Request, d placer.Decision, block int64) {
	st, _ := r.View.StoreConfig(d.Store)
	n := held(r, d.Store)
	in := &dialer.ExportRequest{
		Anchor: r.Anchor, Account: r.Account.Name, Model: r.Chat.Model, Version: r.Scope.Version, Keys: r.Keys,
		StoreAddress: st.Address, Tier: dialer.TierMemory, Generation: r.Received.UnixNano(), Stored: r.Known.Stored[:n],
	}
	if d.Disk {
		in.Tier = dialer.TierDisk
	}
	addr := r.Target.Address
	job := shaper.Job{Class: shaper.Export, Bytes: int64(len(r.Keys)-n) * block}
	s.Tracker.Move(d.Store, float64(st.LinkMiBPerSec)*mib, job, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
		defer cancel()
		err := s.Client.Export(ctx, addr, in)
		if err != nil {
			logger.WithError(s.Log, err).Debug("context was not kept")
		}
		return err == nil
	})
}
