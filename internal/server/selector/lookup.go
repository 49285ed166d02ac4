package selector

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// lookupTimeout bounds the delay that unresponsive KV stores add to a request; recomputing one block takes longer.
	lookupTimeout = 50 * time.Millisecond
	// maxLookups is the largest number of stores that are queried for a request, in parallel.
	maxLookups  = 2
	bytesPerMiB = 1 << 20
)

// findStoredContext sets the context information of a returning conversation: its last run and the stored blocks. It
// returns the manifest with the most usable blocks, or nil.
func (s *Step) findStoredContext(ctx context.Context, r *request.Request) *dialer.Manifest {
	info := &r.ContextInfo
	info.Returning = r.Continuation != nil || slices.ContainsFunc(r.Chat.Messages, func(m request.Message) bool {
		return m.Role == "assistant"
	})
	if !info.Returning || len(r.Keys) == 0 {
		return nil
	}
	s.setLastRun(r)
	m, store := s.lookup(ctx, r)
	if m == nil {
		return nil
	}
	info.Store, info.Tier, info.StoredVersion, info.StoredBlocks = store, m.Tier, m.Version, m.Blocks
	return m
}

// setLastRun sets the target, the blocks, the weight version and the time of the conversation's last run. It uses the
// caller's continuation token, or the tracker's hint if there is no token, or if both name the same target and the hint
// has at least as many blocks.
func (s *Step) setLastRun(r *request.Request) {
	info := &r.ContextInfo
	if c := r.Continuation; c != nil && c.Anchor == r.Anchor {
		info.LastTarget, info.LastBlocks, info.LastVersion = c.Target, c.BlockCount, c.Version
		if c.EndedUnixMs > 0 {
			info.Gap = max(1, s.Tracker.Now().Sub(time.UnixMilli(c.EndedUnixMs)))
		}
	}
	h, ok := s.Tracker.Hint(r.Anchor)
	if !ok || (info.LastTarget != "" && (info.LastTarget != h.Target || info.LastBlocks > h.Blocks)) {
		return
	}
	info.LastTarget, info.LastBlocks, info.LastVersion = h.Target, h.Blocks, h.Version
	info.Gap = max(1, s.Tracker.Now().Sub(h.DispatchedAt))
}

// candidateStores returns at most maxLookups reachable KV stores that may hold the manifest: those of the conversation's
// preferred targets, to which the keeper step exports context if it can, followed by the one in the continuation token.
func (s *Step) candidateStores(r *request.Request) []configurer.Store {
	var buf [8]*view.Target
	var ids []string
	for _, t := range r.View.AppendRegionPreferred(buf[:0], r.Chat.Model, r.Anchor) {
		ids = append(ids, t.Store)
	}
	if c := r.Continuation; c != nil && c.Anchor == r.Anchor {
		ids = append(ids, c.Store)
	}
	var out []configurer.Store
	for i, id := range ids {
		st, ok := r.View.StoreConfig(id)
		if !ok || slices.Contains(ids[:i], id) || r.View.Store(id).Down || s.Tracker.Suspected(id) {
			continue
		}
		if out = append(out, st); len(out) == maxLookups {
			break
		}
	}
	return out
}

// lookupResult is the response of a store; manifest is nil if it holds no usable block.
type lookupResult struct {
	store    string
	manifest *dialer.Manifest
}

// lookup queries the candidate stores in parallel and returns the manifest that matches the most blocks of the request,
// and its store.
func (s *Step) lookup(ctx context.Context, r *request.Request) (*dialer.Manifest, string) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	stores := s.candidateStores(r)
	results := make(chan lookupResult, len(stores))
	for _, st := range stores {
		go func() { results <- lookupResult{st.ID, s.fetchManifest(ctx, r, st)} }()
	}
	var best lookupResult
	for range stores {
		res := <-results
		if res.manifest != nil && (best.manifest == nil || len(res.manifest.Blocks) > len(best.manifest.Blocks)) {
			best = res
		}
	}
	return best.manifest, best.store
}

// fetchManifest fetches the conversation's manifest from a store and truncates it to the matching blocks. A store that
// does not respond is marked as suspected, so that it is not queried for some time. It returns nil if there is no match.
func (s *Step) fetchManifest(ctx context.Context, r *request.Request, st configurer.Store) *dialer.Manifest {
	m, err := s.Client.Manifest(ctx, st.Address, r.Anchor)
	if err != nil {
		var refused *dialer.StatusError
		if !errors.As(err, &refused) && !errors.Is(err, context.Canceled) {
			s.Tracker.Suspect(st.ID)
		}
		return nil
	}
	return MatchPrefix(r, m)
}

// MatchPrefix returns a copy of the manifest truncated to its leading blocks that match the block keys of the request.
// It returns nil if no block matches or the manifest has another account, model, weight version or conversation.
func MatchPrefix(r *request.Request, m *dialer.Manifest) *dialer.Manifest {
	if m.Anchor != r.Anchor || m.Account != r.Account.Name || m.Model != r.Chat.Model || m.Version != r.Scope.Version {
		return nil
	}
	n := 0
	for n < len(r.Keys) && n < len(m.Blocks) && m.Blocks[n].Key == r.Keys[n] && m.Blocks[n].Length > 0 {
		n++
	}
	if n == 0 {
		return nil
	}
	out := *m
	out.Blocks = m.Blocks[:n:n]
	return &out
}

func totalBytes(bs []dialer.ManifestBlock) int64 {
	var n int64
	for i := range bs {
		n += bs[i].Length
	}
	return n
}

// linkRate returns the configured rate of the link to a tier, in bytes per second.
func linkRate(st configurer.Store, tier string) float64 {
	if tier == dialer.TierDisk {
		return float64(min(st.LinkMiBPerSec, st.DiskMiBPerSec)) * bytesPerMiB
	}
	return float64(st.LinkMiBPerSec) * bytesPerMiB
}
