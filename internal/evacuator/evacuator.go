// Package evacuator decides which targets a call may use by their data centres.
//
// The operator may evacuate a data centre: no further calls are sent to its
// targets. Routes and client accounts may have homes: their calls are sent only to
// targets in these regions. Both hold even if no other target is left. [Choose]
// decides from the view and the call alone, so that all instances with the same
// records decide the same, and the decision takes effect with the next attempt.
//
// # Load pattern
//
// A third of the targets goes away at once, because their data centre is
// evacuated, and comes back at once when the evacuation ends. In between, the
// remaining targets get all calls, and calls whose homes hold no other target are
// refused before they wait for anything.
//
// # Usage
//
//	homes := evacuator.HomesOf(route, account)
//	c := evacuator.Choose(view, targets, homes, regions)
//	for _, t := range c.Targets { ... } // may get the call
package evacuator

import (
	"slices"

	"github.com/papayaworks/papayaworks/internal/cataloger"
)

// Reason says why a target must not get a call.
type Reason string

// Reasons for which a target gets no call.
const (
	// ReasonEvacuated is that the target's data centre is evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonHome is that the target lies in no home of the call.
	ReasonHome Reason = "home"
)

// Regions maps data centres to regions. A data centre without a region is in no home.
type Regions map[string]string

// Homes are the lists of regions that bind a call; the zero value is no restriction.
type Homes struct{ route, account []string }

// HomesOf returns the homes of a call. A nil list is no restriction, an empty one allows no region. The account may be nil.
func HomesOf(r *cataloger.Route, a *cataloger.Account) Homes {
	h := Homes{route: r.Homes}
	if a != nil {
		h.account = a.Homes
	}
	return h
}

// IsRestricted reports whether any region is not allowed.
func (h Homes) IsRestricted() bool { return h.route != nil || h.account != nil }

// Allow reports whether a data centre lies in a home of the call.
func (h Homes) Allow(dc string, regions Regions) bool {
	if !h.IsRestricted() {
		return true
	}
	region := regions[dc]
	return region != "" && (h.route == nil || slices.Contains(h.route, region)) && (h.account == nil || slices.Contains(h.account, region))
}

// Choice divides targets by whether they may get a call.
type Choice struct {
	// Targets may get the call. The caller must not modify the slice.
	Targets []*cataloger.Target
	// Evacuated are the targets in evacuated data centres, Outside the others that are in no home of the call.
	Evacuated, Outside []*cataloger.Target
}

// Choose divides the targets for a call with the given homes.
func Choose(v *cataloger.View, targets []*cataloger.Target, h Homes, regions Regions) Choice {
	if len(v.Evacuated()) == 0 && !h.IsRestricted() {
		return Choice{Targets: targets}
	}
	c := Choice{Targets: make([]*cataloger.Target, 0, len(targets))}
	for _, t := range targets {
		switch {
		case v.IsEvacuated(t.DataCentre):
			c.Evacuated = append(c.Evacuated, t)
		case !h.Allow(t.DataCentre, regions):
			c.Outside = append(c.Outside, t)
		default:
			c.Targets = append(c.Targets, t)
		}
	}
	return c
}
