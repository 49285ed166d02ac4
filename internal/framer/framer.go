// Package framer follows the framing of the HTTP/1.1 requests on a connection and reports when a part of one exceeds its limit.
//
// It is placed in front of an HTTP parser that keeps what it has read until a part is complete: a line, a head, a body or a chunk. Such
// a parser holds as much memory as a client cares to send. A [Framer] counts the bytes of each part and stores only the head, which is
// bounded, so that the response to a request that is refused can name it.
//
// A framer accepts what the parser accepts and is no check of the syntax: text that is no HTTP is left to the parser.
//
// # Usage
//
//	f := framer.Framer{Limits: limits}
//	n, err := f.Feed(data)        // *framer.Violation: refuse the request and close the connection
//	parser.Parse(data[:n])
//	if f.Completed() != parsed {} // the parser has understood the bytes in another way
package framer

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

const (
	// DefaultHeadBytes replaces the limit of heads if it is not set, defaultBodyBytes that of bodies.
	DefaultHeadBytes = 64 << 10
	defaultBodyBytes = 8 << 20
	// maxLeadingBytes bounds empty lines before a request. HTTP asks servers to ignore at least one.
	maxLeadingBytes = 16
	// maxChunkLineBytes bounds the line with the size and the extensions of a chunk.
	maxChunkLineBytes = 1 << 10
)

// Limits bound the parts of a request in bytes; 0 means the default. The trailers have the same limit as the head.
type Limits struct {
	HeadBytes, BodyBytes int
}

// Violation is the reason for which a request must be refused.
type Violation struct {
	// Status is the HTTP status of the refusal.
	Status int
	Part   string
	Limit  int
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s of the request is longer than %d bytes", v.Part, v.Limit)
}

// part is the part of a request to which the next byte belongs.
type part int

const (
	lead part = iota
	head
	body
	chunkLine
	chunkData
	chunkEnd
	trailers
)

// Framer follows the requests on one connection. It is not safe for concurrent use.
type Framer struct {
	// Limits apply to a request from its first byte on; a change takes effect with the next one.
	Limits Limits

	limits Limits
	part   part
	// count is the number of bytes of the current part, lineStart the count at which its current line begins.
	count, lineStart int
	// lastCR reports whether the last byte of an incomplete line is a CR.
	lastCR bool
	// remaining is the number of bytes that the body or the chunk still has; received that of the bytes of the body so far.
	remaining, received int64
	// head holds the head of the current request and, behind it, an incomplete line with the size of a chunk.
	head []byte
	// size is the number of bytes of the current request so far.
	size      int64
	completed int
	violation *Violation
}

// InRequest reports whether a request has begun and is not complete.
func (f *Framer) InRequest() bool { return f.part != lead || f.count > 0 }

// BeforeHead reports whether the next byte belongs to no request, or to the empty lines before one.
func (f *Framer) BeforeHead() bool { return f.part == lead }

// InHead reports whether the head of the current request is not complete.
func (f *Framer) InHead() bool { return f.part == head || f.part == lead && f.count > 0 }

// Size returns the number of bytes of the current request that have been fed.
func (f *Framer) Size() int64 { return f.size }

// Completed returns the number of requests that were completed since the last call.
func (f *Framer) Completed() int {
	n := f.completed
	f.completed = 0
	return n
}

// Head returns the bytes of the head of the current request that have been read. They are valid until the next call of Feed.
func (f *Framer) Head() []byte { return f.head }

// Feed follows the next bytes of the connection. It returns a *Violation once a limit is exceeded, and so does every further call. The
// returned number of bytes, at most len(data), may be passed on; it ends before the part that exceeds its limit.
func (f *Framer) Feed(data []byte) (int, error) {
	for done := 0; ; {
		if f.violation != nil {
			return done, f.violation
		}
		if done == len(data) {
			return done, nil
		}
		n := f.step(data[done:])
		done += n
		if f.InRequest() {
			f.size += int64(n)
		}
	}
}

// step follows a part of the data, which is not empty, and returns its length.
func (f *Framer) step(data []byte) int {
	switch f.part {
	case lead:
		return f.stepLead(data)
	case head:
		return f.stepHead(data)
	case body, chunkData:
		n := int(min(f.remaining, int64(len(data))))
		if f.remaining -= int64(n); f.remaining == 0 {
			if f.part == body {
				f.complete()
			} else {
				f.enter(chunkEnd)
			}
		}
		return n
	case chunkLine:
		return f.stepChunkLine(data)
	case chunkEnd:
		if f.count++; f.count == len("\r\n") {
			f.enter(chunkLine)
		}
		return 1
	default:
		return f.stepTrailers(data)
	}
}

func (f *Framer) enter(p part) { f.part, f.count, f.lineStart, f.lastCR = p, 0, 0, false }

func (f *Framer) complete() {
	f.completed++
	f.size = 0
	f.enter(lead)
}

