// Package announcer tells the other instances what this one has in flight at each target, and takes in what they tell.
//
// What an instance sees of a target with its own traffic is a small part of the
// target's load once there are many instances, and loads that targets report lag.
// So each instance sends datagrams with its own calls in flight to all others.
// They may be lost: each is a complete state, a newer one replaces it, and what an
// instance told is dropped when it has been silent for some periods.
//
// The period grows with the number of instances, so that what one instance sends
// and receives is bounded however many there are. Datagrams are plain UDP: a
// connection per pair would cost more than the state is worth, and a lost one is
// not sent again.
//
// The addresses of the others come from a [Registry] in the platform's store.
//
// # Usage
//
//	a := &announcer.Announcer{Self: peer, Registry: r, LocalState: f, OnState: g, OnMembersChanged: h, Log: log}
//	go a.Run(ctx)
//	l := a.RemoteInFlight("target-7", time.Second, now)
package announcer

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// leastPeriod is the time between two announcements in a small deployment.
	leastPeriod = 60 * time.Millisecond
	// perPeer bounds the datagrams of one instance: with more peers the period is longer.
	perPeer = 4 * time.Millisecond
	// settleTime after the start the instances that start at the same time are known.
	settleTime = 1500 * time.Millisecond
	// stepsPerPeriod: the datagrams of a period are sent in as many steps for each leastPeriod.
	stepsPerPeriod = 3
	// singlesPerSecond bounds the calls that an instance is told of one by one, however many others there are.
	singlesPerSecond = 250
	// singlesBurst calls may be told without a pause.
	singlesBurst = 8
	// silentPeriods after its last announcement what an instance told is dropped.
	silentPeriods = 6
	// registerPeriod is the time between two writes of the own address. The registry forgets none; writes make it known
	// again to peers that were out of reach for longer than peerLife.
	registerPeriod = 60 * time.Second
	// readPeriod is the time between two reads of the registry. Instances that are not known yet make themselves known
	// by their first datagram.
	readPeriod = 45 * time.Second
	// firstReads are made sooner, since all instances of a deployment may start together.
	firstReads      = 3
	firstReadPeriod = 500 * time.Millisecond
	// memberLife is how long an instance counts as a member after it was heard; others take over its part of common work.
	memberLife = 1500 * time.Millisecond
	// peerLife is how long a peer that tells nothing is still told.
	peerLife   = 30 * time.Second
	callLimit  = 800 * time.Millisecond
	retryPause = 500 * time.Millisecond
	// maxDatagram is the longest that UDP allows.
	maxDatagram = 64 << 10
)

// Peer is one instance and where it hears announcements.
type Peer struct {
	ID      string `json:"id"`
	Address string `json:"address"`

	addr *net.UDPAddr
}

// Registry is the list of instances in the platform's store.
type Registry interface {
	// Register writes the own address.
	Register(ctx context.Context, p Peer) error
	// Peers returns the addresses that were written from a position on, and the position after them; from 0 on it
	// returns the newest of each instance.
	Peers(ctx context.Context, from int64) ([]Peer, int64, error)
}

// InFlight is what an instance has in flight at one target.
type InFlight struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Requests int
	// Tokens are those of the prompts and of the answers that are expected.
	Tokens int
	// PrefillTokens are the prompt tokens of calls that have not begun to answer.
	PrefillTokens int
}

// Add returns the sum of two flights.
func (f InFlight) Add(o InFlight) InFlight {
	return InFlight{Requests: f.Requests + o.Requests, Tokens: f.Tokens + o.Tokens, PrefillTokens: f.PrefillTokens + o.PrefillTokens}
}

// TargetVersion is the weight version that a process of a target showed.
type TargetVersion struct {
	Target        string `msgpack:"t"`
	StartedUnixMs int64  `msgpack:"b"`
	Model         string `msgpack:"m"`
	Version       int64  `msgpack:"v"`
}

// State is what an instance tells.
type State struct {
	InFlightByTarget map[string]InFlight `msgpack:"f"`
	// Versions are those that targets reported lately to this instance.
	Versions []TargetVersion `msgpack:"v,omitempty"`
	// StoreUpdates are news of stores of kept context.
	StoreUpdates []archiver.StoreUpdate `msgpack:"k,omitempty"`
	// Started are calls that began since the last full announcement; if it is set, nothing else is told.
	Started map[string]InFlight `msgpack:"b,omitempty"`
	// Swapping are the targets that this instance has ordered to take new weights, with the time that each is left out.
	Swapping map[string]time.Duration `msgpack:"s,omitempty"`
}

// announcement is the content of a datagram.
type announcement struct {
	ID     string `msgpack:"i"`
	Number uint64 `msgpack:"n"`
	Boot   int64  `msgpack:"b"`
	State  State  `msgpack:"s"`
}

