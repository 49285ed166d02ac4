package exporter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Names of the metrics in [ForwardingMetrics].
const (
	Calls           = "papayaworks_calls_total"
	CallSeconds     = "papayaworks_call_seconds"
	Attempts        = "papayaworks_attempts_total"
	StreamEnds      = "papayaworks_stream_ends_total"
	TakeUps         = "papayaworks_streams_taken_up_total"
	LeftOut         = "papayaworks_targets_left_out_total"
	Unread          = "papayaworks_unread_requests_total"
	WarmupSends     = "papayaworks_warmup_sends_total"
	TargetsCold     = "papayaworks_targets_cold"
	QueueLength     = "papayaworks_queue_length"
	Waits           = "papayaworks_queue_waits_total"
	WaitSeconds     = "papayaworks_queue_wait_seconds"
	ConfigAge       = "papayaworks_configuration_age_seconds"
	CatalogVersion  = "papayaworks_catalog_version"
	Targets         = "papayaworks_targets"
	Evacuated       = "papayaworks_evacuated_data_centres"
	DroppedLogLines = "papayaworks_log_lines_lost_total"
	Peers           = "papayaworks_instances_heard"
	SlowdownTargets = "papayaworks_targets_with_slowdown"
	PrefillRate     = "papayaworks_learned_prefill_tokens_per_second"
	StepSeconds     = "papayaworks_learned_step_seconds"
	SlowdownPerRun  = "papayaworks_learned_slowdown_per_run"
	RequestSeconds  = "papayaworks_learned_request_seconds"
)

const (
	// maxLabels is the maximum number of routes and of accounts with a label value of their own; further ones share
	// otherLabel, so that the number of time series is bounded.
	maxLabels  = 100
	otherLabel = "other"
)

// callSecondsBounds are the upper bounds of the buckets of CallSeconds in seconds.
var callSecondsBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 1.5, 2.5, 5, 10, 15}

// ForwardingGauges are functions that are called whenever the metrics are written; a gauge whose function is nil is omitted.
type ForwardingGauges struct {
	ConfigAge, CatalogVersion, Targets, TargetsCold, Evacuated, DroppedLogLines, Peers, SlowdownTargets func() float64
}

// ForwardingMetrics are the metrics of an instance that forwards calls. The methods are safe for concurrent use.
type ForwardingMetrics struct {
	set *metrics.Set

	mu     sync.Mutex
	labels map[string]map[string]bool
}

// NewForwardingMetrics returns the metrics of an instance that forwards calls.
func NewForwardingMetrics(g ForwardingGauges) *ForwardingMetrics {
	f := &ForwardingMetrics{set: metrics.NewSet(), labels: map[string]map[string]bool{"route": {}, "account": {}}}
	for name, read := range map[string]func() float64{ConfigAge: g.ConfigAge, CatalogVersion: g.CatalogVersion, Targets: g.Targets, TargetsCold: g.TargetsCold, Evacuated: g.Evacuated, DroppedLogLines: g.DroppedLogLines, Peers: g.Peers, SlowdownTargets: g.SlowdownTargets} {
		if read != nil {
			f.set.NewGauge(name, read)
		}
	}
	return f
}

// RecordCall counts a call by its route, account, outcome, the step that ended it and its HTTP status. If first is positive,
// it is recorded as the time to the first event of a stream or to the complete response.
func (f *ForwardingMetrics) RecordCall(route, account, outcome, step string, status int, first time.Duration) {
	route, account = f.boundedLabel("route", route), f.boundedLabel("account", account)
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{route=%q,account=%q,outcome=%q,step=%q,status=\"%d\"}", Calls, route, account, outcome, step, status)).Inc()
	if first > 0 {
		f.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf("%s{route=%q}", CallSeconds, route), callSecondsBounds).Update(first.Seconds())
	}
}

// RecordAttempt counts an attempt of a call at a target by its outcome and the reason for choosing the target.
func (f *ForwardingMetrics) RecordAttempt(service, outcome, reason string) {
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q,outcome=%q,reason=%q}", Attempts, service, outcome, reason)).Inc()
}

// RecordStreamEnd counts a stream of a target by the framing of its response and by how it ended.
func (f *ForwardingMetrics) RecordStreamEnd(service, framing, end string) {
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q,framing=%q,end=%q}", StreamEnds, service, framing, end)).Inc()
}

// RecordTakeUp counts a request that takes up a broken stream by whether it may go on, or why not.
func (f *ForwardingMetrics) RecordTakeUp(service, result string) {
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q,result=%q}", TakeUps, service, result)).Inc()
}

// RecordLeftOut counts a target that a choice left out because of what it has said.
func (f *ForwardingMetrics) RecordLeftOut(service, reason string) {
	f.RecordTargetsLeftOut(service, reason, 1)
}

// RecordTargetsLeftOut counts n targets that a choice left out for the same reason.
func (f *ForwardingMetrics) RecordTargetsLeftOut(service, reason string, n int) {
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q,reason=%q}", LeftOut, service, reason)).Add(n)
}

