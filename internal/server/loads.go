package server

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/view"
)

const (
	// pollAllUpTo is the number of live members up to which each polls every target itself; above it, polls by all
	// would cost a target hundreds of requests a second.
	pollAllUpTo = 24
	// pollersPerTarget is how many instances poll a target above that; the first of them passes the reports on.
	pollersPerTarget = 2
	// shareEvery is the time between two reports of a target that are passed on: 70 targets of a data centre then take
	// 1.7 of the 7 KB/s that an instance may send; usage payloads, polls and headers take the rest. Unchanged reports are
	// passed on too, because the cost of a target counts the runs that may have come since its report.
	shareEvery = 4 * time.Second
)

// sharedLoad is a load report as it is passed on inside the data centre.
type sharedLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Load     dialer.Load
	Versions map[string]int64
	Leaving  bool
	Down     bool
}

// live returns the ids of the live members, those of one data centre only unless it is "".
func live(v *view.View, dataCentre string) []string {
	var out []string
	for _, m := range v.Members {
		if (m.State == "alive" || m.State == "suspect") && (dataCentre == "" || m.DataCentre == dataCentre) {
			out = append(out, m.ID)
		}
	}
	return out
}

// roster tells which targets and stores this instance polls, for one view.
type roster struct {
	own, dataCentre string
	// all: there are so few instances that each polls everything.
	all bool
	// ids are the live members of the own data centre.
	ids []string
}

// roster is made once for each poll: at 420 instances and 830 targets, a look at all members for each target took
// 22 ms a second, more than the 2 % of a core that control work may use.
func (m *membership) roster(v *view.View) roster {
	set := m.s.Settings.Instance
	return roster{
		own: set.ID, dataCentre: set.DataCentre, all: len(live(v, "")) <= pollAllUpTo, ids: live(v, set.DataCentre),
	}
}

// polls reports whether this instance polls a target or store.
func (r roster) polls(id, dataCentre string) bool {
	return r.all || dataCentre == r.dataCentre && slices.Contains(pollersOf(r.ids, id), r.own)
}

// passesOn reports whether this instance tells the others of its data centre what it polled.
func (r roster) passesOn(id, dataCentre string) bool {
	if r.all || dataCentre != r.dataCentre {
		return false
	}
	ids := pollersOf(r.ids, id)
	return len(ids) > 0 && ids[0] == r.own
}

// pollersOf returns which of the live members of its data centre poll a target or store when there are too many for
// all to do it.
func pollersOf(members []string, id string) []string { return chosen(members, id, pollersPerTarget) }

// chosen returns the first n members for an id by rendezvous.
func chosen(members []string, id string, n int) []string {
	// A weight uses the first bytes of the key, which are alike in the ids of most targets.
	hash := sha256.Sum256([]byte(id))
	key := keyer.Key(hash[:keyer.KeyBytes])
	out, weights := make([]string, 0, n+1), make([]uint64, 0, n+1)
	for _, m := range members {
		w, at := keyer.Weight(key, m), len(out)
		for at > 0 && w > weights[at-1] {
			at--
		}
		if at == n {
			continue
		}
		out, weights = slices.Insert(out, at, m), slices.Insert(weights, at, w)
		out, weights = out[:min(len(out), n)], weights[:min(len(weights), n)]
	}
	return out
}

// share passes load reports on if the other instances do not poll the targets themselves; the poller's goroutine owns shared.
func (m *membership) share(v *view.View, ro roster, changes map[string]view.Status, now time.Time) {
	if !m.joined() || ro.all {
		return
	}
	for id, st := range changes {
		t, ok := v.Target(id)
		if !ok || now.Sub(m.shared[id]) < shareEvery || !ro.passesOn(id, t.DataCentre) {
			continue
		}
		m.shared[id] = now
		body, err := encodeLoad(st)
		if err != nil {
			logger.WithError(m.s.Log, err).Warn("load report not passed on")
			continue
		}
		m.g.BroadcastLoad(id, body)
	}
}

// encodeLoad encodes a status without the names of its fields, which would be three quarters of its bytes.
func encodeLoad(st view.Status) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(&sharedLoad{Load: st.Load, Versions: st.Versions, Leaving: st.Leaving, Down: st.Down})
	return b.Bytes(), err
}

// load applies a load report, or the state of a store, from another instance.
func (m *membership) load(target string, body []byte) {
	if store, ok := strings.CutPrefix(target, storePrefix); ok {
		m.storeState(store, body)
		return
	}
	in := new(sharedLoad)
	if err := msgpack.Unmarshal(body, in); err != nil {
		logger.WithError(m.s.Log, err).Warn("load report of an instance cannot be read")
		return
	}
	st := view.Status{Load: in.Load, LoadAt: time.Now(), Versions: in.Versions, Leaving: in.Leaving, Down: in.Down}
	m.s.control.Update(func(v *view.View) *view.View { return v.WithTargets(map[string]view.Status{target: st}) })
}
