// Package exporter collects the metrics of one instance and writes them in the
// Prometheus text format for the endpoint /metrics.
//
// [Metrics] are those of an instance that serves chat completions,
// [ForwardingMetrics] those of an instance that forwards calls. Each instance
// has a separate set, so that several can run in one process. The names and
// labels are stable; [MetricsPage] generates their documentation from the tables
// in this package.
//
// # Usage
//
//	m := exporter.New(exporter.Gauges{ConfigVersion: v, Members: n})
//	m.RecordOutcome(exporter.Answered)
//	m.Write(w)
package exporter

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayaworks/papayaworks/internal/asserter"
)

// Names of the metrics in [Metrics].
const (
	Requests      = "papayaworks_requests_total"
	FirstToken    = "papayaworks_first_token_seconds"
	Tokens        = "papayaworks_prompt_tokens_total"
	Decisions     = "papayaworks_decisions_total"
	Violations    = "papayaworks_invariant_violations_total"
	Streams       = "papayaworks_streams_active"
	ConfigVersion = "papayaworks_config_version"
	Members       = "papayaworks_members"
	UsableTargets = "papayaworks_targets_usable"
)

// Outcomes besides the error codes: the complete response was sent, or the caller closed the connection before its end.
const (
	Answered           = "answered"
	CallerDisconnected = "callerGone"
)

// Sources of the KV cache of prompt tokens.
const (
	Recomputed = "recomputed"
	Cached     = "cached"
	Imported   = "imported"
)

// firstTokenBounds are the upper bounds of the buckets of FirstToken in seconds; 0.55 s is the objective at design scale.
var firstTokenBounds = []float64{0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.55, 0.75, 1, 1.5, 2.5, 5, 10, 30}

// Gauges are functions that are called whenever the metrics are written; a gauge whose function is nil is omitted.
type Gauges struct {
	ConfigVersion, Members, UsableTargets func() float64
}

// Metrics are the metrics of one instance. The methods are safe for concurrent use.
type Metrics struct {
	set        *metrics.Set
	firstToken *metrics.PrometheusHistogram
	streams    atomic.Int64
}

// New returns the metrics of an instance. Counters whose labels are known in advance start at 0, so that they are present
// before the first event.
func New(g Gauges) *Metrics {
	m := &Metrics{set: metrics.NewSet()}
	m.firstToken = m.set.NewPrometheusHistogramExt(FirstToken, firstTokenBounds)
	m.set.NewGauge(Streams, func() float64 { return float64(m.streams.Load()) })
	m.addGauge(ConfigVersion, g.ConfigVersion)
	m.addGauge(Members, g.Members)
	m.addGauge(UsableTargets, g.UsableTargets)
	m.add(Requests, "outcome", Answered, 0)
	for _, s := range []string{Recomputed, Cached, Imported} {
		m.add(Tokens, "source", s, 0)
	}
	for _, inv := range asserter.All {
		m.add(Violations, "invariant", string(inv), 0)
	}
	return m
}

func (m *Metrics) addGauge(name string, f func() float64) {
	if f != nil {
		m.set.NewGauge(name, f)
	}
}

func (m *Metrics) add(name, label, value string, n int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, label, value)).Add(n)
}

// RecordOutcome counts a request by its outcome: Answered, CallerDisconnected or the code of the error.
func (m *Metrics) RecordOutcome(code string) { m.add(Requests, "outcome", code, 1) }

// RecordFirstToken records the time from the arrival of a request to the first chunk of its response.
func (m *Metrics) RecordFirstToken(d time.Duration) { m.firstToken.Update(d.Seconds()) }

// RecordPromptTokens counts the tokens of a prompt by the source of their KV cache.
func (m *Metrics) RecordPromptTokens(recomputed, cached, imported int) {
	m.add(Tokens, "source", Recomputed, recomputed)
	m.add(Tokens, "source", Cached, cached)
	m.add(Tokens, "source", Imported, imported)
}

// RecordDecision counts a decision of a step by its reason. Reasons must be constants, so that the label has few values.
func (m *Metrics) RecordDecision(step, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{step=%q,reason=%q}", Decisions, step, reason)).Inc()
}

// RecordViolation counts a violated invariant.
func (m *Metrics) RecordViolation(inv asserter.Invariant) {
	m.add(Violations, "invariant", string(inv), 1)
}

// StartRequest counts a request in progress until the returned function is called.
func (m *Metrics) StartRequest() (end func()) {
	m.streams.Add(1)
	return func() { m.streams.Add(-1) }
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// metric describes one metric for [MetricsPage].
type metric struct {
	name, kind, labels, help string
}

var requestMetrics = []metric{
	{Requests, "counter", "outcome", "requests by outcome: answered, callerGone (the caller closed the connection before the end), or the code of the error that the caller got"},
	{FirstToken, "histogram", "le", "seconds from the arrival of a request to the first piece of its answer"},
	{Tokens, "counter", "source", "tokens of prompts by where their context came from: recomputed, cached on the engine, or imported from a store"},
	{Decisions, "counter", "step, reason", "decisions of the request path by step (admit, route, dispatch, keep) and reason"},
	{Violations, "counter", "invariant", "violations of an invariant; every value above 0 is a fault of papayaworks to be reported"},
	{Streams, "gauge", "", "requests in progress"},
	{ConfigVersion, "gauge", "", "version of the configuration in force at the instance"},
	{Members, "gauge", "", "instances that the instance knows, itself included"},
	{UsableTargets, "gauge", "", "targets that may get new work"},
}

func writeTable(b *strings.Builder, ms []metric) {
	b.WriteString("| name | kind | labels | meaning |\n|---|---|---|---|\n")
	for _, m := range ms {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", m.name, m.kind, m.labels, m.help)
	}
}

// MetricsPage returns the documentation of the metrics, docs/metrics.md, in Markdown.
func MetricsPage() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nEach instance serves its metrics at `GET /metrics` in the Prometheus text format. The names and labels are stable.\n" +
		"This page is generated: `go test ./internal/exporter -run TestMetricsPage -update` rewrites it.\n\n")
	writeTable(&b, requestMetrics)
	b.WriteString("\nAn instance that forwards calls on the platform (`papayaworks forward`) serves these on the port that the deploy file names:\n\n")
	writeTable(&b, forwardingMetrics)
	b.WriteString("\nWhat to watch:\n\n" +
		"- `" + Violations + "` above 0: an invariant of docs/design.md section 2 was violated.\n" +
		"- `" + ConfigVersion + "` differs between instances for more than 5 s: an instance does not follow the configuration.\n" +
		"- share of recomputed context: `" + Tokens + "{source=\"recomputed\"}` divided by the sum over all sources.\n" +
		"- share of late answers: 1 - `" + FirstToken + "_bucket{le=\"0.55\"}` / `" + FirstToken + "_count`.\n")
	return b.String()
}
