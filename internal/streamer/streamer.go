// Package streamer puts the pieces of an answer in order.
//
// An engine's pieces may arrive late, out of order or twice, and after a broken
// connection they are read again from an offset. An [Assembler] takes them as
// they come and hands out each offset exactly once, in order. What it holds back
// is bounded in pieces and bytes: what exceeds the bounds is refused, and the reader
// asks the engine again from [Assembler.NextOffset].
//
// # Usage
//
//	a := streamer.NewAssembler(from, streamer.DefaultWindow)
//	ready, err := a.Add(piece)
//	done := a.End(end)
package streamer

import (
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/failer"
)

const (
	// DefaultWindow is how many pieces may be ahead of the next one.
	DefaultWindow = 1024
	// maxHeldBytes bounds the text of the pieces that wait; a piece may be as large as an event of the stream.
	maxHeldBytes = 1 << 20
)

// Assembler orders the pieces of one answer. It is used by one goroutine.
type Assembler struct {
	next   int
	window int
	held   map[int]dialer.RunChunk
	bytes  int
	end    int
	ended  bool
}

// NewAssembler returns an assembler whose first piece has the offset from.
func NewAssembler(from, window int) *Assembler {
	return &Assembler{next: from, window: window, held: map[int]dialer.RunChunk{}}
}

// NextOffset returns the offset of the next piece to hand out.
func (a *Assembler) NextOffset() int { return a.next }

// Buffered returns how many pieces wait for an earlier one.
func (a *Assembler) Buffered() int { return len(a.held) }

// Add takes a piece and returns the pieces that are now in order; duplicates give none.
func (a *Assembler) Add(p dialer.RunChunk) ([]dialer.RunChunk, error) {
	if p.Offset < 0 || p.Offset >= a.next+a.window {
		return nil, failer.New("piece %d is outside the window of %d pieces from %d", p.Offset, a.window, a.next)
	}
	if p.Offset < a.next {
		return nil, nil
	}
	if _, ok := a.held[p.Offset]; ok {
		return nil, nil
	}
	if p.Offset > a.next && a.bytes+len(p.Text) > maxHeldBytes {
		return nil, failer.New("pieces ahead of %d hold more than %d bytes", a.next, maxHeldBytes)
	}
	a.held[p.Offset] = p
	a.bytes += len(p.Text)
	var out []dialer.RunChunk
	for {
		q, ok := a.held[a.next]
		if !ok {
			return out, nil
		}
		delete(a.held, a.next)
		a.bytes -= len(q.Text)
		out = append(out, q)
		a.next++
	}
}

// SetEnd tells the number of pieces of the whole answer.
func (a *Assembler) SetEnd(e dialer.RunEnd) { a.end, a.ended = e.Offset, true }

// Complete reports whether every piece up to the end was handed out.
func (a *Assembler) Complete() bool { return a.ended && a.next >= a.end }
