package listener

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/papayaworks/papayaworks/internal/framer"
)

const (
	// defaultHeadTimeout and defaultBodyTimeout bound the time between the first and the last byte of a head, and of the whole request.
	defaultHeadTimeout = 10 * time.Second
	defaultBodyTimeout = 30 * time.Second
)

// Limits bound what a client may send and for how long. A value of 0 means the default.
type Limits struct {
	HeadBytes, BodyBytes int
	// HeadTimeout and BodyTimeout bound the time from the first byte of a request to the end of its head, and to its end. IdleTimeout
	// bounds the time without a request.
	HeadTimeout, BodyTimeout, IdleTimeout time.Duration
}

// withDefaults returns the limits with all values set.
func (l Limits) withDefaults(maxBodyBytes int) Limits {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	if l.HeadBytes <= 0 {
		l.HeadBytes = framer.DefaultHeadBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = maxBodyBytes
	}
	set(&l.HeadTimeout, defaultHeadTimeout)
	set(&l.BodyTimeout, defaultBodyTimeout)
	set(&l.IdleTimeout, keepAliveTimeout)
	return l
}

// Refusal is the reason for which a request was refused before it reached the handler. The request has not run.
type Refusal struct {
	Status int
	// Reason is a short name for metrics, Message a sentence for the client.
	Reason, Message string
	// RetryAfter is the advised retry delay; 0 if a retry has no better chance.
	RetryAfter time.Duration
	// Header is that of the request as far as it was read completely; nil otherwise.
	Header http.Header
}

// Reasons of a [Refusal].
const (
	ReasonHead       = "head"
	ReasonBody       = "body"
	ReasonFraming    = "framing"
	ReasonTimeout    = "timeout"
	ReasonMemory     = "memory"
	ReasonPipelining = "pipelining"
	// ReasonConnections and ReasonIdle stand for connections that are closed without a response.
	ReasonConnections = "connections"
	ReasonIdle        = "idle"
)

// refusalOf returns the refusal of a request with a part that exceeds its limit.
func refusalOf(v *framer.Violation) Refusal {
	r := Refusal{Status: v.Status, Message: v.Error()}
	switch v.Status {
	case http.StatusRequestEntityTooLarge:
		r.Reason = ReasonBody
	case http.StatusRequestHeaderFieldsTooLarge:
		r.Reason = ReasonHead
	default:
		r.Reason = ReasonFraming
	}
	return r
}

// headerOf returns the header of a request whose head is complete, or nil.
func headerOf(head []byte) http.Header {
	if !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		return nil
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil
	}
	return req.Header
}

// encodeRefusal returns the bytes of the response with which a request is refused.
func (s *Server) encodeRefusal(r Refusal) []byte {
	h, body := http.Header{}, []byte(r.Message+"\n")
	if s.Refuse != nil {
		body = s.Refuse(h, r)
	}
	h.Set("Connection", "close")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.Status, http.StatusText(r.Status))
	_ = h.Write(&b) // writes to a bytes.Buffer do not fail
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
