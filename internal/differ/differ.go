// Package differ says what the publication of a configuration would change, in an operator's terms.
//
// Elements of lists are matched by their id or name, so that another order is
// no change. Each change names the key, both values, what it means while the
// system runs, and the accounts and targets that feel it.
//
// # Usage
//
//	r := differ.Compare(inForce, next)
//	r = r.WithLoad(running) // requests in progress at each target, if they are known
package differ

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// The kinds of changes.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// All stands for all accounts or all targets.
const All = "all"

// Change is one difference.
type Change struct {
	Kind    string `json:"kind"`
	Key     string `json:"key"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
	Meaning string `json:"meaning"`
	// Accounts and Targets feel the change; [All] stands for all.
	Accounts []string `json:"accounts,omitempty"`
	Targets  []string `json:"targets,omitempty"`
}

// Report is the difference of two configurations.
type Report struct {
	Changes  []Change `json:"changes"`
	Accounts []string `json:"accounts"`
	Targets  []string `json:"targets"`
	// Requests is how many requests are in progress at the targets that feel the change; nil if it is not known.
	Requests *int `json:"requests,omitempty"`
}

// element is a table of a configuration with the values of its keys.
type element struct {
	kind, id string
	keys     []string
	values   map[string]string
}

// Compare returns what changes from one configuration to the next.
func Compare(from, to *configurer.Config) *Report {
	r := &Report{Changes: []Change{}, Accounts: []string{}, Targets: []string{}}
	before, after := elements(from), elements(to)
	for _, e := range after {
		old, ok := lookup(before, e)
		if !ok {
			r.add(Change{Kind: Added, Key: e.path()}, from, to)
			continue
		}
		for _, name := range e.keys {
			if old.values[name] != e.values[name] {
				r.add(Change{Kind: Changed, Key: e.path() + "." + name, Old: old.values[name], New: e.values[name]}, from, to)
			}
		}
	}
	for _, e := range before {
		if _, ok := lookup(after, e); !ok {
			r.add(Change{Kind: Removed, Key: e.path()}, from, to)
		}
	}
	return r
}

func (r *Report) add(c Change, from, to *configurer.Config) {
	c.Meaning = meaning(c)
	c.Accounts, c.Targets = affected(c, from, to)
	r.Changes = append(r.Changes, c)
	r.Accounts, r.Targets = union(r.Accounts, c.Accounts), union(r.Targets, c.Targets)
}

// union adds names that are not there yet; all covers every name.
func union(names, more []string) []string {
	for _, n := range more {
		if !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	if slices.Contains(names, All) {
		return []string{All}
	}
	return names
}

// WithLoad returns the report with the number of requests in progress at the targets that feel the change.
func (r *Report) WithLoad(running map[string]int) *Report {
	n := *r
	sum := 0
	for id, c := range running {
		if slices.Contains(r.Targets, All) || slices.Contains(r.Targets, id) {
			sum += c
		}
	}
	n.Requests = &sum
	return &n
}

func lookup(es []element, e element) (element, bool) {
	i := slices.IndexFunc(es, func(o element) bool { return o.kind == e.kind && o.id == e.id })
	if i < 0 {
		return element{}, false
	}
	return es[i], true
}

func (e element) path() string {
	if e.id == "" {
		return e.kind
	}
	return e.kind + "[" + e.id + "]"
}

// elements returns the tables of a configuration; those of a nested list carry the parent's id in theirs.
func elements(c *configurer.Config) []element {
	var out []element
	v := reflect.ValueOf(c).Elem()
	for i := range v.NumField() {
		appendElements(&out, v.Type().Field(i).Tag.Get("toml"), "", v.Field(i))
	}
	return out
}

func appendElements(out *[]element, kind, parent string, v reflect.Value) {
	if v.Kind() == reflect.Slice {
		for i := range v.Len() {
			appendTable(out, kind, parent+v.Index(i).Field(0).String(), v.Index(i))
		}
		return
	}
	appendTable(out, kind, "", v)
}

// appendTable adds one table; the first field of an element of a list is its id.
func appendTable(out *[]element, kind, id string, v reflect.Value) {
	e := element{kind: kind, id: id, values: map[string]string{}}
	var nested []int
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			nested = append(nested, i)
			continue
		}
		name := f.Tag.Get("toml")
		e.keys = append(e.keys, name)
		e.values[name] = formatValue(v.Field(i))
	}
	*out = append(*out, e)
	for _, i := range nested {
		appendElements(out, kind+"."+v.Type().Field(i).Tag.Get("toml"), id+"/", v.Field(i))
	}
}

func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.Slice {
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = v.Index(i).String()
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return fmt.Sprint(v.Interface())
}
