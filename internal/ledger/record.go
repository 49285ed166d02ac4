package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxBodyBytes bounds the response body in a done record; longer bodies are not recorded.
	MaxBodyBytes = 16 << 10
	// idBytes is the length of attempt IDs and hashes: with 128 bits, collisions among billions of keys are negligible.
	idBytes = 16
	// maxNameBytes bounds each string of a record.
	maxNameBytes = 256
	// maxRecordBytes bounds an encoded record: the body and the strings.
	maxRecordBytes = MaxBodyBytes + 2048
)

// The kinds of records.
const (
	kindIntent  = "intent"
	kindAbandon = "abandon"
	kindDone    = "done"
)

// AttemptID is the random identifier of an attempt.
type AttemptID [idBytes]byte

// String returns the ID in hexadecimal.
func (id AttemptID) String() string { return hex.EncodeToString(id[:]) }

// Hash is a truncated SHA-256.
type Hash [idBytes]byte

// HashOf hashes parts, including the length of each.
func HashOf(parts ...[]byte) Hash {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		h.Write(p)
	}
	return Hash(h.Sum(nil)[:idBytes])
}

// keyHash identifies a key in the fold. Keys of different accounts never share a hash.
func keyHash(account, key string) Hash { return HashOf([]byte(account), []byte(key)) }

// Record is one record of the ledger.
type Record struct {
	Kind      string `msgpack:"kind"`
	Key       string `msgpack:"key"`
	Account   string `msgpack:"account"`
	AttemptID []byte `msgpack:"attempt"`
	// Owner, BodyHash and AtMs are set in an intent record. Owner is the ID of the owner's instance, AtMs its clock in
	// Unix ms.
	Owner    string `msgpack:"owner,omitempty"`
	BodyHash []byte `msgpack:"bodyHash,omitempty"`
	AtMs     int64  `msgpack:"at,omitempty"`
	// Status, ContentType, Body and Length are set in a done record. Length is that of the complete response body, also if
	// Body is omitted.
	Status      int    `msgpack:"status,omitempty"`
	ContentType string `msgpack:"type,omitempty"`
	Body        []byte `msgpack:"body,omitempty"`
	Length      int    `msgpack:"length,omitempty"`
}

// Encode returns the record's MessagePack encoding.
func (r *Record) Encode() []byte {
	data, err := msgpack.Marshal(r)
	if err != nil {
		panic(err) // unreachable: every field can be encoded
	}
	return data
}

// Decode decodes and validates a record. The rules must be the same at every reader, so that all ignore the same records.
func Decode(data []byte) (*Record, error) {
	if len(data) > maxRecordBytes {
		return nil, fmt.Errorf("record has %d bytes: at most %d are allowed", len(data), maxRecordBytes)
	}
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	if r.Key == "" || max(len(r.Key), len(r.Account), len(r.Owner), len(r.ContentType)) > maxNameBytes {
		return nil, errors.New("record has no key or a string that is too long")
	}
	if len(r.AttemptID) != idBytes {
		return nil, fmt.Errorf("attempt ID has %d bytes: must have %d", len(r.AttemptID), idBytes)
	}
	return r, r.checkKind()
}

func (r *Record) checkKind() error {
	switch r.Kind {
	case kindIntent:
		if len(r.BodyHash) != idBytes {
			return fmt.Errorf("body hash has %d bytes: must have %d", len(r.BodyHash), idBytes)
		}
	case kindDone:
		if len(r.Body) > MaxBodyBytes || r.Status < 0 || r.Status > 999 || r.Length < len(r.Body) {
			return errors.New("status, body or length of a done record is out of range")
		}
	case kindAbandon:
	default:
		return fmt.Errorf("unknown record kind %q", r.Kind)
	}
	return nil
}
