// Package quarantiner identifies prompt blocks that crash targets, so that calls with them are refused before they reach
// another target.
//
// It is a circuit breaker for queries of death. One block may crash every target
// that begins to write an answer on it, whatever else the call holds. Such calls
// share their account and all their other blocks with sound calls, and arrive at
// any instance. When a target crashes, the blocks of all its unanswered calls are
// suspects, of which at most a few are the cause.
//
// A block is quarantined after crashes of three different processes of targets, at
// each of which a call with the block was unanswered. Of the blocks of a call, the last
// one with so many crashes is quarantined, because a poison block may always follow the
// same sound ones. Two facts keep sound blocks out:
//
//   - A complete answer proves that all blocks of the call are sound. It discards
//     all earlier crashes as evidence, and those that follow within soundWindow. It
//     also lifts a quarantine.
//   - Targets that crash together have another cause, such as a power failure, so
//     crashes within burstWindow count once. When no call at all has succeeded since
//     the first crash, as in an outage in which targets restart in turn, five
//     crashes are needed.
//
// A block that few calls use is quarantined by mistake if one of them is sent again
// until three targets have crashed, because no call with it succeeds meanwhile. The
// probe described below admits it again. Only counting the blocks with the most
// crashes would avoid most of these cases, but finds a poison block too late.
//
// Instances exchange three kinds of information: their recent crashes with the
// blocks that are still suspect, the quarantined blocks, and the suspect blocks that
// have just succeeded. Three crashes thus suffice in the whole deployment, and a
// success at one instance clears a block at all. The exchanged messages contain
// durations instead of times, and receiving a message again changes nothing.
//
// A quarantine lasts quarantineTime. It is not renewed by refused calls, because a
// sound block that was quarantined by mistake would then be refused for as long as
// callers ask for it. When it ends, one call is admitted as a probe and the
// quarantine starts again at once. The announcement of the renewed quarantine keeps
// the other instances from sending probes of their own. If the probe succeeds, the
// quarantine is lifted everywhere; otherwise it has crashed one target. The deployment
// sends one probe per quarantineTime for each block, or a few if calls arrive at
// several instances within one announcement interval.
//
// Load pattern: up to 9,000 calls/s over all instances and a crash per second, with
// some tens of unanswered calls on the crashed target. [Quarantine.Blocked] takes no
// lock while nothing is quarantined. All state is bounded: the oldest crashes, and
// the suspects with the least evidence, are dropped first.
//
// The package uses no clock, goroutine or random source.
//
// # Usage
//
//	q := quarantiner.New()
//	q.Log = log
//	if remaining, ok := q.Blocked(blocks, now); ok { refuse(remaining) } // before each attempt
//	q.RecordSuccess(blocks, now)                                         // the answer is complete
//	q.RecordCrash(process, blocks, now)                                  // the target crashed before it answered
//	announce(q.Crashes(now), q.Entries(now))                             // periodically
//	q.Merge(crashes, entries, now)                                       // from another instance
package quarantiner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/logger"
)

const (
	// minCrashes is the number of separate crashes after which a block is quarantined. With two, an unlucky call that is
	// retried on a target that crashes as well would be enough.
	minCrashes = 3
	// minOutageCrashes is the same if no call has succeeded since the first crash. Shared blocks are then suspect on all
	// targets, and nothing can clear them.
	minOutageCrashes = 5
	// burstWindow is the time within which crashes count once. It has to cover the time in which instances notice that
	// several targets failed together. Poison calls that arrive once a second still give three separate crashes within a
	// few seconds.
	burstWindow = 500 * time.Millisecond
	// soundWindow is the time after a success in which a crash is no evidence. It covers the time that a crash takes to be
	// confirmed. A block that turns poison is quarantined that much later.
	soundWindow = 2 * time.Second
	// crashMergeWindow is the time in which an instance adds suspects to a crash. Calls that fail later on the same
	// process were not pending because of its crash.
	crashMergeWindow = 5 * time.Second
	// evidenceTTL is how long a crash is evidence. Longer than minutes, unrelated crashes would add up.
	evidenceTTL = 2 * time.Minute
	// quarantineTime is the duration of a quarantine and the time between two probes, each of which may crash a target.
	quarantineTime = 5 * time.Minute
	// announceTime is how long a crash is announced, and the success that clears one of its suspects. It covers several
	// announcement intervals, also in large deployments. It has to be shorter than evidenceTTL, or instances would take an
	// announced crash that they have forgotten for a new one.
	announceTime = 5 * time.Second
	// renewalMargin is the smallest extension of a quarantine that is taken from another instance. Remaining times arrive
	// late by the transit time; without a margin, instances would extend each other's quarantines.
	renewalMargin = 10 * time.Second
	// pruneInterval is the time between two removals of expired state.
	pruneInterval = time.Second

	// maxSuspects bounds the suspect blocks. Some tens of calls with several blocks each are suspect at a crash, and most
	// are cleared within seconds.
	maxSuspects = 2048
	// maxQuarantined bounds the quarantined blocks. Above it, a block that this instance has found replaces the one whose
	// quarantine ends first, and those of other instances are ignored, so that instances do not undo each other's choice.
	maxQuarantined = 64
	// maxCrashes bounds the crashes in memory. It exceeds the targets of a deployment that all crash within evidenceTTL.
	maxCrashes = 1024
	// maxRecent bounds each generation of recent successes; an instance completes about 50 calls/s.
	maxRecent = 4096
	// recentTime is the age at which a generation of recent successes is replaced, so that a success is known for as long
	// as it is announced.
	recentTime = announceTime

	// maxAnnouncedCrashes, maxAnnouncedBlocks and maxAnnouncedEntries bound an announcement to a few kilobytes.
	maxAnnouncedCrashes = 32
	maxAnnouncedBlocks  = 256
	maxAnnouncedEntries = 128
)

