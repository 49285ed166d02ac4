package forwarder

import (
	"context"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/clocker"
)

// publishAnnounceFactor is how long a published weight version is announced, in grace periods of superseded weights. Weights
// that were superseded before that are past their grace period at every instance.
const publishAnnounceFactor = 2

// recentVersions returns the recently published weight versions of each model, with the last one before them, so that
// instances that started or read a version later know for how long older ones have been superseded.
func (s *Server) recentVersions() []announcer.PublishedVersion {
	v, now := s.Watcher.View(), clocker.SinceBoot()
	oldest := now - publishAnnounceFactor*s.settings().SupersededGrace
	var out []announcer.PublishedVersion
	for _, model := range v.DesiredModels() {
		ds := v.DesiredVersions(model)
		if ds[len(ds)-1].PublishedAt < oldest {
			continue
		}
		for i := len(ds) - 1; i >= 0; i-- {
			p := announcer.PublishedVersion{Model: model, Version: ds[i].Version, Age: -1}
			if ds[i].PublishedAt != cataloger.UnknownTime {
				p.Age = now - ds[i].PublishedAt
			}
			out = append(out, p)
			if ds[i].PublishedAt < oldest {
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
