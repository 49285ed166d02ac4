package configurer

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// checker compares decoded TOML with the target structure and reports every unknown key and every wrong type in one
// pass. The TOML library stops at the first wrong type and matches keys case-insensitively.
type checker struct {
	// lenient ignores unknown keys.
	lenient bool
	file    string
	faults  Faults
}

func (c *checker) addFault(key string, value any, allowed string) {
	c.faults = append(c.faults, Fault{File: c.file, Key: key, Value: formatValue(value), Allowed: allowed})
}

// formatValue returns a short TOML representation of a value.
func formatValue(v any) string {
	switch v := v.(type) {
	case map[string]any:
		return "a table"
	case []map[string]any:
		return "a list of tables"
	case string:
		return fmt.Sprintf("%q", v)
	}
	return fmt.Sprint(v)
}

// table returns the entries of a table that have the keys and types of the structure t.
func (c *checker) table(path string, in map[string]any, t reflect.Type) map[string]any {
	fields := map[string]reflect.StructField{}
	var known []string
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("toml"); name != "" {
			fields[name], known = t.Field(i), append(known, name)
		}
	}
	out := map[string]any{}
	names := make([]string, 0, len(in))
	for name := range in {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		f, ok := fields[name]
		if !ok {
			if !c.lenient {
				c.addFault(path+name, in[name], "unknown key; must be one of "+strings.Join(known, ", "))
			}
			continue
		}
		if v, ok := c.value(path+name, in[name], f.Type); ok {
			out[name] = v
		}
	}
	return out
}

// entries returns the entries of a table with arbitrary keys whose values have the type t.
func (c *checker) entries(path string, in map[string]any, t reflect.Type) map[string]any {
	out := map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(in)) {
		if v, ok := c.value(path+name, in[name], t); ok {
			out[name] = v
		}
	}
	return out
}

// value returns v without the parts that do not have the type t. It reports false if v itself does not have the type or is an
// empty list of tables.
func (c *checker) value(path string, v any, t reflect.Type) (any, bool) {
	ok := false
	switch t.Kind() {
	case reflect.Struct:
		if m, isMap := v.(map[string]any); isMap {
			return c.table(path+".", m, t), true
		}
	case reflect.Map:
		if m, isMap := v.(map[string]any); isMap {
			return c.entries(path+".", m, t.Elem()), true
		}
	case reflect.Slice:
		return c.list(path, v, t)
	case reflect.String:
		_, ok = v.(string)
	case reflect.Bool:
		_, ok = v.(bool)
	case reflect.Float64:
		if n, isInt := v.(int64); isInt {
			return float64(n), true
		}
		_, ok = v.(float64)
	default:
		_, ok = v.(int64)
	}
	if !ok {
		c.addFault(path, v, "must be "+kindName(t))
	}
	return v, ok
}

// list returns the elements that have the right type. In a list of tables, an element of the wrong type is replaced by an
// empty table, so that the indices of later elements do not change.
func (c *checker) list(path string, v any, t reflect.Type) (any, bool) {
	rv := reflect.ValueOf(v)
	if rv.Kind() != reflect.Slice {
		c.addFault(path, v, "must be "+kindName(t))
		return nil, false
	}
	tables, values := []map[string]any{}, []any{}
	for i := range rv.Len() {
		e, ok := c.value(fmt.Sprintf("%s[%d]", path, i), rv.Index(i).Interface(), t.Elem())
		if t.Elem().Kind() == reflect.Struct {
			m, _ := e.(map[string]any)
			tables = append(tables, m)
		} else if ok {
			values = append(values, e)
		}
	}
	if t.Elem().Kind() == reflect.Struct {
		return tables, len(tables) > 0
	}
	return values, true
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "a table"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct {
			return "a list of tables"
		}
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
