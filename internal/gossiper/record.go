package gossiper

import (
	"math/bits"
	"net/netip"

	"github.com/papayaworks/papayaworks/internal/charter"
	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/hasher"
)

// State is the claimed state of a member. Of two claims with the same incarnation, the greater state wins.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// maxNameBytes is the maximum length of ids, data centres and keys in messages.
const maxNameBytes = 128

// chart is the state chart of a member. stateEvent holds the event that leads to each state.
var (
	chart      = charter.MustLoad("peer")
	stateNames = [...]charter.State{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}
	stateEvent = [...]charter.Event{Alive: "refute", Suspect: "suspect", Dead: "die", Left: "leave"}
)

// forget is the event of a member that has been dead or left for [deadMemberTTL].
const forget charter.Event = "forget"

// String returns the name of the state in the state chart.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return string(stateNames[s])
	}
	return "unknown"
}

// Live reports whether a member in this state is part of the ring.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Identity is how an instance identifies itself when it joins.
type Identity struct {
	ID         string
	DataCentre string
	Address    string
}

// Record is the record of one member in messages. It is encoded as an array, without field names, to save bytes.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	ID          string
	Address     string
	DataCentre  string
	Incarnation uint64
	State       State
	// ConfigVersion is the newest configuration version that the member is known to have; it never decreases.
	ConfigVersion int64
}

// supersedes reports whether the claim r replaces the claim o about the same member.
func (r Record) supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.State > o.State
}

func (r Record) validate() error {
	if r.ID == "" || len(r.ID) > maxNameBytes || len(r.DataCentre) > maxNameBytes || r.State > Left || r.ConfigVersion < 0 {
		return failer.New("invalid record of member %.40q", r.ID)
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return failer.New("invalid address of member %.40q", r.ID)
	}
	return nil
}

// ringPosition returns the position of an id on the ring.
func ringPosition(id string) uint64 {
	return hasher.Hash(id)
}

// digest returns the member's contribution to the table hash. Dead and left members do not contribute, since instances
// forget them at different times.
func (r Record) digest() uint64 {
	if !r.State.Live() {
		return 0
	}
	return hasher.Mix64(ringPosition(r.ID) ^ bits.RotateLeft64(hasher.Mix64(r.Incarnation), int(r.State)+1))
}
