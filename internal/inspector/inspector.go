// Package inspector inspects the heads of HTTP responses.
//
// The parser of net/http accepts spaces in field names and obsolete line folding, in
// which a line that begins with a space or a tab continues the line before it. If a
// damaged response is parsed so, a field that marks the end of the body can be lost in
// another name or value, and the caller gets bytes that are not the body.
//
// [Head] rejects both in a head that arrives in parts. [Transport] does so for all
// responses to a client of net/http.
//
// # Usage
//
//	client := &http.Client{Transport: inspector.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4})}
//
//	var h inspector.Head
//	for !h.Ended() {
//		n, err := h.Feed(received)
//		if err != nil { ... }
//		received = received[n:]
//		... // append to received what arrives
//	}
package inspector

import (
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// headState is the part of a head to which the next byte belongs.
type headState int

const (
	beforeStatus headState = iota // the protocol version and the spaces after it
	afterStatus                   // the status line from the second byte of the status
	lineStart
	lineFeed // the line feed of the empty line
	fieldName
	fieldValue
	ended
)

// Head inspects one response head. The zero value expects its first byte.
type Head struct {
	state headState
	// pastVersion reports whether a space has followed the protocol version.
	pastVersion bool
	interim     bool
}

// Ended reports whether the empty line that ends the head has been inspected.
func (h *Head) Ended() bool { return h.state == ended }

// Interim reports whether the head has a status of 1xx, so that another one follows.
func (h *Head) Interim() bool { return h.interim }

// Feed inspects the next bytes and returns how many of them belong to the head. It returns an error if a field name is empty or has a byte
// that is not allowed there. Field values and the status line are not inspected.
func (h *Head) Feed(p []byte) (int, error) {
	for i, b := range p {
		if h.state == ended {
			return i, nil
		}
		if err := h.next(b); err != nil {
			return i, err
		}
	}
	return len(p), nil
}

func (h *Head) next(b byte) error {
	switch h.state {
	case beforeStatus, afterStatus:
		h.nextInStatusLine(b)
	case lineStart:
		return h.nextAtLineStart(b)
	case lineFeed:
		if b != '\n' {
			return invalidByte('\r')
		}
		h.state = ended
	case fieldName:
		if b == ':' {
			h.state = fieldValue
		} else if !isNameByte(b) {
			return invalidByte(b)
		}
	case fieldValue:
		if b == '\n' {
			h.state = lineStart
		}
	}
	return nil
}

func (h *Head) nextInStatusLine(b byte) {
	switch {
	case b == '\n':
		h.state = lineStart
	case b == ' ':
		h.pastVersion = true
	case h.state == beforeStatus && h.pastVersion:
		h.state, h.interim = afterStatus, b == '1'
	}
}

func (h *Head) nextAtLineStart(b byte) error {
	switch {
	case b == '\n':
		h.state = ended
	case b == '\r':
		h.state = lineFeed
	case isNameByte(b):
		h.state = fieldName
	default:
		return invalidByte(b)
	}
	return nil
}

func isNameByte(b byte) bool { return httpguts.IsTokenRune(rune(b)) }

func invalidByte(b byte) error {
	return fmt.Errorf("response has %q in the name of a header field", []byte{b})
}
