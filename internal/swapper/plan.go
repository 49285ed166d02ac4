package swapper

import (
	"cmp"
	"slices"

	"github.com/papayaworks/papayaworks/internal/charter"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// MaxConcurrentLoads is the maximum number of targets that load weights at the same time; the weight store slows down
	// above it.
	MaxConcurrentLoads = 2
	// At least three quarters of the targets of a model stay in service during a swap; below four targets, all but one.
	minServingNumerator, minServingDenominator = 3, 4
)

// States of the state chart "swap".
const (
	stateServing  charter.State = "serving"
	stateDraining charter.State = "draining"
	stateDrained  charter.State = "drained"
	stateLoading  charter.State = "loading"
	stateLoaded   charter.State = "loaded"
)

// Events of the state chart "swap" that are caused by commands.
const (
	eventDrain   charter.Event = "drain"
	eventLoad    charter.Event = "load"
	eventResumed charter.Event = "resumed"
)

// Report is the configuration of a target and the state that it reported.
type Report struct {
	Target configurer.Target
	State  dialer.EngineState
	// Reachable reports whether the target responded.
	Reachable bool
	// Leaving reports whether the target's machine is about to leave or the configuration takes the target out of service.
	Leaving bool
}

// Command is a planned command to a target. Kind is one of the command kinds of package dialer; Version is set for a load
// only. Reason is written to the recorder.
type Command struct {
	Target  configurer.Target
	Kind    string
	Model   string
	Version int64
	Reason  string
}

// MinServing returns how many of the n targets of a model must stay in service during a swap.
func MinServing(n int) int {
	if n <= 1 {
		return 0 // the weights of a single target cannot be swapped without an interruption
	}
	return min(n-1, (n*minServingNumerator+minServingDenominator-1)/minServingDenominator)
}

// stateOf derives the state of a target in the chart from its report.
func stateOf(r Report, model string, desired int64) charter.State {
	loaded := r.State.Versions[model] == desired
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

// Plan returns the next commands that bring the targets of a model to the desired weight version; loading is the number of
// targets of all models that load already. It depends only on its arguments, so that a new lease holder continues where
// the last one stopped.
func Plan(model configurer.Model, reports []Report, loading int) []Command {
	reports = slices.Clone(reports)
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	chart := charter.MustLoad("swap")
	var out []Command
	add := func(r Report, e charter.Event, s charter.State, c Command) {
		m, err := chart.MachineAt(s)
		if err == nil && m.Can(e) {
			c.Target, c.Model = r.Target, model.Name
			out = append(out, c)
		}
	}
	serving, swapping := countServing(model, reports)
	spare := serving - MinServing(serving+swapping)
	for _, r := range reports {
		if !r.Reachable || r.Leaving {
			continue
		}
		s := stateOf(r, model.Name, model.Version)
		stale := r.State.Versions[model.Name] != model.Version
		switch {
		case s == stateLoaded, s == stateDraining && !stale:
			add(r, eventResumed, s, Command{Kind: dialer.CommandResume, Reason: "the wanted version is loaded"})
		case s == stateDrained && stale && loading < MaxConcurrentLoads:
			loading++
			add(r, eventLoad, s, Command{Kind: dialer.CommandLoad, Version: model.Version, Reason: "the target is drained"})
		case s == stateServing && stale && spare > 0 && swapping < MaxConcurrentLoads:
			spare--
			swapping++
			add(r, eventDrain, s, Command{Kind: dialer.CommandDrain, Reason: "another version is wanted"})
		}
	}
	return out
}

// countServing counts the targets in service and those out of service for a swap. Unreachable and leaving targets count as
// neither.
func countServing(model configurer.Model, reports []Report) (serving, swapping int) {
	for _, r := range reports {
		if !r.Reachable || r.Leaving {
			continue
		}
		if stateOf(r, model.Name, model.Version) == stateServing {
			serving++
		} else {
			swapping++
		}
	}
	return serving, swapping
}
