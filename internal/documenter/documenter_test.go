package documenter

import (
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

var update = flag.Bool("update", false, "rewrite docs/configuration.md")

// Guards against a reference page that does not match the configuration types.
func TestConfigurationPage(t *testing.T) {
	const file = "../../docs/configuration.md"
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(Page()), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), Page(), "run go test ./internal/documenter -run TestConfigurationPage -update")
}

// Guards against a key without a description.
func TestEveryKeyIsDescribed(t *testing.T) {
	var walk func(path string, v reflect.Type)
	walk = func(path string, v reflect.Type) {
		if v.Kind() == reflect.Slice {
			v = v.Elem()
		}
		if v.Kind() != reflect.Struct {
			return
		}
		for i := range v.NumField() {
			f := v.Field(i)
			name := path + f.Tag.Get("toml")
			require.NotEmpty(t, strings.TrimSpace(f.Tag.Get("comment")), name)
			walk(name+".", f.Type)
		}
	}
	walk("", reflect.TypeFor[configurer.Settings]())
	walk("", reflect.TypeFor[configurer.Config]())
}
