package gossiper

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const (
	// inboxSize is the maximum number of received messages that wait to be processed. Further messages are dropped, which
	// the protocol tolerates like a packet loss.
	inboxSize = 256
	// leaveFlushTimeout is how long a leaving instance waits until its last messages are sent.
	leaveFlushTimeout = 200 * time.Millisecond
	// maintenancePeriods is the interval, in periods, at which idle connections and the certificate files are checked.
	maintenancePeriods = 5
)

// ConfigSource provides and accepts configuration records. Its methods must be safe for concurrent use.
type ConfigSource interface {
	// Current returns the record in force, for a peer with an earlier version, or nil if there is none.
	Current() []byte
	// Adopt receives a record from a peer. The source decides whether to accept it, and calls [Gossiper.SetConfig] if it does.
	Adopt(record []byte) error
}

// UsageExchanger produces and receives the usage payloads that instances exchange. The bodies are opaque to this package.
type UsageExchanger interface {
	// Payloads is called each period. The local body is sent in the data centre, the wide body to all instances. Each has
	// at most [MaxPayloadBytes]; nil sends nothing. A body replaces the previous one, which may still be in transit, so
	// content that must arrive has to be repeated or sent at intervals of three periods or more.
	Payloads(now time.Time) (local, wide []byte)
	// Merge receives a body from another instance.
	Merge(from string, body []byte)
}

// Gossiper runs the membership protocol of one instance. The exported fields must be set before Start. Its methods are safe
// for concurrent use after Start.
type Gossiper struct {
	// Self identifies this instance. An empty address is replaced by the one that the gossiper listens on.
	Self Identity
	// Listen is the UDP address to listen on.
	Listen string
	// Seeds are configured addresses of other instances; SetExtraSeeds adds discovered ones.
	Seeds []string
	// Period is the gossip period, 1 s if it is not positive.
	Period      time.Duration
	Credentials *Credentials
	// Config and Usage may be nil.
	Config   ConfigSource
	Usage    UsageExchanger
	Log      logger.Logger
	Recorder *recorder.Recorder
	// The callbacks run on the gossiper's goroutine and must not block for long. Each may be nil.
	OnMembers        func([]Record)
	OnLeavingTargets func(map[string]time.Time)
	OnLoadReport     func(target string, body []byte)
	// WrapConn wraps the UDP connection, so that tests can drop packets. It may be nil.
	WrapConn func(net.PacketConn) net.PacketConn

	proto    *Protocol
	links    *links
	udp      net.PacketConn
	ln       *quic.Listener
	inbox    chan []byte
	commands chan func(now time.Time)
	cancel   context.CancelFunc
	done     chan struct{}
	pulls    pullSet

	generation      int
	nextMaintenance time.Time
}

// Start listens, joins the peers and returns the address. The gossiper runs until ctx is done or Leave or Kill is called.
func (g *Gossiper) Start(ctx context.Context) (string, error) {
	if g.Credentials == nil {
		return "", failer.New("start gossiper: no credentials configured")
	}
	if g.Period <= 0 {
		g.Period = time.Second
	}
	udp, err := net.ListenPacket("udp", g.Listen)
	if err != nil {
		return "", failer.Wrap(err, "listen for peers at", g.Listen, "start")
	}
	g.udp = udp
	if g.WrapConn != nil {
		udp = g.WrapConn(udp)
	}
	if g.Self.Address == "" {
		g.Self.Address = udp.LocalAddr().String()
	}
	g.inbox, g.commands, g.done = make(chan []byte, inboxSize), make(chan func(time.Time), inboxSize), make(chan struct{})
	g.links = &links{
		tr: &quic.Transport{Conn: udp}, creds: g.Credentials, quic: quicConfig(g.Period), out: map[string]*link{},
		incoming: map[*quic.Conn]bool{}, deliver: g.deliver, serve: g.serve, onError: g.logUnreachable,
	}
	if g.ln, err = g.links.tr.Listen(g.Credentials.config(), g.links.quic); err != nil {
		_ = udp.Close()
		return "", failer.Wrap(err, "listen for peers at", g.Listen, "start")
	}
	g.generation, _ = g.Credentials.Generation()
	now := time.Now()
	// The start time as initial incarnation is above every incarnation of an earlier process with this id.
	g.proto = NewProtocol(g.Self, Options{
		Period: g.Period, Clock: g.Recorder.Clock(), Seeds: g.Seeds, Incarnation: uint64(now.UnixMilli()),
		Rand: rand.New(rand.NewPCG(uint64(now.UnixNano()), ringPosition(g.Self.ID))),
	}, now)
	ctx, g.cancel = context.WithCancel(ctx)
	go g.links.accept(ctx, g.ln)
	go g.run(ctx)
	return g.Self.Address, nil
}

// run owns the protocol state until ctx is done.
func (g *Gossiper) run(ctx context.Context) {
	defer close(g.done)
	defer g.close()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		var out []Packet
		select {
		case <-ctx.Done():
			return
		case data := <-g.inbox:
			var err error
			if out, err = g.proto.Receive(data, time.Now()); err != nil {
				logger.WithError(g.Log, err).Info("gossip message refused")
			}
		case cmd := <-g.commands:
			cmd(time.Now())
		case <-t.C:
		}
		now := time.Now()
		if !now.Before(g.proto.NextTick()) {
			g.maintain(now)
			out = append(out, g.proto.Tick(now)...)
		}
		g.handleEvents(ctx, g.proto.Events()) // first, since it drops connections that the packets must not use
		for _, p := range out {
			g.links.send(ctx, p, now)
		}
		t.Reset(time.Until(g.proto.NextTick()))
	}
}

