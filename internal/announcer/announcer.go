// Package announcer broadcasts the state of this instance to all other instances, and merges the states that they send.
//
// An instance's own traffic is only a small part of a target's load when there
// are many instances, and the load that targets report lags behind. Each instance
// therefore announces its requests in flight at each target to all others. The
// announcements also carry reported weight versions, updates of KV stores and
// running weight swaps.
//
// Announcements are UDP datagrams. A full announcement contains the complete state
// and replaces the previous one, so a lost datagram is not sent again; a connection
// for each pair of instances would cost more than the state is worth. The state of
// a peer is ignored once no full announcement has arrived for several intervals. A
// request with a long prefill is announced at once in a start announcement, which
// counts in addition to the last full announcement until the next one.
//
// The interval grows with the number of instances, so that the send and receive
// rates of an instance are bounded in deployments of any size.
//
// In larger deployments the load would be too old by that. It is then announced
// separately: by each instance to the others of its data centre, and between data
// centres as digests, which contain the sum of a data centre's load and when each
// of its instances was last heard of. The instances of a data centre send its
// digest in turn. The rate of these datagrams at one instance depends on the size
// of its data centre and on the number of data centres alone.
//
// Instances discover each other through a [Registry] in the metadata store. The
// members of the deployment are the instances with recent announcements. If they
// are fewer than half of the known instances, this instance is assumed to be
// isolated and reports no change of members.
//
// # Usage
//
//	a := &announcer.Announcer{Self: peer, Registry: r, LocalState: f, OnState: g, OnMembersChanged: h, Log: log}
//	if err := a.Start(); err != nil { ... }
//	go a.Run(ctx)
//	l := a.RemoteInFlight("target-7", time.Second, now)
package announcer

import (
	"cmp"
	"context"
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
	// minInterval is the time between two announcements to a peer in a small deployment.
	minInterval = 60 * time.Millisecond
	// intervalPerPeer bounds the send rate of an instance: the announcement interval is at least this long for each
	// peer.
	intervalPerPeer = 4 * time.Millisecond
	// discoveryTime is how long after the start members are not reported, so that instances that start at the same time
	// have discovered each other.
	discoveryTime = 1500 * time.Millisecond
	// stepsPerMinInterval is the number of steps per minInterval in which the datagrams of an interval are sent.
	stepsPerMinInterval = 3
	// startsPerSecond bounds the start announcements that an instance receives from all peers together.
	startsPerSecond = 250
	// startsBurst is the number of start announcements that may be sent at once.
	startsBurst = 8
	// timeoutIntervals is the number of announcement intervals after the last full announcement of a peer at which its
	// state is ignored.
	timeoutIntervals = 6
	// registerInterval is the time between two writes of the local address. The registry expires no entries; repeated
	// writes announce the address again to peers that were unreachable for longer than peerTTL.
	registerInterval = 60 * time.Second
	// readInterval is the time between two reads of the registry. New instances are usually discovered earlier, by
	// their first datagram.
	readInterval = 45 * time.Second
	// initialReads is the number of reads at initialReadInterval, since all instances of a deployment may start
	// together.
	initialReads        = 3
	initialReadInterval = 500 * time.Millisecond
	// memberTimeout is how long an instance remains a member after its last full announcement, unless timeoutIntervals
	// take longer. After that, the others take over its share of common work.
	memberTimeout = 1500 * time.Millisecond
	// peerTTL is how long announcements are sent to a peer that sends none and does not register again.
	peerTTL     = 30 * time.Second
	callTimeout = 800 * time.Millisecond
	retryDelay  = 500 * time.Millisecond
	// maxDatagramBytes is the size of the receive buffer, the largest UDP datagram.
	maxDatagramBytes = 64 << 10
)

// Peer is an instance and the UDP address at which it receives announcements.
type Peer struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// DataCentre is empty if the instance does not state it.
	DataCentre string `json:"dataCentre,omitempty"`

	addr *net.UDPAddr
	hash uint32
}

// Registry is the list of instances in the metadata store.
type Registry interface {
	// Register writes the address of an instance.
	Register(ctx context.Context, p Peer) error
	// Peers returns the addresses written since an offset and the next offset. From offset 0 it returns the newest
	// address of each instance.
	Peers(ctx context.Context, from int64) ([]Peer, int64, error)
}