// Announcer sends and takes in announcements; it may be used by any number of goroutines.
type Announcer struct {
	Self     Peer
	Registry Registry
	// LocalState returns what this instance tells; each call may return other news.
	LocalState func() State
	// ShouldSend reports whether a peer is told the news of a store of kept context; if it is nil, all are told.
	ShouldSend func(store uint64, peer string) bool
	// OnState is told of what others tell.
	OnState func(State)
	// OnMembersChanged is told of the instances when they change, this one included.
	OnMembersChanged func(ids []string)
	Log              logger.Log

	conn   *net.UDPConn
	boot   int64
	number atomic.Uint64
	prompt chan struct{}
	// singles bounds the calls that are told one by one.
	singles *rate.Limiter

	mu    sync.RWMutex
	peers map[string]*peer
}

type peer struct {
	Peer
	known   time.Time
	heard   time.Time
	boot    int64
	number  uint64
	flights map[string]InFlight
	// begun are those that were told since.
	begun []begun
}

// begun is a call that was told by itself; the next full announcement holds it, if it has not ended.
type begun struct {
	number uint64
	target string
	flight InFlight
}

// Start binds the own address.
func (a *Announcer) Start() error {
	addr, err := net.ResolveUDPAddr("udp", a.Self.Address)
	if err != nil {
		return failer.Wrap(err, "resolve", a.Self.Address, "announce")
	}
	if a.conn, err = net.ListenUDP("udp", addr); err != nil {
		return failer.Wrap(err, "listen on", a.Self.Address, "announce")
	}
	a.boot = time.Now().UnixNano()
	a.peers = map[string]*peer{}
	a.prompt = make(chan struct{}, 1)
	a.singles = rate.NewLimiter(singlesPerSecond, singlesBurst)
	return nil
}

// AnnounceNow has the next announcement made at once.
func (a *Announcer) AnnounceNow() {
	select {
	case a.prompt <- struct{}{}:
	default: // one is about to be made
	}
}

// AnnounceStart tells the others at once of a call that loads its target before an announcement comes round: what they send to it
// meanwhile would wait behind it. Beyond a rate, the next announcement has to do.
func (a *Announcer) AnnounceStart(target string, f InFlight) {
	peers := a.listed()
	if a.singles.SetLimit(singlesPerSecond / rate.Limit(max(1, len(peers)))); len(peers) == 0 || !a.singles.Allow() {
		return
	}
	an := announcement{ID: a.Self.ID, Number: a.number.Add(1), Boot: a.boot, State: State{Started: map[string]InFlight{target: f}}}
	data, err := msgpack.Marshal(an)
	if err != nil {
		logger.WithError(a.Log, err).Error("could not encode an announcement")
		return
	}
	for _, p := range peers {
		a.send(p, data)
	}
}

// Run announces until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	go a.receive()
	go a.register(ctx)
	go a.follow(ctx)
	var members []string
	begun := time.Now()
	prompted := false
	for ctx.Err() == nil {
		now := time.Now()
		peers := a.known(now)
		if ids := a.members(now); len(ids) > 0 && !slices.Equal(ids, members) && now.Sub(begun) > settleTime {
			members = ids
			a.OnMembersChanged(ids)
		}
		prompted = a.announce(ctx, peers, prompted)
	}
	_ = a.conn.Close()
}

// announce sends one state to the peers, spread over the period so that a small link is never filled by a burst, or all at
// once. It ends early and returns true if the next announcement shall be made at once.
func (a *Announcer) announce(ctx context.Context, peers []Peer, atOnce bool) bool {
	period := periodOf(len(peers))
	steps := int(period/leastPeriod) * stepsPerPeriod
	data := a.encode(peers)
	if atOnce {
		for i, p := range peers {
			a.send(p, data[i])
		}
	}
	for i := range steps {
		for k := i * len(peers) / steps; k < (i+1)*len(peers)/steps && !atOnce; k++ {
			a.send(peers[k], data[k])
		}
		t := time.NewTimer(period / time.Duration(steps))
		select {
		case <-a.prompt:
			t.Stop()
			return true
		case <-ctx.Done():
			t.Stop()
			return false
		case <-t.C:
		}
	}
	return false
}

func (a *Announcer) send(p Peer, data []byte) {
	if len(data) > 0 {
		_, _ = a.conn.WriteToUDP(data, p.addr) // a lost announcement is replaced by the next one
	}
}

// encode returns the datagram for each peer; they differ in the news of stores.
func (a *Announcer) encode(peers []Peer) [][]byte {
	st := a.LocalState()
	an := announcement{ID: a.Self.ID, Number: a.number.Add(1), Boot: a.boot, State: st}
	made := map[string][]byte{}
	out := make([][]byte, len(peers))
	for i, p := range peers {
		told := make([]byte, len(st.StoreUpdates))
		an.State.StoreUpdates = nil
		for k, n := range st.StoreUpdates {
			if a.ShouldSend == nil || a.ShouldSend(n.Store, p.ID) {
				told[k] = 1
				an.State.StoreUpdates = append(an.State.StoreUpdates, n)
			}
		}
		data, ok := made[string(told)]
		if !ok {
			var err error
			if data, err = msgpack.Marshal(an); err != nil {
				logger.WithError(a.Log, err).Error("could not encode an announcement")
			}
			made[string(told)] = data
		}
		out[i] = data
	}
	return out
}

// periodOf returns the time between two announcements to the same peer.
func periodOf(peers int) time.Duration { return max(leastPeriod, time.Duration(peers)*perPeer) }

