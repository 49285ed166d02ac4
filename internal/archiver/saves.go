package archiver

import (
	"maps"
	"time"
)

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

// SaveKey identifies a block in announcements of waiting saves. It is half of the block's key: if two blocks share it, one of them is not
// fetched for a short time.
type SaveKey uint32

func saveKeyOf(key uint64) SaveKey { return SaveKey(key) }

// Saves returns the blocks whose saves wait at this instance, for the next announcement.
func (a *Archiver) Saves(now time.Time) []SaveKey {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []SaveKey
	for key := range a.ownSaves(now) {
		out = append(out, saveKeyOf(key))
	}
	return out[:min(len(out), maxStatements)]
}

// MergeSaves applies what another instance states.
func (a *Archiver) MergeSaves(in []SaveKey, now time.Time) {
	if len(in) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stated == nil { // no configuration has been read yet
		a.stated = map[SaveKey]time.Time{}
	}
	for _, key := range in {
		a.stated[key] = now
	}
	if ttl := a.statementTTL(); now.Sub(a.prunedAt) > ttl {
		a.prunedAt = now
		maps.DeleteFunc(a.stated, func(_ SaveKey, at time.Time) bool { return now.Sub(at) > ttl })
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
	at, ok := a.stated[saveKeyOf(key)]
	return own[key] || ok && now.Sub(at) <= a.statementTTL()
}