// Announcer sends and receives announcements. After Start it is safe for concurrent use.
type Announcer struct {
	Self     Peer
	Registry Registry
	// LocalState returns the state to announce. It is called once for each full announcement.
	LocalState func() State
	// LocalLoad returns the load of this instance; the announcer may change its map. If it is nil, load is sent in full announcements
	// only.
	LocalLoad func() Load
	// OnLoad is called with each load announcement and digest received, like OnState; it may be nil.
	OnLoad func(Load)
	// ShouldSend reports whether the updates of a KV store are sent to a peer; if it is nil, all peers receive them.
	ShouldSend func(store uint64, peer string) bool
	// OnState is called with the state in each full announcement received. It runs with the announcer locked and must not
	// call it.
	OnState func(State)
	// OnMembersChanged is called with the sorted IDs of the members, this instance included, when they change. It is not
	// called during discoveryTime after the start, nor while this instance is assumed to be isolated.
	OnMembersChanged func(ids []string)
	Log              logger.Logger

	conn            *net.UDPConn
	startedUnixNano int64
	sequence        atomic.Uint64
	announceNow     chan struct{}
	// registerNow and discoverNow trigger the next write and reads of the registry.
	registerNow, discoverNow chan struct{}
	// startLimiter bounds the rate of start announcements.
	startLimiter *rate.Limiter

	mu     sync.RWMutex
	peers  map[string]*peer
	byHash map[uint32]*peer
	plan   loadPlan
	// digests holds the load of the other data centres.
	digests map[string]*loadReport
	// totals holds the sum of the loads of peers and digests that are not too old; expiredAt is when old ones were last removed.
	totals    loadTotals
	expiredAt time.Time
}

// peer is the state received from one other instance.
type peer struct {
	Peer
	registeredAt time.Time
	// receivedAt is when this instance, or another one that sent a digest, last heard of the peer.
	receivedAt      time.Time
	startedUnixNano int64
	// sequence is that of the last full announcement, loadSequence that of the last one with the load.
	sequence, loadSequence uint64
	// isRegional reports whether the peer sends its load to its data centre only.
	isRegional bool
	load       loadReport
	// saves holds the blocks whose saves wait at the peer's targets, if it is one of the same data centre.
	saves []archiver.SaveKey
}

// Start binds the local address. It must be called before any other method.
func (a *Announcer) Start() error {
	addr, err := net.ResolveUDPAddr("udp", a.Self.Address)
	if err != nil {
		return failer.Wrap(err, "resolve", a.Self.Address, "announce")
	}
	if a.conn, err = net.ListenUDP("udp", addr); err != nil {
		return failer.Wrap(err, "listen on", a.Self.Address, "announce")
	}
	a.startedUnixNano = time.Now().UnixNano()
	a.reset()
	a.announceNow, a.registerNow, a.discoverNow = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	a.startLimiter = rate.NewLimiter(startsPerSecond, startsBurst)
	return nil
}

// reset removes all peers.
func (a *Announcer) reset() {
	a.peers, a.byHash, a.digests, a.totals = map[string]*peer{}, map[uint32]*peer{}, map[string]*loadReport{}, loadTotals{}
	a.replan()
}

// AnnounceNow triggers the next announcement without waiting for the interval to elapse.
func (a *Announcer) AnnounceNow() { trigger(a.announceNow) }

// Refresh writes the local address to the registry again and reads all addresses, without waiting for the intervals to elapse. It is
// called when the registry may have lost addresses.
func (a *Announcer) Refresh() {
	trigger(a.registerNow)
	trigger(a.discoverNow)
}

func trigger(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // already triggered
	}
}

// sleepUntilTriggered waits for d, or until c is triggered or ctx is done, and reports whether c was triggered.
func sleepUntilTriggered(ctx context.Context, d time.Duration, c <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-c:
		return true
	}
	return false
}

// AnnounceStart announces a new request at once. It is meant for requests with a long prefill: requests that others
// send to the target before the next announcement would have to wait behind it. Above a rate limit the request is
// announced only by the next announcement.
func (a *Announcer) AnnounceStart(target string, f InFlight) {
	peers := a.startReceivers()
	if a.startLimiter.SetLimit(startsPerSecond / rate.Limit(max(1, len(peers)))); len(peers) == 0 || !a.startLimiter.Allow() {
		return
	}
	a.sendEncoded(peers, announcement{State: State{Started: map[string]InFlight{target: f}}})
}

// startReceivers returns the peers that receive start announcements: those of the own data centre, and the others unless they get
// digests.
func (a *Announcer) startReceivers() []Peer {
	a.mu.RLock()
	defer a.mu.RUnlock()
	regional := a.plan.isRegional
	out := make([]Peer, 0, len(a.peers))
	for _, p := range a.peers {
		if !regional || p.DataCentre == "" || p.DataCentre == a.Self.DataCentre {
			out = append(out, p.Peer)
		}
	}
	return out
}

// Run sends and receives announcements until ctx is done.
func (a *Announcer) Run(ctx context.Context) {
	go a.receive()
	go a.register(ctx)
	go a.discover(ctx)
	go a.runRegional(ctx)
	go a.expire(ctx)
	var members []string
	start := time.Now()
	immediate := false
	for ctx.Err() == nil {
		now := time.Now()
		peers := a.activePeers(now)
		if ids := a.members(now); len(ids) > 0 && !slices.Equal(ids, members) && now.Sub(start) > discoveryTime {
			members = ids
			a.OnMembersChanged(ids)
		}
		immediate = a.announce(ctx, peers, immediate)
	}
	_ = a.conn.Close()
}

