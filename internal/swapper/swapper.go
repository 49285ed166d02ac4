// Package swapper brings targets to the weight versions and roles that the configuration wants.
//
// Whoever holds the lease "targets" runs the rounds. A round reads the state of
// every engine, plans orders from nothing but these reports and the
// configuration (see [Plan]), and sends them under the lease. At most two targets
// load at once, three quarters of a model's targets keep serving, and a target
// loads only after its last run has ended. Since the plan has no memory, a
// controller that dies at any step is succeeded by one that goes on, and a
// configuration that wants the old version again undoes the swap.
//
// Targets that check fencing numbers refuse the order of an earlier lease. For
// the others the state is read before, the order carries the end of the lease as
// its deadline, and the next round reads the state again and corrects it.
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
	// LeaseResource is the lease under which orders are sent.
	LeaseResource = "targets"
	// orderTimeout bounds one order; loads may wait for the weight store.
	orderTimeout = 30 * time.Second
	reportLimit  = 2 * time.Second
	// busyPeriod is the time between two rounds while a target is not as wanted.
	busyPeriod = 100 * time.Millisecond
	// askAgain is how long the answer of a target that was as wanted is used. The holder gets no load reports of other
	// data centres: at 830 targets, asking 761 of them each second would take 230 KB/s.
	askAgain = 30 * time.Second
	// askAgainBusy is that time while a target is not as wanted: plans count the targets that serve, so one that died
	// must be seen early.
	askAgainBusy = 2 * time.Second
)

// Leases grants the right to send orders.
type Leases interface {
	WithLease(resource string, send func(fencer.Lease) error) error
	Held(resource string) (fencer.Lease, bool)
}

// Targets reads states and sends orders.
type Targets interface {
	State(ctx context.Context, addr string) (*dialer.EngineState, error)
	Order(ctx context.Context, addr string, o *dialer.Order) error
}

// Swapper runs the rounds of the lease's holder.
type Swapper struct {
	Client   Targets
	Leases   Leases
	View     func() *view.View
	Logger   logger.Log
	Recorder *recorder.Recorder
	// Interval is the time between two rounds while every target is as wanted.
	Interval time.Duration

	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu      sync.Mutex
	loading map[string]bool
	// answers are the last answers of targets; only the goroutine of the rounds uses them.
	answers map[string]answer
	// busy is what the last round reported.
	busy bool
}

// answer is what a target said of itself.
type answer struct {
	state dialer.EngineState
	at    time.Time
}

// Run runs rounds while the lease is held, until ctx ends.
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
			next = min(next, busyPeriod)
		}
		t.Reset(next)
	}
}

// Reconcile reads the states of the engines that are not as wanted, plans and sends the orders of one round. It
// reports whether there is such an engine.
func (s *Swapper) Reconcile(ctx context.Context) bool {
	v := s.View()
	reports, busy := s.reports(ctx, v)
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
		var of []Report
		for _, r := range reports {
			if _, ok := r.State.Versions[m.Name]; ok && !s.isLoading(r.Target.ID) {
				of = append(of, r)
			}
		}
		for _, a := range Plan(m, of, loading) {
			if a.Kind == dialer.OrderLoad {
				loading++
			}
			s.carryOut(ctx, a)
		}
	}
	s.drainWanted(ctx, v, reports)
	return true
}

