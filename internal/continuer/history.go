package continuer

import (
	"maps"
	"slices"
	"time"
)

const (
	// takeUpWindow is longer than a broken stream may be taken up after it began: callers give up well before.
	takeUpWindow = time.Minute
	// markHorizon is for how long a software version needs its mark after it has left. It is below takeUpWindow by more than views of
	// instances differ, so that no instance writes again what another one has removed.
	markHorizon = takeUpWindow * 3 / 4
	// markTrustTime is for how long a mark is relied on after its version has left. Well after that, other instances may remove it.
	markTrustTime = takeUpWindow / 2
)

// History holds the software versions that are or lately were in service, and which of them are marked. It is immutable and has no
// clock: times are those since some common start. The zero value is empty.
type History struct {
	services map[string]map[string]version
}

// version is what is known of a software version of a service.
type version struct {
	isInView bool
	// wasInView reports whether the version was in the own view at any time, last at leftAt if it isn't now.
	wasInView bool
	leftAt    time.Duration
	// isStored reports whether the store has a mark, by what was read or acknowledged last at storedAt.
	isStored bool
	storedAt time.Duration
	// isMarked reports whether the mark may be relied on.
	isMarked bool
	// isDoubtful reports whether a removal that this instance has sent may still be applied, after any mark that it reads.
	isDoubtful bool
	// returnedAt is when the version came back after other instances may have removed its mark; 0 once what was written before was read.
	// Until then a mark that is read is not relied on.
	returnedAt time.Duration
	// isFirst reports whether the version has been in view since it was the only one, so that it was used without a mark.
	isFirst bool
}

// isRecent reports whether the version has been in the own view within a time.
func (v version) isRecent(within, now time.Duration) bool {
	return v.isInView || v.wasInView && now-v.leftAt < within
}

// absence returns for how long the version has neither been in the own view nor newly marked.
func (v version) absence(now time.Duration) time.Duration {
	if v.isInView {
		return 0
	}
	since := v.storedAt
	if v.wasInView {
		since = max(since, v.leftAt)
	}
	return now - since
}

// WithVersions returns the history with the software versions by service that are in service now, and whether that is a change.
func (h History) WithVersions(view map[string][]string, now time.Duration) (History, bool) {
	if h.hasVersions(view) {
		return h, false
	}
	out := h.clone()
	for service, vs := range out.services {
		out.setFirst(service, now)
		for software, v := range vs {
			if v.isInView && !slices.Contains(view[service], software) {
				v.isInView, v.isFirst, v.leftAt = false, false, now
				vs[software] = v
			}
		}
	}
	for service, names := range view {
		for _, software := range names {
			v := out.get(service, software)
			if v.isInView {
				continue
			}
			if v.wasInView && !v.isRecent(markTrustTime, now) || !v.wasInView && v.isStored && v.absence(now) >= markTrustTime {
				v.isMarked, v.returnedAt = false, now
			}
			v.isInView, v.wasInView = true, true
			out.set(service, software, v)
		}
		out.setFirst(service, now)
	}
	return out, true
}

// hasVersions reports whether exactly the versions of view are in view already.
func (h History) hasVersions(view map[string][]string) bool {
	for service, names := range view {
		for _, software := range names {
			if !h.services[service][software].isInView {
				return false
			}
		}
	}
	for service, vs := range h.services {
		for software, v := range vs {
			if v.isInView && !slices.Contains(view[service], software) {
				return false
			}
		}
	}
	return true
}

// WithRead returns the history with marks that were read.
func (h History) WithRead(marks []Mark, now time.Duration) History {
	out := h.clone()
	for _, m := range marks {
		v := out.get(m.Service, m.Software)
		v.isStored, v.isMarked = !m.IsRemoved, !m.IsRemoved && !v.isDoubtful && v.returnedAt == 0
		v.storedAt = now
		out.set(m.Service, m.Software, v)
	}
	return out
}