// announce sends one state to all peers: immediately, or spread over the interval so that a burst does not fill a small
// link. It returns true, before the end of the interval, if AnnounceNow was called.
func (a *Announcer) announce(ctx context.Context, peers []Peer, immediate bool) bool {
	interval := intervalFor(len(peers))
	steps := int(interval/minInterval) * stepsPerMinInterval
	e := a.newEncoder(time.Now())
	if e.skipEmpty {
		peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return len(e.encode(p)) == 0 })
		if len(peers) == 0 {
			steps = 1 // nothing to send, and no reason to wake up
		}
	}
	if immediate {
		a.sendAll(peers, e)
	}
	for i := range steps {
		if !immediate {
			e.setTime(time.Now())
			a.sendAll(peers[i*len(peers)/steps:(i+1)*len(peers)/steps], e)
		}
		t := time.NewTimer(interval / time.Duration(steps))
		select {
		case <-a.announceNow:
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

func (a *Announcer) sendAll(peers []Peer, e *encoder) {
	for _, p := range peers {
		a.send(p, e.encode(p))
	}
}

func (a *Announcer) send(p Peer, data []byte) {
	if len(data) > 0 {
		_, _ = a.conn.WriteToUDP(data, p.addr) // the next announcement replaces a lost one
	}
}

// intervalFor returns the time between two announcements to the same peer for a number of peers.
func intervalFor(peers int) time.Duration {
	return max(minInterval, time.Duration(peers)*intervalPerPeer)
}

// members returns the sorted IDs of the instances that were recently heard of, this one included. It returns nil if they
// are fewer than half of the known instances: this instance is then assumed to be isolated and must not take over work
// that the others still do.
func (a *Announcer) members(now time.Time) []string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	timeout := max(memberTimeout, timeoutIntervals*intervalFor(len(a.peers)))
	if a.plan.isRegional {
		timeout = regionalMemberTimeout
	}
	ids := []string{a.Self.ID}
	for id, p := range a.peers {
		if now.Sub(p.receivedAt) < timeout {
			ids = append(ids, id)
		}
	}
	if len(ids) <= len(a.peers)/2 {
		return nil
	}
	slices.Sort(ids)
	return ids
}

// activePeers removes the peers that have neither sent an announcement nor registered within peerTTL, and returns the
// others in the order of their IDs.
func (a *Announcer) activePeers(now time.Time) []Peer {
	a.mu.Lock()
	for _, p := range a.peers {
		if now.Sub(p.registeredAt) > peerTTL && now.Sub(p.receivedAt) > peerTTL {
			a.removePeer(p)
		}
	}
	a.mu.Unlock()
	out := a.peerList()
	slices.SortFunc(out, func(x, y Peer) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// addPeer adds a peer or replaces the one with the same ID; a.mu is held.
func (a *Announcer) addPeer(p Peer, registeredAt time.Time) *peer {
	if old := a.peers[p.ID]; old != nil {
		a.removePeer(old)
	}
	p.hash = hashOf(p.ID)
	out := &peer{Peer: p, registeredAt: registeredAt}
	a.peers[p.ID], a.byHash[p.hash] = out, out
	a.replan()
	return out
}

// removePeer removes a peer and its load; a.mu is held.
func (a *Announcer) removePeer(p *peer) {
	a.totals.remove(&p.load)
	delete(a.peers, p.ID)
	delete(a.byHash, p.hash)
	a.replan()
}

// expire removes loads that are too old until ctx is done.
func (a *Announcer) expire(ctx context.Context) {
	for sleeper.Sleep(ctx, expiryInterval) {
		a.mu.Lock()
		a.expireLoads(time.Now())
		a.mu.Unlock()
	}
}

// peerList returns all peers in any order.
func (a *Announcer) peerList() []Peer {
	a.mu.RLock()
	defer a.mu.RUnlock()
	out := make([]Peer, 0, len(a.peers))
	for _, p := range a.peers {
		out = append(out, p.Peer)
	}
	return out
}

// receive applies received announcements until the socket is closed.
func (a *Announcer) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := a.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		var in announcement
		if err := msgpack.Unmarshal(buf[:n], &in); err != nil {
			logger.WithError(a.Log, err).WithField("peer", from.String()).Warn("could not decode announcement")
			continue
		}
		a.apply(in, from, time.Now())
	}
}

// apply merges an announcement. Older announcements than the last one of the same peer and kind are ignored; an unknown sender
// is added as a peer.
func (a *Announcer) apply(in announcement, from *net.UDPAddr, now time.Time) {
	if in.ID == a.Self.ID {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.peers[in.ID]
	if p == nil {
		p = a.addPeer(Peer{ID: in.ID, Address: from.String(), addr: from}, now)
	}
	if in.StartedUnixNano < p.startedUnixNano {
		return
	}
	if in.DataCentre != p.DataCentre && in.DataCentre != "" {
		p.DataCentre = in.DataCentre
		a.replan()
	}
	if in.StartedUnixNano > p.startedUnixNano {
		p.startedUnixNano, p.sequence, p.loadSequence = in.StartedUnixNano, 0, 0
		a.totals.remove(&p.load)
		p.load = loadReport{}
	}
	switch {
	case in.Digest != nil:
		p.receivedAt = now
		a.applyDigest(in.DataCentre, in.Digest, now)
		a.onLoad(in.Digest.Load)
	case len(in.State.Started) > 0:
		if in.Sequence > p.loadSequence {
			a.totals.update(&p.load, func(r *loadReport) {
				for target, f := range in.State.Started {
					r.started = append(r.started, startedRequest{sequence: in.Sequence, target: TargetHashOf(target), inFlight: f})
				}
			})
		}
	case in.Load != nil:
		p.receivedAt = now
		a.applyLoad(p, in.Load.InFlightByTarget, in.Sequence, true, now)
		p.saves = in.Load.Saves
		a.onLoad(*in.Load)
	case in.Sequence > p.sequence:
		p.sequence, p.receivedAt = in.Sequence, now
		if !in.State.LoadSeparate {
			a.applyLoad(p, HashTargets(in.State.InFlightByTarget), in.Sequence, false, now)
		}
		a.OnState(in.State)
	}
}

func (a *Announcer) onLoad(l Load) {
	if a.OnLoad != nil {
		a.OnLoad(l)
	}
}

// applyLoad replaces the load of a peer, unless a newer one is known; a.mu is held.
func (a *Announcer) applyLoad(p *peer, inFlight map[TargetHash]InFlight, sequence uint64, regional bool, now time.Time) {
	if sequence <= p.loadSequence {
		return
	}
	p.loadSequence, p.isRegional = sequence, regional
	a.totals.update(&p.load, func(r *loadReport) {
		r.receivedAt, r.inFlight = now, inFlight
		r.started = slices.DeleteFunc(r.started, func(s startedRequest) bool { return s.sequence < sequence })
	})
}

// register writes the local address to the registry at registerInterval until ctx is done.
func (a *Announcer) register(ctx context.Context) {
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.Registry.Register(cctx, a.Self)
		cancel()
		if err != nil {
			logger.WithError(a.Log, err).Debug("could not register address")
			sleeper.Sleep(ctx, retryDelay)
			continue
		}
		sleepUntilTriggered(ctx, registerInterval, a.registerNow)
	}
}

// discover reads peers from the registry until ctx is done.
func (a *Announcer) discover(ctx context.Context) {
	var next int64
	for n := 0; ctx.Err() == nil; n++ {
		cctx, cancel := context.WithTimeout(ctx, callTimeout)
		ps, end, err := a.Registry.Peers(cctx, next)
		cancel()
		if err != nil {
			sleeper.Sleep(ctx, retryDelay)
			continue
		}
		next = end
		for _, p := range ps {
			a.addRegistered(p, time.Now())
		}
		interval := readInterval
		if n < initialReads {
			interval = initialReadInterval
		}
		if sleepUntilTriggered(ctx, interval, a.discoverNow) {
			next, n = 0, 0 // other instances register again at the same time
		}
	}
}

// addRegistered adds a peer found in the registry, or replaces it if its address has changed.
func (a *Announcer) addRegistered(p Peer, now time.Time) {
	addr, err := net.ResolveUDPAddr("udp", p.Address)
	if err != nil || p.ID == a.Self.ID {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.peers[p.ID]; old != nil && old.Address == p.Address {
		old.registeredAt = now
		return
	}
	p.addr = addr
	a.addPeer(p, now)
	a.Log.WithField("peer", p.ID).WithField("address", p.Address).Info("instance discovered")
}

// PeerCount returns the number of other instances that have recently sent an announcement or registered.
func (a *Announcer) PeerCount() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return len(a.peers)
}

// RemoteInFlight returns the load that all other instances have in flight at a target. It returns false, and no load, if the
// announced loads are older than maxAge on average: instances that all act on the same outdated load send their requests to the same target.
func (a *Announcer) RemoteInFlight(target string, maxAge time.Duration) (InFlight, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.plan.interval > maxAge {
		return InFlight{}, false
	}
	return a.totals[TargetHashOf(target)], true
}

// LoadAge returns the mean age of the announced loads of the other instances.
func (a *Announcer) LoadAge() time.Duration {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.plan.interval
}
