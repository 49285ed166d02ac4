package limiter

import (
	"encoding/binary"
	"math"

	"github.com/papayaworks/papayaworks/internal/failer"
)

const (
	// valueBytes is the size of an encoded value: the upper half of a 32-bit float.
	valueBytes = 2
	// droppedBits is the mask of the bits of a 32-bit float that are not encoded.
	droppedBits = 1<<16 - 1
	// entryBytes is the encoded size of an entry without its names: two lengths for each name and three values.
	entryBytes = 2*2 + int(limitCount)*valueBytes
)

// roundUp returns the smallest encodable value that is not below x, at most 0.8 % above it. Demands that are reported
// too low would let other members spend too much.
func roundUp(x float32) float32 {
	b := math.Float32bits(x)
	return math.Float32frombits((b + droppedBits) &^ droppedBits)
}

// commonPrefix returns the length of the common prefix of two names in bytes.
func commonPrefix(a, b string) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// Encode returns a report as the payload of a gossip message, or nil for an empty report. Each name is encoded without
// the prefix that it shares with the name in the previous entry, and values are rounded up.
func Encode(usages []Usage) ([]byte, error) {
	if len(usages) == 0 {
		return nil, nil
	}
	if len(usages) > MaxUsages {
		return nil, failer.New("encode usage report: got %d entries, want at most %d", len(usages), MaxUsages)
	}
	out, previous := []byte{byte(len(usages))}, Usage{}
	for _, u := range usages {
		out = appendName(appendName(out, previous.Account, u.Account), previous.DataCentre, u.DataCentre)
		for _, x := range []float32{u.Requests, u.Tokens, u.Streams} {
			out = binary.BigEndian.AppendUint16(out, uint16(math.Float32bits(roundUp(x))>>16))
		}
		previous = u
	}
	return out, nil
}

func appendName(out []byte, previous, name string) []byte {
	n := commonPrefix(previous, name)
	out = binary.AppendUvarint(out, uint64(n))
	out = binary.AppendUvarint(out, uint64(len(name)-n))
	return append(out, name[n:]...)
}

// size returns the encoded size of an entry that follows the previous one, for names of less than 128 bytes.
func (u Usage) size(previous Usage) int {
	return entryBytes + len(u.Account) - commonPrefix(previous.Account, u.Account) + len(u.DataCentre) - commonPrefix(previous.DataCentre, u.DataCentre)
}

// decoder reads an encoded report. After an error, failed is set and the decoded names and values are zero.
type decoder struct {
	data   []byte
	failed bool
}

func (r *decoder) uvarint() int {
	x, n := binary.Uvarint(r.data)
	if n <= 0 || x > math.MaxInt32 {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return int(x)
}

func (r *decoder) bytes(n int) []byte {
	if r.failed || n > len(r.data) {
		r.failed = true
		return nil
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

func (r *decoder) name(previous string) string {
	prefix := r.uvarint()
	rest := r.bytes(r.uvarint())
	if r.failed || prefix > len(previous) || prefix+len(rest) > maxNameBytes {
		r.failed = true
		return ""
	}
	return previous[:prefix] + string(rest)
}

func (r *decoder) value() float32 {
	b := r.bytes(valueBytes)
	if b == nil {
		return 0
	}
	return math.Float32frombits(uint32(binary.BigEndian.Uint16(b)) << 16)
}

// maxNameBytes bounds decoded names. Names share prefixes, so they could otherwise grow with each entry of a malformed
// report.
const maxNameBytes = 1024

// Decode returns the report in a payload of [Encode]. It returns an error for any payload that is not well formed.
func Decode(data []byte) ([]Usage, error) {
	if len(data) == 0 || int(data[0]) > MaxUsages {
		return nil, failer.New("decode usage report: payload is empty or has more than %d entries", MaxUsages)
	}
	r, usages, previous := decoder{data: data[1:]}, make([]Usage, data[0]), Usage{}
	for i := range usages {
		usages[i] = Usage{
			Account: r.name(previous.Account), DataCentre: r.name(previous.DataCentre),
			Requests: r.value(), Tokens: r.value(), Streams: r.value(),
		}
		previous = usages[i]
	}
	if r.failed || len(r.data) > 0 {
		return nil, failer.New("decode usage report: payload of %d bytes is malformed", len(data))
	}
	return usages, nil
}
