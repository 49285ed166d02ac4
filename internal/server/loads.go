package server

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// pollAllUpTo is the number of live members up to which each polls every target itself; above it, polls by all
	// would cost a target hundreds of requests a second.
	pollAllUpTo = 24
	// pollersPerTarget is how many instances poll a target above that; the first of them passes the reports on.
	pollersPerTarget = 2
	// shareEvery is the time between two reports of a target that are passed on: 70 targets of a data centre at one
	// report a second would take 5 of the 7 KB/s that an instance may use.
	shareEvery = 3 * time.Second
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

// responsible reports whether this instance polls the target.
func (m *membership) responsible(v *view.View, t configurer.Target) bool {
	return len(live(v, "")) <= pollAllUpTo || slices.Contains(pollersOf(v, t), m.s.Settings.Instance.ID)
}

// pollersOf returns the instances that poll a target when there are too many for all to do it.
func pollersOf(v *view.View, t configurer.Target) []string {
	// A weight uses the first bytes of the key, which are alike in the ids of most targets.
	hash := sha256.Sum256([]byte(t.ID))
	key := keyer.Key(hash[:16])
	ids := live(v, t.DataCentre)
	slices.SortFunc(ids, func(a, b string) int {
		if keyer.Weight(key, a) > keyer.Weight(key, b) {
			return -1
		}
		return 1
	})
	return ids[:min(pollersPerTarget, len(ids))]
}

// share passes load reports on if the other instances do not poll the targets themselves; the poller's goroutine owns shared.
func (m *membership) share(v *view.View, changes map[string]view.Status, now time.Time) {
	if !m.joined() || len(live(v, "")) <= pollAllUpTo {
		return
	}
	for id, st := range changes {
		t, ok := v.Target(id)
		if !ok || now.Sub(m.shared[id]) < shareEvery {
			continue
		}
		if ids := pollersOf(v, t.Target); len(ids) == 0 || ids[0] != m.s.Settings.Instance.ID {
			continue
		}
		m.shared[id] = now
		body, err := encodeLoad(st)
		if err != nil {
			logger.WithError(m.s.Log, err).Warn("load report not passed on")
			continue
		}
		m.g.Report(id, body)
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

// load applies a load report from another instance.
func (m *membership) load(target string, body []byte) {
	in := new(sharedLoad)
	if err := msgpack.Unmarshal(body, in); err != nil {
		logger.WithError(m.s.Log, err).Warn("load report of an instance cannot be read")
		return
	}
	st := view.Status{Load: in.Load, LoadAt: time.Now(), Versions: in.Versions, Leaving: in.Leaving, Down: in.Down}
	m.s.control.Update(func(v *view.View) *view.View { return v.WithTargets(map[string]view.Status{target: st}) })
}
