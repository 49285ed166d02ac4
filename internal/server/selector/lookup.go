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
	// lookupTimeout is what a request loses at most to a store that does not answer; recomputing one block costs more.
	lookupTimeout = 50 * time.Millisecond
	// maxLookups is how many stores are asked at once.
	maxLookups = 2
	mib        = 1 << 20
)

// find learns where the context of the conversation may be and returns the manifest with the most usable blocks.
func (s *Step) find(ctx context.Context, r *request.Request) *dialer.Manifest {
	k := &r.ContextInfo
	k.Returning = r.Continuation != nil || slices.ContainsFunc(r.Chat.Messages, func(m request.Message) bool {
		return m.Role == "assistant"
	})
	if !k.Returning || len(r.Keys) == 0 {
		return nil
	}
	s.last(r)
	m, store := s.lookup(ctx, r)
	if m == nil {
		return nil
	}
	k.Store, k.Tier, k.StoredVersion, k.StoredBlocks = store, m.Tier, m.Version, m.Blocks
	return m
}

// last notes where the conversation ran last, from the hints or the caller's token.
func (s *Step) last(r *request.Request) {
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

// stores returns the stores that may hold the manifest: those beside the homes, where contexts are kept as long as
// they can be reached, then the one that the token names.
func (s *Step) stores(r *request.Request) []configurer.Store {
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

type found struct {
	store    string
	manifest *dialer.Manifest
}

// lookup asks the stores at once and returns the manifest that matches most blocks of the request.
func (s *Step) lookup(ctx context.Context, r *request.Request) (*dialer.Manifest, string) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	stores := s.stores(r)
	results := make(chan found, len(stores))
	for _, st := range stores {
		go func() { results <- found{st.ID, s.ask(ctx, r, st)} }()
	}
	var best found
	for range stores {
		f := <-results
		if f.manifest != nil && (best.manifest == nil || len(f.manifest.Blocks) > len(best.manifest.Blocks)) {
			best = f
		}
	}
	return best.manifest, best.store
}

// ask reads a manifest and cuts it to what matches; a store that gives no answer is not asked again for a while.
func (s *Step) ask(ctx context.Context, r *request.Request, st configurer.Store) *dialer.Manifest {
	m, err := s.Client.Manifest(ctx, st.Address, r.Anchor)
	if err != nil {
		var refused *dialer.StatusError
		if !errors.As(err, &refused) && !errors.Is(err, context.Canceled) {
			s.Tracker.Suspect(st.ID)
		}
		return nil
	}
	return Match(r, m)
}

// Match cuts a manifest to its leading blocks that are the request's own, or returns nil if there is none.
func Match(r *request.Request, m *dialer.Manifest) *dialer.Manifest {
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

func bytesOf(bs []dialer.ManifestBlock) int64 {
	var n int64
	for i := range bs {
		n += bs[i].Length
	}
	return n
}

// linkRate is the configured rate of the link to a tier in bytes a second.
func linkRate(st configurer.Store, tier string) float64 {
	if tier == dialer.TierDisk {
		return float64(min(st.LinkMiBPerSec, st.DiskMiBPerSec)) * mib
	}
	return float64(st.LinkMiBPerSec) * mib
}
