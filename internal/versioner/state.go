package versioner

import (
	"fmt"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// AcceptedVersion is an accepted version with its parsed configuration. The zero value means that there is none.
type AcceptedVersion struct {
	Record *Record
	Config *configurer.Config
}

// Version returns the version number, which is 0 for the zero value.
func (a AcceptedVersion) Version() int64 {
	if a.Record == nil {
		return 0
	}
	return a.Record.Version
}

// RecordResult is the result of applying one record. Config is set if the record was accepted; Record is nil if it is
// malformed. Reason says why a record was not accepted.
type RecordResult struct {
	Record *Record
	Config *configurer.Config
	Reason string
}

// State is the current version as of an offset of the stream. Its zero value is the state before the first record. It is
// not safe for concurrent use.
type State struct {
	current      AcceptedVersion
	asOf         int64 // every record before it has been applied, or is covered by a snapshot
	oldestOffset int64 // the oldest offset that the log retained at the last read
	scanOffset   int64 // while asOf < oldestOffset: the next offset to search for a snapshot
	// statedAt is the log's time stamp of the newest record with the current version.
	statedAt time.Time
	// conflict describes a violated invariant: two records that contradict each other about a version.
	conflict string
}

// Current returns the current version.
func (s *State) Current() AcceptedVersion { return s.current }

// AsOf returns the offset up to which Current is the current version.
func (s *State) AsOf() int64 { return s.asOf }

// HasGap reports whether records between AsOf and the oldest retained offset have expired from the log. The state then
// accepts only snapshots.
func (s *State) HasGap() bool { return s.asOf < s.oldestOffset }

// NextOffset returns the offset of the next record to read.
func (s *State) NextOffset() int64 {
	if s.HasGap() {
		return max(s.scanOffset, s.oldestOffset)
	}
	return s.asOf
}

// StatedAt returns the log's time stamp of the newest record with the current version.
func (s *State) StatedAt() time.Time { return s.statedAt }

// Conflict describes two records that contradict each other about a version. It is empty if there are none.
func (s *State) Conflict() string { return s.conflict }

// Apply applies a batch that was read from NextOffset and returns one result per applied record. After a snapshot that
// closes a gap it skips the rest of the batch, because the next read has to start at the snapshot's offset.
func (s *State) Apply(b appender.Batch) []RecordResult {
	s.oldestOffset = max(s.oldestOffset, b.OldestOffset)
	var out []RecordResult
	for _, r := range b.Records {
		if r.Offset < s.NextOffset() {
			continue
		}
		if !s.HasGap() {
			out = append(out, s.applyRecord(r))
			s.asOf = r.Offset + 1
			continue
		}
		s.scanOffset = r.Offset + 1
		if s.applySnapshot(r); !s.HasGap() {
			return out
		}
	}
	return out
}

// applyRecord accepts or rejects the record at NextOffset.
func (s *State) applyRecord(lr appender.Record) RecordResult {
	r, err := Decode(lr.Data)
	if err != nil {
		return RecordResult{Reason: err.Error()}
	}
	if r.Snapshot {
		s.confirm(r, lr.AppendedAt)
		return RecordResult{Record: r, Reason: "the snapshot states what is known"}
	}
	if r.Base != s.current.Version() {
		return RecordResult{Record: r, Reason: fmt.Sprintf("base is %d and version %d is in force", r.Base, s.current.Version())}
	}
	cfg, err := Validate(r.Text, s.current.Config)
	if err != nil {
		return RecordResult{Record: r, Reason: err.Error()}
	}
	s.current, s.statedAt = AcceptedVersion{Record: r, Config: cfg}, lr.AppendedAt
	return RecordResult{Record: r, Config: cfg}
}

// Validate parses a text and checks it against the current configuration, which may be nil. The number of partitions
// must not change: instances with different numbers would look for the same key in different streams.
func Validate(text string, current *configurer.Config) (*configurer.Config, error) {
	cfg, err := configurer.Parse(Stream, text)
	if err != nil {
		return nil, err
	}
	if current != nil && cfg.Ledger.Partitions != current.Ledger.Partitions {
		return nil, fmt.Errorf("ledger.partitions = %d: must stay %d", cfg.Ledger.Partitions, current.Ledger.Partitions)
	}
	return cfg, nil
}

// applySnapshot applies a record while the state has a gap; records other than snapshots are ignored.
func (s *State) applySnapshot(lr appender.Record) {
	r, err := Decode(lr.Data)
	if err != nil || !r.Snapshot || r.AsOf > lr.Offset {
		return
	}
	s.Merge(r)
	s.confirm(r, lr.AppendedAt)
}

// Merge adopts a snapshot whose offset is later than the state's, and reports whether the current version increased.
func (s *State) Merge(r *Record) bool {
	s.confirm(r, time.UnixMilli(r.StatedMs))
	if r.AsOf <= s.asOf && r.Version > s.current.Version() {
		s.conflict = fmt.Sprintf("version %d is said to be in force up to offset %d, but version %d is up to offset %d",
			r.Version, r.AsOf, s.current.Version(), s.asOf)
	}
	if r.AsOf <= s.asOf || r.Version < s.current.Version() {
		return false
	}
	if r.Version == s.current.Version() {
		if r.Hash == s.current.Record.Hash {
			s.asOf = r.AsOf
		}
		return false
	}
	cfg, err := configurer.Parse(Stream, r.Text)
	if err != nil {
		return false
	}
	s.current, s.asOf, s.statedAt = AcceptedVersion{Record: r, Config: cfg}, r.AsOf, time.UnixMilli(r.StatedMs)
	return true
}

// confirm updates statedAt if a record restates the current version, and detects a different hash for it.
func (s *State) confirm(r *Record, at time.Time) {
	if s.current.Record == nil || r.Version != s.current.Version() {
		return
	}
	if r.Hash != s.current.Record.Hash {
		s.conflict = fmt.Sprintf("version %d has the hashes %s and %s", r.Version, s.current.Record.Hash, r.Hash)
		return
	}
	if at.After(s.statedAt) {
		s.statedAt = at
	}
}

// Snapshot returns a snapshot of the current version for the log or a peer; nil if there is none.
func (s *State) Snapshot() *Record {
	if s.current.Record == nil {
		return nil
	}
	r := *s.current.Record
	r.Snapshot, r.AsOf, r.StatedMs = true, s.asOf, s.statedAt.UnixMilli()
	return &r
}
