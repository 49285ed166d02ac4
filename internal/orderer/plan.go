package orderer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

const (
	// maxSwapping is the share of a service's targets that take new weights together: more load slowly at the weight store,
	// and the others carry the load.
	maxSwapping = 0.17
	// swapTime is how long a target is taken to be swapping without a word from it.
	swapTime = 2500 * time.Millisecond
)

// Work is one target that shall take new weights.
type Work struct {
	Target  *cataloger.Target
	Model   string
	Version int64
}

// Swapping are the targets that were ordered to take new weights, with the time until which each is taken to be busy with
// it.
type Swapping map[string]time.Duration

// Busy reports whether a target is taken to be swapping.
func (s Swapping) Busy(id string, now time.Duration) bool {
	until, ok := s[id]
	return ok && now < until
}

// Pending returns the targets whose weights are older than those that were named.
func Pending(v *cataloger.View, versionOf func(*cataloger.Target, string) int64) []Work {
	var out []Work
	for _, model := range v.DesiredModels() {
		named, _ := v.DesiredVersion(model)
		for _, id := range v.TargetIDs() {
			t, ok := v.Target(id)
			if !ok || t.Leaving {
				continue
			}
			if _, has := t.Versions[model]; has && versionOf(t, model) < named.Version {
				out = append(out, Work{Target: t, Model: model, Version: named.Version})
			}
		}
	}
	return out
}

// Next returns the work to begin with now: as much as leaves enough targets of each service, and no target that is
// swapping already.
func Next(v *cataloger.View, pending []Work, swapping Swapping, now time.Duration) []Work {
	busy := map[string]int{}
	for id := range swapping {
		if t, ok := v.Target(id); ok && swapping.Busy(id, now) {
			busy[t.Service]++
		}
	}
	pending = slices.Clone(pending)
	slices.SortFunc(pending, func(a, b Work) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	var out []Work
	for _, w := range pending {
		id, service := w.Target.ID, w.Target.Service
		if swapping.Busy(id, now) {
			continue
		}
		if float64(busy[service]) < math.Round(max(1, maxSwapping*float64(len(v.Targets(service))))) {
			busy[service]++
			out = append(out, w)
		}
	}
	return out
}
