package gossiper

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/charter"
	"github.com/papayaworks/papayaworks/internal/hasher"
)

// member is a record with this instance's local state about the member.
type member struct {
	Record
	machine charter.Machine
	pos     uint64
	// lastReceived is when the last message from the member itself arrived.
	lastReceived time.Time
	// stateSince is when the member entered its current state or incarnation at this instance.
	stateSince time.Time
	// lastClaimReply is when the member was last sent a claim that it is not alive.
	lastClaimReply time.Time
	// lastCoverageReply is when the member was last sent a coverage because it lacked versions.
	lastCoverageReply time.Time
}

// MemberTable holds the other members by id and in ring order. It is not safe for concurrent use.
type MemberTable struct {
	self    Identity
	selfPos uint64
	members map[string]*member
	// ring holds the live members in ring order, starting after this instance; local holds those in its data centre.
	ring  []*member
	local []*member
	// byPosition holds the live members by ring position, with nil for this instance; ringHash is a hash of their ids.
	byPosition []*member
	ringHash   uint64
	// hash is the table hash: it combines the digests of the members, of this instance and of the leaving targets.
	hash uint64
	// stale reports whether the ring fields must be rebuilt because the live members changed.
	stale bool
}

func newTable(self Identity) *MemberTable {
	return &MemberTable{self: self, selfPos: ringPosition(self.ID), members: map[string]*member{}, stale: true}
}

// add adds a member that was just discovered.
func (t *MemberTable) add(r Record, now time.Time) {
	m := &member{Record: r, machine: chart.Start(), pos: ringPosition(r.ID), stateSince: now}
	if r.State != Alive {
		m.machine, _ = m.machine.Next(stateEvent[r.State])
	}
	t.members[r.ID] = m
	t.hash ^= m.digest()
	t.stale = true
}

// apply replaces the claim about a member by a newer one. It fails if the state chart does not allow the transition.
func (t *MemberTable) apply(m *member, r Record, now time.Time) error {
	next, err := m.machine.Next(stateEvent[r.State])
	if err != nil {
		return err
	}
	r.ConfigVersion = max(r.ConfigVersion, m.ConfigVersion)
	t.hash ^= m.digest()
	if m.State != r.State || m.Incarnation != r.Incarnation {
		m.stateSince = now
	}
	t.stale = t.stale || m.State.Live() != r.State.Live() || m.DataCentre != r.DataCentre
	m.Record, m.machine = r, next
	t.hash ^= m.digest()
	return nil
}

// remove forgets a member. It fails if the member is not dead or left.
func (t *MemberTable) remove(m *member) error {
	if _, err := m.machine.Next(forget); err != nil {
		return err
	}
	delete(t.members, m.ID)
	t.hash ^= m.digest()
	return nil
}

// ringOrder returns the live members in ring order after this instance: all of them, and those in its data centre.
func (t *MemberTable) ringOrder() (all, local []*member) {
	if !t.stale {
		return t.ring, t.local
	}
	t.ring, t.local, t.stale = nil, nil, false
	for _, m := range t.members {
		if m.State.Live() {
			t.ring = append(t.ring, m)
		}
	}
	slices.SortFunc(t.ring, func(a, b *member) int {
		if c := cmp.Compare(a.pos-t.selfPos, b.pos-t.selfPos); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	for _, m := range t.ring {
		if m.DataCentre == t.self.DataCentre {
			t.local = append(t.local, m)
		}
	}
	t.sortByPosition()
	return t.ring, t.local
}

// sortByPosition sorts the live members by position. The ring is sorted but starts after this instance, so it only needs to
// be rotated.
func (t *MemberTable) sortByPosition() {
	first := 0
	for first < len(t.ring) && t.ring[first].pos > t.selfPos {
		first++
	}
	t.byPosition = slices.Concat(t.ring[first:], []*member{nil}, t.ring[:first])
	t.ringHash = hasher.Mix64(t.selfPos)
	for _, m := range t.ring {
		t.ringHash ^= hasher.Mix64(m.pos)
	}
}

// fingers returns the members of a ring at distances 1, 2, 4, ...
func fingers(ring []*member) []*member {
	var out []*member
	for d := 1; d <= len(ring); d *= 2 {
		out = append(out, ring[d-1])
	}
	return out
}

// log2 returns the logarithm of n to base 2, rounded up, and at least 1.
func log2(n int) int { return max(1, bits.Len(uint(max(0, n-1)))) }