// drainWanted orders the targets that the operator wants out of service to drain.
func (s *Swapper) drainWanted(ctx context.Context, v *view.View, reports []Report) {
	for _, r := range reports {
		t, ok := v.Config.Target(r.Target.ID)
		if ok && t.Leaving && r.Reachable && !r.State.Draining {
			s.carryOut(ctx, Command{Target: t, Kind: dialer.OrderDrain, Reason: "the configuration says leaving"})
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

// asWanted reports whether the last report says that a target needs no order. Only the others are asked for their
// state, so that a fleet at rest costs no messages.
func asWanted(cfg *configurer.Config, t *view.Target) bool {
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

// stateWanted reports whether a target's answer says that it needs no order.
func stateWanted(cfg *configurer.Config, t configurer.Target, st dialer.EngineState) bool {
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

// remembered returns the last answer of a target if it is recent and says that the target is as wanted. Only targets
// without load reports are remembered: a report would be newer.
func (s *Swapper) remembered(cfg *configurer.Config, t *view.Target) (dialer.EngineState, bool) {
	a, ok := s.answers[t.ID]
	limit := askAgain
	if s.busy {
		limit = askAgainBusy
	}
	ok = ok && len(t.Versions) == 0 && s.now().Sub(a.at) < limit && stateWanted(cfg, t.Target, a.state)
	return a.state, ok
}

func (s *Swapper) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// reports returns the states of all engines, and whether one of them is not as wanted.
func (s *Swapper) reports(ctx context.Context, v *view.View) ([]Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	var out []Report
	var ask []int
	for _, ct := range v.Config.Targets {
		t, ok := v.Target(ct.ID)
		if !ok || ct.Kind != configurer.KindEngine {
			continue
		}
		r := Report{Target: ct, Leaving: ct.Leaving}
		if asWanted(v.Config, t) {
			r.Reachable, r.State = !t.Down, dialer.EngineState{Versions: t.Versions, Draining: t.Load.Draining}
		} else if st, ok := s.remembered(v.Config, t); ok {
			r.Reachable, r.State = true, st
		} else {
			ask = append(ask, len(out))
		}
		out = append(out, r)
	}
	var wg sync.WaitGroup
	for _, i := range ask {
		wg.Go(func() {
			st, err := s.Client.State(ctx, out[i].Target.Address)
			if err == nil {
				out[i].State, out[i].Reachable = *st, true
				out[i].Leaving = out[i].Leaving || st.Leaving
			}
		})
	}
	wg.Wait()
	s.remember(out, ask)
	busy := slices.ContainsFunc(ask, func(i int) bool {
		r := out[i]
		return r.Reachable && !r.Leaving && !stateWanted(v.Config, r.Target, r.State)
	})
	return out, busy || s.wantsDrain(out)
}

// remember keeps the answers of a round.
func (s *Swapper) remember(reports []Report, asked []int) {
	if s.answers == nil {
		s.answers = map[string]answer{}
	}
	for _, i := range asked {
		r := reports[i]
		delete(s.answers, r.Target.ID)
		if r.Reachable {
			s.answers[r.Target.ID] = answer{state: r.State, at: s.now()}
		}
	}
}

// wantsDrain reports whether the configuration wants a target out of service that still serves.
func (s *Swapper) wantsDrain(reports []Report) bool {
	return slices.ContainsFunc(reports, func(r Report) bool {
		return r.Reachable && r.Target.Leaving && !r.State.Draining
	})
}

// carryOut sends one order under the lease. A load takes long and must not hold up the round.
func (s *Swapper) carryOut(ctx context.Context, a Command) {
	if a.Kind != dialer.OrderLoad {
		s.send(ctx, a)
		return
	}
	s.setLoading(a.Target.ID, true)
	go func() {
		defer s.setLoading(a.Target.ID, false)
		s.send(ctx, a)
	}()
}

func (s *Swapper) send(ctx context.Context, a Command) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.Leases.WithLease(LeaseResource, func(l fencer.Lease) error {
		s.Recorder.Record(recorder.Event{
			Kind: "order", Target: a.Target.ID, Step: a.Kind, Reason: a.Reason, Version: l.FencingToken,
		})
		return s.Client.Order(ctx, a.Target.Address, &dialer.Order{
			Kind: a.Kind, Model: a.Model, Version: a.Version, Fence: l.FencingToken, NotAfterMs: l.ValidUntil.UnixMilli(),
		})
	})
	if err != nil {
		// The next round reads the target's state and decides again.
		logger.WithError(s.Logger, err).WithField("target", a.Target.ID).Warn("order failed")
	}
}
