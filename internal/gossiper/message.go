package gossiper

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/hasher"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const (
	// MaxMessageBytes is the maximum size of a gossip message. It fits a QUIC datagram on every path.
	MaxMessageBytes = 1200
	// MaxSyncBytes is the maximum size of a full sync, which fits about 10,000 members.
	MaxSyncBytes = 1 << 20
	// MaxPayloadBytes is the maximum size of the opaque body of an item. It leaves room for the names in a message.
	MaxPayloadBytes = 900
)

// The kinds of messages.
const (
	kindGossip uint8 = iota
	// kindProbe requests an immediate reply.
	kindProbe
	// kindSync carries the sender's full member table and requests the receiver's.
	kindSync
	// kindSyncReply carries the sender's full member table.
	kindSyncReply
	kinds
)

// rangeEndShift is the number of low bits of a ring position that messages omit. Two of 420 positions share the upper half
// once in 50,000 rings.
const rangeEndShift = 32

// The kinds of items.
const (
	itemLeaving uint8 = iota
	itemLoad
	itemLocalUsage
	// itemWideUsage is a usage payload that is sent to all data centres.
	itemWideUsage
	itemKinds
)

// Item is one disseminated observation. Of two items with the same kind and key, the one with the later stamp wins. WallMs
// and Logical are the stamp, which the hybrid logical clock of the publishing instance issued.
type Item struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Kind    uint8
	Key     string
	WallMs  int64
	Logical uint32
	// ExpiresUnixMs is when the item expires, in milliseconds since the epoch. Messages carry it only for leaving targets;
	// receivers set it for the other kinds.
	ExpiresUnixMs int64
	// Withdrawn reports whether the observation no longer holds.
	Withdrawn bool
	Body      []byte
	// RangeEnd is the ring position up to which the receiver forwards the item, or 0 if it does not forward it. Messages
	// carry its upper half.
	RangeEnd uint64

	// forwarded reports whether this instance forwarded the item.
	forwarded bool
}

// ephemeral reports whether the item is replaced every few periods, as all kinds but leaving targets are.
func (it Item) ephemeral() bool { return it.Kind != itemLeaving }

// localOnly reports whether the item stays in its data centre.
func (it Item) localOnly() bool { return it.Kind == itemLoad || it.Kind == itemLocalUsage }

func (it Item) stamp() recorder.Stamp { return recorder.Stamp{WallMs: it.WallMs, Logical: it.Logical} }

// digest returns the item's contribution to the table hash. Only leaving targets contribute: a mark that was lost, for
// example in a partition too short to be detected, must be repaired by a sync, while reports and payloads are replaced
// within a few periods.
func (it Item) digest() uint64 {
	if it.Kind != itemLeaving {
		return 0
	}
	return hasher.Mix64(ringPosition(it.Key) ^ hasher.Mix64(uint64(it.WallMs)<<16^uint64(it.Logical)))
}

func (it Item) validate() error {
	if it.Kind >= itemKinds || it.Key == "" || len(it.Key) > maxNameBytes || len(it.Body) > MaxPayloadBytes {
		return failer.New("invalid item %.40q", it.Key)
	}
	return nil
}

// Change carries a member record, an item or the sender's view of configuration versions.
type Change struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Member   *Record
	Item     *Item
	Coverage *ConfigCoverage
}

// Message is a decoded message. From is the sender's own record, WallMs and Logical are the stamp of the sender's hybrid
// logical clock.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Kind    uint8
	From    Record
	WallMs  int64
	Logical uint32
	// TableHash is the sender's hash over the live members and the leaving targets. A difference triggers a sync.
	TableHash uint64
	Changes   []Change
}

// envelope is a message with encoded changes.
type envelope struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Kind      uint8
	From      Record
	WallMs    int64
	Logical   uint32
	TableHash uint64
	Changes   []msgpack.RawMessage
}

// encode returns v in msgpack. It panics if the type of v has no encoding.
func encode(v any) []byte {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseCompactInts(true) // fixed-width integers would take a quarter of a load report
	if err := enc.Encode(v); err != nil {
		panic(err) // every type that is passed here has an encoding
	}
	return bytes.Clone(b.Bytes()) // without spare capacity, since changes stay in memory until they are sent
}

const (
	// messageFields is the minimum number of fields of a message.
	messageFields = 6
	// minChangeBytes is the size of the shortest accepted change: the array header, an empty member and an empty item.
	minChangeBytes = 3
)

// decodeFields decodes the fields one by one, since the codec would allocate memory for as many changes as a malformed
// message claims.
func decodeFields(data []byte) (*Message, error) {
	d, m := msgpack.NewDecoder(bytes.NewReader(data)), new(Message)
	n, err := d.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if n < messageFields {
		return nil, failer.New("message has too few fields: got %d, want at least %d", n, messageFields)
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

// Decode decodes and validates a message from a peer.
func Decode(data []byte) (*Message, error) {
	if len(data) > MaxSyncBytes {
		return nil, failer.New("message too long: got %d bytes, maximum %d", len(data), MaxSyncBytes)
	}
	m, err := decodeFields(data)
	if err != nil {
		return nil, failer.Wrap(err, "decode message", "", "gossip")
	}
	if m.Kind >= kinds {
		return nil, failer.New("message has unknown kind %d", m.Kind)
	}
	if m.Kind < kindSync && len(data) > MaxMessageBytes {
		return nil, failer.New("gossip message too long: got %d bytes, maximum %d", len(data), MaxMessageBytes)
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
