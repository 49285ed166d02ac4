// Package documenter generates the reference page of the settings and the configuration from their types.
//
// The keys, descriptions and defaults come from the struct tags and the defaults
// of package configurer, so that the page matches what the program accepts. A
// test compares the committed page with the generated one.
//
// # Usage
//
//	go test ./internal/documenter -run TestConfigurationPage -update
package documenter

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const introduction = `# Settings and configuration

An instance reads its **settings** once, from the file given to ` + "`papayaworks run --config`" + `. The **configuration** belongs to
the whole deployment: it is published on the platform's log, and every instance adopts the same version. Both are TOML
with camelCase keys. An unknown key, a wrong type and a value out of range are errors, and all of them are reported at
once, each with file and line, key, value and what is allowed (` + "`papayaworks check`" + `).

Operators write neither by hand: both are made from the questionnaire (` + "`papayaworks generate`" + `).

This page is generated: ` + "`go test ./internal/documenter -run TestConfigurationPage -update`" + ` rewrites it.
`

// Page returns the text of docs/configuration.md.
func Page() string {
	var b strings.Builder
	b.WriteString(introduction)
	s := new(configurer.Settings)
	s.SetDefaults()
	section(&b, "Settings of an instance", reflect.ValueOf(s).Elem())
	c := &configurer.Config{
		DataCentres: make([]configurer.DataCentre, 1), Models: make([]configurer.Model, 1), Stores: make([]configurer.Store, 1),
		Targets: make([]configurer.Target, 1), Accounts: make([]configurer.Account, 1),
		Services: []configurer.Service{{Operations: make([]configurer.Operation, 1)}},
	}
	c.SetDefaults()
	section(&b, "Published configuration", reflect.ValueOf(c).Elem())
	return b.String()
}

// section writes a section with the tables of a structure; the values of v are the defaults.
func section(b *strings.Builder, title string, v reflect.Value) {
	fmt.Fprintf(b, "\n## %s\n", title)
	var rows []string
	for i := range v.NumField() {
		if f := v.Type().Field(i); !isTable(f.Type) {
			rows = append(rows, row(f, v.Field(i)))
		}
	}
	if len(rows) > 0 {
		writeRows(b, rows)
	}
	tables(b, "", v)
}

// tables writes the tables in v, each followed by its nested tables.
func tables(b *strings.Builder, parent string, v reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !isTable(f.Type) {
			continue
		}
		name, value := parent+f.Tag.Get("toml"), v.Field(i)
		title := "[" + name + "]"
		if f.Type.Kind() == reflect.Slice {
			title, value = "["+title+"]", value.Index(0)
		}
		fmt.Fprintf(b, "\n### `%s`\n\n%s\n", title, f.Tag.Get("comment"))
		var rows []string
		for j := range value.NumField() {
			if k := value.Type().Field(j); !isTable(k.Type) {
				rows = append(rows, row(k, value.Field(j)))
			}
		}
		writeRows(b, rows)
		tables(b, name+".", value)
	}
}

// writeRows writes a Markdown table with a header.
func writeRows(b *strings.Builder, rows []string) {
	b.WriteString("\n| key | type | default | meaning |\n|---|---|---|---|\n" + strings.Join(rows, ""))
}

func row(f reflect.StructField, v reflect.Value) string {
	return fmt.Sprintf("| `%s` | %s | %s | %s |\n", f.Tag.Get("toml"), typeName(f.Type), defaultText(v), f.Tag.Get("comment"))
}

func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct || (t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct)
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		return "list of " + typeName(t.Elem()) + "s"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "string"
	}
	return "whole number"
}

// defaultText returns the default of a key for the page; it is empty for zero values other than false.
func defaultText(v reflect.Value) string {
	switch {
	case v.Kind() == reflect.Bool:
		return fmt.Sprint(v.Bool())
	case v.IsZero():
		return ""
	}
	return fmt.Sprintf("`%v`", v.Interface())
}