// Quarantine holds the suspect and the quarantined blocks that an instance knows. It is safe for concurrent use. Blocks
// are identified by a hash of model and block ID.
type Quarantine struct {
	// Log receives a line when a quarantine starts, is lifted or is probed. It may be nil.
	Log logger.Logger

	// quarantined is the number of suspects that are quarantined.
	quarantined atomic.Int32

	mu       sync.Mutex
	suspects map[uint64]*suspect
	crashes  map[Process]*crash
	recent   recentSuccesses
	// lastSuccess is when a call last succeeded at this instance.
	lastSuccess time.Time
	prunedAt    time.Time
}

// New returns an empty Quarantine.
func New() *Quarantine { return &Quarantine{} }

// RecordCrash records the confirmed crash of a process and the blocks of one of this instance's calls that were unanswered, in
// prompt order. It is called for each of them, during crashMergeWindow.
func (q *Quarantine) RecordCrash(p Process, blocks []uint64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prune(now)
	c := q.crash(p, now)
	if now.Sub(c.at) > crashMergeWindow {
		return
	}
	q.addCall(blocks, c.at, now)
	if len(c.calls) < maxAnnouncedBlocks {
		c.calls = append(c.calls, slices.Clone(blocks))
	}
}

// addCall counts a crash against the blocks of an unanswered call, the last one first. A quarantined block explains the crash,
// so the blocks before it are not counted: they may always precede it, and would be blamed with it.
func (q *Quarantine) addCall(blocks []uint64, at, now time.Time) {
	if slices.ContainsFunc(blocks, q.isQuarantined) {
		return
	}
	for _, block := range slices.Backward(blocks) {
		q.addEvidence(block, at, now)
		if q.isQuarantined(block) {
			return
		}
	}
}

func (q *Quarantine) isQuarantined(block uint64) bool {
	s := q.suspects[block]
	return s != nil && s.isQuarantined()
}

// RecordSuccess records that a call with these blocks got its complete answer. It is also called for calls without blocks, as
// any success shows that there is no general outage.
func (q *Quarantine) RecordSuccess(blocks []uint64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastSuccess = now
	for _, block := range blocks {
		q.recent.add(block, now)
		q.clear(block, now, now)
	}
}

