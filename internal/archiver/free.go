package archiver

import (
	"context"

	"github.com/papayaworks/papayaworks/internal/logger"
)

// Free drops the parts whose scope is not wanted any more at the stores that this instance follows first.
func (a *Archiver) Free(ctx context.Context, unwanted func(scope string) bool) {
	for _, j := range a.unwanted(unwanted) {
		fctx, cancel := context.WithTimeout(ctx, eventWait+eventLimit)
		err := a.Client.Free(fctx, j.s.Address, j.epoch, j.parts)
		cancel()
		l := a.Log.WithField("store", j.s.Address).WithField("parts", len(j.parts))
		if err != nil {
			logger.WithError(l, err).Warn("could not free kept context")
			continue
		}
		l.Info("kept context of replaced weights was freed")
	}
}

// job is what is to be freed at one store.
type job struct {
	s     *store
	epoch int64
	parts []Block
}

func (a *Archiver) unwanted(unwanted func(scope string) bool) []job {
	a.mu.Lock()
	defer a.mu.Unlock()
	var jobs []job
	verdicts := map[string]bool{} // of the scopes, which are few
	for _, s := range a.stores {
		if s.place != 0 || s.cancel == nil || !s.reachable {
			continue
		}
		j := job{s: s, epoch: s.epoch}
		for key, p := range s.parts {
			verdict, ok := verdicts[p.Scope]
			if !ok {
				verdict = unwanted(p.Scope)
				verdicts[p.Scope] = verdict
			}
			if verdict {
				j.parts = append(j.parts, p)
				delete(s.parts, key)
			}
		}
		if len(j.parts) > 0 {
			jobs = append(jobs, j)
		}
	}
	return jobs
}
