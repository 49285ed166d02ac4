package updater

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

const (
	// maxSwappingShare is the share of a service's targets that swap weights at the same time: the weight store slows down if
	// more of them load weights, and the remaining targets have to carry the load.
	maxSwappingShare = 0.17
	// swapTimeout is how long a target is assumed to be swapping without an update from it.
	swapTimeout = 2500 * time.Millisecond
)

// Update is a target with the weight version of a model that it should swap to.
type Update struct {
	Target  *cataloger.Target
	Model   string
	Version int64
}

// Swapping holds the targets that received a weight-update command, with the time until which each is assumed to be swapping.
type Swapping map[string]time.Duration

// Contains reports whether a target is assumed to be swapping.
func (s Swapping) Contains(id string, now time.Duration) bool {
	until, ok := s[id]
	return ok && now < until
}

// PendingUpdates returns the targets whose weights are older than the desired version, without those that are leaving.
func PendingUpdates(v *cataloger.View, versionOf func(*cataloger.Target, string) int64) []Update {
	var out []Update
	for _, model := range v.DesiredModels() {
		desired, _ := v.DesiredVersion(model)
		for _, id := range v.TargetIDs() {
			t, ok := v.Target(id)
			if !ok || t.Leaving {
				continue
			}
			if _, has := t.Versions[model]; has && versionOf(t, model) < desired.Version {
				out = append(out, Update{Target: t, Model: model, Version: desired.Version})
			}
		}
	}
	return out
}

// NextUpdates returns the pending updates to start now. At most maxSwappingShare of the targets of a service, rounded and at
// least one, swap at the same time. Targets whose last update attempt is the oldest come first, so that targets which do not
// respond to commands do not delay the others; attemptedAt holds the times of these attempts.
func NextUpdates(v *cataloger.View, pending []Update, swapping Swapping, attemptedAt map[string]time.Duration, now time.Duration) []Update {
	swappingCount := map[string]int{}
	for id := range swapping {
		if t, ok := v.Target(id); ok && swapping.Contains(id, now) {
			swappingCount[t.Service]++
		}
	}
	pending = slices.Clone(pending)
	slices.SortFunc(pending, func(a, b Update) int {
		return cmp.Or(cmp.Compare(attemptedAt[a.Target.ID], attemptedAt[b.Target.ID]), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	var out []Update
	for _, up := range pending {
		id, service := up.Target.ID, up.Target.Service
		if swapping.Contains(id, now) {
			continue
		}
		if float64(swappingCount[service]) < math.Round(max(1, maxSwappingShare*float64(len(v.Targets(service))))) {
			swappingCount[service]++
			out = append(out, up)
		}
	}
	return out
}
