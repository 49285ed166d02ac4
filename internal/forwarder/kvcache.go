package forwarder

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// freeDelay is longer than any fetch of stored KV cache: a fetch that would wait for more than 2 s is not started.
	freeDelay = 3 * time.Second
	// freeInterval is the interval between two searches for stored KV cache to free.
	freeInterval = 500 * time.Millisecond
)

// cacheScope returns the scope of the KV cache of a model's weight version that an account may use. An isolated account has a scope of its
// own. All others share one, which changes with the set of isolated accounts: an account that becomes isolated has made a part of the cache
// in the scope before.
func cacheScope(model string, version int64, account string, c *cataloger.Catalog) string {
	scope := model + "/" + strconv.FormatInt(version, 10)
	switch {
	case c.IsIsolated(account):
		scope += "/account/" + account
	case c.IsolationKey() != "":
		scope += "/shared/" + c.IsolationKey()
	}
	return scope
}

// parseScope returns the model and the weight version of a scope, and whether the scope is valid.
func parseScope(scope string) (model string, version int64, ok bool) {
	parts := strings.SplitN(scope, "/", 3)
	if len(parts) < 2 {
		return "", 0, false
	}
	version, err := strconv.ParseInt(parts[1], 10, 64)
	return parts[0], version, err == nil
}

// oldestVersion is the oldest weight version of a model at any target, and the time since when it has been the oldest.
type oldestVersion struct {
	version int64
	since   time.Time
}

// freeSuperseded periodically frees the stored KV cache of weights that all targets have superseded, until ctx ends.
func (s *Server) freeSuperseded(ctx context.Context) {
	history := map[string][]oldestVersion{}
	for sleeper.Sleep(ctx, freeInterval) {
		s.syncClock(ctx)
		now := time.Now()
		for model, v := range s.oldestVersions() {
			h := history[model]
			if len(h) == 0 || h[len(h)-1].version != v {
				h = append(h, oldestVersion{version: v, since: now})
			}
			history[model] = trimHistory(h, now)
		}
		s.Archiver.Free(ctx, func(scope string) bool {
			model, version, ok := parseScope(scope)
			return ok && isFullySuperseded(history[model], version, now)
		})
	}
}

// syncClock reads the targets' clock from a random target unless a KV store that this instance follows has reported it.
func (s *Server) syncClock(ctx context.Context) {
	if _, ok := s.Archiver.TargetClock(); ok || s.Updater == nil {
		return
	}
	v := s.Watcher.View()
	ids := v.TargetIDs()
	if len(ids) == 0 {
		return
	}
	t, _ := v.Target(ids[rand.IntN(len(ids))])
	if len(t.Versions) == 0 {
		return // only engines report a clock
	}
	ctx, cancel := context.WithTimeout(ctx, freeInterval)
	defer cancel()
	if r, err := s.Updater.Targets.Report(ctx, t); err == nil {
		s.Archiver.SyncClock(r.Clock)
	}
}

// trimHistory removes the entries that ended more than freeDelay ago.
func trimHistory(h []oldestVersion, now time.Time) []oldestVersion {
	for len(h) > 1 && now.Sub(h[1].since) > freeDelay {
		h = h[1:]
	}
	return h
}

// isFullySuperseded reports whether all targets have had newer weights than the version for more than freeDelay.
func isFullySuperseded(h []oldestVersion, version int64, now time.Time) bool {
	if len(h) == 0 || now.Sub(h[0].since) <= freeDelay {
		return false
	}
	for _, o := range h {
		if version >= o.version {
			return false
		}
	}
	return true
}

// oldestVersions returns the oldest weight version of each model among the targets that are not leaving.
func (s *Server) oldestVersions() map[string]int64 {
	v := s.Watcher.View()
	out := map[string]int64{}
	for _, id := range v.TargetIDs() {
		t, ok := v.Target(id)
		if !ok || t.Leaving {
			continue
		}
		for model := range t.Versions {
			version := s.versionOf(t, model)
			if old, ok := out[model]; !ok || version < old {
				out[model] = version
			}
		}
	}
	return out
}
