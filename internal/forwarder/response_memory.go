package forwarder

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// heldResponseFraction is the fraction of the memory of the process that responses of targets may hold. A buffer that is being
	// enlarged is held twice.
	heldResponseFraction = 0.125
	// smallResponseBytes is the length up to which a response is read whatever the others hold, so that faulty targets that send bytes
	// without end do not keep ordinary responses out.
	smallResponseBytes = 64 << 10
	// firstResponseBytes is the size of the first buffer of a response without a length.
	firstResponseBytes = 4 << 10
)

// Errors of responses that cannot be kept in memory.
var (
	errResponseTooLong = fmt.Errorf("response is longer than %d bytes", maxResponseBytes)
	errResponseMemory  = errors.New("memory for responses is used up")
)

// responseMemory bounds the bytes of the responses that are kept in memory until they are delivered. It is safe for concurrent use.
type responseMemory struct {
	// max is the bound; 0 means none.
	max  int64
	held atomic.Int64
}

// newResponseMemory returns the memory for responses of a process with a memory limit; 0 means unknown.
func newResponseMemory(memoryBytes int64) *responseMemory {
	if memoryBytes == 0 {
		return &responseMemory{}
	}
	return &responseMemory{max: max(maxResponseBytes, int64(heldResponseFraction*float64(memoryBytes)))}
}

// read reads a response body of the stated length, or of an unknown one if that is negative. Memory is reserved as the body arrives. The
// caller passes the capacity of the returned slice to release.
func (m *responseMemory) read(r io.Reader, length int64) ([]byte, error) {
	limit, size := length, min(length, smallResponseBytes)
	if length < 0 {
		limit, size = maxResponseBytes+1, firstResponseBytes
	}
	if length > maxResponseBytes {
		return nil, errResponseTooLong
	}
	m.held.Add(size)
	body := make([]byte, 0, size)
	for {
		if n := int64(cap(body)); len(body) == cap(body) && n < limit {
			grown := min(2*n, limit)
			if err := m.reserve(grown-n, grown); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxResponseBytes:
			return body, errResponseTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// reserve adds n bytes for a response of a size, unless all of them would exceed the bound.
func (m *responseMemory) reserve(n, size int64) error {
	if held := m.held.Add(n); m.max > 0 && held > m.max && size > smallResponseBytes {
		m.held.Add(-n)
		return fmt.Errorf("%w: a response of %d bytes beside %d bytes", errResponseMemory, size, held-n)
	}
	return nil
}

// release gives n bytes back.
func (m *responseMemory) release(n int) { m.held.Add(-int64(n)) }
