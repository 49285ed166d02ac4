// Package streamer reassembles the chunks of a streamed response in order.
//
// Chunks from an engine may arrive late, out of order or twice, and a reader
// that lost its connection reads the stream again from an offset. An [Assembler]
// accepts chunks in any order and returns each offset exactly once, in order.
// Its buffer is bounded in chunks and bytes. A chunk that exceeds a bound is
// refused, and the reader requests the stream again from [Assembler.NextOffset].
//
// # Usage
//
//	a := streamer.NewAssembler(from, streamer.DefaultWindow)
//	ready, err := a.Add(chunk)
//	a.SetEnd(end)
//	done := a.Complete()
package streamer

import (
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/failer"
)

const (
	// DefaultWindow is the number of chunks, counted from the next one, that an [Assembler] accepts.
	DefaultWindow = 1024
	// maxBufferedBytes bounds the text of buffered chunks. One chunk may be as large as a stream event, which is 1 MiB.
	maxBufferedBytes = 1 << 20
)

// Assembler orders the chunks of one response. It is not safe for concurrent use.
type Assembler struct {
	next          int
	window        int
	buffered      map[int]dialer.RunChunk
	bufferedBytes int
	end           int
	ended         bool
}

// NewAssembler returns an assembler whose first chunk has the offset from.
func NewAssembler(from, window int) *Assembler {
	return &Assembler{next: from, window: window, buffered: map[int]dialer.RunChunk{}}
}

// NextOffset returns the offset of the next chunk to return.
func (a *Assembler) NextOffset() int { return a.next }

// Buffered returns the number of chunks that wait for an earlier one.
func (a *Assembler) Buffered() int { return len(a.buffered) }

// Add accepts a chunk and returns all chunks that are now in order. A duplicate is ignored. It fails if the chunk is outside
// the window or exceeds the bound in bytes.
func (a *Assembler) Add(c dialer.RunChunk) ([]dialer.RunChunk, error) {
	if c.Offset < 0 || c.Offset >= a.next+a.window {
		return nil, failer.New("chunk %d is outside the window of %d chunks from %d", c.Offset, a.window, a.next)
	}
	if c.Offset < a.next {
		return nil, nil
	}
	if _, ok := a.buffered[c.Offset]; ok {
		return nil, nil
	}
	if c.Offset > a.next && a.bufferedBytes+len(c.Text) > maxBufferedBytes {
		return nil, failer.New("chunks buffered ahead of %d exceed %d bytes", a.next, maxBufferedBytes)
	}
	a.buffered[c.Offset] = c
	a.bufferedBytes += len(c.Text)
	var out []dialer.RunChunk
	for {
		first, ok := a.buffered[a.next]
		if !ok {
			return out, nil
		}
		delete(a.buffered, a.next)
		a.bufferedBytes -= len(first.Text)
		out = append(out, first)
		a.next++
	}
}

// SetEnd sets the number of chunks in the complete response.
func (a *Assembler) SetEnd(e dialer.RunEnd) { a.end, a.ended = e.Offset, true }

// Complete reports whether Add has returned every chunk up to the end.
func (a *Assembler) Complete() bool { return a.ended && a.next >= a.end }
