package balancer

import (
	"slices"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/announcer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
)

const (
	// defaultDuration is the assumed duration of a request to a service before the first one has completed.
	defaultDuration = 50 * time.Millisecond
	// durationWeight is the weight of a new sample in the moving average.
	durationWeight = 0.05
	// refusalTTL is how long a target is avoided after it refused a request, because others may have free capacity.
	refusalTTL = 200 * time.Millisecond
	// minConnectBackoff is how long a target is avoided after a failed connection. It doubles with each consecutive failure
	// up to maxConnectBackoff, because a stopped target remains registered for seconds.
	minConnectBackoff = time.Second
	maxConnectBackoff = 4 * time.Second
	// connectTrialTimeout is how long the next request may take to connect before another one may try, too.
	connectTrialTimeout = 500 * time.Millisecond
	// versionReportTTL is how long a reported weight version is announced to other instances; after that, the target's own
	// record carries it.
	versionReportTTL = 3 * time.Second
	// maxRecentBlocks bounds the recently sent blocks of one target.
	maxRecentBlocks = 512
	// recentBlockTTL is how long a block counts as recently sent and may still be cached.
	recentBlockTTL = 20 * time.Second
)

// Load is the load that a target reports in its response headers.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the time that work currently takes on the target as a multiple of the usual time. SlowdownStated reports whether the
	// target has stated it.
	Slowdown       float64
	SlowdownStated bool
}

// LoadTable holds what this instance knows of targets: from its own traffic the requests in flight, reported load, failures,
// recently sent blocks and request durations, and from all sources the weight versions. It is safe for concurrent use.
type LoadTable struct {
	mu        sync.Mutex
	targets   map[string]*entry
	durations map[string]time.Duration
	// versions holds the newest observed weight versions.
	versions map[WeightsKey]observedVersion
}

// observedVersion is a weight version with the time when the target first reported it to the updater of this instance; the
// time is zero if the version was recorded only with SetVersion.
type observedVersion struct {
	version    int64
	reportedAt time.Time
}

type entry struct {
	inFlight announcer.InFlight
	// unanswered is the number of requests whose response has not started. unansweredSince is when the first of them was
	// sent or when the target last started a response, whichever is later.
	unanswered      int
	unansweredSince time.Time
	// refusedAt is when the target last refused a request.
	refusedAt time.Time
	// connectFailures is the number of consecutive failed connections; the target is avoided until retryAt.
	connectFailures int
	retryAt         time.Time
	// load is the last reported load; inFlightAtReport is how many requests of this instance were in flight at reportedAt.
	load             Load
	inFlightAtReport int
	reportedAt       time.Time
	recentBlocks     map[string]time.Time
	// expected holds the requests without a first event whose prefill has an expected time.
	expected []*InFlightRequest
}

// WeightsKey identifies the weights of one model in one process of a target.
type WeightsKey struct {
	Target string
	// StartedUnixMs is the start of the process in Unix milliseconds.
	StartedUnixMs int64
	Model         string
}

// WeightsKeyOf returns the key of a model's weights in the current process of a target.
func WeightsKeyOf(t *cataloger.Target, model string) WeightsKey {
	return WeightsKey{Target: t.ID, StartedUnixMs: t.StartedUnixMs, Model: model}
}

// NewLoadTable returns an empty LoadTable.
func NewLoadTable() *LoadTable {
	return &LoadTable{targets: map[string]*entry{}, durations: map[string]time.Duration{}, versions: map[WeightsKey]observedVersion{}}
}

// entry returns the entry of a target and creates it if needed; t.mu is held.
func (t *LoadTable) entry(id string) *entry {
	e := t.targets[id]
	if e == nil {
		e = &entry{recentBlocks: map[string]time.Time{}}
		t.targets[id] = e
	}
	return e
}

// Retain removes all targets but those in ids; a target with requests in flight stays.
func (t *LoadTable) Retain(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[string]bool, len(ids))
	for _, id := range ids {
		known[id] = true
	}
	for id, e := range t.targets {
		if !known[id] && e.inFlight.Requests == 0 {
			delete(t.targets, id)
		}
	}
	for w := range t.versions {
		if !known[w.Target] {
			delete(t.versions, w)
		}
	}
}