// maintain publishes the usage payloads of the period, closes idle connections and reloads changed certificates.
func (g *Gossiper) maintain(now time.Time) {
	if g.Usage != nil && !now.Before(g.proto.nextPeriod) {
		local, wide := g.Usage.Payloads(now)
		if err := g.proto.BroadcastUsage(local, wide, now); err != nil {
			logger.WithError(g.Log, err).Warn("usage payload not sent to other instances")
		}
	}
	if now.Before(g.nextMaintenance) {
		return
	}
	g.nextMaintenance = now.Add(maintenancePeriods * g.Period)
	g.links.dropIdle(now.Add(-g.links.quic.MaxIdleTimeout))
	n, err := g.Credentials.Generation()
	if err != nil {
		logger.WithError(g.Log, err).Warn("certificates could not be reloaded; the previous ones stay in use")
	}
	if n != g.generation {
		g.generation = n
		g.Log.Info("certificates reloaded; reconnecting to instances")
		g.links.dropAll()
	}
}

// handleEvents logs and records events and passes them to the callbacks.
func (g *Gossiper) handleEvents(ctx context.Context, e Events) {
	for _, r := range e.Changes {
		g.Recorder.Record(recorder.Event{Kind: "peer", Peer: r.ID, Reason: r.State.String(), Version: r.ConfigVersion})
		g.Log.WithField("peer", r.ID).WithField("state", r.State.String()).Info("member state changed")
		if r.State != Suspect && !r.New {
			g.links.drop(r.Address) // the process at the address was replaced or has stopped
		}
	}
	if e.Refutations > 0 {
		g.Recorder.Record(recorder.Event{Kind: "incarnationRaised"})
	}
	if e.DuplicateIDAddress != "" {
		g.Log.WithField("peer", e.DuplicateIDAddress).Error("another instance has the same id")
	}
	for _, err := range e.Errors {
		logger.WithError(g.Log, err).Error("membership state is inconsistent")
	}
	if e.MembersChanged && g.OnMembers != nil {
		g.OnMembers(g.proto.Members())
	}
	if e.LeavingChanged && g.OnLeavingTargets != nil {
		g.OnLeavingTargets(g.proto.LeavingTargets())
	}
	for _, o := range e.LoadReports {
		if g.OnLoadReport != nil {
			g.OnLoadReport(o.Key, o.Body)
		}
	}
	for _, o := range e.UsagePayloads {
		if g.Usage != nil {
			g.Usage.Merge(o.Key, o.Body)
		}
	}
	for _, p := range e.PeersAhead {
		g.pull(ctx, p)
	}
}

func (g *Gossiper) deliver(data []byte) {
	select {
	case g.inbox <- data:
	default:
	}
}

func (g *Gossiper) logUnreachable(addr string, err error) {
	logger.WithError(g.Log, err).WithField("peer", addr).Info("instance unreachable")
}

// do queues f to run on the gossiper's goroutine and does not wait until it has run. It drops f after the gossiper stopped.
func (g *Gossiper) do(f func(now time.Time)) {
	select {
	case g.commands <- f:
	case <-g.done:
	}
}

// SetConfig sets the configuration version of this instance and announces it to the members. A version that is not newer than
// the current one is ignored.
func (g *Gossiper) SetConfig(version int64) {
	g.do(func(time.Time) { g.proto.SetConfig(version) })
}

// SetPeriod changes the gossip period.
func (g *Gossiper) SetPeriod(d time.Duration) { g.do(func(time.Time) { g.proto.SetPeriod(d) }) }

// SetExtraSeeds sets the seeds to [Gossiper.Seeds] and addrs, for example from the platform's instance list.
func (g *Gossiper) SetExtraSeeds(addrs []string) {
	all := append(append([]string(nil), g.Seeds...), addrs...)
	g.do(func(time.Time) { g.proto.SetSeeds(all) })
}

// SetTargetLeaving announces to all instances that a target is leaving, or no longer leaving, until the given time.
func (g *Gossiper) SetTargetLeaving(target string, leaving bool, until time.Time) {
	g.do(func(now time.Time) { g.proto.SetTargetLeaving(target, leaving, until, now) })
}

// BroadcastLoad sends the load report of a target to the instances of the data centre.
func (g *Gossiper) BroadcastLoad(target string, body []byte) {
	g.do(func(now time.Time) {
		if err := g.proto.BroadcastLoad(target, body, now); err != nil {
			logger.WithError(g.Log, err).Warn("load report not sent to other instances")
		}
	})
}

// Connections returns the numbers of outgoing and incoming connections.
func (g *Gossiper) Connections() (out, in int) { return g.links.count() }

// Leave announces to the fingers that this instance leaves, then stops the gossiper.
func (g *Gossiper) Leave(ctx context.Context) {
	sent := make(chan struct{})
	g.do(func(now time.Time) {
		for _, p := range g.proto.Leave(now) {
			g.links.send(ctx, p, now)
		}
		close(sent)
	})
	t := time.NewTimer(leaveFlushTimeout)
	defer t.Stop()
	select {
	case <-sent:
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	case <-g.done:
	case <-ctx.Done():
	}
	g.Kill()
}

// Kill stops the gossiper without notice to the peers, as a crash of the process would.
func (g *Gossiper) Kill() {
	g.cancel()
	<-g.done
}

func (g *Gossiper) close() {
	if err := g.ln.Close(); err != nil && !errors.Is(err, quic.ErrServerClosed) {
		logger.WithError(g.Log, err).Info("peer listener closed with an error")
	}
	g.links.close()
	_ = g.links.tr.Close()
	_ = g.udp.Close()
}
