package exporter

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/asserter"
)

var update = flag.Bool("update", false, "rewrite docs/metrics.md")

// Guards against a metrics page that is not regenerated after a change of the metrics.
func TestMetricsPage(t *testing.T) {
	const file = "../../docs/metrics.md"
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(MetricsPage()), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), MetricsPage(), "run go test -run TestMetricsPage -update")
}

// Guards against a renamed metric, a missing label, an unescaped label value and metrics that two instances share.
func TestWrite(t *testing.T) {
	one := func() float64 { return 1 }
	m, other := New(Gauges{one, one, one}), New(Gauges{one, one, one})
	m.RecordOutcome(Answered)
	m.RecordOutcome("limited")
	m.RecordFirstToken(300 * time.Millisecond)
	m.RecordPromptTokens(5, 3, 2)
	m.RecordDecision("route", `say "x"`)
	m.RecordViolation(asserter.AtMostOnce)
	end := m.StartRequest()
	m.StartRequest()
	end()
	var b, o strings.Builder
	m.Write(&b)
	other.Write(&o)
	for _, want := range []string{
		`papayaworks_requests_total{outcome="answered"} 1`, `papayaworks_requests_total{outcome="limited"} 1`,
		`papayaworks_first_token_seconds_bucket{le="0.3"} 1`, `papayaworks_prompt_tokens_total{source="imported"} 2`,
		`papayaworks_decisions_total{step="route",reason="say \"x\""} 1`,
		`papayaworks_invariant_violations_total{invariant="atMostOnce"} 1`,
		`papayaworks_invariant_violations_total{invariant="configForward"} 0`, "papayaworks_streams_active 1", "papayaworks_members 1",
	} {
		require.Contains(t, b.String(), want)
	}
	require.Contains(t, o.String(), `papayaworks_requests_total{outcome="answered"} 0`)
	for _, m := range requestMetrics {
		require.Contains(t, b.String(), m.name)
	}
}
