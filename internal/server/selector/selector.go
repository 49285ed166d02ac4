// Package selector is the step that chooses where a request runs.
//
// # Usage
//
//	s := &selector.Step{}
package selector

import (
	"context"
	"net/http"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/server/identifier"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// Step selects targets.
type Step struct{}

// String names the step.
func (s *Step) String() string { return "route" }

// Default has nothing to take from the configuration.
func (s *Step) Default(*configurer.Config) {}

// Run selects the target.
func (s *Step) Run(_ context.Context, r *request.Request) error {
	if r.Call != nil {
		return selectService(r)
	}
	if r.Resume != nil {
		t, ok := r.View.Target(r.Resume.Target)
		if !ok {
			return request.Fail(http.StatusGone, request.CodeRunLost, "target of the stream is gone")
		}
		r.Target, r.Run, r.Reason = t, r.Resume.Run, "stream position names the target"
		return nil
	}
	model, _ := r.View.Config.Model(r.Chat.Model)
	identifier.SetScope(r, model.Version)
	t := home(r.Anchor, r.View.Engines(r.Chat.Model), r.View.DataCentre)
	if t == nil {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "no target serves model %q", r.Chat.Model)
	}
	if v := t.Version(r.Chat.Model); v != 0 {
		identifier.SetScope(r, v)
	}
	r.Target, r.Reason = t, "home of the conversation"
	return nil
}

func selectService(r *request.Request) error {
	t := home(keyer.Key{}, r.View.Services(r.Call.Service), r.View.DataCentre)
	if t == nil {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "no target offers service %q", r.Call.Service)
	}
	r.Target, r.Reason = t, "first usable"
	return nil
}

// home returns the usable target with the highest weight for the key, in the own data centre if there is one.
func home(k keyer.Key, ts []*view.Target, dataCentre string) *view.Target {
	var best *view.Target
	var bestLocal bool
	var bestWeight uint64
	for _, t := range ts {
		if !t.Usable() {
			continue
		}
		local, w := t.DataCentre == dataCentre, keyer.Weight(k, t.ID)
		if best == nil || (local && !bestLocal) || (local == bestLocal && w > bestWeight) {
			best, bestLocal, bestWeight = t, local, w
		}
	}
	return best
}
