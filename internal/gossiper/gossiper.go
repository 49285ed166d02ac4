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
	// inboxSize bounds the received messages that wait; more are dropped, as a network would.
	inboxSize = 256
	// leaveFlush is how long a leaving instance waits for its last messages to be sent.
	leaveFlush = 200 * time.Millisecond
	// checkPeriods is how often idle connections and the certificate files are looked at.
	checkPeriods = 5
)

// ConfigSource is the configuration record of this instance.
type ConfigSource interface {
	// Current returns the record in force for a peer that is behind; nil if there is none.
	Current() []byte
	// Adopt takes a record from a peer; the source decides whether it is accepted and calls SetConfig if so.
	Adopt(record []byte) error
}

// UsageExchanger is what the instances tell each other of their use; the bodies are opaque here.
type UsageExchanger interface {
	// Payloads is called each period. The first body stays inside the data centre, the second goes everywhere; each has
	// at most [MaxPayloadBytes], and nil says nothing. A body replaces the one before it, which may be on its way
	// still, so what must arrive is repeated or sent at intervals of three periods or more.
	Payloads(now time.Time) (local, wide []byte)
	// Merge takes a body of another instance.
	Merge(from string, body []byte)
}

// Gossiper runs the membership of one instance.
type Gossiper struct {
	Self   Identity
	Listen string
	// Seeds are configured addresses of other instances; SetExtraSeeds adds discovered ones.
	Seeds       []string
	Period      time.Duration
	Credentials *Credentials
	Config      ConfigSource
	Usage       UsageExchanger
	Log         logger.Logger
	Recorder    *recorder.Recorder
	// The callbacks run on the gossiper's goroutine and must not block for long. All may be nil.
	OnMembers        func([]Record)
	OnLeavingTargets func(map[string]time.Time)
	OnLoadReport     func(target string, body []byte)
	// WrapConn lets tests lose packets; nil means the connection as it is.
	WrapConn func(net.PacketConn) net.PacketConn

	proto    *Protocol
	links    *links
	udp      net.PacketConn
	ln       *quic.Listener
	inbox    chan []byte
	commands chan func(now time.Time)
	cancel   context.CancelFunc
	done     chan struct{}
	pulls    puller

	generation int
	nextCheck  time.Time
}

// Start listens and joins the peers; it returns the address. The work ends with ctx or Leave.
func (g *Gossiper) Start(ctx context.Context) (string, error) {
	if g.Credentials == nil {
		return "", failer.New("membership needs a certificate")
	}
	if g.Period <= 0 {
		g.Period = time.Second
	}
	udp, err := net.ListenPacket("udp", g.Listen)
	if err != nil {
		return "", failer.Wrap(err, "listen for instances", g.Listen, "start")
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
		incoming: map[*quic.Conn]bool{}, deliver: g.deliver, serve: g.serve, failed: g.unreachable,
	}
	if g.ln, err = g.links.tr.Listen(g.Credentials.config(), g.links.quic); err != nil {
		_ = udp.Close()
		return "", failer.Wrap(err, "listen for instances", g.Listen, "start")
	}
	g.generation, _ = g.Credentials.Generation()
	now := time.Now()
	// The start time as first incarnation is above every one that an earlier process with this id had.
	g.proto = NewProtocol(g.Self, Options{
		Period: g.Period, Clock: g.Recorder.Clock(), Seeds: g.Seeds, Incarnation: uint64(now.UnixMilli()),
		Rand: rand.New(rand.NewPCG(uint64(now.UnixNano()), position(g.Self.ID))),
	}, now)
	ctx, g.cancel = context.WithCancel(ctx)
	go g.links.accept(ctx, g.ln)
	go g.run(ctx)
	return g.Self.Address, nil
}

// run owns the protocol state until ctx ends.
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
				logger.WithError(g.Log, err).Info("message of an instance refused")
			}
		case cmd := <-g.commands:
			cmd(time.Now())
		case <-t.C:
		}
		now := time.Now()
		if !now.Before(g.proto.NextTick()) {
			g.periodic(now)
			out = append(out, g.proto.Tick(now)...)
		}
		g.report(ctx, g.proto.Events()) // first, since it drops connections that the packets must not use
		for _, p := range out {
			g.links.send(ctx, p, now)
		}
		t.Reset(time.Until(g.proto.NextTick()))
	}
}

