package forwarder

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// freeDelay is longer than any fetch of kept context lasts: one that would wait for more than two seconds is not begun.
	freeDelay = 3 * time.Second
	// freePeriod is the time between two looks for kept context that can be freed.
	freePeriod = 500 * time.Millisecond
)

// scopeOf returns the scope of kept context of a model's weights; isolated accounts have one of their own.
func scopeOf(model string, version int64, account string) string {
	scope := model + "/" + strconv.FormatInt(version, 10)
	if account != "" {
		scope += "/" + account
	}
	return scope
}

// versionIn returns the model and the weight version of a scope.
func versionIn(scope string) (model string, version int64, ok bool) {
	parts := strings.SplitN(scope, "/", 3)
	if len(parts) < 2 {
		return "", 0, false
	}
	version, err := strconv.ParseInt(parts[1], 10, 64)
	return parts[0], version, err == nil
}

// oldest is the oldest weight version that targets have had since a time.
type oldest struct {
	version int64
	since   time.Time
}

// freeReplaced frees the kept context of weights that no target has had for a while, until ctx ends.
func (s *Server) freeReplaced(ctx context.Context) {
	history := map[string][]oldest{}
	for sleeper.Sleep(ctx, freePeriod) {
		s.syncClock(ctx)
		now := time.Now()
		for model, v := range s.oldestVersions() {
			h := history[model]
			if len(h) == 0 || h[len(h)-1].version != v {
				h = append(h, oldest{version: v, since: now})
			}
			history[model] = lately(h, now)
		}
		s.Archiver.Free(ctx, func(scope string) bool {
			model, version, ok := versionIn(scope)
			return ok && replacedFor(history[model], version, now)
		})
	}
}

// syncClock asks a target for its clock if none of the stores that this instance follows has told it.
func (s *Server) syncClock(ctx context.Context) {
	if _, ok := s.Archiver.TargetClock(); ok || s.Orderer == nil {
		return
	}
	v := s.Watcher.View()
	ids := v.TargetIDs()
	if len(ids) == 0 {
		return
	}
	t, _ := v.Target(ids[rand.IntN(len(ids))])
	if len(t.Versions) == 0 {
		return // a plain service has no clock
	}
	ctx, cancel := context.WithTimeout(ctx, freePeriod)
	defer cancel()
	if r, err := s.Orderer.Targets.Report(ctx, t); err == nil {
		s.Archiver.SyncClock(r.Clock)
	}
}

// lately drops what is older than the newest entry that is old enough to count.
func lately(h []oldest, now time.Time) []oldest {
	for len(h) > 1 && now.Sub(h[1].since) > freeDelay {
		h = h[1:]
	}
	return h
}

// replacedFor reports whether all targets have had newer weights than the version for as long as a fetch may last.
func replacedFor(h []oldest, version int64, now time.Time) bool {
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

// oldestVersions returns the oldest weight version of each model among the targets that stay.
func (s *Server) oldestVersions() map[string]int64 {
	v := s.Watcher.View()
	out := map[string]int64{}
	for _, id := range v.TargetIDs() {
		t, ok := v.Target(id)
		if !ok || t.Leaving {
			continue
		}
		for model := range t.Versions {
			have := s.versionOf(t, model)
			if old, ok := out[model]; !ok || have < old {
				out[model] = have
			}
		}
	}
	return out
}
