package gossiper

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/hasher"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const (
	// MaxMessageBytes is the size limit of a gossip message; it fits a QUIC datagram on every path.
	MaxMessageBytes = 1200
	// MaxSyncBytes is the size limit of a full sync, about 10,000 members.
	MaxSyncBytes = 1 << 20
	// MaxPayloadBytes is the size limit of the opaque body of an item, so that it fits a message with the names.
	MaxPayloadBytes = 900
)

// The kinds of messages.
const (
	kindGossip uint8 = iota
	// kindProbe asks for an answer at once.
	kindProbe
	// kindSync carries the whole table and asks for the receiver's.
	kindSync
	// kindSyncReply carries the whole table.
	kindSyncReply
	kinds
)

// limitShift is what messages leave out of a position: two of 420 positions share the upper half once in 50,000 rings.
const limitShift = 32

// The kinds of items.
const (
	itemLeaving uint8 = iota
	itemLoad
	itemUsage
	// itemSum is a usage payload for all data centres.
	itemSum
	itemKinds
)

// Item is one observation that is spread: of two with the same kind and key the one with the later stamp wins.
type Item struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Kind    uint8
	Key     string
	WallMs  int64
	Logical uint32
	// ExpiresUnixMs is when a leaving target's mark ends, in milliseconds since the epoch.
	ExpiresUnixMs int64
	// Withdrawn withdraws an earlier observation.
	Withdrawn bool
	Body      []byte
	// RangeEnd is the position on the ring up to which the receiver passes the item on; 0 if it does not. Messages carry
	// its upper half.
	RangeEnd uint64

	// passed says that the item was passed on here.
	passed bool
}

// brief reports whether the item is replaced every few periods.
func (it Item) brief() bool { return it.Kind != itemLeaving }

// local reports whether the item stays in its data centre.
func (it Item) local() bool { return it.Kind == itemLoad || it.Kind == itemUsage }

func (it Item) stamp() recorder.Stamp { return recorder.Stamp{WallMs: it.WallMs, Logical: it.Logical} }

// digest is the item's part of the table hash. Only leaving targets have one: a mark that is lost, for example in a
// partition too short to be noticed, must be repaired, while reports and payloads are replaced each period.
func (it Item) digest() uint64 {
	if it.Kind != itemLeaving {
		return 0
	}
	return hasher.Mix64(position(it.Key) ^ hasher.Mix64(uint64(it.WallMs)<<16^uint64(it.Logical)))
}

func (it Item) validate() error {
	if it.Kind >= itemKinds || it.Key == "" || len(it.Key) > maxNameBytes || len(it.Body) > MaxPayloadBytes {
		return failer.New("item %.40q is not valid", it.Key)
	}
	return nil
}

// Change is a member's record, an item or what the sender knows of versions.
type Change struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Member   *Record
	Item     *Item
	Coverage *ConfigCoverage
}

// Message is a decoded message.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Kind    uint8
	From    Record
	WallMs  int64
	Logical uint32
	// TableHash is the sender's hash over the live members and the leaving targets.
	TableHash uint64
	Changes   []Change
}

// envelope is a message whose changes are encoded already.
type envelope struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Kind      uint8
	From      Record
	WallMs    int64
	Logical   uint32
	TableHash uint64
	Changes   []msgpack.RawMessage
}

// encode returns v in msgpack; all types that are passed can be encoded.
func encode(v any) []byte {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseCompactInts(true) // fixed widths would be a quarter of a load report
	if err := enc.Encode(v); err != nil {
		panic(err) // a type of this package cannot be encoded
	}
	return bytes.Clone(b.Bytes()) // without the spare room, since changes are kept until they were sent
}

const (
	// messageFields is the number of fields of a message.
	messageFields = 6
	// minChangeBytes is the size of the shortest change: the array, an empty member and an empty item.
	minChangeBytes = 3
)

// decodeFields decodes the fields one by one: the codec would make room for as many changes as a broken message claims.
func decodeFields(data []byte) (*Message, error) {
	d, m := msgpack.NewDecoder(bytes.NewReader(data)), new(Message)
	n, err := d.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if n < messageFields {
		return nil, failer.New("message has %d fields, fewer than %d", n, messageFields)
	}
	if err := d.DecodeMulti(&m.Kind, &m.From, &m.WallMs, &m.Logical, &m.TableHash); err != nil {
		return nil, err
	}
	if n, err = d.DecodeArrayLen(); err != nil {
		return nil, err
	}
	if n > len(data)/minChangeBytes {
		return nil, failer.New("message of %d bytes claims %d changes", len(data), n)
	}
	m.Changes = make([]Change, max(0, n))
	for i := range m.Changes {
		if err := d.Decode(&m.Changes[i]); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Decode decodes and checks a message from a peer.
func Decode(data []byte) (*Message, error) {
	if len(data) > MaxSyncBytes {
		return nil, failer.New("message of %d bytes is too long", len(data))
	}
	m, err := decodeFields(data)
	if err != nil {
		return nil, failer.Wrap(err, "decode message", "", "gossip")
	}
	if m.Kind >= kinds {
		return nil, failer.New("message has the unknown kind %d", m.Kind)
	}
	if m.Kind < kindSync && len(data) > MaxMessageBytes {
		return nil, failer.New("gossip message of %d bytes is too long", len(data))
	}
	if err := m.From.validate(); err != nil {
		return nil, err
	}
	for _, c := range m.Changes {
		if c.Member != nil {
			if err := c.Member.validate(); err != nil {
				return nil, err
			}
		}
		if c.Item != nil {
			if err := c.Item.validate(); err != nil {
				return nil, err
			}
		}
	}
	return m, nil
}
