package configurer

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
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

	syntax bool
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
	return ParseSettings(file, string(text))
}

// ParseSettings decodes, completes and validates an instance's settings; file only names them in faults.
func ParseSettings(file, text string) (*Settings, error) {
	s := new(Settings)
	if err := parse(file, text, s, false, func() Faults { s.SetDefaults(); return s.Validate(file) }); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse decodes, completes and validates a configuration; file only names it in faults.
func Parse(file, text string) (*Config, error) {
	c := new(Config)
	if err := parse(file, text, c, false, func() Faults { c.SetDefaults(); return c.Validate(file) }); err != nil {
		return nil, err
	}
	return c, nil
}

// DecodeLenient decodes a text that others write into v, a pointer to a structure: unknown keys are passed over, and check
// adds the faults of what has the right type. It reports all faults at once.
func DecodeLenient(file, text string, v any, check func() Faults) error {
	return parse(file, text, v, true, check)
}

// parse decodes a text into v and has what has the right type checked.
func parse(file, text string, v any, lenient bool, check func() Faults) error {
	fs := decode(file, text, v, lenient)
	if !fs.syntax() {
		fs = fs.merge(locate(check(), text))
	}
	if len(fs) > 0 {
		return fs
	}
	return nil
}

// Decode decodes TOML text into v, a pointer to a structure, and reports every unknown key and every wrong type.
func Decode(file, text string, v any) error {
	if fs := decode(file, text, v, false); len(fs) > 0 {
		return fs
	}
	return nil
}

// Locate fills in the lines of faults in a TOML text.
func Locate(fs Faults, text string) Faults { return locate(fs, text) }

// syntax reports whether the text is no TOML, so that nothing else can be said about it.
func (fs Faults) syntax() bool {
	return slices.ContainsFunc(fs, func(f Fault) bool { return f.syntax })
}

// merge adds the faults of keys that have none yet, in the order of the lines.
func (fs Faults) merge(more Faults) Faults {
	seen := map[string]bool{}
	for _, f := range fs {
		seen[f.Key] = true
	}
	for _, f := range more {
		if !seen[f.Key] {
			fs = append(fs, f)
		}
	}
	slices.SortStableFunc(fs, func(a, b Fault) int { return a.Line - b.Line })
	return fs
}

// decode decodes what has the right type; the rest of the text is reported.
func decode(file, text string, v any, lenient bool) Faults {
	raw, source := map[string]any{}, text
	if _, err := toml.Decode(text, &raw); err != nil {
		return syntaxFault(file, err)
	}
	c := &checker{file: file, lenient: lenient}
	clean := c.table("", raw, reflect.TypeOf(v).Elem())
	if len(c.faults) > 0 {
		b, err := toml.Marshal(clean)
		if err != nil {
			return syntaxFault(file, err)
		}
		text = string(b)
	}
	if _, err := toml.Decode(text, v); err != nil {
		return syntaxFault(file, err)
	}
	return locate(c.faults, source)
}

func syntaxFault(file string, err error) Faults {
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return Faults{{File: file, Line: pe.Position.Line, Key: pe.LastKey, Allowed: pe.Message, syntax: true}}
	}
	return Faults{{File: file, Allowed: err.Error(), syntax: true}}
}
