package gossiper

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/charter"
	"github.com/papayaworks/papayaworks/internal/hasher"
)

// member is a record with what this instance knows of it.
type member struct {
	Record
	machine charter.Machine
	pos     uint64
	// heard is when a message came from the member itself.
	heard time.Time
	// since is when the present state was entered here.
	since time.Time
	// answered is when the member was last told of a claim about it.
	answered time.Time
	// told is when the member was last told of versions that it missed.
	told time.Time
}

// MemberTable holds the members other than this instance, by id and in the order of the ring.
type MemberTable struct {
	self    Identity
	selfPos uint64
	members map[string]*member
	// ring holds the live members in ring order, starting after this instance.
	ring  []*member
	local []*member
	// placed are the live members with this instance, which is nil, by position; ringHash is a hash of their ids.
	placed   []*member
	ringHash uint64
	hash     uint64
	stale    bool
}

func newTable(self Identity) *MemberTable {
	return &MemberTable{self: self, selfPos: position(self.ID), members: map[string]*member{}, stale: true}
}

// add takes in a member that was not known.
func (t *MemberTable) add(r Record, now time.Time) {
	m := &member{Record: r, machine: chart.Start(), pos: position(r.ID), since: now}
	if r.State != Alive {
		m.machine, _ = m.machine.Next(stateEvent[r.State])
	}
	t.members[r.ID] = m
	t.hash ^= m.digest()
	t.stale = true
}

// apply replaces the claim about a member by a newer one; the chart must have the transition.
func (t *MemberTable) apply(m *member, r Record, now time.Time) error {
	next, err := m.machine.Next(stateEvent[r.State])
	if err != nil {
		return err
	}
	r.ConfigVersion = max(r.ConfigVersion, m.ConfigVersion)
	t.hash ^= m.digest()
	if m.State != r.State || m.Incarnation != r.Incarnation {
		m.since = now
	}
	t.stale = t.stale || m.State.Live() != r.State.Live() || m.DataCentre != r.DataCentre
	m.Record, m.machine = r, next
	t.hash ^= m.digest()
	return nil
}

// remove forgets a member that is dead or left.
func (t *MemberTable) remove(m *member) error {
	if _, err := m.machine.Next(forget); err != nil {
		return err
	}
	delete(t.members, m.ID)
	t.hash ^= m.digest()
	return nil
}

// order returns the live members in ring order after this instance, all of them and those of the data centre.
func (t *MemberTable) order() (all, local []*member) {
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
	t.place()
	return t.ring, t.local
}

// place sorts the live members by position. The ring starts after this instance, so that it only has to be turned.
func (t *MemberTable) place() {
	first := 0
	for first < len(t.ring) && t.ring[first].pos > t.selfPos {
		first++
	}
	t.placed = slices.Concat(t.ring[first:], []*member{nil}, t.ring[:first])
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
