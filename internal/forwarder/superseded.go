package forwarder

import (
	"context"
	"time"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/clocker"
)

// publishAnnounceFactor is how long a published weight version is announced, in grace periods of superseded weights. Weights
// that were superseded before that are past their grace period at every instance.
const publishAnnounceFactor = 2

// recentVersions returns the weight versions of each model that this instance has recently observed, with the last one before
// them, so that instances that started or read a version later know for how long older ones have been superseded. Times that
// are only bounds, or that another instance has announced, are sent as unknown.
func (s *Server) recentVersions() []announcer.PublishedVersion {
	v, now := s.Watcher.View(), clocker.SinceBoot()
	oldest := now - publishAnnounceFactor*s.settings().SupersededGrace
	var out []announcer.PublishedVersion
	for _, model := range v.DesiredModels() {
		ds := v.DesiredVersions(model)
		for i := len(ds) - 1; i >= 0; i-- {
			isObserved := ds[i].Source == cataloger.Observed
			if i == len(ds)-1 && (!isObserved || ds[i].PublishedAt < oldest) {
				break
			}
			p := announcer.PublishedVersion{Model: model, Version: ds[i].Version, Age: -1}
			if isObserved {
				p.Age = now - ds[i].PublishedAt
			}
			out = append(out, p)
			if !isObserved || ds[i].PublishedAt < oldest {
				break
			}
		}
	}
	return out
}

// mergePublishTimes applies the publish times that another instance announced.
func (s *Server) mergePublishTimes(ctx context.Context, ps []announcer.PublishedVersion) {
	if len(ps) == 0 {
		return
	}
	now := clocker.SinceBoot()
	merge := func(v *cataloger.View) *cataloger.View {
		for _, p := range ps {
			at := cataloger.UnknownTime
			if p.Age >= 0 {
				at = now - p.Age
			}
			v = v.WithPublishTime(p.Model, p.Version, at)
		}
		return v
	}
	if v := s.Watcher.View(); merge(v) != v {
		s.Watcher.Apply(ctx, merge)
	}
}

// isPast reports whether weights have been superseded for at least a limit. Those of the desired version never are.
func isPast(superseded, limit time.Duration) bool { return superseded > 0 && superseded >= limit }
