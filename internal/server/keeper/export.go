package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/placer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/shaper"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// exportTimeout bounds one export; it allows for slow links.
	exportTimeout = 30 * time.Second
	// deleteTimeout bounds the deletion of one manifest.
	deleteTimeout = time.Second
	bytesPerMiB   = 1 << 20
	// ReserveDivisor is the fraction of a tier that is kept free, as a divisor of its size. It absorbs the delay of usage
	// reports and concurrent exports of several instances.
	ReserveDivisor = 64
)

// exportCandidate is a finished request whose context may be exported.
type exportCandidate struct {
	*request.Request
	blockBytes  int64
	prefillRate float64 // tokens per second
}

// storedBlocks returns how many of the request's leading blocks a store already holds.
func (c *exportCandidate) storedBlocks(store string) int {
	if c.ContextInfo.Store != store || c.ContextInfo.StoredVersion != c.Scope.Version {
		return 0
	}
	return min(len(c.ContextInfo.StoredBlocks), len(c.Keys))
}

// storeOptions returns the enabled KV stores to which the context may be exported: those of the conversation's preferred
// targets, where every instance looks it up, followed by that of the run's target.
func (s *Step) storeOptions(c *exportCandidate) []placer.StoreOption {
	var buf [8]*view.Target
	var ids []string
	for _, t := range c.View.AppendRegionPreferred(buf[:0], c.Chat.Model, c.Anchor) {
		ids = append(ids, t.Store)
	}
	if !slices.Contains(ids, c.Target.Store) {
		ids = append(ids, c.Target.Store)
	}
	out := make([]placer.StoreOption, 0, len(ids))
	for _, id := range ids {
		if st, ok := c.View.StoreConfig(id); ok && st.DisabledReason == "" {
			out = append(out, s.storeOption(c, st))
		}
	}
	return out
}

func (s *Step) storeOption(c *exportCandidate, st configurer.Store) placer.StoreOption {
	status := c.View.Store(st.ID)
	mem, disk := float64(st.LinkMiBPerSec)*bytesPerMiB, float64(min(st.DiskMiBPerSec, st.LinkMiBPerSec))*bytesPerMiB
	achieved, backlog := s.Tracker.AchievedShare(st.ID, mem)
	n := int64(len(c.Keys)-c.storedBlocks(st.ID)) * c.blockBytes
	tiers := make([]placer.Tier, 0, 2)
	// Context that is already stored is extended in its current tier.
	if n == int64(len(c.Keys))*c.blockBytes || c.ContextInfo.Tier != dialer.TierDisk {
		tiers = append(tiers, s.tier(st.ID, false, achieved*mem, n, shortfall(st, status, n, false)))
	}
	if n == int64(len(c.Keys))*c.blockBytes || c.ContextInfo.Tier == dialer.TierDisk {
		tiers = append(tiers, s.tier(st.ID, true, achieved*disk, n, shortfall(st, status, n, true)))
	}
	return placer.StoreOption{
		Store: st.ID, Down: status.Down || s.Tracker.Suspected(st.ID), NewBytes: n, Tiers: tiers,
		Backlog: max(backlog, configurer.Milliseconds(int(status.State.LinkBacklogMs))),
	}
}

// tier returns a tier of a store as an option for an export of n bytes, for which toFree bytes must be evicted.
func (s *Step) tier(store string, disk bool, rate float64, n, toFree int64) placer.Tier {
	t := placer.Tier{Disk: disk, BytesPerSec: rate, Fits: toFree <= 0}
	if !t.Fits {
		// A shortfall beyond n bytes is caused by other exports, so only n bytes are attributed to this one.
		_, t.DisplacedSeconds, t.Fits = s.Tracker.EvictionCandidates(store, disk, min(n, toFree))
	}
	return t
}

// shortfall returns how many bytes must be evicted from a tier so that n more bytes fit beside the reserve. It is
// negative or 0 if they fit.
func shortfall(st configurer.Store, status view.StoreStatus, n int64, disk bool) int64 {
	used, limit := status.State.MemoryUsed, int64(st.MemoryMiB)*bytesPerMiB
	if disk {
		used, limit = status.State.DiskUsed, int64(st.DiskMiB)*bytesPerMiB
	}
	return used + n + limit/ReserveDivisor - limit
}

// export queues the transfer on the store's link. The target writes only the blocks that the store does not hold yet.
func (s *Step) export(c *exportCandidate, d placer.Decision, stored placer.StoredContext) {
	st, _ := c.View.StoreConfig(d.Store)
	n := c.storedBlocks(d.Store)
	in := &dialer.ExportRequest{
		Anchor: c.Anchor, Account: c.Account.Name, Model: c.Chat.Model, Version: c.Scope.Version, BlockKeys: c.Keys,
		StoreAddress: st.Address, Tier: dialer.TierMemory, Generation: c.ReceivedAt.UnixNano(), StoredBlocks: c.ContextInfo.StoredBlocks[:n],
	}
	if d.Disk {
		in.Tier = dialer.TierDisk
	}
	link, rate, size := float64(st.LinkMiBPerSec)*bytesPerMiB, float64(st.LinkMiBPerSec)*bytesPerMiB, int64(len(c.Keys)-n)*c.blockBytes
	if d.Disk {
		rate = min(link, float64(st.DiskMiBPerSec)*bytesPerMiB)
	}
	job := shaper.Job{Class: shaper.Export, Bytes: shaper.WeightedBytes(size, rate, link)}
	toFree := shortfall(st, c.View.Store(st.ID), size, d.Disk)
	addr := c.Target.Address
	s.Tracker.Transfer(d.Store, link, job, func(done func(bool)) {
		go func() {
			s.evict(st, d.Disk, toFree)
			done(s.transfer(addr, in) && s.recordStored(d, in, stored))
		}()
	})
}

// evict deletes manifests until the given number of bytes is freed or there are no candidates left. The store ignores
// the deletion of a manifest that another instance has replaced with a later generation.
func (s *Step) evict(st configurer.Store, disk bool, toFree int64) {
	if toFree <= 0 {
		return
	}
	candidates, _, _ := s.Tracker.EvictionCandidates(st.ID, disk, toFree)
	for _, m := range candidates {
		if toFree <= 0 {
			return
		}
		s.Tracker.RecordEvicted(st.ID, disk, m.Anchor)
		ctx, cancel := context.WithTimeout(context.Background(), deleteTimeout)
		err := s.Client.DeleteManifest(ctx, st.Address, m.Anchor, m.Generation)
		cancel()
		if err == nil {
			toFree -= m.Bytes
		}
	}
}

func (s *Step) transfer(addr string, in *dialer.ExportRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	err := s.Client.Export(ctx, addr, in)
	if err != nil {
		logger.WithError(s.Log, err).Debug("export of context failed")
	}
	return err == nil
}

// recordStored records a completed export. It always returns true.
func (s *Step) recordStored(d placer.Decision, in *dialer.ExportRequest, stored placer.StoredContext) bool {
	s.Tracker.RecordStored(d.Store, d.Disk, tracker.StoredContext{StoredContext: stored, Anchor: in.Anchor, Generation: in.Generation})
	return true
}
