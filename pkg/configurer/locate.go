package configurer

import (
	"fmt"
	"regexp"
	"strings"
)

// position is the line of a key or of a table header.
type position struct {
	path string
	line int
}

// scanner records the line of each key of a TOML text; paths have the indices of array elements.
type scanner struct {
	elementCounts map[string]int
	table         string
	positions     []position
	// quote is the delimiter of the multi-line string that the next line continues, or empty; depth is the number of open
	// brackets in the value that the next line continues.
	quote string
	depth int
}

var (
	// stringLiteral matches a string on a single line.
	stringLiteral = regexp.MustCompile(`"(\\.|[^"\\])*"|'[^']*'`)
)

// locate sets the line of each fault to that of its key, or of the enclosing table if the key is missing.
func locate(fs Faults, text string) Faults {
	s := &scanner{elementCounts: map[string]int{}}
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

// scan processes one line.
func (s *scanner) scan(n int, line string) {
	if s.quote != "" {
		if strings.Count(line, s.quote)%2 == 1 {
			s.quote = ""
		}
		return
	}
	if s.depth > 0 {
		s.trackOpenValue(line)
		return
	}
	switch {
	case strings.HasPrefix(line, "[["):
		s.startElement(headerName(line))
		s.positions = append(s.positions, position{s.table, n})
	case strings.HasPrefix(line, "["):
		s.table = s.resolve(headerName(line))
		s.positions = append(s.positions, position{s.table, n})
	default:
		name, value, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") {
			return
		}
		s.positions = append(s.positions, position{join(s.table, unquoteKey(name)), n})
		s.trackOpenValue(value)
	}
}

// trackOpenValue records whether a value continues on the next line.
func (s *scanner) trackOpenValue(value string) {
	for _, q := range []string{`"""`, "'''"} {
		if strings.Count(value, q)%2 == 1 {
			s.quote = q
			return
		}
	}
	value, _, _ = strings.Cut(stringLiteral.ReplaceAllString(value, ""), "#")
	s.depth = max(0, s.depth+strings.Count(value, "[")-strings.Count(value, "]"))
}

// startElement starts the next element of an array of tables.
func (s *scanner) startElement(name string) {
	parent, last := "", name
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		parent, last = s.resolve(name[:i]), name[i+1:]
	}
	path := join(parent, last)
	s.table = fmt.Sprintf("%s[%d]", path, s.elementCounts[path])
	s.elementCounts[path]++
}

// resolve adds the index of the current element to each part of a name that is an array of tables.
func (s *scanner) resolve(name string) string {
	path := ""
	for _, p := range strings.Split(name, ".") {
		path = join(path, p)
		if n := s.elementCounts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// find returns the line of a key, of its array or of its enclosing table, whichever is found first, or 0.
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

func headerName(line string) string {
	line, _, _ = strings.Cut(line, "#")
	return unquoteKey(strings.Trim(strings.TrimSpace(line), "[]"))
}

// unquoteKey removes spaces and quotes around the parts of a dotted key.
func unquoteKey(name string) string {
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
