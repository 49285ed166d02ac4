package fencer

import (
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/failer"
)

const (
	// maxRecordBytes bounds a lease record before it is decoded.
	maxRecordBytes = 1024
	// maxTTL bounds the term that a record may ask for, so that a faulty holder cannot block a resource for long.
	maxTTL = time.Minute
)

// Record is one lease record of the log.
type Record struct {
	Resource string `msgpack:"resource"`
	Holder   string `msgpack:"holder"`
	Attempt  uint64 `msgpack:"attempt"`
	TTLMs    int64  `msgpack:"ttlMs"`
	// Release gives the lease back before its term ends.
	Release bool `msgpack:"release,omitempty"`
}

// Encode returns the record's form on the log.
func (r Record) Encode() ([]byte, error) { return msgpack.Marshal(r) }

// DecodeRecord decodes a record of the log.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if len(data) > maxRecordBytes {
		return r, failer.New("lease record of %d bytes is longer than %d", len(data), maxRecordBytes)
	}
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return r, failer.Wrap(err, "decode lease record", "", "lease")
	}
	if r.Resource == "" || r.Holder == "" || r.TTLMs < 0 || r.TTLMs > maxTTL.Milliseconds() {
		return r, failer.New("lease record of holder %q for resource %q is not valid", r.Holder, r.Resource)
	}
	return r, nil
}

// Grant is the lease that is in force for a resource.
type Grant struct {
	Holder string
	// Attempt is the attempt of the record that granted or last renewed the lease.
	Attempt uint64
	// FencingToken is the offset of the record that granted the lease first; a renewal keeps it.
	FencingToken int64
	// ValidFrom and ValidUntil are times of the log, not of any reader.
	ValidFrom, ValidUntil time.Time
}

// LeaseTable is the immutable fold of the lease records up to an offset. It depends on nothing but the
// records and the times that the log gave them, so every reader comes to the same result.
type LeaseTable struct {
	grants map[string]Grant
}

// Grant returns the last lease of a resource, which may have ended.
func (b LeaseTable) Grant(resource string) (Grant, bool) {
	g, ok := b.grants[resource]
	return g, ok
}

// Grants returns the last lease of every resource.
func (b LeaseTable) Grants() map[string]Grant { return maps.Clone(b.grants) }

// With returns the book after a record that the log holds at an offset and a time.
// The record of another holder counts only if the term before it had ended when the log took it.
func (b LeaseTable) With(offset int64, at time.Time, r Record) LeaseTable {
	old, held := b.grants[r.Resource]
	held = held && at.Before(old.ValidUntil)
	g := old
	switch {
	case r.Release && held && old.Holder == r.Holder:
		g.ValidUntil = at
	case r.Release:
		return b
	case held && old.Holder != r.Holder:
		return b
	case held:
		g.Attempt, g.ValidUntil = r.Attempt, at.Add(time.Duration(r.TTLMs)*time.Millisecond)
	default:
		g = Grant{Holder: r.Holder, Attempt: r.Attempt, FencingToken: offset, ValidFrom: at,
			ValidUntil: at.Add(time.Duration(r.TTLMs) * time.Millisecond)}
	}
	n := LeaseTable{grants: maps.Clone(b.grants)}
	if n.grants == nil {
		n.grants = map[string]Grant{}
	}
	n.grants[r.Resource] = g
	return n
}
