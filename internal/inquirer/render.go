package inquirer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// leadingColumns are the first columns of a table, in this order.
var leadingColumns = []string{"id", "name", "dataCentre", "kind", "state", "address"}

// Text formats the status as text: totals, then every field of the page.
func (s *Status) Text() string {
	var b strings.Builder
	s.totals(&b)
	var lists, tables []string
	for _, name := range slices.Sorted(maps.Keys(s.Fields)) {
		switch s.Fields[name].(type) {
		case []any:
			lists = append(lists, name)
		case map[string]any:
			tables = append(tables, name)
		default:
			fmt.Fprintf(&b, "%s: %s\n", name, cell(s.Fields[name]))
		}
	}
	for _, name := range tables {
		writeTable(&b, name, s.Fields[name].(map[string]any))
	}
	for _, name := range lists {
		writeList(&b, name, s.Fields[name].([]any))
	}
	return b.String()
}

// totals writes the configuration versions by instance, and the numbers of instances and targets by data centre.
func (s *Status) totals(b *strings.Builder) {
	fmt.Fprintf(b, "configuration version %d in force at: %s\n", s.ConfigVersion, s.Instance)
	byVersion := map[int64][]string{}
	for _, m := range s.Members {
		if m.ID != s.Instance && m.State != "dead" && m.State != "left" {
			byVersion[m.ConfigVersion] = append(byVersion[m.ConfigVersion], m.ID)
		}
	}
	for _, v := range slices.Sorted(maps.Keys(byVersion)) {
		fmt.Fprintf(b, "configuration version %d last seen at: %s\n", v, strings.Join(byVersion[v], ", "))
	}
	centres := map[string][2]int{}
	for i, field := range []string{"members", "targets"} {
		list, _ := s.Fields[field].([]any)
		for _, e := range list {
			m, _ := e.(map[string]any)
			if dc, ok := m["dataCentre"].(string); ok {
				n := centres[dc]
				n[i]++
				centres[dc] = n
			}
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(centres)) {
		fmt.Fprintf(b, "data centre %s: %d instances, %d targets\n", dc, centres[dc][0], centres[dc][1])
	}
}

// writeTable writes an object with one line per field.
func writeTable(b *strings.Builder, name string, m map[string]any) {
	flat := map[string]string{}
	flatten(flat, "", m)
	fmt.Fprintf(b, "\n%s\n", name)
	for _, k := range slices.Sorted(maps.Keys(flat)) {
		fmt.Fprintf(b, "  %s: %s\n", k, flat[k])
	}
}

// writeList writes a list as a table: objects with one column per field, other values in one column.
func writeList(b *strings.Builder, name string, list []any) {
	fmt.Fprintf(b, "\n%s (%d)\n", name, len(list))
	rows := make([]map[string]string, len(list))
	columns := map[string]bool{}
	for i, e := range list {
		rows[i] = map[string]string{}
		if m, ok := e.(map[string]any); ok {
			flatten(rows[i], "", m)
		} else {
			rows[i]["value"] = cell(e)
		}
		for k := range rows[i] {
			columns[k] = true
		}
	}
	order := slices.SortedFunc(maps.Keys(columns), func(a, b string) int {
		return rank(a) - rank(b) + strings.Compare(a, b)
	})
	w := tabwriter.NewWriter(b, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "  %s\n", strings.Join(order, "\t"))
	for _, r := range rows {
		cells := make([]string, len(order))
		for i, c := range order {
			cells[i] = r[c]
		}
		fmt.Fprintf(w, "  %s\n", strings.Join(cells, "\t"))
	}
	_ = w.Flush()
}

// rank orders leadingColumns before all other columns. The factor of 4 outweighs the comparison of names, which adds -1 to 1.
func rank(column string) int {
	if i := slices.Index(leadingColumns, column); i >= 0 {
		return 4 * i
	}
	return 4 * len(leadingColumns)
}

// flatten copies the fields of an object to out, with the names of nested fields joined by dots.
func flatten(out map[string]string, prefix string, m map[string]any) {
	for k, v := range m {
		if sub, ok := v.(map[string]any); ok {
			flatten(out, prefix+k+".", sub)
			continue
		}
		out[prefix+k] = cell(v)
	}
}

// cell formats a value for a table cell.
func cell(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case float64:
		if v == float64(int64(v)) {
			return fmt.Sprint(int64(v))
		}
		return fmt.Sprintf("%.3f", v)
	case []any:
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = cell(e)
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(v)
}
