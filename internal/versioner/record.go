package versioner

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// Stream is the stream of configuration records.
	Stream = "config"
	// MaxTextBytes bounds the text of a configuration. That of 830 targets with a store each and 1,200 accounts has 330 KB.
	MaxTextBytes = 960 << 10
	// maxName bounds the author and the id.
	maxName = 256
	// maxRecord bounds an encoded record, with its text compressed.
	maxRecord = 256 << 10
)

// Record is one record of the stream, and what peers send each other.
type Record struct {
	Version int64  `msgpack:"version"`
	Base    int64  `msgpack:"base"`
	Author  string `msgpack:"author"`
	AtMs    int64  `msgpack:"at"`
	Hash    string `msgpack:"hash"`
	Text    string `msgpack:"-"`
	// CompressedText is the compressed text; it is set in an encoded record only.
	CompressedText []byte `msgpack:"text"`
	// ID tells the records of one publisher from those of another with the same text.
	ID string `msgpack:"id"`
	// Snapshot: the record states an accepted version again, which is in force up to the offset AsOf of the stream.
	Snapshot bool  `msgpack:"snapshot,omitempty"`
	AsOf     int64 `msgpack:"asOf,omitempty"`
	// StatedMs is when the log last got a record that states the version, as far as the sender knows.
	StatedMs int64 `msgpack:"stated,omitempty"`
}

// HashText returns the hash of a configuration's text.
func HashText(text string) string {
	h := sha256.Sum256([]byte(text))
	return hex.EncodeToString(h[:])
}

// Encode returns the record's bytes.
func (r *Record) Encode() []byte {
	w := *r
	w.CompressedText = pack(r.Text)
	data, err := msgpack.Marshal(&w)
	if err != nil {
		panic(err) // the type holds nothing that cannot be encoded
	}
	return data
}

// packers holds compressors, since a new one takes more than half a megabyte.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

func pack(text string) []byte {
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&b)
	_, _ = io.WriteString(w, text) // a buffer takes everything
	_ = w.Close()
	return b.Bytes()
}

func unpack(data []byte) (string, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), MaxTextBytes+1))
	return string(out), err
}

// Decode decodes a record and checks everything but the text, which the fold parses.
func Decode(data []byte) (*Record, error) {
	if len(data) > maxRecord {
		return nil, fmt.Errorf("record has %d bytes, at most %d are allowed", len(data), maxRecord)
	}
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("record is malformed: %w", err)
	}
	var err error
	if r.Text, err = unpack(r.CompressedText); err != nil {
		return nil, fmt.Errorf("text of the record is malformed: %w", err)
	}
	r.CompressedText = nil
	switch {
	case len(r.Author) > maxName || len(r.ID) > maxName || len(r.Text) > MaxTextBytes:
		return nil, errors.New("author, id or text of the record is too long")
	case r.Base < 0 || r.Version != r.Base+1:
		return nil, fmt.Errorf("version %d does not follow base %d", r.Version, r.Base)
	case r.AsOf < 0 || (!r.Snapshot && r.AsOf != 0):
		return nil, errors.New("offset of the record is out of range")
	case r.Hash != HashText(r.Text):
		return nil, errors.New("hash of the record does not fit its text")
	}
	return r, nil
}
