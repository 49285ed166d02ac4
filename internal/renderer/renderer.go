// Package renderer encodes structures as TOML with comments.
//
// The keys come from the fields' toml tags, in the order of the fields, except
// that the values of a table come before its tables and arrays of tables. The
// output is deterministic, so that generated files can be compared and committed.
//
// # Usage
//
//	r := &renderer.Renderer{LeadComment: question, LineComment: source}
//	text := r.Render(&answers)
package renderer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode"
)

// commentWidth is the column at which lead comments are wrapped.
const commentWidth = 100

// Renderer encodes structures; the zero value writes no comments.
type Renderer struct {
	// LeadComment returns the comment above a key or a table header; path includes the indices of list elements.
	LeadComment func(path string, f reflect.StructField) string
	// LineComment returns the comment at the end of a value's line. Characters that are not printable become spaces.
	LineComment func(path string) string
}

// Render returns the structure that v points to as TOML text. It panics if v is not a pointer to a structure.
func (r *Renderer) Render(v any) string {
	p := &printer{r: r}
	p.structure("", "", reflect.ValueOf(v).Elem())
	return strings.TrimLeft(p.b.String(), "\n")
}

type printer struct {
	r *Renderer
	b strings.Builder
}

// structure writes the fields of v. path includes the indices of list elements, table is the same path without them, as in
// TOML headers.
func (p *printer) structure(path, table string, v reflect.Value) {
	for pass := range 2 {
		for i := range v.NumField() {
			f := v.Type().Field(i)
			name := f.Tag.Get("toml")
			if name == "" || isTable(f.Type) != (pass == 1) {
				continue
			}
			p.field(join(path, name), join(table, name), f, v.Field(i))
		}
	}
}

func (p *printer) field(path, table string, f reflect.StructField, v reflect.Value) {
	switch {
	case f.Type.Kind() == reflect.Struct:
		p.header(path, f, "["+table+"]")
		p.structure(path, table, v)
	case isTable(f.Type):
		for i := range v.Len() {
			element := fmt.Sprintf("%s[%d]", path, i)
			p.header(element, f, "[["+table+"]]")
			p.structure(element, table, v.Index(i))
		}
	default:
		p.comment(path, f)
		name := path[strings.LastIndexByte(path, '.')+1:]
		p.b.WriteString(name + " = " + value(v))
		if p.r.LineComment != nil {
			if c := p.r.LineComment(path); c != "" {
				p.b.WriteString(" # " + printable(c))
			}
		}
		p.b.WriteByte('\n')
	}
}

func (p *printer) header(path string, f reflect.StructField, line string) {
	p.b.WriteByte('\n')
	p.comment(path, f)
	p.b.WriteString(line + "\n")
}

func (p *printer) comment(path string, f reflect.StructField) {
	if p.r.LeadComment == nil {
		return
	}
	line := "#"
	for _, word := range strings.Fields(p.r.LeadComment(path, f)) {
		if len(line)+1+len(word) > commentWidth {
			p.b.WriteString(line + "\n")
			line = "#"
		}
		line += " " + word
	}
	if line != "#" {
		p.b.WriteString(line + "\n")
	}
}

// printable replaces characters that a TOML comment must not contain.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return ' '
	}, s)
}

func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct || (t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct)
}

func value(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return quote(v.String())
	case reflect.Float64:
		s := strconv.FormatFloat(v.Float(), 'f', -1, 64)
		if !strings.Contains(s, ".") {
			s += ".0"
		}
		return s
	case reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = value(v.Index(i))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return fmt.Sprint(v.Interface())
}

// quote returns a TOML basic string. TOML uses the escapes of JSON but requires DEL to be escaped as well.
func quote(s string) string {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(s) // encoding a string cannot fail
	return strings.ReplaceAll(strings.TrimSuffix(b.String(), "\n"), "\x7f", `\u007f`)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
