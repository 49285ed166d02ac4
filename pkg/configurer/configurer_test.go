package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// minimalConfig is a minimal valid configuration; the tests derive invalid ones from it.
const minimalConfig = `
[deployment]
name = "d"
[[dataCentres]]
name = "a"
region = "r"
[[services]]
name = "first"
  [[services.operations]]
  name = "one"
  [[services.operations]]
  name = "two"
[[services]]
name = "second"
  # [not.a.header]
  [[services.operations]]
  name = "three"
  deadlineMs = 5
[[targets]]
id = "t"
address = "127.0.0.1:1"
dataCentre = "a"
kind = "service"
services = [
  "first",
  "second", # a bracket ] in a comment
]
[[accounts]]
name = "acc"
keySHA256 = "0000000000000000000000000000000000000000000000000000000000000000"
`

// Guards against accepting an invalid configuration, reporting only the first of several faults, and attributing a fault
// to the line of another element of the same list.
func TestParseFaults(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     []string
	}{
		"no fault":           {"", "", nil},
		"nested array":       {"deadlineMs = 5", "deadlineMs = -5", []string{`c.toml:18: services[1].operations[0].deadlineMs = -5: `}},
		"second of an array": {`name = "two"`, `name = "t wo"`, []string{`c.toml:12: services[0].operations[1].name = "t wo": `}},
		"missing key":        {"keySHA256", "#", []string{`c.toml:28: accounts[0].keySHA256 = "": `}},
		"unknown key":        {"deadlineMs = 5", "deadline = 5", []string{`c.toml:18: services[1].operations[0].deadline = 5: unknown key`}},
		"key in wrong case":  {"deadlineMs = 5", "deadlinems = 5", []string{`c.toml:18: services[1].operations[0].deadlinems = 5: unknown key`}},
		"wrong type":         {"deadlineMs = 5", `deadlineMs = "5"`, []string{`c.toml:18: services[1].operations[0].deadlineMs = "5": must be a whole number`}},
		"wrong list element": {`"first",`, `7,`, []string{`c.toml:24: targets[0].services[0] = 7: must be a string`}},
		"wrong type and invalid value": {"name = \"acc\"", "name = \"a c\"\nshare = 1.5",
			[]string{`c.toml:29: accounts[0].name = "a c": `, `c.toml:30: accounts[0].share = 1.5: must be a whole number`}},
		"table instead of a string": {"name = \"acc\"", "name = { a = 1 }", []string{`c.toml:29: accounts[0].name = a table: must be a string`}},
		"number instead of a table": {"[deployment]\nname = \"d\"", "deployment = 3", []string{`c.toml:2: deployment = 3: must be a table`, `deployment.name = ""`}},
		"syntax":                    {`region = "r"`, `region = r"`, []string{`c.toml:6: dataCentres.region`}},
		"dotted key":                {"[deployment]\nname = \"d\"", "deployment.name = \"d d\"", []string{`c.toml:2: deployment.name = "d d"`}},
		"multi-line string": {"[deployment]\nname = \"d\"", "[deployment]\nname = \"\"\"\n[accounts]\nd d\"\"\"\nx = 1",
			[]string{`c.toml:3: deployment.name`, `c.toml:6: deployment.x = 1`}},
		"no data centre": {"[[dataCentres]]\nname = \"a\"\nregion = \"r\"", "", []string{`dataCentres = "[]"`, `targets[0].dataCentre = "a"`}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, minimalConfig, tt.old)
			_, err := Parse("c.toml", strings.Replace(minimalConfig, tt.old, tt.new, 1))
			if tt.want == nil {
				require.NoError(t, err)
				return
			}
			var fs Faults
			require.ErrorAs(t, err, &fs)
			require.Len(t, fs, len(tt.want), "%v", err)
			for _, w := range tt.want {
				require.Contains(t, err.Error(), w)
			}
		})
	}
}

// Guards against faults of settings without a line number and against secrets in error messages.
func TestSettingsFaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "i.toml")
	text := "[instance]\nid = \"i\"\ndataCentre = \"a\"\nlisten = \"host:1\"\n[keys]\ntoken = [\"secret\"]\n[tls]\nkey = \"k\"\n"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	_, err := LoadSettings(file)
	require.ErrorContains(t, err, file+`:4: instance.listen = "host:1"`)
	require.ErrorContains(t, err, file+":6: keys.token[0]")
	require.ErrorContains(t, err, file+":7: tls")
	require.NotContains(t, err.Error(), `"secret"`)
}

// Guards against a parser panic and against a fault whose line is outside the text.
func FuzzParse(f *testing.F) {
	f.Add(minimalConfig)
	f.Add("[[a.b]]\n[a]\n[[a]]\n[[a.b]]\nc = [[1], [\n2]]\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse("f", text)
		if err == nil {
			return
		}
		var fs Faults
		require.ErrorAs(t, err, &fs)
		for _, fault := range fs {
			require.LessOrEqual(t, fault.Line, strings.Count(text, "\n")+1)
		}
	})
}
