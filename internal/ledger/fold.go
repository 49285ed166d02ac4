package ledger

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/charter"
)

// The states of a key, as the chart intent.toml names them.
const (
	Free     charter.State = "free"
	Held     charter.State = "held"
	Finished charter.State = "finished"
)

var intentChart = charter.MustLoad("intent")

// machines holds the chart's machine in each state; an entry keeps only an index, to be small.
var machines = newMachines()

func newMachines() [3]charter.Machine {
	free := intentChart.Start()
	held, err := free.Next(kindIntent)
	if err != nil {
		panic(err) // the chart is embedded
	}
	finished, err := held.Next(kindDone)
	if err != nil {
		panic(err)
	}
	return [3]charter.Machine{free, held, finished}
}

func indexOf(s charter.State) uint8 {
	for i, m := range machines {
		if m.State() == s {
			return uint8(i)
		}
	}
	panic("state " + string(s) + " is not in the chart") // the chart is embedded
}

// entry is what the fold keeps of one key.
type entry struct {
	attempt AttemptID
	body    Hash
	done    int64 // offset of the done record
	atMs    int64 // log time of the newest record
	status  uint16
	state   uint8
}

// Entry is the state of one key, as one attempt sees it.
type Entry struct {
	State charter.State
	// Holder and Body are those of the intent that holds or held the key.
	Holder   AttemptID
	BodyHash Hash
	// DoneOffset is the offset of the done record and Status the status in it.
	DoneOffset int64
	Status     int
	// Abandoned reports whether the asking attempt was abandoned.
	Abandoned bool
	// NextOffset is the offset up to which the stream was folded.
	NextOffset int64
}

// dated is a place in a queue of things to drop.
type dated[K comparable] struct {
	key  K
	atMs int64
}

// Fold is the state of one partition; it is not safe for concurrent use.
type Fold struct {
	// Retention is how long the log keeps records and the fold keeps keys.
	Retention time.Duration

	next      int64
	entries   map[Hash]entry
	byAge     []dated[Hash]
	abandoned map[AttemptID]struct{}
	abandons  []dated[AttemptID]
	ignored   int64
}

// NewFold returns the state before the first record.
func NewFold(retention time.Duration) *Fold {
	return &Fold{Retention: retention, entries: map[Hash]entry{}, abandoned: map[AttemptID]struct{}{}}
}

// NextOffset returns the offset of the next record to fold.
func (f *Fold) NextOffset() int64 { return f.next }

// Len returns the number of keys.
func (f *Fold) Len() int { return len(f.entries) }

// IgnoredRecords returns the number of records that had no effect.
func (f *Fold) IgnoredRecords() int64 { return f.ignored }

// Get returns the state of a key as an attempt sees it.
func (f *Fold) Get(key Hash, asking AttemptID) Entry {
	e := f.entries[key]
	_, abandoned := f.abandoned[asking]
	return Entry{
		State: machines[e.state].State(), Holder: e.attempt, BodyHash: e.body, DoneOffset: e.done, Status: int(e.status),
		Abandoned: abandoned, NextOffset: f.next,
	}
}

// Apply folds a batch. Records that were folded before are skipped. A gap that the log's retention made needs no
// care: a key whose records may be in the gap is older than the window of keys that are accepted.
func (f *Fold) Apply(b appender.Batch) {
	for _, r := range b.Records {
		if r.Offset >= f.next {
			f.apply(r)
			f.next = r.Offset + 1
		}
	}
	f.next = max(f.next, b.NextOffset)
}

func (f *Fold) apply(lr appender.Record) {
	r, err := Decode(lr.Data)
	if err != nil {
		f.ignored++
		return
	}
	key, id := keyHash(r.Account, r.Key), AttemptID(r.AttemptID)
	if r.Kind == kindAbandon {
		f.abandon(id, lr.AppendedAt.UnixMilli())
	}
	e, known := f.entries[key]
	if !f.allowed(r, e, id) {
		f.ignored++
		return
	}
	m, err := machines[e.state].Next(charter.Event(r.Kind))
	if err != nil {
		f.ignored++ // an intent that lost, or a record that occurs twice
		return
	}
	e.state, e.atMs = indexOf(m.State()), lr.AppendedAt.UnixMilli()
	switch r.Kind {
	case kindIntent:
		e.attempt, e.body = id, Hash(r.BodyHash)
	case kindDone:
		e.done, e.status = lr.Offset, uint16(r.Status)
	}
	f.entries[key] = e
	if !known {
		f.byAge = append(f.byAge, dated[Hash]{key, e.atMs})
	}
}

// allowed checks what the chart cannot: an abandoned attempt never holds, and only the holder abandons or finishes.
func (f *Fold) allowed(r *Record, e entry, id AttemptID) bool {
	if r.Kind == kindIntent {
		_, abandoned := f.abandoned[id]
		return !abandoned
	}
	return e.attempt == id
}

func (f *Fold) abandon(id AttemptID, atMs int64) {
	if _, ok := f.abandoned[id]; !ok {
		f.abandoned[id] = struct{}{}
		f.abandons = append(f.abandons, dated[AttemptID]{id, atMs})
	}
}

// Expire drops keys and abandoned attempts whose newest record is older than the retention.
func (f *Fold) Expire(now time.Time) {
	limit := now.Add(-f.Retention).UnixMilli()
	for len(f.byAge) > 0 && f.byAge[0].atMs < limit {
		d := f.byAge[0]
		f.byAge = f.byAge[1:]
		if e := f.entries[d.key]; e.atMs >= limit {
			f.byAge = append(f.byAge, dated[Hash]{d.key, e.atMs})
			continue
		}
		delete(f.entries, d.key)
	}
	for len(f.abandons) > 0 && f.abandons[0].atMs < limit {
		delete(f.abandoned, f.abandons[0].key)
		f.abandons = f.abandons[1:]
	}
}
