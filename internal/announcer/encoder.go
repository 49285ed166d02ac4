package announcer

import (
	"bytes"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/warmer"
)

// encoder encodes one announcement for several peers. The datagrams differ only in the store updates, in the load, which some peers
// get separately, and in the ages of published versions and warm-ups if they are sent at different times.
type encoder struct {
	a         *Announcer
	an        announcement
	updates   []archiver.StoreUpdate
	published []PublishedVersion
	warming   []warmer.Announced
	inFlight  map[string]InFlight
	slowdowns map[TargetHash]Slowdown
	saves     []archiver.SaveKey
	regional  bool
	// skipEmpty reports whether peers that learn of load, progress and signs of life otherwise get nothing if there is nothing else.
	skipEmpty bool
	createdAt time.Time
	// encoded holds the datagrams by the selection of store updates and load.
	encoded map[string][]byte
}

// newEncoder returns an encoder for the current state.
func (a *Announcer) newEncoder(now time.Time) *encoder {
	st := a.LocalState()
	a.mu.RLock()
	regional := a.plan.isRegional
	a.mu.RUnlock()
	isNew := now.UnixNano()-a.startedUnixNano < int64(helloTime)
	return &encoder{
		a: a, an: announcement{ID: a.Self.ID, DataCentre: a.Self.DataCentre, Sequence: a.sequence.Add(1), StartedUnixNano: a.startedUnixNano, State: st},
		updates: st.StoreUpdates, published: st.Published, warming: st.Warming, inFlight: st.InFlightByTarget, slowdowns: st.Slowdowns, saves: st.Saves, regional: regional, skipEmpty: regional && !isNew && st.isEmpty(), createdAt: now, encoded: map[string][]byte{},
	}
}

// setTime adjusts the ages of published versions and of warm-ups to the time at which the next datagrams are sent.
func (e *encoder) setTime(now time.Time) {
	if len(e.published)+len(e.warming) == 0 {
		return
	}
	e.an.State.Warming = slices.Clone(e.warming)
	for i := range e.warming {
		e.an.State.Warming[i] = e.warming[i].At(now.Sub(e.createdAt))
	}
	e.an.State.Published = slices.Clone(e.published)
	for i := range e.published {
		if e.published[i].Age >= 0 {
			e.an.State.Published[i].Age += now.Sub(e.createdAt)
		}
	}
	clear(e.encoded)
}

// marshal encodes an announcement. Integers take as few bytes as they need: in a digest they are most of the bytes.
func marshal(an announcement) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	err := enc.Encode(an)
	return buf.Bytes(), err
}

// encode returns the datagram for a peer; nil if there is nothing to send or it cannot be encoded.
func (e *encoder) encode(p Peer) []byte {
	selection := make([]byte, len(e.updates)+1)
	e.an.State.StoreUpdates = nil
	e.an.State.InFlightByTarget, e.an.State.Slowdowns, e.an.State.Saves, e.an.State.LoadSeparate = e.inFlight, e.slowdowns, e.saves, false
	if e.regional && p.DataCentre != "" {
		e.an.State.InFlightByTarget, e.an.State.Slowdowns, e.an.State.Saves, e.an.State.LoadSeparate = nil, nil, nil, true
		selection[len(e.updates)] = 1
	}
	for k, u := range e.updates {
		if e.a.ShouldSend == nil || e.a.ShouldSend(u.Store, p.ID) {
			selection[k] = 1
			e.an.State.StoreUpdates = append(e.an.State.StoreUpdates, u)
		}
	}
	if e.skipEmpty && e.an.State.LoadSeparate && len(e.an.State.StoreUpdates) == 0 {
		return nil
	}
	data, ok := e.encoded[string(selection)]
	if !ok {
		var err error
		if data, err = marshal(e.an); err != nil {
			logger.WithError(e.a.Log, err).Error("could not encode announcement")
		}
		e.encoded[string(selection)] = data
	}
	return data
}
