package gossiper

import (
	"math/bits"
	"net/netip"

	"github.com/papayaworks/papayaworks/internal/charter"
	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/hasher"
)

// State is what is claimed of a member. Of two claims with the same incarnation the greater state wins.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// maxNameBytes bounds ids, data centres and keys in messages.
const maxNameBytes = 128

var (
	chart      = charter.MustLoad("peer")
	stateNames = [...]charter.State{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}
	stateEvent = [...]charter.Event{Alive: "refute", Suspect: "suspect", Dead: "die", Left: "leave"}
)

// forget is the event of a member that was dead or left for [keepDead].
const forget charter.Event = "forget"

// String returns the name of the state in the chart.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return string(stateNames[s])
	}
	return "unknown"
}

// Live reports whether a member in this state counts as part of the ring.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Identity is what an instance says of itself when it joins.
type Identity struct {
	ID         string
	DataCentre string
	Address    string
}

// Record is one member as messages carry it. It is encoded as an array to save the names.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	ID          string
	Address     string
	DataCentre  string
	Incarnation uint64
	State       State
	// ConfigVersion is the newest version that the member is known to have; it never falls.
	ConfigVersion int64
}

// newer reports whether the claim r replaces the claim o about the same member.
func (r Record) newer(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.State > o.State
}

func (r Record) validate() error {
	if r.ID == "" || len(r.ID) > maxNameBytes || len(r.DataCentre) > maxNameBytes || r.State > Left || r.ConfigVersion < 0 {
		return failer.New("record of member %.40q is not valid", r.ID)
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return failer.New("member %.40q has no valid address", r.ID)
	}
	return nil
}

// position places an id on the ring.
func position(id string) uint64 {
	return hasher.Hash(id)
}

// digest is the member's part of the table hash; members out of the ring have none, since they are forgotten at different times.
func (r Record) digest() uint64 {
	if !r.State.Live() {
		return 0
	}
	return hasher.Mix64(position(r.ID) ^ bits.RotateLeft64(hasher.Mix64(r.Incarnation), int(r.State)+1))
}
