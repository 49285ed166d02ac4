package server

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// storePrefix distinguishes the reports of KV stores from those of targets, whose IDs contain no slash.
	storePrefix = "store/"
	// storeRefreshInterval is the time after which an unchanged state is broadcast again, for instances that started
	// in the meantime. Broadcasts at the interval of load reports would exceed the 7 KB/s that an instance may send.
	storeRefreshInterval = 30 * time.Second
	// minBacklogChangeMs and tierUsageSteps define the changes that are broadcast earlier: half of the backlog but at
	// least 100 ms, and a sixteenth of a tier. Smaller changes hardly affect decisions, since the policies compare the
	// backlog with the duration of complete transfers and check only whether a tier is nearly full.
	minBacklogChangeMs = 100
	tierUsageSteps     = 16
)

// sharedStore is the state of a KV store as it is broadcast within the data centre. The order of its fields is the
// wire format.
type sharedStore struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	State dialer.StoreState
	// Rate is the throughput of the link while it was busy, in bytes per second; 0 if it was idle.
	Rate float64
	Down bool
}

// sentState is the last broadcast state of a store.
type sentState struct {
	state  sharedStore
	sentAt time.Time
}

// shouldBroadcast reports whether to broadcast a state now: it differs enough from the last broadcast state, or that
// broadcast was long enough ago.
func shouldBroadcast(last sentState, st sharedStore, cfg configurer.Store, now time.Time) bool {
	since := now.Sub(last.sentAt)
	if st.Down != last.state.Down || since >= storeRefreshInterval {
		return true
	}
	if since < minBroadcastInterval {
		return false
	}
	changed := func(a, b, step int64) bool { return a-b >= step || b-a >= step }
	prev := last.state.State
	return changed(st.State.LinkBacklogMs, prev.LinkBacklogMs, max(minBacklogChangeMs, prev.LinkBacklogMs/2)) ||
		changed(st.State.MemoryUsed, prev.MemoryUsed, int64(max(1, cfg.MemoryMiB))*bytesPerMiB/tierUsageSteps) ||
		changed(st.State.DiskUsed, prev.DiskUsed, int64(max(1, cfg.DiskMiB))*bytesPerMiB/tierUsageSteps)
}

// broadcast sends the states of the KV stores that this instance polls for its data centre to the other instances.
func (p *storePoller) broadcast(v *view.View, ro roster, changes map[string]view.StoreStatus, now time.Time) {
	m := p.server.peers
	if !m.joined() || ro.all {
		return
	}
	for id, st := range changes {
		cfg, ok := v.StoreConfig(id)
		out := sharedStore{State: st.State, Rate: p.rates[id], Down: st.Down}
		if !ok || !ro.broadcasts(id, cfg.DataCentre) || !shouldBroadcast(p.lastSent[id], out, cfg, now) {
			continue
		}
		p.lastSent[id] = sentState{state: out, sentAt: now}
		delete(p.rates, id)
		body, err := encodeStore(out)
		if err != nil {
			logger.WithError(p.server.Log, err).Warn("encode KV store state for broadcast failed")
			continue
		}
		m.g.BroadcastLoad(storePrefix+id, body)
	}
}

func encodeStore(st sharedStore) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(&st)
	return b.Bytes(), err
}

// onStoreState applies the state of a KV store that another instance broadcast.
func (m *membership) onStoreState(id string, body []byte) {
	in := new(sharedStore)
	if err := msgpack.Unmarshal(body, in); err != nil {
		logger.WithError(m.s.Log, err).Warn("decode KV store state from a peer failed")
		return
	}
	m.s.control.Update(func(v *view.View) *view.View {
		cfg, ok := v.StoreConfig(id)
		if !ok {
			return v
		}
		limit := float64(cfg.LinkMiBPerSec) * bytesPerMiB
		if in.Rate > 0 {
			m.s.tracker.RecordRate(id, limit, in.Rate)
		}
		rate, _ := m.s.tracker.LinkRate(id, limit)
		return v.WithStores(map[string]view.StoreStatus{id: {State: in.State, BytesPerSec: rate, Down: in.Down}})
	})
}
