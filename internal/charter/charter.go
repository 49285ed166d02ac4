// Package charter interprets state charts.
//
// The lifecycle of each kind of thing (a request, an intent, a stream, a target,
// a peer, a lease, a swap) is a chart in charts/*.toml: its states, the events
// that lead from one to another, and which states are final. The program holds a
// [Machine] for each thing and feeds it events. An event that the present state
// has no transition for is an error and changes nothing.
//
// Charts are checked when they are loaded: every state must be reachable, and a
// state that is not final must have a way out to a final one or be marked as
// cyclic.
//
// # Usage
//
//	chart, err := charter.Load("lease")
//	m := chart.Start()
//	m, err = m.Next("granted")
//	m.State() // "held"
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
var files embed.FS

// State is the name of a state of a chart.
type State string

// Event is the name of an event of a chart.
type Event string

// Transition leads from one state to another.
type Transition struct {
	From  State `toml:"from"`
	Event Event `toml:"event"`
	To    State `toml:"to"`
}

// Chart is one immutable state chart.
type Chart struct {
	Name        string       `toml:"name"`
	Initial     State        `toml:"initial"`
	Final       []State      `toml:"final"`
	Cyclic      bool         `toml:"cyclic"`
	Transitions []Transition `toml:"transitions"`

	next map[State]map[Event]State
}

// Parse decodes and checks a chart.
func Parse(text string) (*Chart, error) {
	c := new(Chart)
	meta, err := toml.Decode(text, c)
	if err != nil {
		return nil, failer.Wrap(err, "decode chart", "", "parse")
	}
	if un := meta.Undecoded(); len(un) > 0 {
		return nil, failer.New("chart %q has the unknown key %q", c.Name, un[0].String())
	}
	if err := c.index(); err != nil {
		return nil, err
	}
	return c, c.check()
}

var loaded sync.Map

// Load returns the embedded chart with the name.
func Load(name string) (*Chart, error) {
	if c, ok := loaded.Load(name); ok {
		return c.(*Chart), nil
	}
	text, err := files.ReadFile("charts/" + name + ".toml")
	if err != nil {
		return nil, failer.Wrap(err, "read chart", "", "load")
	}
	c, err := Parse(string(text))
	if err != nil {
		return nil, err
	}
	loaded.Store(name, c)
	return c, nil
}

// MustLoad is Load for charts that are part of the program.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of the embedded charts.
func Names() []string {
	entries, err := files.ReadDir("charts")
	if err != nil {
		panic(err) // the directory is embedded
	}
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.Name()[:len(e.Name())-len(".toml")]
	}
	return out
}

func (c *Chart) index() error {
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

// check reports unreachable states and states without a way out.
func (c *Chart) check() error {
	reachable := c.reach(c.Initial)
	for _, s := range c.States() {
		if !slices.Contains(reachable, s) {
			return failer.New("chart %q: state %q cannot be reached", c.Name, s)
		}
		if len(c.next[s]) == 0 && !slices.Contains(c.Final, s) {
			return failer.New("chart %q: state %q has no way out and is not final", c.Name, s)
		}
		if !c.Cyclic && !slices.ContainsFunc(c.reach(s), func(r State) bool { return slices.Contains(c.Final, r) }) {
			return failer.New("chart %q: no final state can be reached from %q", c.Name, s)
		}
	}
	return nil
}

// reach returns the states that can be reached from s, with s itself.
func (c *Chart) reach(s State) []State {
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

// States returns every state of the chart in the order of their first mention.
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

// MachineAt returns a machine in a state that was read from outside, such as a target's report.
func (c *Chart) MachineAt(s State) (Machine, error) {
	if !slices.Contains(c.States(), s) {
		return Machine{}, failer.New("chart %q has no state %q", c.Name, s)
	}
	return Machine{chart: c, state: s}, nil
}

// Machine is one thing's place in its chart; it is an immutable value.
type Machine struct {
	chart *Chart
	state State
}

// State returns the present state.
func (m Machine) State() State { return m.state }

// In reports whether the machine is in one of the states.
func (m Machine) In(states ...State) bool { return slices.Contains(states, m.state) }

// Final reports whether the machine is in a final state.
func (m Machine) Final() bool { return slices.Contains(m.chart.Final, m.state) }

// Can reports whether the present state has a transition for the event.
func (m Machine) Can(e Event) bool {
	_, ok := m.chart.next[m.state][e]
	return ok
}

// Next returns the machine after the event; without a transition it returns the same machine and an error.
func (m Machine) Next(e Event) (Machine, error) {
	to, ok := m.chart.next[m.state][e]
	if !ok {
		return m, &TransitionError{Chart: m.chart.Name, State: m.state, Event: e}
	}
	return Machine{chart: m.chart, state: to}, nil
}

// TransitionError reports an event that a state has no transition for.
type TransitionError struct {
	Chart string
	State State
	Event Event
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %q: state %q has no transition for event %q", e.Chart, e.State, e.Event)
}