// WithCaughtUp returns the history when all marks were read that had been written at a time.
func (h History) WithCaughtUp(at time.Duration) History {
	out := h.clone()
	for _, vs := range out.services {
		for software, v := range vs {
			if v.returnedAt <= at {
				v.returnedAt = 0
				vs[software] = v
			}
		}
	}
	return out
}

// WithSent returns the history when marks are about to be appended.
func (h History) WithSent(marks []Mark) History {
	out := h.clone()
	for _, m := range marks {
		if v := out.get(m.Service, m.Software); m.IsRemoved {
			v.isMarked, v.isDoubtful = false, true
			out.set(m.Service, m.Software, v)
		}
	}
	return out
}

// WithAcknowledged returns the history with marks whose append was acknowledged.
func (h History) WithAcknowledged(marks []Mark, now time.Duration) History {
	out := h.clone()
	for _, m := range marks {
		v := out.get(m.Service, m.Software)
		v.isDoubtful, v.returnedAt = false, 0
		out.set(m.Service, m.Software, v)
	}
	return out.WithRead(marks, now)
}

// WithoutMarks returns the history when the store may have lost all marks.
func (h History) WithoutMarks() History {
	out := h.clone()
	for _, vs := range out.services {
		for software, v := range vs {
			v.isStored, v.isMarked = false, false
			vs[software] = v
		}
	}
	return out
}

// WithoutGone returns the history without the versions that have left for good and have no mark.
func (h History) WithoutGone(now time.Duration) History {
	out := h.clone()
	for service, vs := range out.services {
		maps.DeleteFunc(vs, func(_ string, v version) bool { return !v.isStored && !v.isRecent(takeUpWindow, now) })
		if len(vs) == 0 {
			delete(out.services, service)
		}
	}
	return out
}

// Versions returns, in order, the software versions that may have begun a stream of the service that may still be taken up.
func (h History) Versions(service string, now time.Duration) []string {
	var out []string
	for software, v := range h.services[service] {
		if v.isStored || v.isRecent(takeUpWindow, now) {
			out = append(out, software)
		}
	}
	slices.Sort(out)
	return out
}

// IsObserved reports whether the software version is or lately was in the own view.
func (h History) IsObserved(service, software string, now time.Duration) bool {
	return h.services[service][software].isRecent(takeUpWindow, now)
}

// IsUsable reports whether a target of the service with the software version may get calls: if it is the only version, if it was the
// only one when the others appeared, or if all versions are marked that need it.
func (h History) IsUsable(service, software string, now time.Duration) bool {
	vs := h.services[service]
	if len(h.Versions(service, now)) < 2 || vs[software].isFirst {
		return true
	}
	for _, v := range vs {
		if v.isRecent(markHorizon, now) && !v.isMarked {
			return false
		}
	}
	return vs[software].isMarked
}

// Changes returns the marks that have to be written now, and those that have to be removed. The only version of a service is marked as
// well: otherwise nothing would tell of it once it was replaced while no instance was running.
func (h History) Changes(now time.Duration) []Mark {
	var out []Mark
	for service, vs := range h.services {
		for software, v := range vs {
			switch {
			case v.isRecent(markHorizon, now) && !v.isMarked:
				out = append(out, Mark{Service: service, Software: software})
			case v.isStored && v.absence(now) >= takeUpWindow:
				out = append(out, Mark{Service: service, Software: software, IsRemoved: true})
			}
		}
	}
	return out
}

func (h History) get(service, software string) version { return h.services[service][software] }

// set changes a history that was cloned and is not shared yet.
func (h History) set(service, software string, v version) {
	if h.services[service] == nil {
		h.services[service] = map[string]version{}
	}
	h.services[service][software] = v
}

// setFirst notes which version of a service is the only one, in a history that is not shared yet.
func (h History) setFirst(service string, now time.Duration) {
	if known := h.Versions(service, now); len(known) == 1 {
		v := h.get(service, known[0])
		v.isFirst = v.isInView
		h.set(service, known[0], v)
	}
}

func (h History) clone() History {
	out := History{services: make(map[string]map[string]version, len(h.services))}
	for service, vs := range h.services {
		out.services[service] = maps.Clone(vs)
	}
	return out
}
