package server

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/gossiper"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const (
	// leavingFor is how long a mark lasts without being repeated; its observers repeat it after half of the time.
	leavingFor = time.Minute
	// leavingBound is the time after which a leaving target must get no new work.
	leavingBound = 3 * time.Second
)

// membership joins the other instances and applies what they observe to the view.
type membership struct {
	s *Server
	g *gossiper.Gossiper

	addr atomic.Value
	// version and period are what the gossiper was told last; the controller's goroutine owns them.
	version int64
	period  int

	mu sync.Mutex
	// local holds the marks of an instance that joins no others.
	local map[string]time.Time
	// shared is when the load of a target was passed on last.
	shared map[string]time.Time
	// drained and listed are the targets that this instance marked because of their reports and of the platform's list.
	drained, listed map[string]bool
}

// start joins the other instances if there is a certificate for that, and follows the platform's list.
func (m *membership) start(ctx context.Context) error {
	defer m.followList(ctx)
	set := m.s.Settings
	if set.Instance.PeerListen == "" {
		m.s.Log.Info("no address for other instances is set; this instance joins none")
		return nil
	}
	if set.TLS.Certificate == "" {
		m.s.Log.Warn("no certificate between instances is set; this instance joins none")
		return nil
	}
	creds, err := gossiper.LoadCredentials(set.TLS.Certificate, set.TLS.Key, set.TLS.Authority)
	if err != nil {
		return err
	}
	v := m.s.control.View()
	m.period = v.Config.Timing.GossipMs
	g := &gossiper.Gossiper{
		Self:   gossiper.Identity{ID: set.Instance.ID, DataCentre: set.Instance.DataCentre},
		Listen: set.Instance.PeerListen, Seeds: set.Instance.Seeds, Credentials: creds,
		Period: configurer.Milliseconds(m.period), Config: m.s.records, Payload: m.s.usage,
		Log: m.s.Log, Recorder: m.s.Recorder,
		OnMembers: m.members, OnLeaving: m.leaving, OnLoad: m.load,
	}
	if m.s.Network != nil {
		g.WrapConn = m.s.Network.PacketConn
	}
	addr, err := g.Start(ctx)
	if err != nil {
		return err
	}
	m.g = g
	m.addr.Store(addr)
	// Through the controller, since a view may be published meanwhile.
	m.s.control.Update(func(v *view.View) *view.View { return v })
	m.s.Log.WithField("address", addr).Info("serving other instances")
	return nil
}

// PeerAddr returns the address for other instances, or "" if this instance joins none.
func (s *Server) PeerAddr() string {
	a, _ := s.peers.addr.Load().(string)
	return a
}

// joined reports whether this instance takes part in the membership.
func (m *membership) joined() bool { return m != nil && m.addr.Load() != nil }

// published tells the gossiper of a new configuration; it runs on the controller's goroutine.
func (m *membership) published(v *view.View) {
	if !m.joined() {
		return
	}
	if v.ConfigVersion != m.version {
		m.version = v.ConfigVersion
		m.g.SetConfig(v.ConfigVersion)
	}
	if p := v.Config.Timing.GossipMs; p != m.period {
		m.period = p
		m.g.SetPeriod(configurer.Milliseconds(p))
	}
}

// members applies the members to the view.
func (m *membership) members(rs []gossiper.Record) {
	out := make([]view.Member, len(rs))
	for i, r := range rs {
		out[i] = view.Member{
			ID: r.ID, DataCentre: r.DataCentre, Address: r.Address, State: r.State.String(), ConfigVersion: r.ConfigVersion,
		}
	}
	m.s.control.Update(func(v *view.View) *view.View { return v.WithMembers(out) })
}

// leaving applies the marks of all instances to the view.
func (m *membership) leaving(ids map[string]time.Time) {
	now := time.Now()
	m.s.control.Update(func(v *view.View) *view.View {
		for id := range ids {
			if t, ok := v.Target(id); ok && t.LeavingSince.IsZero() {
				m.s.Recorder.Record(recorder.Event{Kind: "targetLeaving", Target: id})
			}
		}
		return v.WithLeaving(ids, now)
	})
}

// mark tells all instances, or only this one if it joins none, that a target is leaving or no longer is.
func (m *membership) mark(target string, leaving bool) {
	until := time.Now().Add(leavingFor)
	if m.joined() {
		m.g.Mark(target, leaving, until)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.local[target]
	if known == leaving && !leaving {
		return
	}
	delete(m.local, target)
	if leaving {
		m.local[target] = until
	}
	if known != leaving {
		m.leaving(maps.Clone(m.local))
	}
}

// expire ends the marks of an instance that joins no others.
func (m *membership) expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.local)
	maps.DeleteFunc(m.local, func(_ string, until time.Time) bool { return !until.After(now) })
	if len(m.local) != n {
		m.leaving(maps.Clone(m.local))
	}
}

// draining takes what a target's own report says; only who marked a target because of its reports withdraws the mark.
func (m *membership) draining(target string, on bool) { m.observed(m.drained, target, on) }

func (m *membership) observed(set map[string]bool, target string, on bool) {
	m.mu.Lock()
	was := set[target]
	if on {
		set[target] = true
	} else {
		delete(set, target)
	}
	m.mu.Unlock()
	if on || was {
		m.mark(target, on)
	}
}

// Refused implements dispatcher.Leaving.
func (m *membership) Refused(target string) { m.draining(target, true) }

// Dispatching implements dispatcher.Leaving: it asserts that the target was not marked long ago.
func (m *membership) Dispatching(target string) {
	t, ok := m.s.control.View().Target(target)
	if !ok || t.LeavingSince.IsZero() {
		return
	}
	since := time.Since(t.LeavingSince)
	m.s.Asserter.Check(asserter.NoDispatchWhenLeaving, since <= leavingBound, "target %s got work %s after it was known to be leaving", target, since)
}

// leave tells the other instances that this one stops.
func (m *membership) leave(ctx context.Context) {
	if m.joined() {
		m.g.Leave(ctx)
	}
}

// kill stops at once.
func (m *membership) kill() {
	if m.joined() {
		m.g.Kill()
	}
}
