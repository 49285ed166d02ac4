// Package swapper reconciles the weight versions of targets with the configuration.
//
// The instance that holds the lease "targets" runs reconciliation rounds. A
// round reads the state of the engines, plans commands from these reports and
// the configuration only (see [Plan]), and sends them under the lease. At most
// two targets load weights at the same time, enough targets of a model stay in
// service (see [MinServing]), and a target loads only after its last run has
// ended. Since the plan is stateless, a new lease holder continues a swap that
// another one started, and a configuration with the earlier version rolls it
// back.
//
// Targets that check fencing tokens refuse commands sent under an earlier lease.
// For other targets, the state is read before a command, the command carries the
// end of the lease as its deadline, and the next round reads the state again and
// corrects it.
//
// # Usage
//
//	s := &swapper.Swapper{Client: client, Leases: fencer, View: control.View, Logger: log}
//	go s.Run(ctx)
package swapper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/fencer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const (
	// LeaseResource is the resource whose lease permits commands to targets.
	LeaseResource = "targets"
	// commandTimeout is the timeout of a command; a load may wait for the weight store.
	commandTimeout = 30 * time.Second
	// stateTimeout is the timeout of all state reads of a round together.
	stateTimeout = 2 * time.Second
	// busyInterval is the time between rounds while a target is not in the desired state.
	busyInterval = 100 * time.Millisecond
	// stateTTL is how long the state of a target in the desired state stays cached. The lease holder gets no load reports
	// from other data centres: at 830 targets, reading the state of 761 of them each second would take 230 KB/s.
	stateTTL = 30 * time.Second
	// busyStateTTL replaces stateTTL while a target is not in the desired state: plans count the targets in service, so a
	// failed target must be detected early.
	busyStateTTL = 2 * time.Second
)

// Leases gives access to the leases of this instance; [fencer.Fencer] implements it.
type Leases interface {
	WithLease(resource string, send func(fencer.Lease) error) error
	Held(resource string) (fencer.Lease, bool)
}

// Targets reads the states of targets and sends commands to them.
type Targets interface {
	EngineState(ctx context.Context, addr string) (*dialer.EngineState, error)
	SendCommand(ctx context.Context, addr string, c *dialer.Command) error
}

// Swapper runs reconciliation rounds while this instance holds the lease. Set the exported fields before [Swapper.Run].
type Swapper struct {
	Client   Targets
	Leases   Leases
	View     func() *view.View
	Logger   logger.Logger
	Recorder *recorder.Recorder
	// Interval is the time between rounds while all targets are in the desired state.
	Interval time.Duration

	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu      sync.Mutex
	loading map[string]bool
	// cachedStates are the last states read, by target id; only the goroutine that runs the rounds uses them.
	cachedStates map[string]cachedState
	// busy reports whether the last round found an engine that was not in the desired state.
	busy bool
}

// cachedState is the state of a target and when it was read.
type cachedState struct {
	state dialer.EngineState
	at    time.Time
}

// Run runs rounds until ctx ends, skipping them while the lease is not held.
func (s *Swapper) Run(ctx context.Context) {
	t := time.NewTimer(s.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		next := s.Interval
		if _, ok := s.Leases.Held(LeaseResource); ok && s.Reconcile(ctx) {
			next = min(next, busyInterval)
		}
		t.Reset(next)
	}
}

// Reconcile runs one round: it reads the states of the engines that may not be in the desired state, plans commands and
// sends them. It reports whether any engine is not in the desired state.
func (s *Swapper) Reconcile(ctx context.Context) bool {
	v := s.View()
	reports, busy := s.collectReports(ctx, v)
	s.busy = busy
	if !busy {
		return false
	}
	loading := 0
	for _, r := range reports {
		if r.State.Loading || s.isLoading(r.Target.ID) {
			loading++
		}
	}
	for _, m := range v.Config.Models {
		var modelReports []Report
		for _, r := range reports {
			if _, ok := r.State.Versions[m.Name]; ok && !s.isLoading(r.Target.ID) {
				modelReports = append(modelReports, r)
			}
		}
		for _, c := range Plan(m, modelReports, loading) {
			if c.Kind == dialer.CommandLoad {
				loading++
			}
			s.execute(ctx, c)
		}
	}
	s.drainLeaving(ctx, v, reports)
	return true
}

// drainLeaving sends drain commands to the targets that the configuration takes out of service.
func (s *Swapper) drainLeaving(ctx context.Context, v *view.View, reports []Report) {
	for _, r := range reports {
		t, ok := v.Config.Target(r.Target.ID)
		if ok && t.Leaving && r.Reachable && !r.State.Draining {
			s.execute(ctx, Command{Target: t, Kind: dialer.CommandDrain, Reason: "the configuration says leaving"})
		}
	}
}

func (s *Swapper) isLoading(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loading[id]
}

func (s *Swapper) setLoading(id string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading == nil {
		s.loading = map[string]bool{}
	}
	if on {
		s.loading[id] = true
	} else {
		delete(s.loading, id)
	}
}

