// Package charter interprets state charts, that is, finite state machines.
//
// The lifecycle of each kind of entity (a request, an intent, a stream, a target,
// a peer, a lease, a swap) is a chart in charts/*.toml: its states, the events
// that cause transitions between them, and its final states. The program holds a
// [Machine] for each entity and feeds it events. An event for which the current
// state has no transition is an error and leaves the state unchanged.
//
// Charts are validated when they are loaded: every state must be reachable, a
// state without transitions must be final, and unless the chart is marked as
// cyclic, a final state must be reachable from every state.
//
// # Usage
//
//	chart, err := charter.Load("lease")
//	m := chart.Start()
//	m, err = m.Next("requested")
//	m.State() // "requested"
package charter

import (
	"embed"
	"fmt"
	"slices"
	"sync"

	"github.com/BurntSushi/toml"

	"github.com/papayaworks/papayaworks/internal/failer"
)

//go:embed charts/*.toml
var chartFiles embed.FS

// State is the name of a state of a chart.
type State string

// Event is the name of an event of a chart.
type Event string

// Transition is the change from one state to another on an event.
type Transition struct {
	From  State `toml:"from"`
	Event Event `toml:"event"`
	To    State `toml:"to"`
}

// Chart is an immutable state chart.
type Chart struct {
	Name        string       `toml:"name"`
	Initial     State        `toml:"initial"`
	Final       []State      `toml:"final"`
	Cyclic      bool         `toml:"cyclic"`
	Transitions []Transition `toml:"transitions"`

	next map[State]map[Event]State
}

// Parse decodes and validates a chart.
func Parse(text string) (*Chart, error) {
	c := new(Chart)
	meta, err := toml.Decode(text, c)
	if err != nil {
		return nil, failer.Wrap(err, "decode chart", "", "parse")
	}
	if un := meta.Undecoded(); len(un) > 0 {
		return nil, failer.New("chart %q has the unknown key %q", c.Name, un[0].String())
	}
	if err := c.buildIndex(); err != nil {
		return nil, err
	}
	return c, c.validate()
}

var chartCache sync.Map

// Load returns the embedded chart with the name. Charts are parsed once and cached.
func Load(name string) (*Chart, error) {
	if c, ok := chartCache.Load(name); ok {
		return c.(*Chart), nil
	}
	text, err := chartFiles.ReadFile("charts/" + name + ".toml")
	if err != nil {
		return nil, failer.Wrap(err, "read chart", "", "load")
	}
	c, err := Parse(string(text))
	if err != nil {
		return nil, err
	}
	chartCache.Store(name, c)
	return c, nil
}

// MustLoad is like Load but panics on an error.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of the embedded charts.
func Names() []string {
	entries, err := chartFiles.ReadDir("charts")
	if err != nil {
		panic(err) // unreachable: the directory is embedded
	}
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.Name()[:len(e.Name())-len(".toml")]
	}
	return out
}

func (c *Chart) buildIndex() error {
	c.next = map[State]map[Event]State{}
	for _, t := range c.Transitions {
		if c.next[t.From] == nil {
			c.next[t.From] = map[Event]State{}
		}
		if _, ok := c.next[t.From][t.Event]; ok {
			return failer.New("chart %q has two transitions from %q on %q", c.Name, t.From, t.Event)
		}
		c.next[t.From][t.Event] = t.To
	}
	return nil
}

// validate reports an unreachable state, a state without transitions that is not final, and, unless the chart is cyclic, a
// state from which no final state can be reached.
func (c *Chart) validate() error {
	reachable := c.reachableFrom(c.Initial)
	for _, s := range c.States() {
		if !slices.Contains(reachable, s) {
			return failer.New("chart %q: state %q is unreachable", c.Name, s)
		}
		if len(c.next[s]) == 0 && !slices.Contains(c.Final, s) {
			return failer.New("chart %q: state %q has no transitions and is not final", c.Name, s)
		}
		if !c.Cyclic && !slices.ContainsFunc(c.reachableFrom(s), func(r State) bool { return slices.Contains(c.Final, r) }) {
			return failer.New("chart %q: no final state is reachable from %q", c.Name, s)
		}
	}
	return nil
}

// reachableFrom returns the states that can be reached from s, including s.
func (c *Chart) reachableFrom(s State) []State {
	out := []State{s}
	for i := 0; i < len(out); i++ {
		for _, to := range c.next[out[i]] {
			if !slices.Contains(out, to) {
				out = append(out, to)
			}
		}
	}
	return out
}

// States returns all states of the chart in the order of their first occurrence.
func (c *Chart) States() []State {
	out := []State{c.Initial}
	for _, t := range c.Transitions {
		for _, s := range []State{t.From, t.To} {
			if !slices.Contains(out, s) {
				out = append(out, s)
			}
		}
	}
	for _, s := range c.Final {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// Start returns a machine in the initial state.
func (c *Chart) Start() Machine { return Machine{chart: c, state: c.Initial} }

// MachineAt returns a machine in state s, for states that come from outside, such as a target's report.
func (c *Chart) MachineAt(s State) (Machine, error) {
	if !slices.Contains(c.States(), s) {
		return Machine{}, failer.New("chart %q has no state %q", c.Name, s)
	}
	return Machine{chart: c, state: s}, nil
}

// Machine is the current state of one entity in its chart. It is an immutable value.
type Machine struct {
	chart *Chart
	state State
}

// State returns the current state.
func (m Machine) State() State { return m.state }

// In reports whether the machine is in one of the states.
func (m Machine) In(states ...State) bool { return slices.Contains(states, m.state) }

// Final reports whether the machine is in a final state.
func (m Machine) Final() bool { return slices.Contains(m.chart.Final, m.state) }

// Can reports whether the current state has a transition for the event.
func (m Machine) Can(e Event) bool {
	_, ok := m.chart.next[m.state][e]
	return ok
}

// Next returns the machine after the event. Without a transition for it, Next returns m and a [*TransitionError].
func (m Machine) Next(e Event) (Machine, error) {
	to, ok := m.chart.next[m.state][e]
	if !ok {
		return m, &TransitionError{Chart: m.chart.Name, State: m.state, Event: e}
	}
	return Machine{chart: m.chart, state: to}, nil
}

// TransitionError reports an event for which the current state has no transition.
type TransitionError struct {
	Chart string
	State State
	Event Event
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %q: state %q has no transition for event %q", e.Chart, e.State, e.Event)
}
