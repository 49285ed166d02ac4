package announcer

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/quarantiner"
	"github.com/papayaworks/papayaworks/internal/throttler"
	"github.com/papayaworks/papayaworks/internal/warmer"
	"github.com/papayaworks/papayaworks/internal/watcher"
)

// TargetVersion is the weight version that a process of a target reported for a model.
type TargetVersion struct {
	Target        string `msgpack:"t"`
	StartedUnixMs int64  `msgpack:"b"`
	Model         string `msgpack:"m"`
	Version       int64  `msgpack:"v"`
}

// PublishedVersion is a weight version that the operator published, with the time since then; a negative age means that it is
// unknown.
type PublishedVersion struct {
	Model   string        `msgpack:"m"`
	Version int64         `msgpack:"v"`
	Age     time.Duration `msgpack:"a"`
}

// State is the content of an announcement.
type State struct {
	InFlightByTarget map[string]InFlight `msgpack:"f"`
	// Slowdowns holds the targets that were recently slow; it is left out like InFlightByTarget.
	Slowdowns map[TargetHash]Slowdown `msgpack:"x,omitempty"`
	// LoadSeparate reports whether InFlightByTarget is left out, because load announcements and digests carry the load.
	LoadSeparate bool `msgpack:"l,omitempty"`
	// Versions holds the weight versions that targets recently reported to this instance.
	Versions []TargetVersion `msgpack:"v,omitempty"`
	// StoreUpdates holds the updates of KV stores that this instance follows.
	StoreUpdates []archiver.StoreUpdate `msgpack:"k,omitempty"`
	// Saves holds the blocks whose saves to KV stores wait at targets; it is left out like InFlightByTarget.
	Saves []archiver.SaveKey `msgpack:"u,omitempty"`
	// Started holds the load of a request that has just started, by its target. It is set in start announcements only;
	// all other fields are then empty.
	Started map[string]InFlight `msgpack:"b,omitempty"`
	// Swapping holds the targets that this instance has commanded to load new weights, with the remaining time for
	// which each is excluded from selection.
	Swapping map[string]time.Duration `msgpack:"s,omitempty"`
	// Published holds the recently published weight versions.
	Published []PublishedVersion `msgpack:"p,omitempty"`
	// Crashes holds recent crashes of targets with the suspect blocks, Quarantined the state of blocks.
	Crashes     []quarantiner.Crash `msgpack:"c,omitempty"`
	Quarantined []quarantiner.Entry `msgpack:"q,omitempty"`
	// Statements holds what targets have recently said about the requests that they accept.
	Statements []throttler.Announced `msgpack:"t,omitempty"`
	// Warming holds which targets were recently found to be warming up or down.
	Warming []warmer.Announced `msgpack:"w,omitempty"`
	// Departures holds the targets that were recently removed or are leaving.
	Departures []watcher.Departure `msgpack:"d,omitempty"`
	// Progress is how far this instance has read the operator's records.
	Progress watcher.Progress `msgpack:"o"`
	// ConfirmedAgeMs is [watcher.Progress.ConfirmedAgeMs].
	ConfirmedAgeMs int64 `msgpack:"y,omitempty"`
}

// isEmpty reports whether the state holds nothing beside load, progress and the updates of KV stores.
func (s *State) isEmpty() bool {
	return len(s.Versions)+len(s.Swapping)+len(s.Published)+len(s.Crashes)+len(s.Quarantined)+len(s.Statements)+len(s.Warming)+len(s.Departures) == 0
}

// announcement is the payload of a datagram. Announcements are ordered by the start of the sender's process, then by
// sequence number.
type announcement struct {
	ID              string `msgpack:"i"`
	Sequence        uint64 `msgpack:"n"`
	StartedUnixNano int64  `msgpack:"b"`
	DataCentre      string `msgpack:"z,omitempty"`
	State           State  `msgpack:"s"`
	// Load is set in load announcements and Digest in digests; State is then empty.
	Load   *Load   `msgpack:"l,omitempty"`
	Digest *digest `msgpack:"d,omitempty"`
}
