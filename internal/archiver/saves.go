package archiver

import "time"

const (
	// A statement that a save is waiting holds for minStatementTTL, and in larger deployments for statementTTLPerInstance times the number
	// of instances. Announcements repeat it about three times meanwhile.
	minStatementTTL         = 200 * time.Millisecond
	statementTTLPerInstance = 3 * time.Millisecond
	// abandonedSaveTime is how long the save of an abandoned request counts as waiting. Targets drop a request that waits when its
	// connection closes.
	abandonedSaveTime = 2 * time.Second
	// maxStatements bounds the waiting saves in an announcement.
	maxStatements = 300
)

// Save is the save of a request's blocks, which waits until a target starts the request. A target does not check whether the store
// has restarted since the save was planned. None of its blocks is fetched while the save waits: the store could restart, and the save
// write a block again that is known to be complete. A nil Save is valid and has no blocks.
type Save struct {
	a         *Archiver
	keys      []uint64
	expiresAt time.Time
}

// ExpireAt sets the time from which on the save no longer waits in any case: the deadline of its request.
func (s *Save) ExpireAt(t time.Time) {
	if s == nil {
		return
	}
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	s.expiresAt = t
}

// End records that the save no longer waits: the target has read the blocks, or has not got the request.
func (s *Save) End() {
	if s == nil {
		return
	}
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	delete(s.a.waiting, s)
}

// Abandon records that the request was given up, so that its target most likely drops it.
func (s *Save) Abandon(now time.Time) {
	if s == nil {
		return
	}
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	if t := now.Add(abandonedSaveTime); t.Before(s.expiresAt) {
		s.expiresAt = t
	}
}

// SaveStatement is the part of an announcement that states that a save of a block is waiting. It is encoded as an array, so the order
// of the fields is part of the format.
type SaveStatement struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Key is the key of the block. AgeMs is the time since the instance with the save has stated so.
	Key   uint64
	AgeMs int64
}

// Saves returns the waiting saves that this instance knows of, its own and those that others have stated, for the next announcement.
func (a *Archiver) Saves(now time.Time) []SaveStatement {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.ownSaves(now)
	var out []SaveStatement
	for key := range own {
		out = append(out, SaveStatement{Key: key})
	}
	for key, at := range a.stated {
		if age := now.Sub(at); age > a.statementTTL() {
			delete(a.stated, key)
		} else if !own[key] {
			out = append(out, SaveStatement{Key: key, AgeMs: age.Milliseconds()})
		}
	}
	return out[:min(len(out), maxStatements)]
}

// MergeSaves applies what another instance states.
func (a *Archiver) MergeSaves(in []SaveStatement, now time.Time) {
	if len(in) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stated == nil { // no configuration has been read yet
		a.stated = map[uint64]time.Time{}
	}
	for _, s := range in {
		age := time.Duration(s.AgeMs) * time.Millisecond
		if at := now.Add(-age); age >= 0 && age < a.statementTTL() && at.After(a.stated[s.Key]) {
			a.stated[s.Key] = at
		}
	}
}

// statementTTL returns how long a statement holds; a.mu is held.
func (a *Archiver) statementTTL() time.Duration {
	return max(minStatementTTL, time.Duration(len(a.instances))*statementTTLPerInstance)
}

// ownSaves returns the keys of the blocks whose saves wait at this instance, and forgets expired ones; a.mu is held.
func (a *Archiver) ownSaves(now time.Time) map[uint64]bool {
	out := map[uint64]bool{}
	for s := range a.waiting {
		if now.After(s.expiresAt) {
			delete(a.waiting, s)
			continue
		}
		for _, key := range s.keys {
			out[key] = true
		}
	}
	return out
}

// isSaveWaiting reports whether a save of a block waits at any instance; a.mu is held.
func (a *Archiver) isSaveWaiting(key uint64, own map[uint64]bool, now time.Time) bool {
	at, ok := a.stated[key]
	return own[key] || ok && now.Sub(at) <= a.statementTTL()
}
