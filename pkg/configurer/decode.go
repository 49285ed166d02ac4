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

// Fault is one error in a file. Line is 0 if it is unknown; Allowed describes the valid values, the syntax error or, for
// answers to the questionnaire, the reason and a remedy.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`

	// syntax reports whether the text is not valid TOML.
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

// Faults is an error that lists all faults of a file.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// LoadSettings reads an instance's settings from a file, decodes them, sets defaults and validates them.
func LoadSettings(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(file, string(text))
}

// ParseSettings decodes an instance's settings, sets defaults and validates them; file is used only in faults.
func ParseSettings(file, text string) (*Settings, error) {
	s := new(Settings)
	if err := parse(file, text, s, false, func() Faults { s.SetDefaults(); return s.Validate(file) }); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse decodes a configuration, sets defaults and validates it; file is used only in faults.
func Parse(file, text string) (*Config, error) {
	c := new(Config)
	if err := parse(file, text, c, false, func() Faults { c.SetDefaults(); return c.Validate(file) }); err != nil {
		return nil, err
	}
	return c, nil
}

// DecodeLenient decodes a text of another system into v, a pointer to a structure. It ignores unknown keys and reports
// the faults of decoding together with those that check finds in v. It does not call check if the text is not valid TOML.
func DecodeLenient(file, text string, v any, check func() Faults) error {
	return parse(file, text, v, true, check)
}

// parse decodes a text into v and merges the faults of the decoding with those that check finds in v.
func parse(file, text string, v any, lenient bool, check func() Faults) error {
	fs := decode(file, text, v, lenient)
	if !fs.IsSyntaxError() {
		fs = fs.merge(locate(check(), text))
	}
	if len(fs) > 0 {
		return fs
	}
	return nil
}

// Decode decodes TOML text into v, a pointer to a structure, and reports every unknown key and every wrong type
// as [Faults].
func Decode(file, text string, v any) error {
	if fs := decode(file, text, v, false); len(fs) > 0 {
		return fs
	}
	return nil
}

// Locate sets the line numbers of faults from the TOML text that they refer to.
func Locate(fs Faults, text string) Faults { return locate(fs, text) }

// IsSyntaxError reports whether the text is not valid TOML, in which case nothing was decoded.
func (fs Faults) IsSyntaxError() bool {
	return slices.ContainsFunc(fs, func(f Fault) bool { return f.syntax })
}

// merge adds the faults of keys that have no fault yet and sorts all by line.
func (fs Faults) merge(more Faults) Faults {
	reported := map[string]bool{}
	for _, f := range fs {
		reported[f.Key] = true
	}
	for _, f := range more {
		if !reported[f.Key] {
			fs = append(fs, f)
		}
	}
	slices.SortStableFunc(fs, func(a, b Fault) int { return a.Line - b.Line })
	return fs
}

// decode decodes the values that have the right type into v and returns a fault for each wrong type and, unless lenient,
// each unknown key.
func decode(file, text string, v any, lenient bool) Faults {
	raw, source := map[string]any{}, text
	if _, err := toml.Decode(text, &raw); err != nil {
		return syntaxFault(file, err)
	}
	c := &checker{file: file, lenient: lenient}
	wellTyped := c.table("", raw, reflect.TypeOf(v).Elem())
	// The TOML library refuses integers that a float64 cannot represent; the checked table holds them as floats.
	if lenient || len(c.faults) > 0 {
		b, err := toml.Marshal(wellTyped)
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