// line returns the length of the rest of the current line, and whether data holds its end. A line ends with CR LF; a bare LF is part of
// it, as the parser takes it for a part of a value.
func (f *Framer) line(data []byte) (int, bool) {
	for n := 0; ; {
		i := bytes.IndexByte(data[n:], '\n')
		if i < 0 {
			f.lastCR = data[len(data)-1] == '\r'
			return len(data), false
		}
		n += i
		if n > 0 && data[n-1] == '\r' || n == 0 && f.lastCR {
			f.lastCR = false
			return n + 1, true
		}
		if n++; n == len(data) {
			f.lastCR = false
			return n, false
		}
	}
}

// isEmptyLine reports whether the line that has just ended has no byte but its end.
func (f *Framer) isEmptyLine() bool { return f.count-f.lineStart == len("\r\n") }

func (f *Framer) refuse(status int, part string, limit int) {
	f.violation = &Violation{Status: status, Part: part, Limit: limit}
}

func (f *Framer) stepLead(data []byte) int {
	if f.count == 0 {
		f.limits = f.Limits
		if f.limits.HeadBytes <= 0 {
			f.limits.HeadBytes = DefaultHeadBytes
		}
		if f.limits.BodyBytes <= 0 {
			f.limits.BodyBytes = defaultBodyBytes
		}
	}
	if c := data[0]; c == '\r' || c == '\n' {
		if f.count++; f.count > maxLeadingBytes {
			f.refuse(http.StatusBadRequest, "space before the head", maxLeadingBytes)
		}
		return 1
	}
	f.enter(head)
	f.head, f.received = f.head[:0], 0
	return 0
}

// stepHead follows a line of the head, or the part of it that data holds.
func (f *Framer) stepHead(data []byte) int {
	n, isEnd := f.line(data)
	if f.count+n > f.limits.HeadBytes {
		f.refuse(http.StatusRequestHeaderFieldsTooLarge, "head", f.limits.HeadBytes)
		return 0
	}
	f.head = append(f.head, data[:n]...)
	f.count += n
	switch {
	case !isEnd:
	case f.isEmptyLine():
		f.endHead()
	default:
		f.lineStart = f.count
	}
	return n
}

// endHead determines the framing of the body.
func (f *Framer) endHead() {
	length, chunked := bodyFraming(f.head)
	switch {
	case chunked:
		f.enter(chunkLine)
	case length > int64(f.limits.BodyBytes):
		f.refuse(http.StatusRequestEntityTooLarge, "body", f.limits.BodyBytes)
	case length > 0:
		f.remaining, f.received = length, length
		f.enter(body)
	default:
		f.complete()
	}
}

// bodyFraming returns the length of the body that a head announces, and whether the body is sent in chunks instead.
func bodyFraming(head []byte) (int64, bool) {
	var length int64
	hasLength := false
	_, lines, _ := strings.Cut(string(head), "\r\n")
	for line := range strings.SplitSeq(lines, "\r\n") {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			continue
		}
		switch name, value = strings.Trim(name, " "), strings.Trim(value, " "); {
		case strings.EqualFold(name, "Transfer-Encoding"):
			return 0, true
		case strings.EqualFold(name, "Content-Length") && !hasLength:
			// The parser refuses a length that is no number.
			length, _ = strconv.ParseInt(value, 10, 64)
			hasLength = true
		}
	}
	return length, false
}

// stepChunkLine follows the line with the size of a chunk.
func (f *Framer) stepChunkLine(data []byte) int {
	n, isEnd := f.line(data)
	if f.count+n > maxChunkLineBytes {
		f.refuse(http.StatusBadRequest, "line of a chunk", maxChunkLineBytes)
		return 0
	}
	start := len(f.head) - f.count
	f.head = append(f.head, data[:n]...)
	f.count += n
	if !isEnd {
		return n
	}
	size := chunkSize(f.head[start:])
	f.head = f.head[:start]
	switch {
	case size == 0:
		f.enter(trailers)
		return n
	case size < 0, f.received+size > int64(f.limits.BodyBytes):
		f.refuse(http.StatusRequestEntityTooLarge, "body", f.limits.BodyBytes)
		return 0
	}
	f.remaining = size
	f.received += size
	f.enter(chunkData)
	return n
}

// chunkSize returns the size that the line of a chunk states; -1 if it cannot be represented. A line without a size counts as 0 and is
// left to the parser, which refuses it.
func chunkSize(line []byte) int64 {
	var size int64
	for _, c := range line {
		var digit int64
		switch {
		case c >= '0' && c <= '9':
			digit = int64(c - '0')
		case c >= 'a' && c <= 'f':
			digit = int64(c-'a') + 10
		case c >= 'A' && c <= 'F':
			digit = int64(c-'A') + 10
		default:
			return size
		}
		if size >= 1<<40 {
			return -1
		}
		size = size<<4 | digit
	}
	return size
}

// stepTrailers follows a line of the trailers. They end with an empty line.
func (f *Framer) stepTrailers(data []byte) int {
	n, isEnd := f.line(data)
	if f.count+n > f.limits.HeadBytes {
		f.refuse(http.StatusRequestHeaderFieldsTooLarge, "trailer", f.limits.HeadBytes)
		return 0
	}
	f.count += n
	switch {
	case !isEnd:
	case f.isEmptyLine():
		f.complete()
	default:
		f.lineStart = f.count
	}
	return n
}
