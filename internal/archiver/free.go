package archiver

import (
	"context"

	"github.com/papayaworks/papayaworks/internal/logger"
)

// Free removes the blocks with an unwanted scope from the stores where this instance is the first-ranked follower. Plan
// no longer returns these blocks for fetching, even if the call to the store fails.
func (a *Archiver) Free(ctx context.Context, unwanted func(scope string) bool) {
	for _, j := range a.removeUnwanted(unwanted) {
		fctx, cancel := context.WithTimeout(ctx, longPollTimeout+readTimeout)
		err := a.Client.Free(fctx, j.s.Address, j.epoch, j.blocks)
		cancel()
		l := a.Log.WithField("store", j.s.Address).WithField("parts", len(j.blocks))
		if err != nil {
			logger.WithError(l, err).Warn("could not free KV cache blocks")
			continue
		}
		l.Info("KV cache blocks of superseded weights freed")
	}
}

// freeJob is the blocks to free at one store.
type freeJob struct {
	s      *store
	epoch  int64
	blocks []Block
}

// removeUnwanted removes the blocks with an unwanted scope from the local state and returns them by store.
func (a *Archiver) removeUnwanted(unwanted func(scope string) bool) []freeJob {
	a.mu.Lock()
	defer a.mu.Unlock()
	var jobs []freeJob
	decisions := map[string]bool{} // by scope; there are far fewer scopes than blocks
	for _, s := range a.stores {
		if s.rank != 0 || s.cancel == nil || !s.synced {
			continue
		}
		j := freeJob{s: s, epoch: s.epoch}
		for key, b := range s.blocks {
			remove, ok := decisions[b.Scope]
			if !ok {
				remove = unwanted(b.Scope)
				decisions[b.Scope] = remove
			}
			if remove {
				j.blocks = append(j.blocks, b)
				delete(s.blocks, key)
			}
		}
		if len(j.blocks) > 0 {
			jobs = append(jobs, j)
		}
	}
	return jobs
}