// members returns the IDs of the instances that were heard a moment ago, this one included. It returns none if most of the
// known ones are silent: this instance is cut off then, and must not take over what the others go on doing.
func (a *Announcer) members(now time.Time) []string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	life := max(memberLife, silentPeriods*periodOf(len(a.peers)))
	ids := []string{a.Self.ID}
	for id, p := range a.peers {
		if now.Sub(p.heard) < life {
			ids = append(ids, id)
		}
	}
	if len(ids) <= len(a.peers)/2 {
		return nil
	}
	slices.Sort(ids)
	return ids
}

// known forgets the peers that were neither heard nor written lately and returns the others in the order of their IDs.
func (a *Announcer) known(now time.Time) []Peer {
	a.mu.Lock()
	maps.DeleteFunc(a.peers, func(_ string, p *peer) bool { return now.Sub(p.known) > peerLife && now.Sub(p.heard) > peerLife })
	a.mu.Unlock()
	out := a.listed()
	slices.SortFunc(out, func(x, y Peer) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// listed returns the peers that are told what this instance knows, in any order.
func (a *Announcer) listed() []Peer {
	a.mu.RLock()
	defer a.mu.RUnlock()
	out := make([]Peer, 0, len(a.peers))
	for _, p := range a.peers {
		out = append(out, p.Peer)
	}
	return out
}

// receive takes in announcements until the socket is closed.
func (a *Announcer) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := a.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		var in announcement
		if err := msgpack.Unmarshal(buf[:n], &in); err != nil {
			logger.WithError(a.Log, err).WithField("peer", from.String()).Warn("announcement cannot be decoded")
			continue
		}
		a.take(in, from, time.Now())
	}
}

func (a *Announcer) take(in announcement, from *net.UDPAddr, now time.Time) {
	if in.ID == a.Self.ID {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.peers[in.ID]
	if p == nil {
		p = &peer{Peer: Peer{ID: in.ID, Address: from.String(), addr: from}, known: now}
		a.peers[in.ID] = p
	}
	if in.Boot < p.boot || in.Boot == p.boot && in.Number <= p.number {
		return
	}
	if in.Boot > p.boot {
		p.begun = nil
	}
	if len(in.State.Started) > 0 {
		p.boot = in.Boot
		for target, f := range in.State.Started {
			p.begun = append(p.begun, begun{number: in.Number, target: target, flight: f})
		}
		return
	}
	p.boot, p.number, p.heard, p.flights = in.Boot, in.Number, now, in.State.InFlightByTarget
	p.begun = slices.DeleteFunc(p.begun, func(b begun) bool { return b.number < in.Number })
	a.OnState(in.State)
}

// register writes the own address until ctx ends.
func (a *Announcer) register(ctx context.Context) {
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, callLimit)
		err := a.Registry.Register(cctx, a.Self)
		cancel()
		if err != nil {
			logger.WithError(a.Log, err).Debug("could not register")
			sleeper.Sleep(ctx, retryPause)
			continue
		}
		sleeper.Sleep(ctx, registerPeriod)
	}
}

// follow reads the registry until ctx ends.
func (a *Announcer) follow(ctx context.Context) {
	var next int64
	for n := 0; ctx.Err() == nil; n++ {
		cctx, cancel := context.WithTimeout(ctx, callLimit)
		ps, end, err := a.Registry.Peers(cctx, next)
		cancel()
		if err != nil {
			sleeper.Sleep(ctx, retryPause)
			continue
		}
		next = end
		for _, p := range ps {
			a.know(p, time.Now())
		}
		if n < firstReads {
			sleeper.Sleep(ctx, firstReadPeriod)
		} else {
			sleeper.Sleep(ctx, readPeriod)
		}
	}
}

func (a *Announcer) know(p Peer, now time.Time) {
	addr, err := net.ResolveUDPAddr("udp", p.Address)
	if err != nil || p.ID == a.Self.ID {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.peers[p.ID]; old != nil && old.Address == p.Address {
		old.known = now
		return
	}
	p.addr = addr
	a.peers[p.ID] = &peer{Peer: p, known: now}
	a.Log.WithField("peer", p.ID).WithField("address", p.Address).Info("instance is known")
}

// PeerCount returns how many other instances were heard or written lately.
func (a *Announcer) PeerCount() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return len(a.peers)
}

// RemoteInFlight returns what all other instances have in flight at a target. Where their announcements come too seldom for the
// age that is of use, it returns nothing: a load that all instances believe and that is long over would send all of them
// to the same target.
func (a *Announcer) RemoteInFlight(target string, maxAge time.Duration, now time.Time) InFlight {
	a.mu.RLock()
	defer a.mu.RUnlock()
	period := periodOf(len(a.peers))
	var sum InFlight
	if period > maxAge {
		return sum
	}
	for _, p := range a.peers {
		if now.Sub(p.heard) <= silentPeriods*period {
			sum = sum.Add(p.flights[target])
			for _, b := range p.begun {
				if b.target == target {
					sum = sum.Add(b.flight)
				}
			}
		}
	}
	return sum
}
