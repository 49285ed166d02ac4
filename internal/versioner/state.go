package versioner

import (
	"fmt"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// AcceptedVersion is a version that was accepted, with its decoded configuration.
type AcceptedVersion struct {
	Record *Record
	Config *configurer.Config
}

// Version returns the version; it is 0 as long as none was accepted.
func (a AcceptedVersion) Version() int64 {
	if a.Record == nil {
		return 0
	}
	return a.Record.Version
}

// RecordResult says what became of one record. Config is set if it was accepted; Record is nil if it is malformed.
type RecordResult struct {
	Record *Record
	Config *configurer.Config
	Reason string
}

// State is the fold: the version in force up to an offset. It is not safe for concurrent use.
type State struct {
	current AcceptedVersion
	asOf    int64 // every record before it is folded
	oldest  int64 // the oldest offset that the log has, as far as is known
	scan    int64 // while asOf < oldest: the next offset to look for a snapshot at
	// stated is the log's time of the newest record that states the current version.
	stated time.Time
	// conflict describes two different contents of one version; it must stay empty.
	conflict string
}

// Current returns the version in force.
func (s *State) Current() AcceptedVersion { return s.current }

// AsOf returns the offset up to which the current version is in force.
func (s *State) AsOf() int64 { return s.asOf }

// HasGap reports whether records between the state's offset and the oldest one of the log were dropped.
func (s *State) HasGap() bool { return s.asOf < s.oldest }

// NextOffset returns the offset to read from.
func (s *State) NextOffset() int64 {
	if s.HasGap() {
		return max(s.scan, s.oldest)
	}
	return s.asOf
}

// StatedAt returns when the log last got a record that states the current version.
func (s *State) StatedAt() time.Time { return s.stated }

// Conflict describes two different contents of one version, or is empty.
func (s *State) Conflict() string { return s.conflict }

// Apply folds a batch that was read from Next and returns what became of its records. It stops after a record that
// moves the position back; the next read then starts there.
func (s *State) Apply(b appender.Batch) []RecordResult {
	s.oldest = max(s.oldest, b.OldestOffset)
	var out []RecordResult
	for _, r := range b.Records {
		if r.Offset < s.NextOffset() {
			continue
		}
		if !s.HasGap() {
			out = append(out, s.fold(r))
			s.asOf = r.Offset + 1
			continue
		}
		s.scan = r.Offset + 1
		if s.snapshot(r); !s.HasGap() {
			return out
		}
	}
	return out
}

// fold decides about the record at the state's offset.
func (s *State) fold(lr appender.Record) RecordResult {
	r, err := Decode(lr.Data)
	if err != nil {
		return RecordResult{Reason: err.Error()}
	}
	if r.Snapshot {
		s.seen(r, lr.AppendedAt)
		return RecordResult{Record: r, Reason: "the snapshot states what is known"}
	}
	if r.Base != s.current.Version() {
		return RecordResult{Record: r, Reason: fmt.Sprintf("base is %d and version %d is in force", r.Base, s.current.Version())}
	}
	cfg, err := Validate(r.Text, s.current.Config)
	if err != nil {
		return RecordResult{Record: r, Reason: err.Error()}
	}
	s.current, s.stated = AcceptedVersion{Record: r, Config: cfg}, lr.AppendedAt
	return RecordResult{Record: r, Config: cfg}
}

// Validate parses a text and compares it with the configuration in force, which may be nil. The number of partitions
// must not change: instances with different numbers would look for the same key in different streams.
func Validate(text string, inForce *configurer.Config) (*configurer.Config, error) {
	cfg, err := configurer.Parse(Stream, text)
	if err != nil {
		return nil, err
	}
	if inForce != nil && cfg.Ledger.Partitions != inForce.Ledger.Partitions {
		return nil, fmt.Errorf("ledger.partitions = %d: must stay %d", cfg.Ledger.Partitions, inForce.Ledger.Partitions)
	}
	return cfg, nil
}

// snapshot looks at a record while the state is scanning.
func (s *State) snapshot(lr appender.Record) {
	r, err := Decode(lr.Data)
	if err != nil || !r.Snapshot || r.AsOf > lr.Offset {
		return
	}
	s.Merge(r)
	s.seen(r, lr.AppendedAt)
}

// Merge takes a snapshot or a peer's record if it is known for a later offset than the state's, and reports whether
// the version rose.
func (s *State) Merge(r *Record) bool {
	s.seen(r, time.UnixMilli(r.StatedMs))
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
	s.current, s.asOf, s.stated = AcceptedVersion{Record: r, Config: cfg}, r.AsOf, time.UnixMilli(r.StatedMs)
	return true
}

// seen notes a record that states the current version again.
func (s *State) seen(r *Record, at time.Time) {
	if s.current.Record == nil || r.Version != s.current.Version() {
		return
	}
	if r.Hash != s.current.Record.Hash {
		s.conflict = fmt.Sprintf("version %d has the hashes %s and %s", r.Version, s.current.Record.Hash, r.Hash)
		return
	}
	if at.After(s.stated) {
		s.stated = at
	}
}

// Snapshot returns the record of the current version for the log or a peer; it is nil if there is none.
func (s *State) Snapshot() *Record {
	if s.current.Record == nil {
		return nil
	}
	r := *s.current.Record
	r.Snapshot, r.AsOf, r.StatedMs = true, s.asOf, s.stated.UnixMilli()
	return &r
}