// Start counts a request that is about to be sent to a target; f is the load that it adds.
func (t *LoadTable) Start(id string, f announcer.InFlight, now time.Time) *InFlightRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.inFlight = e.inFlight.Add(f)
	if e.connectFailures > 0 {
		e.retryAt = now.Add(connectTrialTimeout)
	}
	if e.unanswered == 0 {
		e.unansweredSince = now
	}
	e.unanswered++
	return &InFlightRequest{table: t, entry: e, inFlight: f}
}

// InFlightRequest is one request that counts in the load of its target until [InFlightRequest.End].
type InFlightRequest struct {
	table          *LoadTable
	entry          *entry
	inFlight       announcer.InFlight
	started, ended bool
	// prefillFrom and prefillUntil are when the target is expected to prefill the prompt; zero if it is not known.
	prefillFrom, prefillUntil time.Time
}

// ResponseStarted records that the target has started its response, so the prefill of the prompt is done.
func (r *InFlightRequest) ResponseStarted(now time.Time) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.entry.unansweredSince = now
	r.markStarted()
}

// markStarted removes the request from the unanswered ones and its prompt from the queued prefill; the table's mu is held.
func (r *InFlightRequest) markStarted() {
	if !r.started {
		r.started = true
		r.entry.unanswered--
		r.entry.expected = slices.DeleteFunc(r.entry.expected, func(o *InFlightRequest) bool { return o == r })
		r.entry.inFlight.PrefillTokens -= r.inFlight.PrefillTokens
	}
}

// End removes the request from the load of its target. Further calls have no effect.
func (r *InFlightRequest) End() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.markStarted()
	r.entry.inFlight.Requests -= r.inFlight.Requests
	r.entry.inFlight.Tokens -= r.inFlight.Tokens
}

// RecordRefusal records that a target refused a request.
func (t *LoadTable) RecordRefusal(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(id).refusedAt = now
}

// RecordConnectFailure records that a connection to a target failed.
func (t *LoadTable) RecordConnectFailure(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.retryAt = now.Add(min(maxConnectBackoff, minConnectBackoff<<min(e.connectFailures, 10)))
	e.connectFailures++
}

// RecordConnected records that a request reached a target, which ends the backoff after failed connections.
func (t *LoadTable) RecordConnected(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(id).connectFailures = 0
}

// TargetStatus is the state of a target as observed by this instance.
type TargetStatus struct {
	// InFlight is the load of this instance's requests in flight.
	InFlight announcer.InFlight
	// RecentlyRefused reports whether the target refused a request within refusalTTL; it would most likely refuse the next
	// one, too.
	RecentlyRefused bool
	// Unreachable reports whether connections failed and the backoff has not ended.
	Unreachable bool
	// UnresponsiveFor is how long the target has left requests without starting a response; 0 if there are none.
	UnresponsiveFor time.Duration
}

// Status returns the state of a target; it is zero for an unknown target.
func (t *LoadTable) Status(id string, now time.Time) TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[id]
	if e == nil {
		return TargetStatus{}
	}
	s := TargetStatus{
		InFlight: e.inFlight, RecentlyRefused: now.Sub(e.refusedAt) < refusalTTL, Unreachable: e.connectFailures > 0 && now.Before(e.retryAt),
	}
	if e.unanswered > 0 {
		s.UnresponsiveFor = now.Sub(e.unansweredSince)
	}
	return s
}

// InFlight returns the load of this instance's requests in flight at a target.
func (t *LoadTable) InFlight(id string) announcer.InFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.targets[id]; e != nil {
		return e.inFlight
	}
	return announcer.InFlight{}
}

// RecordLoad records the load that a target reported.
func (t *LoadTable) RecordLoad(id string, l Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.load, e.inFlightAtReport, e.reportedAt = l, e.inFlight.Requests, now
}

