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
	// lookupTimeout bounds the delay that an unresponsive KV store adds to a request; it is less than the time to
	// recompute one block.
	lookupTimeout = 50 * time.Millisecond
	// maxLookups is the number of stores that are queried in parallel.
	maxLookups  = 2
	bytesPerMiB = 1 << 20
)

// findStoredContext sets the context information of a returning conversation: its last run and the stored blocks. It
// returns the manifest with the most usable blocks, or nil.
func (s *Step) findStoredContext(ctx context.Context, r *request.Request) *dialer.Manifest {
	k := &r.ContextInfo
	k.Returning = r.Continuation != nil || slices.ContainsFunc(r.Chat.Messages, func(m request.Message) bool {
		return m.Role == "assistant"
	})
	if !k.Returning || len(r.Keys) == 0 {
		return nil
	}
	s.setLastRun(r)
	m, store := s.lookup(ctx, r)
	if m == nil {
		return nil
	}
	k.Store, k.Tier, k.StoredVersion, k.StoredBlocks = store, m.Tier, m.Version, m.Blocks
	return m
}

// setLastRun sets the target, the blocks and the time of the conversation's last run from the caller's continuation
// token, or from the tracker's hint if there is no token or both have the same target and the token has no more blocks.
func (s *Step) setLastRun(r *request.Request) {
	k := &r.ContextInfo
	if c := r.Continuation; c != nil && c.Anchor == r.Anchor {
		k.LastTarget, k.LastBlocks, k.LastVersion = c.Target, c.BlockCount, c.Version
		if c.EndedUnixMs > 0 {
			k.Gap = max(1, s.Tracker.Now().Sub(time.UnixMilli(c.EndedUnixMs)))
		}
	}
	h, ok := s.Tracker.Hint(r.Anchor)
	if !ok || (k.LastTarget != "" && (k.LastTarget != h.Target || k.LastBlocks > h.Blocks)) {
		return
	}
	k.LastTarget, k.LastBlocks, k.LastVersion = h.Target, h.Blocks, h.Version
	k.Gap = max(1, s.Tracker.Now().Sub(h.DispatchedAt))
}

// candidateStores returns the KV stores that may hold the manifest: those of the preferred targets, where context is
// stored as long as they are reachable, followed by the one in the continuation token.
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
		f := <-results
		if f.manifest != nil && (best.manifest == nil || len(f.manifest.Blocks) > len(best.manifest.Blocks)) {
			best = f
		}
	}
	return best.manifest, best.store
}

// fetchManifest fetches the conversation's manifest from a store and truncates it to the matching blocks. A store that
// does not respond is marked as suspected, so that it is not queried for some time.
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
