package configurer

import (
	"fmt"
	"regexp"
	"strings"
)

// position is where a key or the header of a table stands.
type position struct {
	path string
	line int
}

// scanner walks the lines of a TOML text and notes where each key stands, with the indices of array elements.
type scanner struct {
	counts    map[string]int
	table     string
	positions []position
	// quote is the delimiter of the multi-line string that the line is in, depth the open brackets of its value.
	quote string
	depth int
}

var (
	// strs matches strings within one line.
	strs = regexp.MustCompile(`"(\\.|[^"\\])*"|'[^']*'`)
)

// locate adds the line of each fault's key, or else that of the table that it is missing from.
func locate(fs Faults, text string) Faults {
	s := &scanner{counts: map[string]int{}}
	for n, line := range strings.Split(text, "\n") {
		s.scan(n+1, strings.TrimSpace(line))
	}
	for i := range fs {
		if fs[i].Line == 0 {
			fs[i].Line = s.find(fs[i].Key)
		}
	}
	return fs
}

// scan takes one line.
func (s *scanner) scan(n int, line string) {
	if s.quote != "" {
		if strings.Count(line, s.quote)%2 == 1 {
			s.quote = ""
		}
		return
	}
	if s.depth > 0 {
		s.open(line)
		return
	}
	switch {
	case strings.HasPrefix(line, "[["):
		s.element(header(line))
		s.positions = append(s.positions, position{s.table, n})
	case strings.HasPrefix(line, "["):
		s.table = s.resolve(header(line))
		s.positions = append(s.positions, position{s.table, n})
	default:
		name, value, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") {
			return
		}
		s.positions = append(s.positions, position{join(s.table, clean(name)), n})
		s.open(value)
	}
}

// open notes a value that goes on in the next line.
func (s *scanner) open(value string) {
	for _, q := range []string{`"""`, "'''"} {
		if strings.Count(value, q)%2 == 1 {
			s.quote = q
			return
		}
	}
	value, _, _ = strings.Cut(strs.ReplaceAllString(value, ""), "#")
	s.depth = max(0, s.depth+strings.Count(value, "[")-strings.Count(value, "]"))
}

// element begins the next element of an array of tables.
func (s *scanner) element(name string) {
	parent, last := "", name
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		parent, last = s.resolve(name[:i]), name[i+1:]
	}
	path := join(parent, last)
	s.table = fmt.Sprintf("%s[%d]", path, s.counts[path])
	s.counts[path]++
}

// resolve adds the index of the present element to each part of a name that is an array.
func (s *scanner) resolve(name string) string {
	path := ""
	for _, p := range strings.Split(name, ".") {
		path = join(path, p)
		if n := s.counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// find returns the line of a key, of the array that it is an element of, or of the table that it is missing from.
func (s *scanner) find(key string) int {
	for key != "" {
		for _, p := range s.positions {
			if p.path == key || p.path == key+"[0]" {
				return p.line
			}
		}
		switch i := strings.LastIndexAny(key, ".["); {
		case i < 0:
			key = ""
		default:
			key = key[:i]
		}
	}
	return 0
}

func header(line string) string {
	line, _, _ = strings.Cut(line, "#")
	return clean(strings.Trim(strings.TrimSpace(line), "[]"))
}

// clean removes the spaces and quotes around the parts of a key.
func clean(name string) string {
	parts := strings.Split(name, ".")
	for i, p := range parts {
		parts[i] = strings.Trim(p, " \t\"'")
	}
	return strings.Join(parts, ".")
}

func join(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}