// Blocked reports whether a call with these blocks must be refused, and for how long. It must be called once for each attempt,
// directly before the attempt is sent: when a quarantine has ended, it admits one call as a probe and refuses the next ones.
func (q *Quarantine) Blocked(blocks []uint64, now time.Time) (remaining time.Duration, ok bool) {
	if q.quarantined.Load() == 0 {
		return 0, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var probed []uint64
	for _, block := range blocks {
		s := q.suspects[block]
		if s == nil || !s.isQuarantined() {
			continue
		}
		if left := s.until.Sub(now); left > 0 {
			remaining = max(remaining, left)
		} else {
			probed = append(probed, block)
		}
	}
	if remaining > 0 {
		return remaining, true
	}
	for _, block := range probed {
		q.suspects[block].until = now.Add(quarantineTime)
		q.log(block, "admitted a probe of a quarantined block")
	}
	return 0, false
}

// Contains reports whether one of the blocks is quarantined. Unlike Blocked it admits no probe.
func (q *Quarantine) Contains(blocks []uint64) bool {
	if q.quarantined.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(blocks, q.isQuarantined)
}

// Crashes returns this instance's recent crashes for the announcement, the newest first, with the blocks that are still
// suspect.
func (q *Quarantine) Crashes(now time.Time) []Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Crash
	for p, c := range q.crashes {
		if now.Sub(c.at) > announceTime {
			continue
		}
		var calls [][]uint64
		for _, blocks := range c.calls {
			// Entries announces a quarantined block, which explains the crash.
			if slices.ContainsFunc(blocks, q.isQuarantined) {
				continue
			}
			suspects := slices.DeleteFunc(slices.Clone(blocks), func(block uint64) bool {
				s := q.suspects[block]
				return s == nil || s.isClearedAt(c.at)
			})
			if len(suspects) > 0 {
				calls = append(calls, suspects)
			}
		}
		if len(calls) > 0 {
			out = append(out, Crash{Process: p, Calls: calls})
		}
	}
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(q.crashes[b.Process].at.Compare(q.crashes[a.Process].at), compareProcesses(a.Process, b.Process))
	})
	out = out[:min(len(out), maxAnnouncedCrashes)]
	left := maxAnnouncedBlocks
	for i, c := range out {
		for k, blocks := range c.Calls {
			if left < len(blocks) {
				c.Calls[k] = blocks[len(blocks)-left:]
				out[i].Calls = c.Calls[:k+1]
				return out[:i+1]
			}
			left -= len(blocks)
		}
	}
	return out
}

// Entries returns the quarantined blocks for the announcement, and after them the suspect blocks that a success at this
// instance has just cleared.
func (q *Quarantine) Entries(now time.Time) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prune(now)
	var out []Entry
	for block, s := range q.suspects {
		if s.isQuarantined() {
			if left := s.until.Sub(now); left > 0 {
				out = append(out, Entry{Block: block, Remaining: left})
			}
			continue
		}
		if !s.isCleared() || now.Sub(s.clearedAt) > announceTime {
			continue
		}
		if age, ok := q.recent.age(block, now); ok && age <= announceTime {
			out = append(out, Entry{Block: block, Remaining: -age})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Block, b.Block))
	})
	return out[:min(len(out), maxAnnouncedEntries)]
}

// Merge adds what another instance has announced. Receiving the same announcement again changes nothing.
func (q *Quarantine) Merge(crashes []Crash, entries []Entry, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prune(now)
	// Entries come first, so that no block is blamed for a crash that a success rules out or a quarantined block explains.
	for _, e := range entries[:min(len(entries), maxAnnouncedEntries)] {
		if e.Remaining <= 0 {
			q.clear(e.Block, now.Add(e.Remaining), now)
		} else {
			q.mergeQuarantine(e.Block, now.Add(min(e.Remaining, quarantineTime)), now)
		}
	}
	for _, r := range crashes[:min(len(crashes), maxAnnouncedCrashes)] {
		c := q.crash(r.Process, now)
		for _, blocks := range r.Calls[:min(len(r.Calls), maxAnnouncedBlocks)] {
			q.addCall(blocks[:min(len(blocks), maxAnnouncedBlocks)], c.at, now)
		}
	}
}

// mergeQuarantine quarantines a block that is quarantined at another instance, unless it has just succeeded.
func (q *Quarantine) mergeQuarantine(block uint64, until, now time.Time) {
	s := q.suspect(block, now)
	switch {
	case s.isClearedAt(now):
		s.reportedAt, s.clearedAt = now, now // announces the success to the other instance
	case !s.isQuarantined():
		s.reportedAt = now
		if int(q.quarantined.Load()) < maxQuarantined {
			q.quarantine(block, s, until, now)
		}
	case until.Sub(s.until) > renewalMargin:
		s.until = until
	}
}

// crash returns the record of a crashed process, which is added if it is new.
func (q *Quarantine) crash(p Process, now time.Time) *crash {
	if c := q.crashes[p]; c != nil {
		return c
	}
	if q.crashes == nil {
		q.crashes = map[Process]*crash{}
	}
	if len(q.crashes) >= maxCrashes {
		delete(q.crashes, slices.MinFunc(slices.Collect(maps.Keys(q.crashes)), func(a, b Process) int {
			return cmp.Or(q.crashes[a].at.Compare(q.crashes[b].at), compareProcesses(a, b))
		}))
	}
	c := &crash{at: now}
	q.crashes[p] = c
	return c
}

// suspect returns the record of a block, which is added if it is new.
func (q *Quarantine) suspect(block uint64, now time.Time) *suspect {
	if s := q.suspects[block]; s != nil {
		return s
	}
	if q.suspects == nil {
		q.suspects = map[uint64]*suspect{}
	}
	if len(q.suspects) >= maxSuspects {
		q.evictSuspects()
	}
	s := &suspect{}
	if age, ok := q.recent.age(block, now); ok {
		s.succeededAt = now.Add(-age)
	}
	q.suspects[block] = s
	return s
}

