package gossiper

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const (
	// MaxMessageBytes is the size limit of a gossip message; it fits a QUIC datagram on every path.
	MaxMessageBytes = 1200
	// MaxSyncBytes is the size limit of a full sync, about 10,000 members.
	MaxSyncBytes = 1 << 20
	// MaxPayloadBytes is the size limit of the opaque body of an item, so that it fits a message with others.
	MaxPayloadBytes = 600
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

// The kinds of items.
const (
	itemLeaving uint8 = iota
	itemLoad
	itemUsage
	itemKinds
)

// Item is one observation that is spread: of two with the same kind and key the one with the later stamp wins.
type Item struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Kind uint8
	Key  string
	// Owner is the instance that observed it.
	Owner string
	// Scope is the data centre that the item stays in; empty means everywhere.
	Scope   string
	WallMs  int64
	Logical uint32
	// UntilMs is when the item ends, in milliseconds since the epoch.
	UntilMs int64
	// Off withdraws an earlier observation.
	Off  bool
	Body []byte
}

func (it Item) stamp() recorder.Stamp { return recorder.Stamp{WallMs: it.WallMs, Logical: it.Logical} }

func (it Item) validate() error {
	if it.Kind >= itemKinds || it.Key == "" || len(it.Key) > maxNameBytes || len(it.Owner) > maxNameBytes ||
		len(it.Scope) > maxNameBytes || len(it.Body) > MaxPayloadBytes {
		return failer.New("item %.40q is not valid", it.Key)
	}
	return nil
}

// Change is a member's record or an item.
type Change struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Member *Record
	Item   *Item
}

// Message is a decoded message.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Kind    uint8
	From    Record
	WallMs  int64
	Logical uint32
	// TableHash is the sender's hash over the live members.
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
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // a type of this package cannot be encoded
	}
	return b
}

// Decode decodes and checks a message from a peer.
func Decode(data []byte) (*Message, error) {
	if len(data) > MaxSyncBytes {
		return nil, failer.New("message of %d bytes is too long", len(data))
	}
	m := new(Message)
	if err := msgpack.Unmarshal(data, m); err != nil {
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
