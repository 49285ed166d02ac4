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
	// Stream is the name of the log stream that holds the configuration records.
	Stream = "config"
	// MaxTextBytes bounds the text of a configuration. 830 targets with a store each and 1,200 accounts take 330 KB.
	MaxTextBytes = 960 << 10
	// maxNameBytes bounds the author and the ID.
	maxNameBytes = 256
	// maxRecordBytes bounds an encoded record, whose text is compressed.
	maxRecordBytes = 256 << 10
)

// Record is a record of the stream. Peers exchange snapshots in the same format.
type Record struct {
	Version int64 `msgpack:"version"`
	// Base is the version that the text is based on.
	Base   int64  `msgpack:"base"`
	Author string `msgpack:"author"`
	// AtMs is the publisher's clock at the publication, in Unix ms.
	AtMs int64 `msgpack:"at"`
	// Hash is the result of HashText for Text.
	Hash string `msgpack:"hash"`
	Text string `msgpack:"-"`
	// CompressedText replaces Text in an encoded record.
	CompressedText []byte `msgpack:"text"`
	// ID distinguishes records of different publishers with the same text.
	ID string `msgpack:"id"`
	// Snapshot reports whether the record restates an accepted version, which is current up to the offset AsOf of the
	// stream.
	Snapshot bool  `msgpack:"snapshot,omitempty"`
	AsOf     int64 `msgpack:"asOf,omitempty"`
	// StatedMs is the log's time stamp, in Unix ms, of the newest record with this version that the sender has read.
	StatedMs int64 `msgpack:"stated,omitempty"`
}

// HashText returns the SHA-256 of a configuration's text in hexadecimal.
func HashText(text string) string {
	h := sha256.Sum256([]byte(text))
	return hex.EncodeToString(h[:])
}

// Encode returns the record's MessagePack encoding.
func (r *Record) Encode() []byte {
	w := *r
	w.CompressedText = compress(r.Text)
	data, err := msgpack.Marshal(&w)
	if err != nil {
		panic(err) // unreachable: every field can be encoded
	}
	return data
}

// compressors reuses compressors, since each one allocates more than half a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(err) // unreachable: the level is valid
	}
	return w
}}

func compress(text string) []byte {
	var b bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	_, _ = io.WriteString(w, text) // writes to a bytes.Buffer cannot fail
	_ = w.Close()
	return b.Bytes()
}

func decompress(data []byte) (string, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), MaxTextBytes+1))
	return string(out), err
}

// Decode decodes and validates a record. It verifies the hash of the text but does not parse it.
func Decode(data []byte) (*Record, error) {
	if len(data) > maxRecordBytes {
		return nil, fmt.Errorf("record has %d bytes, at most %d are allowed", len(data), maxRecordBytes)
	}
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("record is malformed: %w", err)
	}
	var err error
	if r.Text, err = decompress(r.CompressedText); err != nil {
		return nil, fmt.Errorf("text of the record is malformed: %w", err)
	}
	r.CompressedText = nil
	switch {
	case len(r.Author) > maxNameBytes || len(r.ID) > maxNameBytes || len(r.Text) > MaxTextBytes:
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
