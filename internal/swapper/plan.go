package swapper

import (
	"cmp"
	"slices"

	"github.com/papayaworks/papayaworks/internal/charter"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// MaxConcurrentLoads is how many targets load weights at once; the weight store slows down above it.
	MaxConcurrentLoads = 2
	// floorNumerator and floorDenominator give the share of a model's targets that keep serving: three quarters.
	floorNumerator, floorDenominator = 3, 4
)

// The states of the chart "swap".
const (
	stateServing  charter.State = "serving"
	stateDraining charter.State = "draining"
	stateDrained  charter.State = "drained"
	stateLoading  charter.State = "loading"
	stateLoaded   charter.State = "loaded"
)

// The events of the chart "swap" that are orders.
const (
	eventDrain   charter.Event = "drain"
	eventLoad    charter.Event = "load"
	eventResumed charter.Event = "resumed"
)

// Report is one target's configuration with the state that it reported.
type Report struct {
	Target configurer.Target
	State  dialer.EngineState
	// Reachable is false if the target did not answer.
	Reachable bool
	// Leaving: the target's machine is leaving, or the operator wants it drained.
	Leaving bool
}

// Command is one order to one target.
type Command struct {
	Target  configurer.Target
	Kind    string
	Model   string
	Version int64
	Reason  string
}

// MinServing returns how many of n targets of a model must keep serving during a swap.
func MinServing(n int) int {
	if n <= 1 {
		return 0 // a single target cannot be swapped without a gap
	}
	return min(n-1, (n*floorNumerator+floorDenominator-1)/floorDenominator)
}

// stateOf derives a target's place in the chart from its report.
func stateOf(r Report, model string, wanted int64) charter.State {
	loaded := r.State.Versions[model] == wanted
	switch {
	case r.State.Loading:
		return stateLoading
	case !r.State.Draining:
		return stateServing
	case loaded:
		return stateLoaded
	case r.State.Running > 0:
		return stateDraining
	}
	return stateDrained
}

// Plan returns the orders that bring the targets of a model nearer to the wanted version. It looks at
// nothing but the reports and the configuration, so that a new controller goes on where another one stopped.
func Plan(model configurer.Model, reports []Report, loading int) []Command {
	reports = slices.Clone(reports)
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	chart := charter.MustLoad("swap")
	var out []Command
	order := func(r Report, e charter.Event, s charter.State, a Command) {
		m, err := chart.At(s)
		if err == nil && m.Can(e) {
			a.Target, a.Model = r.Target, model.Name
			out = append(out, a)
		}
	}
	serving, away := census(model, reports)
	spare := serving - MinServing(serving+away)
	for _, r := range reports {
		if !r.Reachable || r.Leaving {
			continue
		}
		s := stateOf(r, model.Name, model.Version)
		stale := r.State.Versions[model.Name] != model.Version
		switch {
		case s == stateLoaded, s == stateDraining && !stale:
			order(r, eventResumed, s, Command{Kind: dialer.OrderResume, Reason: "the wanted version is loaded"})
		case s == stateDrained && stale && loading < MaxConcurrentLoads:
			loading++
			order(r, eventLoad, s, Command{Kind: dialer.OrderLoad, Version: model.Version, Reason: "the target is drained"})
		case s == stateServing && stale && spare > 0 && away < MaxConcurrentLoads:
			spare--
			away++
			order(r, eventDrain, s, Command{Kind: dialer.OrderDrain, Reason: "another version is wanted"})
		}
	}
	return out
}

// census counts the targets that serve and those that are away for a swap.
func census(model configurer.Model, reports []Report) (serving, away int) {
	for _, r := range reports {
		if !r.Reachable || r.Leaving {
			continue
		}
		if stateOf(r, model.Name, model.Version) == stateServing {
			serving++
		} else {
			away++
		}
	}
	return serving, away
}
