package explainer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a trace with lines of other requests or unrelated instances, with lines out of order, or without the
// related lines of the instances that handled the request.
func TestExplain(t *testing.T) {
	a := `{"time":"2026-12-04T08:00:00.5Z","instance":"a","msg":"metadata store unreachable","source":"operator"}
{"time":"2026-12-04T07:59:00Z","instance":"a","msg":"serving"}
{"time":"2026-12-04T08:00:01Z","instance":"a","msg":"refused","request":"r1","step":"identify"}
{"time":"2026-12-04T08:00:01.1Z","instance":"a","msg":"answered","request":"r2"}
{"time":"2026-12-04T08:00:02Z","instance":"a","msg":"metadata store reachable again"}
not a JSON line`
	b := `   12.0 b {"time":"2026-12-04T08:00:00Z","instance":"b","msg":"attempt failed","request":"r1","target":"t"}
{"time":"2026-12-04T08:00:00.9Z","instance":"c","msg":"target removed"}`
	trace, err := Explain("r1", strings.NewReader(a), strings.NewReader(b))
	require.NoError(t, err)
	var got []string
	for _, l := range trace.Lines {
		got = append(got, l.Instance+" "+l.Message)
	}
	require.Equal(t, []string{"b attempt failed", "a metadata store unreachable", "a refused"}, got)
	require.Equal(t, 1, trace.Skipped)
	var out bytes.Buffer
	_, err = trace.WriteTo(&out)
	require.NoError(t, err)
	require.Contains(t, out.String(), `* 08:00:01.000000 a                refused step="identify"`)
	_, err = Explain("r9", strings.NewReader(a))
	require.ErrorContains(t, err, `"r9"`)
}
