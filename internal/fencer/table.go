package fencer

import (
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/failer"
)

const (
	// maxRecordBytes is the maximum encoded size of a lease record; longer records are not decoded.
	maxRecordBytes = 1024
	// maxTTL is the longest term that a record may request, so that a faulty holder cannot block a resource for long.
	maxTTL = time.Minute
)

// Record requests, renews or releases a lease. Records are appended to the log.
type Record struct {
	Resource string `msgpack:"resource"`
	Holder   string `msgpack:"holder"`
	// Attempt identifies the request among the holder's own.
	Attempt uint64 `msgpack:"attempt"`
	// TTLMs is the length of the term in milliseconds.
	TTLMs int64 `msgpack:"ttlMs"`
	// Release ends the lease before the end of its term.
	Release bool `msgpack:"release,omitempty"`
}

// Encode returns the record in MessagePack.
func (r Record) Encode() ([]byte, error) { return msgpack.Marshal(r) }

// DecodeRecord decodes and validates a record. It fails for records that are too long, lack a holder or a resource, or
// request a term out of bounds.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if len(data) > maxRecordBytes {
		return r, failer.New("decode lease record: got %d bytes, at most %d are allowed", len(data), maxRecordBytes)
	}
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return r, failer.Wrap(err, "decode lease record", "", "lease")
	}
	if r.Resource == "" || r.Holder == "" || r.TTLMs < 0 || r.TTLMs > maxTTL.Milliseconds() {
		return r, failer.New("invalid lease record: holder %q, resource %q, term %d ms", r.Holder, r.Resource, r.TTLMs)
	}
	return r, nil
}

// Grant is the last lease granted for a resource. It may have ended.
type Grant struct {
	Holder string
	// Attempt is the attempt of the record that granted or last renewed the lease.
	Attempt uint64
	// FencingToken is the offset of the record that first granted the lease; renewals do not change it.
	FencingToken int64
	// ValidFrom and ValidUntil bound the term by the clock of the log, not of any reader.
	ValidFrom, ValidUntil time.Time
}

// LeaseTable is the immutable result of all lease records up to an offset, applied in order. It depends only on the records
// and their log timestamps, so all readers compute the same table. The zero value is an empty table.
type LeaseTable struct {
	grants map[string]Grant
}

// Grant returns the last lease of a resource, which may have ended. It reports false if there was none.
func (t LeaseTable) Grant(resource string) (Grant, bool) {
	g, ok := t.grants[resource]
	return g, ok
}

// Grants returns the last lease of every resource.
func (t LeaseTable) Grants() map[string]Grant { return maps.Clone(t.grants) }

// With returns the table after the record that the log stored at the given offset and time. A request by another holder is
// granted only if the current term had ended at that time. A release has no effect unless its holder holds the lease at
// that time.
func (t LeaseTable) With(offset int64, at time.Time, r Record) LeaseTable {
	prev, held := t.grants[r.Resource]
	held = held && at.Before(prev.ValidUntil)
	g := prev
	switch {
	case r.Release && held && prev.Holder == r.Holder:
		g.ValidUntil = at
	case r.Release:
		return t
	case held && prev.Holder != r.Holder:
		return t
	case held:
		g.Attempt, g.ValidUntil = r.Attempt, at.Add(time.Duration(r.TTLMs)*time.Millisecond)
	default:
		g = Grant{Holder: r.Holder, Attempt: r.Attempt, FencingToken: offset, ValidFrom: at,
			ValidUntil: at.Add(time.Duration(r.TTLMs) * time.Millisecond)}
	}
	n := LeaseTable{grants: maps.Clone(t.grants)}
	if n.grants == nil {
		n.grants = map[string]Grant{}
	}
	n.grants[r.Resource] = g
	return n
}
