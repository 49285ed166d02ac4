// Package inspector inspects the heads of HTTP responses.
//
// The parser of net/http accepts spaces in field names and obsolete line folding, in
// which a line that begins with a space or a tab continues the line before it. If a
// damaged response is parsed so, a field that marks the end of the body can be lost in
// another name or value, and the caller gets bytes that are not the body.
//
// It also ignores Transfer-Encoding in responses of HTTP/1.0 and before, so that the
// chunks are read as they are.
//
// [Head] rejects all three in a head that arrives in parts. [Transport] does so for all
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
	"bytes"
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

var (
	// firstChunkedVersion is the protocol version that introduced Transfer-Encoding. Versions before it are smaller as text.
	firstChunkedVersion = []byte("HTTP/1.1")
	transferEncoding    = []byte("Transfer-Encoding")
)

// headState is the part of a head to which the next byte belongs.
type headState int

const (
	version headState = iota
	status            // the first byte of the status and the spaces before it
	reason            // the rest of the status line
	lineStart
	lineFeed // the line feed of the empty line
	fieldName
	fieldValue
	ended
)

// Head inspects one response head. The zero value expects its first byte.
type Head struct {
	state headState
	// token is what has arrived of the protocol version or of a field name.
	token     []byte
	unchunked bool // the protocol version has no Transfer-Encoding
	interim   bool
}

// Ended reports whether the empty line that ends the head has been inspected.
func (h *Head) Ended() bool { return h.state == ended }

// Interim reports whether the head has a status of 1xx, so that another one follows.
func (h *Head) Interim() bool { return h.interim }

// Feed inspects the next bytes and returns how many of them belong to the head. It returns an error if a field name is empty or has a byte
// that is not allowed there, or if Transfer-Encoding occurs before HTTP/1.1. Field values are not inspected.
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
	case version, status, reason:
		h.nextInStatusLine(b)
	case lineStart:
		return h.nextAtLineStart(b)
	case lineFeed:
		if b != '\n' {
			return invalidByte('\r')
		}
		h.state = ended
	case fieldName:
		return h.nextInName(b)
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
	case h.state == version && b == ' ':
		h.state, h.unchunked = status, bytes.Compare(h.token, firstChunkedVersion) < 0
	case h.state == version:
		h.token = append(h.token, b)
	case h.state == status && b != ' ':
		h.state, h.interim = reason, b == '1'
	}
}

func (h *Head) nextAtLineStart(b byte) error {
	switch b {
	case '\n':
		h.state = ended
	case '\r':
		h.state = lineFeed
	default:
		h.state, h.token = fieldName, h.token[:0]
		return h.nextInName(b)
	}
	return nil
}

func (h *Head) nextInName(b byte) error {
	switch {
	case httpguts.IsTokenRune(rune(b)):
		h.token = append(h.token, b)
	case b != ':' || len(h.token) == 0:
		return invalidByte(b)
	case h.unchunked && bytes.EqualFold(h.token, transferEncoding):
		return errors.New("response has a Transfer-Encoding before HTTP/1.1")
	default:
		h.state = fieldValue
	}
	return nil
}

func invalidByte(b byte) error {
	return fmt.Errorf("response has %q in the name of a header field", []byte{b})
}