// Outstanding returns the number of running and queued requests at a target: the last reported number plus the change in
// this instance's own requests since. Own requests in flight are the lower bound, and the result if the report is older than
// maxAge.
func (t *LoadTable) Outstanding(id string, maxAge time.Duration, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[id]
	if e == nil {
		return 0
	}
	if now.Sub(e.reportedAt) > maxAge {
		return e.inFlight.Requests
	}
	return max(e.inFlight.Requests, e.load.Running+e.load.Waiting+e.inFlight.Requests-e.inFlightAtReport)
}

// RecordDuration adds the duration of a request to the moving average of its service.
func (t *LoadTable) RecordDuration(service string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, ok := t.durations[service]
	if !ok {
		mean = defaultDuration
	}
	t.durations[service] = mean + time.Duration(durationWeight*float64(d-mean))
}

// MeanDuration returns the moving average of the request durations of a service.
func (t *LoadTable) MeanDuration(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.durations[service]; ok {
		return d
	}
	return defaultDuration
}

// RecordSentBlocks records that the prompt blocks with these keys were sent to a target. Beyond maxRecentBlocks, further
// blocks are not recorded.
func (t *LoadTable) RecordSentBlocks(id string, keys []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	if len(e.recentBlocks)+len(keys) > maxRecentBlocks {
		for k, at := range e.recentBlocks {
			if now.Sub(at) > recentBlockTTL {
				delete(e.recentBlocks, k)
			}
		}
	}
	for _, k := range keys {
		if len(e.recentBlocks) < maxRecentBlocks {
			e.recentBlocks[k] = now
		}
	}
}

// RecentlySentBlocks returns the length of the longest prefix of keys whose blocks were all recently sent to a target.
func (t *LoadTable) RecentlySentBlocks(id string, keys []string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[id]
	if e == nil {
		return 0
	}
	for i, k := range keys {
		if at, ok := e.recentBlocks[k]; !ok || now.Sub(at) > recentBlockTTL {
			return i
		}
	}
	return len(keys)
}

// SetVersion records an observed weight version of a target; older versions are ignored.
func (t *LoadTable) SetVersion(w WeightsKey, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version > t.versions[w].version {
		t.versions[w] = observedVersion{version: version}
	}
}

// RecordReportedVersion records a weight version that a target reported to the updater of this instance, and announces it to
// the other instances. Versions recorded with SetVersion are not announced: if every instance announced the versions that it
// observes, the announcements of a rolling update would saturate the links of small instances.
func (t *LoadTable) RecordReportedVersion(w WeightsKey, version int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if have := t.versions[w]; version > have.version || version == have.version && have.reportedAt.IsZero() {
		t.versions[w] = observedVersion{version: version, reportedAt: now}
	}
}

// Version returns the newest observed weight version; 0 if there is none.
func (t *LoadTable) Version(w WeightsKey) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versions[w].version
}

// LocalState returns the state that this instance announces to the others.
func (t *LoadTable) LocalState(now time.Time) announcer.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := announcer.State{InFlightByTarget: t.inFlightByTarget(now)}
	for w, v := range t.versions {
		if now.Sub(v.reportedAt) < versionReportTTL {
			out.Versions = append(out.Versions, announcer.TargetVersion{Target: w.Target, StartedUnixMs: w.StartedUnixMs, Model: w.Model, Version: v.version})
		}
	}
	return out
}

// InFlightByTarget returns the load of this instance's requests in flight by target, less what is expected to be computed by now.
func (t *LoadTable) InFlightByTarget(now time.Time) map[string]announcer.InFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlightByTarget(now)
}

// inFlightByTarget is InFlightByTarget; t.mu is held.
func (t *LoadTable) inFlightByTarget(now time.Time) map[string]announcer.InFlight {
	out := map[string]announcer.InFlight{}
	for id, e := range t.targets {
		if e.inFlight.Requests > 0 {
			f := e.inFlight
			f.PrefillTokens -= e.computedTokens(now)
			out[id] = f
		}
	}
	return out
}
