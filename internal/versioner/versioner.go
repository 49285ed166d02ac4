package versioner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const (
	// snapshotTimeout bounds the append of a snapshot.
	snapshotTimeout = 10 * time.Second
	// readRecords bounds the records of one read; records of 256 KiB make 2.8 MB of JSON and 7.7 MB of text.
	readRecords = 8
)

// Versioner keeps an instance's state of the configuration.
type Versioner struct {
	Log appender.Log
	// Retention is that of the log; a snapshot is appended when the newest record is older than half of it.
	Retention time.Duration
	// OnAdopt is called after each new version, in the order of the versions; it may be nil.
	OnAdopt  func(AcceptedVersion)
	Now      func() time.Time
	Rand     *rand.Rand
	Asserter *asserter.Asserter
	Recorder *recorder.Recorder
	Logger   logger.Logger

	mu       sync.Mutex
	state    State
	reported int64         // the newest version that Adopted was told
	jitter   time.Duration // added to half of the retention, drawn anew for each record
	jittered time.Time     // the record that the jitter was drawn for
}

// New returns a versioner that knows no version; set its exported fields before Run.
func New(log appender.Log, retention time.Duration) *Versioner {
	return &Versioner{Log: log, Retention: retention, Now: time.Now, Rand: rand.New(rand.NewPCG(rand.Uint64(), 1))}
}

// Run follows the stream until ctx ends.
func (v *Versioner) Run(ctx context.Context) {
	f := &appender.Follower{
		Log: v.Log, Stream: Stream, NextOffset: v.NextOffset, MaxRecords: readRecords, Logger: v.Logger,
		OnBatch: func(_ int64, b appender.Batch) {
			v.Apply(b)
			if len(b.Records) == 0 {
				v.AppendSnapshot(ctx)
			}
		},
	}
	f.Run(ctx)
}

// NextOffset returns the offset to read from.
func (v *Versioner) NextOffset() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.NextOffset()
}

// Apply folds a batch that was read from Next.
func (v *Versioner) Apply(b appender.Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, d := range v.state.Apply(b) {
		if d.Config != nil {
			v.adopted(AcceptedVersion{Record: d.Record, Config: d.Config})
		} else if d.Record == nil || !d.Record.Snapshot {
			v.refused(d)
		}
	}
	v.settle()
}

// Merge takes a record from a peer and reports whether the version rose.
func (v *Versioner) Merge(r *Record) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	rose := v.state.Merge(r)
	v.settle()
	return rose
}

// MergeEncoded decodes a peer's record and adopts it.
func (v *Versioner) MergeEncoded(data []byte) (bool, error) {
	r, err := Decode(data)
	if err != nil {
		return false, failer.Wrap(err, "adopt configuration", "", "decode")
	}
	return v.Merge(r), nil
}

// CurrentSnapshot returns the record of the version in force for peers; nil if there is none.
func (v *Versioner) CurrentSnapshot() *Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.Snapshot()
}

// settle reports a version that was not folded from its own record, and conflicts.
func (v *Versioner) settle() {
	if v.state.Current().Version() > v.reported {
		v.adopted(v.state.Current())
	}
	v.Asserter.Check(asserter.MonotonicConfig, v.state.Conflict() == "", "%s", v.state.Conflict())
	v.state.conflict = ""
}

func (v *Versioner) adopted(a AcceptedVersion) {
	if !v.Asserter.Check(asserter.MonotonicConfig, a.Version() > v.reported, "version %d after %d", a.Version(), v.reported) {
		return
	}
	v.reported = a.Version()
	v.Recorder.Record(recorder.Event{Kind: "configAdopted", Version: a.Version(), Reason: "published by " + a.Record.Author})
	if v.OnAdopt != nil {
		v.OnAdopt(a)
	}
}

func (v *Versioner) refused(d RecordResult) {
	e := recorder.Event{Kind: "configRefused", Reason: d.Reason}
	if d.Record != nil {
		e.Version = d.Record.Version
	}
	v.Recorder.Record(e)
}

// SnapshotDue reports whether the newest record that states the current version is old enough for a snapshot.
func (v *Versioner) SnapshotDue() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.state.Current().Record == nil || v.state.HasGap() {
		return false
	}
	at := v.state.StatedAt()
	if !at.Equal(v.jittered) || v.jitter == 0 {
		v.jittered, v.jitter = at, 1+time.Duration(v.Rand.Int64N(max(1, int64(v.Retention/4))))
	}
	return v.Now().Sub(at) > v.Retention/2+v.jitter
}

// AppendSnapshot appends a snapshot if it is due. A lost response does no harm, since duplicates have no effect.
func (v *Versioner) AppendSnapshot(ctx context.Context) {
	if v.Retention <= 0 || !v.SnapshotDue() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if _, err := v.Log.Append(ctx, Stream, [][]byte{v.CurrentSnapshot().Encode()}); err != nil && v.Logger != nil {
		logger.WithError(v.Logger, err).Warn("snapshot of the configuration was not written")
	}
}