// evictSuspects removes a quarter of the suspects at once, so that a crash with many blocks does not sort them for each block.
// Quarantined blocks are kept; as there are at most maxQuarantined, others remain to be removed.
func (q *Quarantine) evictSuspects() {
	blocks := make([]uint64, 0, len(q.suspects))
	for block, s := range q.suspects {
		if !s.isQuarantined() {
			blocks = append(blocks, block)
		}
	}
	slices.SortFunc(blocks, func(a, b uint64) int {
		s, o := q.suspects[a], q.suspects[b]
		return cmp.Or(cmp.Compare(len(s.crashes), len(o.crashes)), s.reportedAt.Compare(o.reportedAt), cmp.Compare(a, b))
	})
	for _, block := range blocks[:len(blocks)/4] {
		delete(q.suspects, block)
	}
}

// addEvidence counts a crash against a block, and quarantines the block if there are enough of them.
func (q *Quarantine) addEvidence(block uint64, at, now time.Time) {
	s := q.suspect(block, now)
	if at.After(s.reportedAt) {
		s.reportedAt = at
	}
	if s.isClearedAt(at) {
		if !s.isCleared() {
			s.clearedAt = now
		}
		return
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(t time.Time) bool { return now.Sub(t) >= evidenceTTL })
	isKnown := slices.ContainsFunc(s.crashes, func(t time.Time) bool { return at.Sub(t).Abs() < burstWindow })
	if isKnown || s.isQuarantined() {
		return
	}
	s.crashes = append(s.crashes, at)
	need := minCrashes
	if first := slices.MinFunc(s.crashes, time.Time.Compare); !q.lastSuccess.After(first) {
		need = minOutageCrashes
	}
	if len(s.crashes) >= need {
		q.quarantine(block, s, now.Add(quarantineTime), now)
	}
}

// quarantine starts the quarantine of a block. If there are too many, the one that ends first is released.
func (q *Quarantine) quarantine(block uint64, s *suspect, until, now time.Time) {
	if q.quarantined.Load() >= maxQuarantined {
		var first uint64
		var found *suspect
		for b, o := range q.suspects {
			if o.isQuarantined() && (found == nil || cmp.Or(o.until.Compare(found.until), cmp.Compare(b, first)) < 0) {
				first, found = b, o
			}
		}
		q.release(first, found, "released a quarantined block, as there are too many")
	}
	s.quarantinedAt, s.until = now, until
	s.crashes = nil
	q.quarantined.Add(1)
	q.log(block, "quarantined a block that crashes targets")
}

// release ends the quarantine of a block.
func (q *Quarantine) release(block uint64, s *suspect, message string) {
	s.quarantinedAt, s.until = time.Time{}, time.Time{}
	q.quarantined.Add(-1)
	q.log(block, message)
}

// clear applies a success: it discards the evidence against a block and lifts its quarantine. Only suspects are affected.
func (q *Quarantine) clear(block uint64, at, now time.Time) {
	s := q.suspects[block]
	if s == nil || !at.After(s.succeededAt) {
		return
	}
	s.succeededAt = at
	s.crashes = slices.DeleteFunc(s.crashes, s.isClearedAt)
	if !s.isCleared() && s.isClearedAt(s.reportedAt) {
		s.clearedAt = now
	}
	if s.isQuarantined() && s.isClearedAt(s.quarantinedAt) {
		s.reportedAt, s.clearedAt = now, now // announces the success to the other instances
		q.release(block, s, "lifted the quarantine of a block after a success")
	}
}

// prune removes expired state, at most once in pruneInterval.
func (q *Quarantine) prune(now time.Time) {
	if now.Sub(q.prunedAt) < pruneInterval {
		return
	}
	q.prunedAt = now
	for p, c := range q.crashes {
		if now.Sub(c.at) >= evidenceTTL {
			delete(q.crashes, p)
		} else if now.Sub(c.at) > announceTime {
			c.calls = nil // only needed for the announcement
		}
	}
	for block, s := range q.suspects {
		if !s.isExpired(now) {
			continue
		}
		if s.isQuarantined() {
			q.release(block, s, "ended a quarantine without further calls")
		}
		delete(q.suspects, block)
	}
}

// log writes a line about a block.
func (q *Quarantine) log(block uint64, message string) {
	if q.Log != nil {
		q.Log.WithField("block", fmt.Sprintf("%016x", block)).Warn(message)
	}
}
