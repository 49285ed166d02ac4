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
	// exportTimeout bounds one export over a slow link.
	exportTimeout = 30 * time.Second
	// dropTimeout bounds the removal of one manifest.
	dropTimeout = time.Second
	mib         = 1 << 20
	// Reserve is the part of a tier that is kept free: reports of its use lag, and several instances write to it.
	Reserve = 64
)

// candidate is a finished request whose context may be kept.
type candidate struct {
	*request.Request
	block int64   // bytes
	rate  float64 // prefill, tokens a second
}

// held is how many of the request's leading blocks a store holds already.
func (c *candidate) held(store string) int {
	if c.ContextInfo.Store != store || c.ContextInfo.StoredVersion != c.Scope.Version {
		return 0
	}
	return min(len(c.ContextInfo.StoredBlocks), len(c.Keys))
}

// places returns the stores for the context: those beside the homes, where any instance looks for it, then the one
// beside the target.
func (s *Step) places(c *candidate) []placer.StoreOption {
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
			out = append(out, s.place(c, st))
		}
	}
	return out
}

func (s *Step) place(c *candidate, st configurer.Store) placer.StoreOption {
	status := c.View.Store(st.ID)
	mem, disk := float64(st.LinkMiBPerSec)*mib, float64(min(st.DiskMiBPerSec, st.LinkMiBPerSec))*mib
	achieved, backlog := s.Tracker.AchievedShare(st.ID, mem)
	n := int64(len(c.Keys)-c.held(st.ID)) * c.block
	tiers := make([]placer.Tier, 0, 2)
	// A context that is stored already grows in its tier.
	if n == int64(len(c.Keys))*c.block || c.ContextInfo.Tier != dialer.TierDisk {
		tiers = append(tiers, s.tier(st.ID, false, achieved*mem, n, missing(st, status, n, false)))
	}
	if n == int64(len(c.Keys))*c.block || c.ContextInfo.Tier == dialer.TierDisk {
		tiers = append(tiers, s.tier(st.ID, true, achieved*disk, n, missing(st, status, n, true)))
	}
	return placer.StoreOption{
		Store: st.ID, Down: status.Down || s.Tracker.Suspected(st.ID), NewBytes: n, Tiers: tiers,
		Backlog: max(backlog, configurer.Milliseconds(int(status.State.LinkBacklogMs))),
	}
}

func (s *Step) tier(store string, disk bool, rate float64, n, missing int64) placer.Tier {
	t := placer.Tier{Disk: disk, BytesPerSec: rate, Fits: missing <= 0}
	if !t.Fits {
		// The rest of what is missing has to go for others as well.
		_, t.DisplacedSeconds, t.Fits = s.Tracker.EvictionCandidates(store, disk, min(n, missing))
	}
	return t
}

// missing is how many bytes must be dropped from a tier before n more fit and the reserve is free.
func missing(st configurer.Store, status view.StoreStatus, n int64, disk bool) int64 {
	used, limit := status.State.MemoryUsed, int64(st.MemoryMiB)*mib
	if disk {
		used, limit = status.State.DiskUsed, int64(st.DiskMiB)*mib
	}
	return used + n + limit/Reserve - limit
}

// export queues the transfer; the target writes only the blocks that the store does not hold.
func (s *Step) export(c *candidate, d placer.Decision, k placer.StoredContext) {
	st, _ := c.View.StoreConfig(d.Store)
	n := c.held(d.Store)
	in := &dialer.ExportRequest{
		Anchor: c.Anchor, Account: c.Account.Name, Model: c.Chat.Model, Version: c.Scope.Version, BlockKeys: c.Keys,
		StoreAddress: st.Address, Tier: dialer.TierMemory, Generation: c.ReceivedAt.UnixNano(), StoredBlocks: c.ContextInfo.StoredBlocks[:n],
	}
	if d.Disk {
		in.Tier = dialer.TierDisk
	}
	link, rate, size := float64(st.LinkMiBPerSec)*mib, float64(st.LinkMiBPerSec)*mib, int64(len(c.Keys)-n)*c.block
	if d.Disk {
		rate = min(link, float64(st.DiskMiBPerSec)*mib)
	}
	job := shaper.Job{Class: shaper.Export, Bytes: shaper.WeightedBytes(size, rate, link)}
	over := missing(st, c.View.Store(st.ID), size, d.Disk)
	addr := c.Target.Address
	s.Tracker.Transfer(d.Store, link, job, func(done func(bool)) {
		go func() {
			s.makeRoom(st, d.Disk, over)
			done(s.write(addr, in) && s.kept(d, in, k))
		}()
	})
}

// makeRoom drops contexts until enough is free. The store leaves a manifest alone that another instance has replaced.
func (s *Step) makeRoom(st configurer.Store, disk bool, over int64) {
	if over <= 0 {
		return
	}
	victims, _, _ := s.Tracker.EvictionCandidates(st.ID, disk, over)
	for _, v := range victims {
		if over <= 0 {
			return
		}
		s.Tracker.RecordEvicted(st.ID, disk, v.Anchor)
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
		err := s.Client.DeleteManifest(ctx, st.Address, v.Anchor, v.Generation)
		cancel()
		if err == nil {
			over -= v.Bytes
		}
	}
}

func (s *Step) write(addr string, in *dialer.ExportRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	err := s.Client.Export(ctx, addr, in)
	if err != nil {
		logger.WithError(s.Log, err).Debug("context was not kept")
	}
	return err == nil
}

func (s *Step) kept(d placer.Decision, in *dialer.ExportRequest, k placer.StoredContext) bool {
	s.Tracker.RecordStored(d.Store, d.Disk, tracker.StoredContext{StoredContext: k, Anchor: in.Anchor, Generation: in.Generation})
	return true
}
