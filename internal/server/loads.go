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
	// pollAllMaxMembers is the largest number of live members at which each of them polls every target. With more,
	// a target would receive hundreds of polls per second.
	pollAllMaxMembers = 24
	// pollersPerTarget is the number of instances that poll a target in larger deployments; the first of them
	// broadcasts the reports.
	pollersPerTarget = 2
	// minBroadcastInterval is the minimum time between two broadcast reports of a target. The 70 targets of a data
	// centre then take 1.7 of the 7 KB/s that an instance may send; usage payloads, polls and headers take the rest.
	// Unchanged reports are broadcast as well, because the cost of a target includes the runs that may have started
	// since its report.
	minBroadcastInterval = 4 * time.Second
)

// sharedLoad is a load report as it is broadcast within the data centre. The order of its fields is the wire format.
type sharedLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Load     dialer.Load
	Versions map[string]int64
	Leaving  bool
	Down     bool
}

// liveMemberIDs returns the IDs of the live members of a data centre, or of all data centres if dataCentre is "".
func liveMemberIDs(v *view.View, dataCentre string) []string {
	var out []string
	for _, m := range v.Members {
		if (m.State == "alive" || m.State == "suspect") && (dataCentre == "" || m.DataCentre == dataCentre) {
			out = append(out, m.ID)
		}
	}
	return out
}

// roster determines which targets and stores this instance polls in one view.
type roster struct {
	self, dataCentre string
	// all reports whether the deployment is so small that each instance polls everything.
	all bool
	// ids are the live members of this instance's data centre.
	ids []string
}

// roster returns the roster of a view. It is computed once per poll: at 420 instances and 830 targets, a scan of all
// members for each target took 22 ms of CPU time per second, more than the 2 % of a core that control work may use.
func (m *membership) roster(v *view.View) roster {
	set := m.s.Settings.Instance
	return roster{
		self: set.ID, dataCentre: set.DataCentre, all: len(liveMemberIDs(v, "")) <= pollAllMaxMembers, ids: liveMemberIDs(v, set.DataCentre),
	}
}

// polls reports whether this instance polls a target or store.
func (r roster) polls(id, dataCentre string) bool {
	return r.all || dataCentre == r.dataCentre && slices.Contains(pollersOf(r.ids, id), r.self)
}

// broadcasts reports whether this instance broadcasts the polled state of a target or store to its data centre.
func (r roster) broadcasts(id, dataCentre string) bool {
	if r.all || dataCentre != r.dataCentre {
		return false
	}
	ids := pollersOf(r.ids, id)
	return len(ids) > 0 && ids[0] == r.self
}

// pollersOf returns which of the given members poll a target or store in a large deployment. The members must be the live
// ones of its data centre.
func pollersOf(members []string, id string) []string { return topByHash(members, id, pollersPerTarget) }

// topByHash returns the n members with the highest rendezvous weights for an ID, highest first, or all members if there
// are fewer.
func topByHash(members []string, id string, n int) []string {
	// The weight depends on the first bytes of the key only, and most target IDs share a prefix, so the ID is hashed.
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

// broadcastLoads sends load reports to the other instances unless these poll the targets themselves. It must be called
// on the poller's goroutine, which owns lastBroadcast.
func (m *membership) broadcastLoads(v *view.View, ro roster, changes map[string]view.Status, now time.Time) {
	if !m.joined() || ro.all {
		return
	}
	for id, st := range changes {
		t, ok := v.Target(id)
		if !ok || now.Sub(m.lastBroadcast[id]) < minBroadcastInterval || !ro.broadcasts(id, t.DataCentre) {
			continue
		}
		m.lastBroadcast[id] = now
		body, err := encodeLoad(st)
		if err != nil {
			logger.WithError(m.s.Log, err).Warn("encode load report for broadcast failed")
			continue
		}
		m.g.BroadcastLoad(id, body)
	}
}

// encodeLoad encodes a status as an array; field names would be three quarters of its bytes.
func encodeLoad(st view.Status) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(&sharedLoad{Load: st.Load, Versions: st.Versions, Leaving: st.Leaving, Down: st.Down})
	return b.Bytes(), err
}

// onLoad applies a load report of a target, or the state of a KV store, that another instance broadcast.
func (m *membership) onLoad(target string, body []byte) {
	if store, ok := strings.CutPrefix(target, storePrefix); ok {
		m.onStoreState(store, body)
		return
	}
	in := new(sharedLoad)
	if err := msgpack.Unmarshal(body, in); err != nil {
		logger.WithError(m.s.Log, err).Warn("decode load report from a peer failed")
		return
	}
	st := view.Status{Load: in.Load, LoadAt: time.Now(), Versions: in.Versions, Leaving: in.Leaving, Down: in.Down}
	m.s.control.Update(func(v *view.View) *view.View { return v.WithTargets(map[string]view.Status{target: st}) })
}
