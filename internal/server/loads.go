package server

import (
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
	// pollersPerTarget is how many instances poll a target above that.
	pollersPerTarget = 2
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
	if len(live(v, "")) <= pollAllUpTo {
		return true
	}
	key := keyer.Key{}
	copy(key[:], t.ID)
	ids := live(v, t.DataCentre)
	slices.SortFunc(ids, func(a, b string) int {
		if keyer.Weight(key, a) > keyer.Weight(key, b) {
			return -1
		}
		return 1
	})
	return slices.Contains(ids[:min(pollersPerTarget, len(ids))], m.s.Settings.Instance.ID)
}

// share passes load reports on if the other instances do not poll the targets themselves.
func (m *membership) share(v *view.View, changes map[string]view.Status) {
	if !m.joined() || len(live(v, "")) <= pollAllUpTo {
		return
	}
	for id, st := range changes {
		body, err := msgpack.Marshal(&sharedLoad{Load: st.Load, Versions: st.Versions, Leaving: st.Leaving, Down: st.Down})
		if err != nil {
			logger.WithError(m.s.Log, err).Warn("load report not passed on")
			continue
		}
		m.g.Report(id, body)
	}
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
