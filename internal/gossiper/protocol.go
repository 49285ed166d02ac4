package gossiper

import (
	"math/rand/v2"
	"time"

	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// The times of the protocol, in periods.
const (
	// suspectAfter is how many periods a member may be silent to its watcher.
	suspectAfter = 3
	// chainedAfter is how many periods a member may be silent to probes while its watcher is suspected.
	chainedAfter = 2
	// probesPerSuspect is how many members are probed for each suspect before them: three rounds then cover 80 members,
	// the longest run of silent ones in a ring of 420 of which one in twelve is left.
	probesPerSuspect = 8
	// deadAfter is how many periods a suspected member has to raise its incarnation.
	deadAfter = 4
	// minSyncEvery and maxSyncEvery bound the number of periods between full syncs because of different hashes.
	// In between it grows with the number of members, as a sync's bytes do: at 420 a sync has about 25 KB.
	minSyncEvery, maxSyncEvery = 5, 30
	// membersPerSyncPeriod is how many members lengthen it by one period.
	membersPerSyncPeriod = 14
	// retryEvery is how often one dead member and one seed outside the ring are tried, so that partitions heal.
	retryEvery = 5
	// urgentPerPeriod bounds the extra rounds for urgent changes.
	urgentPerPeriod = 4
	// passPerPeriod is how often brief items are passed on. Nine hops, the most at 420 members, then take 1.5 s on average.
	passPerPeriod = 3
	// loadPassEvery is the part of these times at which load reports alone are worth a message: an envelope has as many
	// bytes as a report, so that reports wait for each other.
	loadPassEvery = 2
	// fanout is the number of messages of a round.
	fanout = 3
)

const (
	// keepDead is how long a dead member is kept and tried; it is the time for which limits count it.
	keepDead = 10 * time.Minute
	// wideMembers is the size up to which items of a data centre go everywhere: at today's six or seven
	// instances the data centres hold two each and the bytes do not matter.
	wideMembers = 24
	// maxItems bounds the items of each kind; 830 targets fit several times over.
	maxItems = 4096
)

// Options are the parts of a Protocol that its owner chooses.
type Options struct {
	Period time.Duration
	Clock  *recorder.Clock
	Rand   *rand.Rand
	// Seeds are addresses that are tried while they belong to no live member.
	Seeds []string
	// Incarnation is the first one; a process that replaces another with the same id needs a higher one.
	Incarnation uint64
}

// Packet is a message to send.
type Packet struct {
	// To is the address and ID the member's id, if it is known.
	To, ID string
	Data   []byte
	// Stream marks a message that is too long for a datagram or must not be lost.
	Stream bool
}

// Protocol is the state of the membership at one instance. Its methods are not safe for concurrent use.
type Protocol struct {
	opt   Options
	self  Record
	table *MemberTable
	queue *queue
	items [itemKinds]map[string]Item

	out    []Packet
	events Events

	nextPeriod, lastTick, lastRound, lastPass, lastSync, lastForced time.Time
	periods                                                         int
	turn, localTurn, urgentTurn, deadTurn, seedTurn, passTurn       int
	watched                                                         map[string]time.Time
	stopped                                                         bool
	// seenSent counts how often the known versions were sent since they changed; answerSeen has the next message carry them.
	seenSent   int
	answerSeen bool
	wall       int64
}

// NewProtocol returns the state of an instance that knows no other.
func NewProtocol(self Identity, opt Options, now time.Time) *Protocol {
	p := &Protocol{
		opt: opt, table: newTable(self), queue: newQueue(), watched: map[string]time.Time{},
		self:       Record{ID: self.ID, Address: self.Address, DataCentre: self.DataCentre, Incarnation: opt.Incarnation},
		nextPeriod: now, lastTick: now, wall: now.UnixMilli(),
	}
	for i := range p.items {
		p.items[i] = map[string]Item{}
	}
	p.table.hash = p.self.digest()
	return p
}

// Self returns the instance's own record.
func (p *Protocol) Self() Record { return p.self }

// SetPeriod changes the period.
func (p *Protocol) SetPeriod(d time.Duration) { p.opt.Period = d }

// SetSeeds replaces the addresses to try.
func (p *Protocol) SetSeeds(addrs []string) { p.opt.Seeds = addrs }

// NextTick returns when Tick is due.
func (p *Protocol) NextTick() time.Time {
	next := p.nextPeriod
	if p.queue.urgentRounds > 0 {
		next = earlier(next, p.lastRound.Add(p.opt.Period/urgentPerPeriod))
	}
	if len(p.queue.outbox) > 0 {
		next = earlier(next, p.lastPass.Add(p.opt.Period/passPerPeriod))
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Tick does what is due and returns the packets to send.
func (p *Protocol) Tick(now time.Time) []Packet {
	p.wall = now.UnixMilli()
	if p.stopped {
		return nil
	}
	if now.Sub(p.lastTick) > suspectAfter*p.opt.Period {
		p.resumed(now)
	}
	p.lastTick = now
	if !now.Before(p.nextPeriod) {
		p.period(now)
	}
	p.urgent(now)
	p.deliver(now)
	return p.flush()
}

// resumed is called after a pause: the others may hold this instance for dead, and its own timers mean nothing.
func (p *Protocol) resumed(now time.Time) {
	p.raise(p.self.Incarnation)
	clear(p.watched)
	for _, m := range p.table.members {
		if m.State.Live() {
			m.heard, m.since = now, now
		}
	}
}

// raise gives the instance an incarnation above the one that was claimed.
func (p *Protocol) raise(above uint64) {
	p.table.hash ^= p.self.digest()
	p.self.Incarnation = max(p.self.Incarnation, above) + 1
	p.table.hash ^= p.self.digest()
	p.enqueueMember(p.self)
}

// period does the work of one period.
func (p *Protocol) period(now time.Time) {
	p.nextPeriod = p.nextPeriod.Add(p.opt.Period)
	if !now.Before(p.nextPeriod) {
		p.nextPeriod = now.Add(p.opt.Period)
	}
	p.periods++
	p.queue.refill()
	p.expire(now)
	p.watch(now)
	p.round(now)
	if p.periods%retryEvery == 0 || len(p.table.members) == 0 {
		p.retry(now)
	}
}

// round sends the messages of a period: to the successor, the next finger of all and the next one of the data centre.
func (p *Protocol) round(now time.Time) {
	all, local := p.table.order()
	if len(all) == 0 {
		return
	}
	sent := []*member{all[0]}
	sent = pickNext(sent, fingers(local), &p.localTurn)
	sent = pickNext(sent, fingers(all), &p.turn)
	for len(sent) < min(fanout, len(all)) {
		n := len(sent)
		if sent = pickNext(sent, fingers(all), &p.turn); len(sent) == n {
			break
		}
	}
	for _, m := range sent {
		p.send(m, kindGossip, now)
	}
}

// pickNext adds the next finger in turn that is not in sent already.
func pickNext(sent, fs []*member, turn *int) []*member {
	for range fs {
		m := fs[*turn%len(fs)]
		*turn++
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

// urgent sends a round to the next fingers if one is due.
func (p *Protocol) urgent(now time.Time) {
	if p.queue.urgentRounds == 0 || now.Before(p.lastRound.Add(p.opt.Period/urgentPerPeriod)) {
		return
	}
	p.queue.urgentRounds--
	p.lastRound = now
	fs := p.fingers()
	for range min(fanout, len(fs)) {
		p.send(fs[p.urgentTurn%len(fs)], kindGossip, now)
		p.urgentTurn++
	}
}

// fingers returns the fingers of both rings, farthest first, since those reach parts that do not know yet.
func (p *Protocol) fingers() []*member {
	all, local := p.table.order()
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

// startUrgent makes urgent rounds due until every finger has had a message.
func (p *Protocol) startUrgent() {
	n := len(p.fingers())
	p.queue.urgentRounds = (n + fanout - 1) / fanout
}

// retry tries one dead member and one seed that belongs to no live member.
func (p *Protocol) retry(now time.Time) {
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
		m := dead[p.deadTurn%len(dead)]
		p.deadTurn++
		p.send(m, kindProbe, now)
	}
	for range p.opt.Seeds {
		addr := p.opt.Seeds[p.seedTurn%len(p.opt.Seeds)]
		p.seedTurn++
		if !known[addr] {
			p.out = append(p.out, Packet{To: addr, Data: p.fullState(kindSync), Stream: true})
			return
		}
	}
}

// Leave tells as many fingers as a period may and returns the packets; afterwards Tick does nothing.
func (p *Protocol) Leave(now time.Time) []Packet {
	p.table.hash ^= p.self.digest()
	p.self.State = Left
	for range urgentPerPeriod {
		fs := p.fingers()
		for range min(fanout, len(fs)) {
			p.send(fs[p.urgentTurn%len(fs)], kindGossip, now)
			p.urgentTurn++
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