// RecordUnread counts a request that was refused before it was read completely, or a connection that was closed.
func (f *ForwardingMetrics) RecordUnread(reason string) {
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", Unread, reason)).Inc()
}

// RecordWarmupSend counts a request that is sent to a target which is warming up or unreachable.
func (f *ForwardingMetrics) RecordWarmupSend(service string) {
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q}", WarmupSends, service)).Inc()
}

// RecordEstimates sets what was learned of a service: for engines the prefill rate, the time of a step and the slowdown by each running
// request, for plain services the mean duration of a request; it is 0 for engines.
func (f *ForwardingMetrics) RecordEstimates(service string, prefillTokensPerSec float64, step time.Duration, slowdownPerRun float64, duration time.Duration) {
	set := func(name string, v float64) {
		f.set.GetOrCreateGauge(fmt.Sprintf("%s{service=%q}", name, service), nil).Set(v)
	}
	if duration > 0 {
		set(RequestSeconds, duration.Seconds())
		return
	}
	set(PrefillRate, prefillTokensPerSec)
	set(StepSeconds, step.Seconds())
	set(SlowdownPerRun, slowdownPerRun)
}

// SetQueueLength records the number of calls that wait in the queue of a service.
func (f *ForwardingMetrics) SetQueueLength(service string, n int) {
	f.set.GetOrCreateGauge(fmt.Sprintf("%s{service=%q}", QueueLength, service), nil).Set(float64(n))
}

// RecordWait counts the end of a call's wait in the queue of a service by its outcome.
func (f *ForwardingMetrics) RecordWait(service, outcome string, waited time.Duration) {
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q,outcome=%q}", Waits, service, outcome)).Inc()
	f.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf("%s{service=%q}", WaitSeconds, service), callSecondsBounds).Update(waited.Seconds())
}

// boundedLabel returns the value, or otherLabel if the label already has maxLabels other values.
func (f *ForwardingMetrics) boundedLabel(label, value string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.labels[label]
	if !known[value] {
		if len(known) >= maxLabels {
			return otherLabel
		}
		known[value] = true
	}
	return value
}

// Write writes all metrics in the Prometheus text format.
func (f *ForwardingMetrics) Write(w io.Writer) { f.set.WritePrometheus(w) }

var forwardingMetrics = []metric{
	{Calls, "counter", "route, account, outcome, step, status", "forwarded calls: answered, refused (not run), failed, or callerGone; step and status tell what ended them; the first 100 routes and accounts have a value of their own"},
	{CallSeconds, "histogram", "route, le", "seconds from the arrival of a forwarded call to the first event or the whole answer"},
	{Attempts, "counter", "service, outcome, reason", "sends of forwarded calls to targets by outcome (done, notRun, repeatable, unknown) and by why the target was chosen"},
	{StreamEnds, "counter", "service, framing, end", "streams of targets by the framing of the response (length, chunked, none) and by how they ended (see streamEnd in docs/logs.md)"},
	{TakeUps, "counter", "service, result", "requests that take up a broken stream: allowed, unknown (it is not known which software version began it), noTarget (no target has that version)"},
	{LeftOut, "counter", "service, reason", "targets that a choice left out because of what they have said, where they are, or because they are warming up (see leftOut in docs/logs.md)"},
	{Unread, "counter", "reason", "requests that were refused before they were read completely (head, body, framing, timeout, memory, pipelining), and connections that were closed without a response (connections: too many, idle)"},
	{WarmupSends, "counter", "service", "requests that were sent to targets that are warming up or unreachable, within the share of the instance"},
	{TargetsCold, "gauge", "", "targets that are warming up or unreachable, so that few instances send to them; only those of services with a bound"},
	{QueueLength, "gauge", "service", "calls that wait in the queue of a service because its targets are expected to refuse them"},
	{Waits, "counter", "service, outcome", "ends of waits in the queue of a service: sent, or why not: hopeless, full, expired, stopped, callerGone (see docs/design/queue.md)"},
	{WaitSeconds, "histogram", "service, le", "seconds that calls have waited in the queue of a service"},
	{ConfigAge, "gauge", "", "seconds since the operator's configuration was last known to be the newest; API keys are refused near the operator's bound"},
	{CatalogVersion, "gauge", "", "version of the operator's configuration in force at the instance"},
	{Targets, "gauge", "", "targets that are known, those that are leaving included"},
	{Evacuated, "gauge", "", "data centres that are evacuated, as far as the instance has read the operator's records"},
	{DroppedLogLines, "counter", "", "log lines that were lost because nobody read them fast enough"},
	{Peers, "gauge", "", "other instances that were heard lately"},
	{SlowdownTargets, "gauge", "", "targets that have stated within a minute how long work takes on them; the learned estimates are used for their services"},
	{PrefillRate, "gauge", "service", "learned prompt tokens that an engine of the service computes in a second"},
	{StepSeconds, "gauge", "service", "learned seconds of an engine of the service for one step without other requests"},
	{SlowdownPerRun, "gauge", "service", "learned fraction by which each running request slows an engine of the service down"},
	{RequestSeconds, "gauge", "service", "learned mean seconds of a request to a plain service without waiting"},
}
