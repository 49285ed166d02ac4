package quarantiner

import "time"

// crash is a crashed process.
type crash struct {
	// at is when the crash was first reported at this instance, by itself or another one.
	at time.Time
	// calls holds the blocks of each of this instance's unanswered calls.
	calls [][]uint64
}

// suspect is a block of calls that were unanswered at a crash, or that another instance quarantined.
type suspect struct {
	// crashes holds the times of the crashes that are evidence, at least burstWindow apart.
	crashes []time.Time
	// succeededAt is the time of the last known success at any instance.
	succeededAt time.Time
	// reportedAt is the time of the last crash. clearedAt is when a success became known that rules the block out as its
	// cause.
	reportedAt, clearedAt time.Time
	// quarantinedAt and until are zero unless the block is quarantined. A block past until stays quarantined, and the
	// next call is a probe.
	quarantinedAt, until time.Time
}

// isQuarantined reports whether calls with the block are refused, except for probes.
func (s *suspect) isQuarantined() bool { return !s.until.IsZero() }

// isExpired reports whether the suspect has no information that still counts.
func (s *suspect) isExpired(now time.Time) bool {
	if s.isQuarantined() {
		return now.Sub(s.until) >= quarantineTime
	}
	return now.Sub(s.reportedAt) >= evidenceTTL
}

// isCleared reports whether a success rules the block out as the cause of all crashes so far.
func (s *suspect) isCleared() bool { return !s.clearedAt.IsZero() && !s.clearedAt.Before(s.reportedAt) }

// isClearedAt reports whether a success rules the block out as the cause of a crash at a time.
func (s *suspect) isClearedAt(at time.Time) bool {
	return !s.succeededAt.IsZero() && at.Sub(s.succeededAt) < soundWindow
}

// recentSuccesses holds the last success of each block in two generations, so that old ones are dropped without a scan.
type recentSuccesses struct {
	current, previous map[uint64]time.Time
	startedAt         time.Time
}

// add records a success at this instance.
func (r *recentSuccesses) add(block uint64, now time.Time) {
	if r.current == nil {
		r.current, r.previous = map[uint64]time.Time{}, map[uint64]time.Time{}
	}
	if now.Sub(r.startedAt) >= recentTime || len(r.current) >= maxRecent {
		r.current, r.previous = r.previous, r.current
		clear(r.current)
		r.startedAt = now
	}
	r.current[block] = now
}

// age returns the time since the last success of a block, if it is known.
func (r *recentSuccesses) age(block uint64, now time.Time) (time.Duration, bool) {
	at, ok := r.current[block]
	if !ok {
		at, ok = r.previous[block]
	}
	return now.Sub(at), ok
}
