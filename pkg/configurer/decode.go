package configurer

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// Fault is one thing that is wrong in a file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	return fmt.Sprintf("%s: %s = %s: %s", at, f.Key, f.Value, f.Allowed)
}

// Faults is the error that reports every fault at once.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// LoadSettings reads, decodes, completes and validates an instance's settings.
func LoadSettings(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("could not read settings: %w", err)
	}
	s := new(Settings)
	if fs := decode(file, string(text), s); len(fs) > 0 {
		return nil, fs
	}
	s.SetDefaults()
	if fs := s.Validate(file); len(fs) > 0 {
		return nil, fs
	}
	return s, nil
}

// Parse decodes, completes and validates a configuration; file only names it in faults.
func Parse(file, text string) (*Config, error) {
	c := new(Config)
	if fs := decode(file, text, c); len(fs) > 0 {
		return nil, fs
	}
	c.SetDefaults()
	if fs := c.Validate(file); len(fs) > 0 {
		return nil, locate(fs, text)
	}
	return c, nil
}

// Decode decodes TOML text into v and reports unknown keys and wrong types.
func Decode(file, text string, v any) error {
	if fs := decode(file, text, v); len(fs) > 0 {
		return fs
	}
	return nil
}

func decode(file, text string, v any) Faults {
	meta, err := toml.Decode(text, v)
	if err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return Faults{{File: file, Line: pe.Position.Line, Key: pe.LastKey, Value: "", Allowed: pe.Message}}
		}
		return Faults{{File: file, Key: "", Value: "", Allowed: err.Error()}}
	}
	var fs Faults
	for _, k := range meta.Undecoded() {
		fs = append(fs, Fault{File: file, Key: k.String(), Value: "", Allowed: "unknown key; see docs/configuration.md"})
	}
	return locate(fs, text)
}

// locate adds the line of the first mention of each fault's last key part, within its array element if it has one.
func locate(fs Faults, text string) Faults {
	lines := strings.Split(text, "\n")
	for i := range fs {
		if fs[i].Line == 0 {
			fs[i].Line = lineOf(lines, fs[i].Key)
		}
	}
	return fs
}

func lineOf(lines []string, key string) int {
	parts := strings.Split(key, ".")
	want := parts[len(parts)-1]
	table, index := tableOf(parts[:len(parts)-1])
	seen, inside := -1, table == ""
	for n, line := range lines {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inside = false
			if strings.Trim(line, "[] ") == table {
				seen++
				inside = index < 0 || seen == index
			}
			if inside && want == "" {
				return n + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if inside && ok && strings.TrimSpace(name) == want {
			return n + 1
		}
	}
	return 0
}

// tableOf splits "accounts[2]" into the table's name and the index of the element, or -1 without one.
func tableOf(parts []string) (string, int) {
	index := -1
	names := make([]string, len(parts))
	for i, p := range parts {
		name, rest, ok := strings.Cut(p, "[")
		names[i] = name
		if ok {
			if _, err := fmt.Sscanf(rest, "%d]", &index); err != nil {
				index = -1
			}
		}
	}
	return strings.Join(names, "."), index
}
