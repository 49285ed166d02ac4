package ledger

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/charter"
)

// The states of a key in the chart intent.toml.
const (
	Free     charter.State = "free"
	Held     charter.State = "held"
	Finished charter.State = "finished"
)

var intentChart = charter.MustLoad("intent")

// machineByState holds the chart's machine in each state. A keyState stores only an index into it, which saves memory.
var machineByState = stateMachines()

func stateMachines() [3]charter.Machine {
	free := intentChart.Start()
	held, err := free.Next(kindIntent)
	if err != nil {
		panic(err) // unreachable: the chart is embedded
	}
	finished, err := held.Next(kindDone)
	if err != nil {
		panic(err)
	}
	return [3]charter.Machine{free, held, finished}
}

func stateIndex(s charter.State) uint8 {
	for i, m := range machineByState {
		if m.State() == s {
			return uint8(i)
		}
	}
	panic("state " + string(s) + " is not in the chart") // unreachable: the chart is embedded
}

// keyState is the stored state of one key.
type keyState struct {
	attempt    AttemptID
	bodyHash   Hash
	doneOffset int64 // offset of the done record
	loggedMs   int64 // the log's time stamp of the newest record
	status     uint16
	state      uint8 // index into machineByState
}

// Entry is the state of one key from the point of view of one attempt.
type Entry struct {
	State charter.State
	// Holder and BodyHash are those of the intent that holds or held the key.
	Holder   AttemptID
	BodyHash Hash
	// DoneOffset is the offset of the done record, Status its status.
	DoneOffset int64
	Status     int
	// Abandoned reports whether the attempt that Get was called for was abandoned.
	Abandoned bool
	// NextOffset is the offset up to which the stream was applied.
	NextOffset int64
}

// expiryEntry is an element of a queue of keys or attempts to expire.
type expiryEntry[K comparable] struct {
	key      K
	loggedMs int64
}

// Fold is the state of the keys of one partition. It is not safe for concurrent use.
type Fold struct {
	// Retention is how long the log retains records and Fold retains keys.
	Retention time.Duration

	nextOffset     int64
	entries        map[Hash]keyState
	keyExpiry      []expiryEntry[Hash]
	abandoned      map[AttemptID]struct{}
	abandonExpiry  []expiryEntry[AttemptID]
	ignoredRecords int64
}

// NewFold returns the state before the first record.
func NewFold(retention time.Duration) *Fold {
	return &Fold{Retention: retention, entries: map[Hash]keyState{}, abandoned: map[AttemptID]struct{}{}}
}

// NextOffset returns the offset of the next record to apply.
func (f *Fold) NextOffset() int64 { return f.nextOffset }

// Len returns the number of keys.
func (f *Fold) Len() int { return len(f.entries) }

// IgnoredRecords returns the number of records without effect: malformed and duplicate ones and intents that lost.
func (f *Fold) IgnoredRecords() int64 { return f.ignoredRecords }

// Get returns the state of a key for an attempt.
func (f *Fold) Get(key Hash, id AttemptID) Entry {
	e := f.entries[key]
	_, abandoned := f.abandoned[id]
	return Entry{
		State: machineByState[e.state].State(), Holder: e.attempt, BodyHash: e.bodyHash, DoneOffset: e.doneOffset, Status: int(e.status),
		Abandoned: abandoned, NextOffset: f.nextOffset,
	}
}

// Apply applies a batch and skips records that were applied before. Gaps left by expired records need no handling: a key
// whose records may be in a gap is too old for [CheckKey].
func (f *Fold) Apply(b appender.Batch) {
	for _, r := range b.Records {
		if r.Offset >= f.nextOffset {
			f.applyRecord(r)
			f.nextOffset = r.Offset + 1
		}
	}
	f.nextOffset = max(f.nextOffset, b.NextOffset)
}

func (f *Fold) applyRecord(lr appender.Record) {
	r, err := Decode(lr.Data)
	if err != nil {
		f.ignoredRecords++
		return
	}
	key, id := keyHash(r.Account, r.Key), AttemptID(r.AttemptID)
	if r.Kind == kindAbandon {
		f.recordAbandon(id, lr.AppendedAt.UnixMilli())
	}
	e, known := f.entries[key]
	if !f.allowed(r, e, id) {
		f.ignoredRecords++
		return
	}
	m, err := machineByState[e.state].Next(charter.Event(r.Kind))
	if err != nil {
		f.ignoredRecords++ // an intent that lost, or a duplicate
		return
	}
	e.state, e.loggedMs = stateIndex(m.State()), lr.AppendedAt.UnixMilli()
	switch r.Kind {
	case kindIntent:
		e.attempt, e.bodyHash = id, Hash(r.BodyHash)
	case kindDone:
		e.doneOffset, e.status = lr.Offset, uint16(r.Status)
	}
	f.entries[key] = e
	if !known {
		f.keyExpiry = append(f.keyExpiry, expiryEntry[Hash]{key, e.loggedMs})
	}
}

// allowed checks rules that the chart cannot express: an abandoned attempt never holds a key, and only the holder may
// abandon or finish it.
func (f *Fold) allowed(r *Record, e keyState, id AttemptID) bool {
	if r.Kind == kindIntent {
		_, abandoned := f.abandoned[id]
		return !abandoned
	}
	return e.attempt == id
}

func (f *Fold) recordAbandon(id AttemptID, atMs int64) {
	if _, ok := f.abandoned[id]; !ok {
		f.abandoned[id] = struct{}{}
		f.abandonExpiry = append(f.abandonExpiry, expiryEntry[AttemptID]{id, atMs})
	}
}

// Expire removes the keys whose newest record is older than Retention, and the abandoned attempts whose first abandon
// record is.
func (f *Fold) Expire(now time.Time) {
	limit := now.Add(-f.Retention).UnixMilli()
	for len(f.keyExpiry) > 0 && f.keyExpiry[0].loggedMs < limit {
		d := f.keyExpiry[0]
		f.keyExpiry = f.keyExpiry[1:]
		if e := f.entries[d.key]; e.loggedMs >= limit {
			f.keyExpiry = append(f.keyExpiry, expiryEntry[Hash]{d.key, e.loggedMs})
			continue
		}
		delete(f.entries, d.key)
	}
	for len(f.abandonExpiry) > 0 && f.abandonExpiry[0].loggedMs < limit {
		delete(f.abandoned, f.abandonExpiry[0].key)
		f.abandonExpiry = f.abandonExpiry[1:]
	}
}
