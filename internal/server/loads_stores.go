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
	// storePrefix tells the reports of stores from those of targets, whose ids have no slash.
	storePrefix = "store/"
	// refreshStore is the time after which an unchanged state is passed on again, for instances that started meanwhile.
	// Reports of stores as often as those of targets would take the instances beyond 7 KB/s.
	refreshStore = 30 * time.Second
	// backlogStep and usedParts are the changes that are passed on before: half of the backlog but at least 100 ms, and
	// a sixteenth of a tier, since the policies compare with whole transfers and nearly full tiers.
	backlogStep = 100
	usedParts   = 16
)

// sharedStore is the state of a store as it is passed on inside the data centre.
type sharedStore struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	State dialer.StoreState
	// Rate is what the link achieved while it was busy; 0 if it was not.
	Rate float64
	Down bool
}

// told is the state that was passed on last.
type told struct {
	state sharedStore
	at    time.Time
}

// worthTelling reports whether a state differs enough from the one before to be passed on now.
func worthTelling(old told, st sharedStore, cfg configurer.Store, now time.Time) bool {
	since := now.Sub(old.at)
	if st.Down != old.state.Down || since >= refreshStore {
		return true
	}
	if since < shareEvery {
		return false
	}
	moved := func(a, b, step int64) bool { return a-b >= step || b-a >= step }
	was := old.state.State
	return moved(st.State.LinkBacklogMs, was.LinkBacklogMs, max(backlogStep, was.LinkBacklogMs/2)) ||
		moved(st.State.MemoryUsed, was.MemoryUsed, int64(max(1, cfg.MemoryMiB))*bytesPerMiB/usedParts) ||
		moved(st.State.DiskUsed, was.DiskUsed, int64(max(1, cfg.DiskMiB))*bytesPerMiB/usedParts)
}

// share passes states on that this instance polled for its data centre.
func (p *storePoller) share(v *view.View, ro roster, changes map[string]view.StoreStatus, now time.Time) {
	m := p.server.peers
	if !m.joined() || ro.all {
		return
	}
	for id, st := range changes {
		cfg, ok := v.StoreConfig(id)
		out := sharedStore{State: st.State, Rate: p.rates[id], Down: st.Down}
		if !ok || !ro.passesOn(id, cfg.DataCentre) || !worthTelling(p.told[id], out, cfg, now) {
			continue
		}
		p.told[id] = told{state: out, at: now}
		delete(p.rates, id)
		body, err := encodeStore(out)
		if err != nil {
			logger.WithError(p.server.Log, err).Warn("state of a store not passed on")
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

// storeState applies the state of a store from another instance.
func (m *membership) storeState(id string, body []byte) {
	in := new(sharedStore)
	if err := msgpack.Unmarshal(body, in); err != nil {
		logger.WithError(m.s.Log, err).Warn("state of a store from an instance cannot be read")
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
