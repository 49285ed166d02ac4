package gossiper

import (
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// The parameters of the protocol. Time-outs and intervals are in periods.
const (
	// suspectAfter is how long a member may send nothing to its watcher before the watcher suspects it.
	suspectAfter = 3
	// chainedSuspectAfter is how long a member may leave probes without reply while its own watcher is suspected.
	chainedSuspectAfter = 2
	// probesPerSuspect is how many preceding members are probed for each suspect. Three rounds then cover 80 members, the
	// longest unresponsive run in a ring of 420 members of which one in twelve still responds.
	probesPerSuspect = 8
	// deadAfter is how long a suspected member has to raise its incarnation before it is declared dead.
	deadAfter = 4
	// minSyncPeriods and maxSyncPeriods bound the interval between full syncs that different table hashes trigger. Between
	// the bounds it grows with the number of members, as the size of a sync does: about 25 KB for 420 members.
	minSyncPeriods, maxSyncPeriods = 5, 30
	// membersPerSyncPeriod is the number of members that lengthens this interval by one period.
	membersPerSyncPeriod = 14
	// retryEvery is the interval at which one dead member and one seed outside the ring are contacted, so that partitions heal.
	retryEvery = 5
	// urgentPerPeriod is the maximum number of extra rounds per period for urgent changes.
	urgentPerPeriod = 4
	// forwardsPerPeriod is how often per period ephemeral items are forwarded. Nine hops, the maximum for 420 members, then
	// take 1.5 s on average.
	forwardsPerPeriod = 3
	// loadForwardEvery limits messages that carry only load reports to every second forwarding. An envelope is as large as a
	// report, so reports are batched.
	loadForwardEvery = 2
	// fanout is the number of messages in a round.
	fanout = 3
)

const (
	// deadMemberTTL is how long a dead member is remembered and contacted. The limiter counts a dead member for the same time.
	deadMemberTTL = 10 * time.Minute
	// maxWideMembers is the number of members up to which items of a data centre are sent to all data centres. In a
	// deployment of six or seven instances each data centre has about two, and the extra bytes do not matter.
	maxWideMembers = 24
	// maxItems is the maximum number of items of each kind, several times the 830 targets of the largest deployment.
	maxItems = 4096
)

// Options configure a [Protocol].
type Options struct {
	Period time.Duration
	Clock  *recorder.Clock
	Rand   *rand.Rand
	// Seeds are addresses that are contacted while they belong to no live member.
	Seeds []string
	// Incarnation is the initial incarnation. A process that replaces another with the same id needs a higher one.
	Incarnation uint64
}

// Packet is a message to send.
type Packet struct {
	// To is the address of the receiver, ID its member id or empty if only the address is known.
	To, ID string
	Data   []byte
	// Stream marks a message that is too long for a datagram or must not be lost.
	Stream bool
}

// Protocol is the membership state machine of one instance. Its methods are not safe for concurrent use.
type Protocol struct {
	opt   Options
	self  Record
	table *MemberTable
	queue *queue
	items [itemKinds]map[string]Item

	out    []Packet
	events Events

	// lastRound is the time of the last urgent round, lastRevivalSync that of the last sync that a member triggered by becoming
	// live.
	nextPeriod, lastTick, lastRound, lastForward, lastSync, lastRevivalSync time.Time
	periods                                                                 int
	// nextFinger to nextSeed are round-robin positions. forwardRounds counts the rounds of sendOutboxes.
	nextFinger, nextLocalFinger, nextUrgentFinger, nextDead, nextSeed, forwardRounds int
	// watchedSince holds the time from which on this instance watches a member, by member id.
	watchedSince map[string]time.Time
	stopped      bool
	// coverageSent counts how often the version coverage was sent since it changed. replyCoverage forces the next message to
	// carry it.
	coverageSent  int
	replyCoverage bool
	nowMs         int64
}

// NewProtocol returns the state of an instance that has discovered no other instance.
func NewProtocol(self Identity, opt Options, now time.Time) *Protocol {
	p := &Protocol{
		opt: opt, table: newTable(self), queue: newQueue(), watchedSince: map[string]time.Time{},
		self:       Record{ID: self.ID, Address: self.Address, DataCentre: self.DataCentre, Incarnation: opt.Incarnation},
		nextPeriod: now, lastTick: now, nowMs: now.UnixMilli(),
	}
	for i := range p.items {
		p.items[i] = map[string]Item{}
	}
	p.table.hash = p.self.digest()
	return p
}

// Self returns the record of this instance.
func (p *Protocol) Self() Record { return p.self }

// SetPeriod changes the gossip period.
func (p *Protocol) SetPeriod(d time.Duration) { p.opt.Period = d }

// SetSeeds replaces the seed addresses.
func (p *Protocol) SetSeeds(addrs []string) { p.opt.Seeds = addrs }

// NextTick returns when [Protocol.Tick] is due.
func (p *Protocol) NextTick() time.Time {
	next := p.nextPeriod
	if p.queue.urgentRounds > 0 {
		next = earlier(next, p.lastRound.Add(p.opt.Period/urgentPerPeriod))
	}
	if len(p.queue.outbox) > 0 {
		next = earlier(next, p.lastForward.Add(p.opt.Period/forwardsPerPeriod))
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Tick runs the work that is due at now and returns the packets to send.
func (p *Protocol) Tick(now time.Time) []Packet {
	p.nowMs = now.UnixMilli()
	if p.stopped {
		return nil
	}
	if now.Sub(p.lastTick) > suspectAfter*p.opt.Period {
		p.afterPause(now)
	}
	p.lastTick = now
	if !now.Before(p.nextPeriod) {
		p.runPeriod(now)
	}
	p.sendUrgent(now)
	p.sendOutboxes(now)
	return p.flush()
}

// afterPause resets the state after the process was paused: other members may have declared this instance dead, and its
// time-outs for them expired while it received nothing.
func (p *Protocol) afterPause(now time.Time) {
	p.raiseIncarnation(p.self.Incarnation)
	clear(p.watchedSince)
	for _, m := range p.table.members {
		if m.State.Live() {
			m.lastReceived, m.stateSince = now, now
		}
	}
}

// raiseIncarnation raises the incarnation of this instance above the given one.
func (p *Protocol) raiseIncarnation(above uint64) {
	p.table.hash ^= p.self.digest()
	p.self.Incarnation = max(p.self.Incarnation, above) + 1
	p.table.hash ^= p.self.digest()
	p.enqueueMember(p.self)
}

// runPeriod runs the work of one period.
func (p *Protocol) runPeriod(now time.Time) {
	p.nextPeriod = p.nextPeriod.Add(p.opt.Period)
	if !now.Before(p.nextPeriod) {
		p.nextPeriod = now.Add(p.opt.Period)
	}
	p.periods++
	p.queue.refill()
	p.expire(now)
	p.watch(now)
	p.sendRound(now)
	if p.periods%retryEvery == 0 || len(p.table.members) == 0 {
		p.retryUnreachable(now)
	}
}

// sendRound sends the messages of a period: to the successor, to the next finger among all members and to the next finger
// in the data centre.
func (p *Protocol) sendRound(now time.Time) {
	all, local := p.table.ringOrder()
	if len(all) == 0 {
		return
	}
	sent := []*member{all[0]}
	sent = appendNextFinger(sent, fingers(local), &p.nextLocalFinger)
	sent = appendNextFinger(sent, fingers(all), &p.nextFinger)
	for len(sent) < min(fanout, len(all)) {
		n := len(sent)
		if sent = appendNextFinger(sent, fingers(all), &p.nextFinger); len(sent) == n {
			break
		}
	}
	for _, m := range sent {
		p.send(m, kindGossip, now)
	}
}

// appendNextFinger appends the next finger, in round-robin order, that is not in sent.
func appendNextFinger(sent, fs []*member, next *int) []*member {
	for range fs {
		m := fs[*next%len(fs)]
		*next++
		if !containsMember(sent, m) {
			return append(sent, m)
		}
	}
	return sent
}

func containsMember(ms []*member, m *member) bool {
	for _, o := range ms {
		if o == m {
			return true
		}
	}
	return false
}

// sendUrgent sends an urgent round to the next fingers if one is due.
func (p *Protocol) sendUrgent(now time.Time) {
	if p.queue.urgentRounds == 0 || now.Before(p.lastRound.Add(p.opt.Period/urgentPerPeriod)) {
		return
	}
	p.queue.urgentRounds--
	p.lastRound = now
	fs := p.fingers()
	for range min(fanout, len(fs)) {
		p.send(fs[p.nextUrgentFinger%len(fs)], kindGossip, now)
		p.nextUrgentFinger++
	}
}

// fingers returns the fingers of both rings, farthest first, since those reach ranges that have not received the change.
func (p *Protocol) fingers() []*member {
	all, local := p.table.ringOrder()
	var out []*member
	for _, ring := range [][]*member{all, local} {
		fs := fingers(ring)
		for i := len(fs) - 1; i >= 0; i-- {
			if !containsMember(out, fs[i]) {
				out = append(out, fs[i])
			}
		}
	}
	return out
}

// startUrgent schedules as many urgent rounds as it takes to send every finger a message.
func (p *Protocol) startUrgent() {
	n := len(p.fingers())
	p.queue.urgentRounds = (n + fanout - 1) / fanout
}

// retryUnreachable contacts one dead member and one seed that belongs to no live member.
func (p *Protocol) retryUnreachable(now time.Time) {
	var dead []*member
	known := map[string]bool{p.self.Address: true}
	for _, m := range p.table.members {
		if m.State == Dead {
			dead = append(dead, m)
		}
		if m.State.Live() {
			known[m.Address] = true
		}
	}
	if len(dead) > 0 {
		sortMembers(dead)
		m := dead[p.nextDead%len(dead)]
		p.nextDead++
		p.send(m, kindProbe, now)
	}
	for range p.opt.Seeds {
		addr := p.opt.Seeds[p.nextSeed%len(p.opt.Seeds)]
		p.nextSeed++
		if !known[addr] {
			p.out = append(p.out, Packet{To: addr, Data: p.fullState(kindSync), Stream: true})
			return
		}
	}
}

// Leave announces to the next fingers that this instance leaves. It returns the packets of urgentPerPeriod rounds at once.
// Tick and Receive do nothing afterwards.
func (p *Protocol) Leave(now time.Time) []Packet {
	p.table.hash ^= p.self.digest()
	p.self.State = Left
	for range urgentPerPeriod {
		fs := p.fingers()
		for range min(fanout, len(fs)) {
			p.send(fs[p.nextUrgentFinger%len(fs)], kindGossip, now)
			p.nextUrgentFinger++
		}
	}
	p.stopped = true
	return p.flush()
}

func (p *Protocol) flush() []Packet {
	out := p.out
	p.out = nil
	return out
}
