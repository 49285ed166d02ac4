package forwarder

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	fieldKey    = regexp.MustCompile(`WithField\("(\w+)"`)
	tagKey      = regexp.MustCompile("json:\"(\\w+)")
	mapKey      = regexp.MustCompile(`"(\w+)": `)
	messageCall = regexp.MustCompile(`\.(?:Info|Warn|Error)\("([^"]+)"\)`)
)

// Guards against log keys and messages that docs/logs.md does not explain.
func TestLogsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/logs.md")
	require.NoError(t, err)
	found := 0
	for _, pkg := range []string{"forwarder", "watcher", "updater", "archiver", "announcer"} {
		files, err := filepath.Glob("../" + pkg + "/*.go")
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			keys := fieldKey.FindAllSubmatch(text, -1)
			if filepath.Base(file) == "report.go" {
				keys = append(append(keys, mapKey.FindAllSubmatch(text, -1)...), tagKey.FindAllSubmatch(text, -1)...)
			}
			keys = append(keys, messageCall.FindAllSubmatch(text, -1)...)
			for _, k := range keys {
				found++
				require.Contains(t, string(page), "`"+string(k[1])+"`", "%s: docs/logs.md does not explain %q", file, k[1])
			}
		}
	}
	require.Greater(t, found, 30)
}
