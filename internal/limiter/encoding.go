package limiter

import (
	"encoding/binary"
	"math"

	"github.com/papayaworks/papayaworks/internal/failer"
)

const (
	// valueBytes is the size of an encoded value: the upper half of a 32-bit float.
	valueBytes = 2
	// lowerHalf are the bits of a 32-bit float that are not sent.
	lowerHalf = 1<<16 - 1
	// entryBytes is the encoded size of an entry without its names: two lengths for each name and three values.
	entryBytes = 2*2 + int(limits)*valueBytes
)

// roundUp returns the next value that can be sent, at most 0.8 % above x. Demands that are told too low would let the
// others spend too much.
func roundUp(x float32) float32 {
	b := math.Float32bits(x)
	return math.Float32frombits((b + lowerHalf) &^ lowerHalf)
}

// shared returns the length of the common prefix.
func shared(a, b string) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// Encode returns a report as the opaque payload of a gossip message; nil if there is nothing to report. Names are
// stored without the prefix that they share with the entry before, and values are rounded up.
func Encode(us []Usage) ([]byte, error) {
	if len(us) == 0 {
		return nil, nil
	}
	if len(us) > MaxUsages {
		return nil, failer.New("usage report has %d entries, more than %d", len(us), MaxUsages)
	}
	out, last := []byte{byte(len(us))}, Usage{}
	for _, u := range us {
		out = appendName(appendName(out, last.Account, u.Account), last.DataCentre, u.DataCentre)
		for _, x := range []float32{u.Requests, u.Tokens, u.Streams} {
			out = binary.BigEndian.AppendUint16(out, uint16(math.Float32bits(roundUp(x))>>16))
		}
		last = u
	}
	return out, nil
}

func appendName(out []byte, last, name string) []byte {
	n := shared(last, name)
	out = binary.AppendUvarint(out, uint64(n))
	out = binary.AppendUvarint(out, uint64(len(name)-n))
	return append(out, name[n:]...)
}

// size is the encoded size of an entry after another, for names of less than 128 bytes.
func (u Usage) size(last Usage) int {
	return entryBytes + len(u.Account) - shared(last.Account, u.Account) + len(u.DataCentre) - shared(last.DataCentre, u.DataCentre)
}

// reader reads an encoded report; after a fault it returns zero values.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) uvarint() int {
	x, n := binary.Uvarint(r.data)
	if n <= 0 || x > math.MaxInt32 {
		r.bad = true
		return 0
	}
	r.data = r.data[n:]
	return int(x)
}

func (r *reader) next(n int) []byte {
	if r.bad || n > len(r.data) {
		r.bad = true
		return nil
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

func (r *reader) name(last string) string {
	same := r.uvarint()
	rest := r.next(r.uvarint())
	if r.bad || same > len(last) || same+len(rest) > maxNameBytes {
		r.bad = true
		return ""
	}
	return last[:same] + string(rest)
}

func (r *reader) value() float32 {
	b := r.next(valueBytes)
	if b == nil {
		return 0
	}
	return math.Float32frombits(uint32(binary.BigEndian.Uint16(b)) << 16)
}

// maxNameBytes bounds the names of a report that is read, which could otherwise grow with each entry.
const maxNameBytes = 1024

// Decode reads a payload of [Encode].
func Decode(data []byte) ([]Usage, error) {
	if len(data) == 0 || int(data[0]) > MaxUsages {
		return nil, failer.New("usage report is empty or has more than %d entries", MaxUsages)
	}
	r, us, last := reader{data: data[1:]}, make([]Usage, data[0]), Usage{}
	for i := range us {
		us[i] = Usage{
			Account: r.name(last.Account), DataCentre: r.name(last.DataCentre),
			Requests: r.value(), Tokens: r.value(), Streams: r.value(),
		}
		last = us[i]
	}
	if r.bad || len(r.data) > 0 {
		return nil, failer.New("usage report of %d bytes is malformed", len(data))
	}
	return us, nil
}
