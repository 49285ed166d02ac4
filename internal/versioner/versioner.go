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
	// maxReadRecords bounds the number of records per read; 8 records of 256 KiB take 2.8 MB as JSON and
	// up to 7.9 MB as decompressed text.
	maxReadRecords = 8
)

// Versioner maintains the configuration state of an instance. Its methods are safe for concurrent use.
type Versioner struct {
	Log appender.Log
	// Retention is the log's retention time. A snapshot is due when the newest record with the current version is older
	// than half of it plus a jitter of up to a quarter.
	Retention time.Duration
	// OnAdopt is called with each new version, in ascending order, while the Versioner's lock is held; it may be nil.
	OnAdopt func(AcceptedVersion)
	Now     func() time.Time
	// Rand is the source of the snapshot jitter.
	Rand *rand.Rand
	// Asserter, Recorder and ErrorLog may be nil.
	Asserter *asserter.Asserter
	Recorder *recorder.Recorder
	ErrorLog logger.Logger

	mu          sync.Mutex
	state       State
	lastAdopted int64         // the newest version passed to OnAdopt
	jitter      time.Duration // added to half of Retention; redrawn for each record
	jitterFor   time.Time     // time stamp of the record that jitter was drawn for
}

// New returns a versioner without a version. Set its exported fields before Run.
func New(log appender.Log, retention time.Duration) *Versioner {
	return &Versioner{Log: log, Retention: retention, Now: time.Now, Rand: rand.New(rand.NewPCG(rand.Uint64(), 1))}
}

// Run follows the stream and appends snapshots until ctx ends.
func (v *Versioner) Run(ctx context.Context) {
	f := &appender.Follower{
		Log: v.Log, Stream: Stream, NextOffset: v.NextOffset, MaxRecords: maxReadRecords, ErrorLog: v.ErrorLog,
		OnBatch: func(_ int64, b appender.Batch) {
			v.Apply(b)
			if len(b.Records) == 0 {
				v.AppendSnapshot(ctx)
			}
		},
	}
	f.Run(ctx)
}

// NextOffset returns the offset of the next record to read.
func (v *Versioner) NextOffset() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.NextOffset()
}

// Apply applies a batch that was read from NextOffset.
func (v *Versioner) Apply(b appender.Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, d := range v.state.Apply(b) {
		if d.Config != nil {
			v.reportAdopted(AcceptedVersion{Record: d.Record, Config: d.Config})
		} else if d.Record == nil || !d.Record.Snapshot {
			v.reportRefused(d)
		}
	}
	v.reportMerged()
}

// Merge adopts a peer's snapshot if it is newer, and reports whether the current version increased.
func (v *Versioner) Merge(r *Record) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	increased := v.state.Merge(r)
	v.reportMerged()
	return increased
}

// MergeEncoded decodes a peer's snapshot and merges it.
func (v *Versioner) MergeEncoded(data []byte) (bool, error) {
	r, err := Decode(data)
	if err != nil {
		return false, failer.Wrap(err, "adopt configuration", "", "decode")
	}
	return v.Merge(r), nil
}

// CurrentSnapshot returns a snapshot of the current version; nil if there is none.
func (v *Versioner) CurrentSnapshot() *Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.Snapshot()
}

// reportMerged reports a version that was adopted from a snapshot instead of its own record, and a conflict if there is
// one.
func (v *Versioner) reportMerged() {
	if v.state.Current().Version() > v.lastAdopted {
		v.reportAdopted(v.state.Current())
	}
	v.Asserter.Check(asserter.MonotonicConfig, v.state.Conflict() == "", "%s", v.state.Conflict())
	v.state.conflict = ""
}

func (v *Versioner) reportAdopted(a AcceptedVersion) {
	if !v.Asserter.Check(asserter.MonotonicConfig, a.Version() > v.lastAdopted, "version %d after %d", a.Version(), v.lastAdopted) {
		return
	}
	v.lastAdopted = a.Version()
	v.Recorder.Record(recorder.Event{Kind: "configAdopted", Version: a.Version(), Reason: "published by " + a.Record.Author})
	if v.OnAdopt != nil {
		v.OnAdopt(a)
	}
}

func (v *Versioner) reportRefused(d RecordResult) {
	e := recorder.Event{Kind: "configRefused", Reason: d.Reason}
	if d.Record != nil {
		e.Version = d.Record.Version
	}
	v.Recorder.Record(e)
}

// SnapshotDue reports whether the newest record with the current version is old enough for a new snapshot.
func (v *Versioner) SnapshotDue() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.state.Current().Record == nil || v.state.HasGap() {
		return false
	}
	at := v.state.StatedAt()
	if !at.Equal(v.jitterFor) || v.jitter == 0 {
		v.jitterFor, v.jitter = at, 1+time.Duration(v.Rand.Int64N(max(1, int64(v.Retention/4))))
	}
	return v.Now().Sub(at) > v.Retention/2+v.jitter
}

// AppendSnapshot appends a snapshot if one is due. Appending it again after a lost response is harmless, since
// duplicates have no effect.
func (v *Versioner) AppendSnapshot(ctx context.Context) {
	if v.Retention <= 0 || !v.SnapshotDue() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if _, err := v.Log.Append(ctx, Stream, [][]byte{v.CurrentSnapshot().Encode()}); err != nil && v.ErrorLog != nil {
		logger.WithError(v.ErrorLog, err).Warn("appending the configuration snapshot failed")
	}
}
