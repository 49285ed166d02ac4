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
	// leavingMarkTTL is the lifetime of a leaving mark that is not renewed; observers renew it after half of that time.
	leavingMarkTTL = time.Minute
	// leavingPropagationLimit is the time after which a target that was marked as leaving must not receive new work.
	leavingPropagationLimit = 3 * time.Second
)

// membership takes part in the gossip between the instances and applies the state received from peers to the view.
type membership struct {
	s *Server
	g *gossiper.Gossiper

	addr atomic.Value
	// sentVersion and sentPeriodMs are the values last set in the gossiper; the controller's goroutine owns them.
	sentVersion  int64
	sentPeriodMs int

	mu sync.Mutex
	// localMarks holds the expiry of the leaving marks, by target, of an instance that runs without peers.
	localMarks map[string]time.Time
	// lastBroadcast holds the time of the last broadcast load report by target. The goroutine that polls targets owns it;
	// mu does not guard it.
	lastBroadcast map[string]time.Time
	// reportedDraining holds the targets that this instance marked as leaving because of their own reports, and
	// listedLeaving those that it marked because of the platform's list.
	reportedDraining, listedLeaving map[string]bool
}

// start joins the membership if a peer address and a certificate are set. In any case, it starts polling the platform's
// list.
func (m *membership) start(ctx context.Context) error {
	defer m.pollList(ctx)
	set := m.s.Settings
	if set.Instance.PeerListen == "" {
		m.s.Log.Info("no peer address is set; running without peers")
		return nil
	}
	if set.TLS.Certificate == "" {
		m.s.Log.Warn("no peer certificate is set; running without peers")
		return nil
	}
	creds, err := gossiper.LoadCredentials(set.TLS.Certificate, set.TLS.Key, set.TLS.Authority)
	if err != nil {
		return err
	}
	v := m.s.control.View()
	m.sentPeriodMs = v.Config.Timing.GossipMs
	g := &gossiper.Gossiper{
		Self:   gossiper.Identity{ID: set.Instance.ID, DataCentre: set.Instance.DataCentre},
		Listen: set.Instance.PeerListen, Seeds: set.Instance.Seeds, Credentials: creds,
		Period: configurer.Milliseconds(m.sentPeriodMs), Config: m.s.configSource, Usage: m.s.usage,
		Log: m.s.Log, Recorder: m.s.Recorder,
		OnMembers: m.onMembers, OnLeavingTargets: m.onLeaving, OnLoadReport: m.onLoad,
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
	// A view that was published before m.addr was set has not reached the gossiper, so the view is published again.
	m.s.control.Update(func(v *view.View) *view.View { return v })
	m.s.Log.WithField("address", addr).Info("listening for peers")
	return nil
}

// PeerAddr returns the address on which peers are served, or "" if this instance runs without peers.
func (s *Server) PeerAddr() string {
	a, _ := s.peers.addr.Load().(string)
	return a
}

// joined reports whether this instance takes part in the membership; false if it runs without peers.
func (m *membership) joined() bool { return m != nil && m.addr.Load() != nil }

// onPublish passes the configuration version and the gossip period to the gossiper; it runs on the controller's
// goroutine.
func (m *membership) onPublish(v *view.View) {
	if !m.joined() {
		return
	}
	if v.ConfigVersion != m.sentVersion {
		m.sentVersion = v.ConfigVersion
		m.g.SetConfig(v.ConfigVersion)
	}
	if p := v.Config.Timing.GossipMs; p != m.sentPeriodMs {
		m.sentPeriodMs = p
		m.g.SetPeriod(configurer.Milliseconds(p))
	}
}

// onMembers applies the member list to the view.
func (m *membership) onMembers(rs []gossiper.Record) {
	out := make([]view.Member, len(rs))
	for i, r := range rs {
		out[i] = view.Member{
			ID: r.ID, DataCentre: r.DataCentre, Address: r.Address, State: r.State.String(), ConfigVersion: r.ConfigVersion,
		}
	}
	m.s.control.Update(func(v *view.View) *view.View { return v.WithMembers(out) })
}

// onLeaving applies the leaving marks of all instances to the view and records an event for each new one.
func (m *membership) onLeaving(ids map[string]time.Time) {
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

// mark broadcasts that a target is leaving or no longer leaving. Without peers, the mark applies to this instance only.
func (m *membership) mark(target string, leaving bool) {
	until := time.Now().Add(leavingMarkTTL)
	if m.joined() {
		m.g.SetTargetLeaving(target, leaving, until)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, marked := m.localMarks[target]
	if marked == leaving && !leaving {
		return
	}
	delete(m.localMarks, target)
	if leaving {
		m.localMarks[target] = until
	}
	if marked != leaving {
		m.onLeaving(maps.Clone(m.localMarks))
	}
}

// expireMarks removes expired leaving marks of an instance that runs without peers.
func (m *membership) expireMarks(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.localMarks)
	maps.DeleteFunc(m.localMarks, func(_ string, until time.Time) bool { return !until.After(now) })
	if len(m.localMarks) != n {
		m.onLeaving(maps.Clone(m.localMarks))
	}
}

// setDraining applies the draining state from a target's own report. A mark is withdrawn only by an instance that has
// marked the target because of its reports.
func (m *membership) setDraining(target string, on bool) {
	m.setObserved(m.reportedDraining, target, on)
}

// setObserved adds a target to reportedDraining or listedLeaving, or removes it, and updates its leaving mark.
func (m *membership) setObserved(set map[string]bool, target string, on bool) {
	m.mu.Lock()
	present := set[target]
	if on {
		set[target] = true
	} else {
		delete(set, target)
	}
	m.mu.Unlock()
	if on || present {
		m.mark(target, on)
	}
}

// OnLeavingRefusal implements dispatcher.TargetObserver.
func (m *membership) OnLeavingRefusal(target string) { m.setDraining(target, true) }

// OnDispatch implements dispatcher.TargetObserver. It asserts that the target has not been marked as leaving for longer
// than leavingPropagationLimit.
func (m *membership) OnDispatch(target string) {
	t, ok := m.s.control.View().Target(target)
	if !ok || t.LeavingSince.IsZero() {
		return
	}
	since := time.Since(t.LeavingSince)
	m.s.Asserter.Check(asserter.NoDispatchWhenLeaving, since <= leavingPropagationLimit, "target %s received work %s after it was marked as leaving", target, since)
}

// leave announces to the peers that this instance stops.
func (m *membership) leave(ctx context.Context) {
	if m.joined() {
		m.g.Leave(ctx)
	}
}

// kill stops the gossiper without an announcement.
func (m *membership) kill() {
	if m.joined() {
		m.g.Kill()
	}
}