// periodic adds the usage payload and looks after connections and certificates.
func (g *Gossiper) periodic(now time.Time) {
	if g.Usage != nil && !now.Before(g.proto.nextPeriod) {
		local, wide := g.Usage.Payloads(now)
		if err := g.proto.BroadcastUsage(local, wide, now); err != nil {
			logger.WithError(g.Log, err).Warn("usage not sent to the other instances")
		}
	}
	if now.Before(g.nextCheck) {
		return
	}
	g.nextCheck = now.Add(checkPeriods * g.Period)
	g.links.dropIdle(now.Add(-g.links.quic.MaxIdleTimeout))
	n, err := g.Credentials.Generation()
	if err != nil {
		logger.WithError(g.Log, err).Warn("certificates could not be read again; the earlier ones stay in use")
	}
	if n != g.generation {
		g.generation = n
		g.Log.Info("certificates were read again; connections to instances are renewed")
		g.links.dropAll()
	}
}

// report passes events on.
func (g *Gossiper) report(ctx context.Context, e Events) {
	for _, r := range e.Changes {
		g.Recorder.Record(recorder.Event{Kind: "peer", Peer: r.ID, Reason: r.State.String(), Version: r.ConfigVersion})
		g.Log.WithField("peer", r.ID).WithField("state", r.State.String()).Info("instance changed")
		if r.State != Suspect && !r.New {
			g.links.drop(r.Address) // the process behind the address was replaced or is gone
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

func (g *Gossiper) unreachable(addr string, err error) {
	logger.WithError(g.Log, err).WithField("peer", addr).Info("instance cannot be reached")
}

// do runs f on the gossiper's goroutine; it returns before f has run.
func (g *Gossiper) do(f func(now time.Time)) {
	select {
	case g.commands <- f:
	case <-g.done:
	}
}

// SetConfig states which configuration version this instance has.
func (g *Gossiper) SetConfig(version int64) {
	g.do(func(time.Time) { g.proto.SetConfig(version) })
}

// SetPeriod changes the period.
func (g *Gossiper) SetPeriod(d time.Duration) { g.do(func(time.Time) { g.proto.SetPeriod(d) }) }

// SetExtraSeeds replaces the seeds by the settings' own and others, for example from the platform's list.
func (g *Gossiper) SetExtraSeeds(addrs []string) {
	all := append(append([]string(nil), g.Seeds...), addrs...)
	g.do(func(time.Time) { g.proto.SetSeeds(all) })
}

// SetTargetLeaving tells all instances that a target is leaving until a time, or no longer is.
func (g *Gossiper) SetTargetLeaving(target string, leaving bool, until time.Time) {
	g.do(func(now time.Time) { g.proto.SetTargetLeaving(target, leaving, until, now) })
}

// BroadcastLoad tells the instances of the data centre the load of a target.
func (g *Gossiper) BroadcastLoad(target string, body []byte) {
	g.do(func(now time.Time) {
		if err := g.proto.BroadcastLoad(target, body, now); err != nil {
			logger.WithError(g.Log, err).Warn("load report not sent to the other instances")
		}
	})
}

// Connections returns the numbers of outgoing and incoming connections.
func (g *Gossiper) Connections() (out, in int) { return g.links.count() }

// Leave tells the fingers that this instance leaves and stops.
func (g *Gossiper) Leave(ctx context.Context) {
	sent := make(chan struct{})
	g.do(func(now time.Time) {
		for _, p := range g.proto.Leave(now) {
			g.links.send(ctx, p, now)
		}
		close(sent)
	})
	t := time.NewTimer(leaveFlush)
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

// Kill stops at once, as the death of the process would.
func (g *Gossiper) Kill() {
	g.cancel()
	<-g.done
}

func (g *Gossiper) close() {
	if err := g.ln.Close(); err != nil && !errors.Is(err, quic.ErrServerClosed) {
		logger.WithError(g.Log, err).Info("listener for instances closed")
	}
	g.links.close()
	_ = g.links.tr.Close()
	_ = g.udp.Close()
}
