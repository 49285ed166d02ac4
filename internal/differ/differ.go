// Package differ compares two configurations and describes the effect of each change for an operator.
//
// List elements are matched by ID or name, so that reordering is not a change.
// Each change has the key, both values, its effect on the running system and the
// affected accounts and targets.
//
// # Usage
//
//	r := differ.Compare(inForce, next)
//	r = r.WithLoad(running) // adds the requests in progress, if they are known for each target
package differ

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// Kinds of changes.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// All stands for all accounts or all targets in a [Change] or [Report].
const All = "all"

// Change is one difference between two configurations.
type Change struct {
	Kind    string `json:"kind"`
	Key     string `json:"key"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
	Meaning string `json:"meaning"`
	// Accounts and Targets are those affected by the change, or only [All].
	Accounts []string `json:"accounts,omitempty"`
	Targets  []string `json:"targets,omitempty"`
}

// Report lists the differences between two configurations.
type Report struct {
	Changes  []Change `json:"changes"`
	Accounts []string `json:"accounts"`
	Targets  []string `json:"targets"`
	// Requests is the number of requests in progress at the affected targets; nil if it is unknown.
	Requests *int `json:"requests,omitempty"`
}

// element is a table of a configuration with its keys in order and their values as text. The kind is the TOML path without
// indices, such as services.operations; id is empty if the table is not an element of a list.
type element struct {
	kind, id string
	keys     []string
	values   map[string]string
}

// Compare returns the changes between two configurations.
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

// union merges two lists of names; if either contains [All], it is the only element of the result.
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

// WithLoad returns a copy of the report with the number of requests in progress at the affected targets; running has the
// number of each target by ID.
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

// elements returns the tables of a configuration. The ID of an element of a nested list is prefixed with its parent's ID.
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

// appendTable appends a table and its nested tables; the first field of a list element is its ID.
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