// reportedAsDesired reports whether a target is in the desired state according to its last load report. The state of such a
// target is not read, so that a fleet in the desired state causes no messages.
func reportedAsDesired(cfg *configurer.Config, t *view.Target) bool {
	if len(t.Versions) == 0 || t.Target.Leaving != t.Load.Draining {
		return false
	}
	for _, name := range t.Models {
		m, ok := cfg.Model(name)
		if ok && t.Versions[name] != m.Version {
			return false
		}
	}
	return true
}

// matchesDesired reports whether a state is the desired state of a target.
func matchesDesired(cfg *configurer.Config, t configurer.Target, st dialer.EngineState) bool {
	if st.Loading || st.Leaving || st.Draining != t.Leaving {
		return false
	}
	for _, name := range t.Models {
		m, ok := cfg.Model(name)
		if ok && st.Versions[name] != m.Version {
			return false
		}
	}
	return true
}

// cached returns the cached state of a target if it is recent and is the desired state. It is used only for targets
// without load reports, since a report would be newer.
func (s *Swapper) cached(cfg *configurer.Config, t *view.Target) (dialer.EngineState, bool) {
	c, ok := s.cachedStates[t.ID]
	ttl := stateTTL
	if s.busy {
		ttl = busyStateTTL
	}
	ok = ok && len(t.Versions) == 0 && s.now().Sub(c.at) < ttl && matchesDesired(cfg, t.Target, c.state)
	return c.state, ok
}

func (s *Swapper) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// collectReports returns the states of all engines and whether any engine is not in the desired state. Unreachable engines do
// not count. A leaving engine counts only if the configuration takes it out of service and it is not draining yet.
func (s *Swapper) collectReports(ctx context.Context, v *view.View) ([]Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var out []Report
	var query []int
	for _, ct := range v.Config.Targets {
		t, ok := v.Target(ct.ID)
		if !ok || ct.Kind != configurer.KindEngine {
			continue
		}
		r := Report{Target: ct, Leaving: ct.Leaving}
		if reportedAsDesired(v.Config, t) {
			r.Reachable, r.State = !t.Down, dialer.EngineState{Versions: t.Versions, Draining: t.Load.Draining}
		} else if st, ok := s.cached(v.Config, t); ok {
			r.Reachable, r.State = true, st
		} else {
			query = append(query, len(out))
		}
		out = append(out, r)
	}
	var wg sync.WaitGroup
	for _, i := range query {
		wg.Go(func() {
			st, err := s.Client.EngineState(ctx, out[i].Target.Address)
			if err == nil {
				out[i].State, out[i].Reachable = *st, true
				out[i].Leaving = out[i].Leaving || st.Leaving
			}
		})
	}
	wg.Wait()
	s.cache(out, query)
	busy := slices.ContainsFunc(query, func(i int) bool {
		r := out[i]
		return r.Reachable && !r.Leaving && !matchesDesired(v.Config, r.Target, r.State)
	})
	return out, busy || s.needsDrain(out)
}

// cache stores the states that were read in a round and drops those of unreachable targets.
func (s *Swapper) cache(reports []Report, queried []int) {
	if s.cachedStates == nil {
		s.cachedStates = map[string]cachedState{}
	}
	for _, i := range queried {
		r := reports[i]
		delete(s.cachedStates, r.Target.ID)
		if r.Reachable {
			s.cachedStates[r.Target.ID] = cachedState{state: r.State, at: s.now()}
		}
	}
}

// needsDrain reports whether any target that the configuration takes out of service is not draining yet.
func (s *Swapper) needsDrain(reports []Report) bool {
	return slices.ContainsFunc(reports, func(r Report) bool {
		return r.Reachable && r.Target.Leaving && !r.State.Draining
	})
}

// execute sends a command. A load takes long, so it is sent in the background and does not block the round.
func (s *Swapper) execute(ctx context.Context, c Command) {
	if c.Kind != dialer.CommandLoad {
		s.send(ctx, c)
		return
	}
	s.setLoading(c.Target.ID, true)
	go func() {
		defer s.setLoading(c.Target.ID, false)
		s.send(ctx, c)
	}()
}

// send sends a command with the fencing token and the deadline of the lease.
func (s *Swapper) send(ctx context.Context, c Command) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	err := s.Leases.WithLease(LeaseResource, func(l fencer.Lease) error {
		s.Recorder.Record(recorder.Event{
			Kind: "order", Target: c.Target.ID, Step: c.Kind, Reason: c.Reason, Version: l.FencingToken,
		})
		return s.Client.SendCommand(ctx, c.Target.Address, &dialer.Command{
			Kind: c.Kind, Model: c.Model, Version: c.Version, FencingToken: l.FencingToken, NotAfterMs: l.ValidUntil.UnixMilli(),
		})
	})
	if err != nil {
		// No retry: the next round reads the state of the target and plans again.
		logger.WithError(s.Logger, err).WithField("target", c.Target.ID).Warn("target command failed")
	}
}
