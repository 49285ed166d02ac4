package warmer

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/throttler"
)

const (
	// announceTime is how long an own observation is announced. It covers two announcements of the largest deployment.
	announceTime = 3 * time.Second
	// maxAnnounced bounds the size of an announcement.
	maxAnnounced = 64
	// mergeTolerance is the least difference between the times of two observations of the same kind. Smaller ones follow from the
	// latency of announcements, and each would be announced again.
	mergeTolerance = 500 * time.Millisecond
)

// Announced is an observation of a target as it is sent to other instances.
type Announced struct {
	Process throttler.Process `msgpack:"p"`
	// Down reports that the target's process was found to have ended. If it is not set, the target stays cold for Remaining.
	Down      bool          `msgpack:"d,omitempty"`
	Remaining time.Duration `msgpack:"r,omitempty"`
	// Age is the time since the observation.
	Age time.Duration `msgpack:"a"`
}

// At returns the observation as it is sent some time after it was announced.
func (a Announced) At(later time.Duration) Announced {
	a.Age += later
	a.Remaining = max(0, a.Remaining-later)
	return a
}

// Announced returns what this instance has recently observed itself, and what is known of the cold targets of which it is a sender, so
// that new instances learn it.
func (t *Table) Announced(now time.Time) []Announced {
	if !t.hasTargets() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Announced
	for id, e := range t.targets {
		isRecent := e.observedHere.Equal(e.observedAt) && now.Sub(e.observedHere) <= announceTime
		isShared := e.isSender && e.isRestricted(now) && !e.observedAt.IsZero()
		if !isRecent && !isShared || e.isPrivate || len(out) == maxAnnounced {
			continue
		}
		a := Announced{Down: e.unreachable, Age: now.Sub(e.observedAt)}
		a.Process.Target, a.Process.StartedUnixMs = id, e.startedUnixMs
		if !a.Down {
			a.Remaining = max(0, e.coldUntil.Sub(now))
		}
		out = append(out, a)
	}
	return out
}

// Merge applies what another instance has announced, unless something newer is known.
func (t *Table) Merge(as []Announced, now time.Time) {
	if !t.hasTargets() || len(as) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range as {
		if e := t.entryOf(a.Process); e != nil {
			t.merge(a, e, now)
		}
	}
}

func (t *Table) merge(a Announced, e *entry, now time.Time) {
	at := now.Add(-max(0, a.Age))
	wasRestricted := e.isRestricted(now)
	// Whether the target was found to answer after it was down, or to be cold, must not be missed. The rest must be clearly newer.
	isFirstNews := !wasRestricted || e.unreachable && !a.Down && a.Remaining > 0
	if !at.After(e.observedAt) || !isFirstNews && !at.After(e.observedAt.Add(mergeTolerance)) {
		return
	}
	if a.Down && !at.After(e.answeredAt) || !wasRestricted && !a.Down && a.Remaining <= 0 {
		return // it has answered this instance since, or is known to be warm
	}
	e.observedAt, e.unconfirmed = at, confirmingRecords
	e.unreachable, e.isDown, e.isPrivate = a.Down, a.Down, false
	if !a.Down {
		e.coldUntil = now.Add(min(max(0, a.Remaining), maxRemaining))
	}
	t.changed(a.Process.Target, e, wasRestricted, now)
}
