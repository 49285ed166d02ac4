package announcer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/warmer"
	"github.com/papayaworks/papayaworks/internal/watcher"
)

// earlierAnnouncement is an announcement as programs before the digests encode and decode it.
type earlierAnnouncement struct {
	ID              string `msgpack:"i"`
	Sequence        uint64 `msgpack:"n"`
	StartedUnixNano int64  `msgpack:"b"`
	State           struct {
		InFlightByTarget map[string]InFlight `msgpack:"f"`
		Progress         earlierProgress     `msgpack:"o"`
	} `msgpack:"s"`
}

type earlierProgress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Era, Offset, Version int64
}

// Guards against instances of different builds that cannot read each other's announcements during a rolling update.
func TestAnnouncementsOfEarlierBuilds(t *testing.T) {
	load := map[string]InFlight{"t": {Requests: 2, Tokens: 30}}
	data, err := marshal(announcement{
		ID: "a", Sequence: 3, StartedUnixNano: 4, DataCentre: "z",
		State: State{InFlightByTarget: load, Progress: watcher.Progress{Era: 1, Offset: 2, Version: 3, ConfirmedAgeMs: 4}, ConfirmedAgeMs: 4, LoadSeparate: true,
			Warming: []warmer.Announced{{Down: true}}},
	})
	require.NoError(t, err)
	var earlier earlierAnnouncement
	require.NoError(t, msgpack.Unmarshal(data, &earlier))
	require.Equal(t, "a", earlier.ID)
	require.Equal(t, load, earlier.State.InFlightByTarget)
	require.Equal(t, earlierProgress{Era: 1, Offset: 2, Version: 3}, earlier.State.Progress)

	data, err = msgpack.Marshal(earlier)
	require.NoError(t, err)
	var an announcement
	require.NoError(t, msgpack.Unmarshal(data, &an))
	require.Equal(t, load, an.State.InFlightByTarget)
	require.Equal(t, watcher.Progress{Era: 1, Offset: 2, Version: 3}, an.State.Progress)
	require.Empty(t, an.State.Warming)
	require.Nil(t, an.Load)
	require.Nil(t, an.Digest)
}
