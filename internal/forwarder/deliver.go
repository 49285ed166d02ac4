package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/retrier"
)

// eventBuffer is the size of one read of a stream.
const eventBuffer = 8 << 10

// deliverStep sends the answer to the caller.
type deliverStep struct{ s *Server }

// String names the step.
func (*deliverStep) String() string { return "deliver" }

// Run delivers the answer.
func (st *deliverStep) Run(ctx context.Context, c *Call) error {
	copyHeader(c.W.Header(), c.Answer.Header)
	if c.Answer.Stream != nil {
		return st.stream(ctx, c)
	}
	c.First = time.Now()
	c.W.Header().Set("Content-Length", strconv.Itoa(len(c.Answer.Body)))
	c.W.WriteHeader(c.Answer.Status)
	_, err := c.W.Write(c.Answer.Body)
	return err
}

// stream forwards events as they arrive. A stream that breaks off is continued at another target if its route allows it;
// otherwise the connection is dropped.
func (st *deliverStep) stream(ctx context.Context, c *Call) error {
	c.W.WriteHeader(c.Answer.Status)
	c.Begun = true
	for {
		err := st.forward(c)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		st.s.health.observe(c.Answer.Target, false, time.Now())
		c.Answer = nil
		if !c.Route.Resumable || !st.s.again(c, retrier.Repeatable, nil) {
			return request.Fail(http.StatusBadGateway, request.CodeRunLost, "stream broke off: %v", err)
		}
		if err := st.s.dispatch(ctx, c); err != nil {
			return err
		}
		if c.Answer.Stream == nil {
			return request.Fail(http.StatusBadGateway, request.CodeRunLost, "stream cannot be continued: status %d", c.Answer.Status)
		}
	}
}

// forward copies whole events until the stream ends.
func (st *deliverStep) forward(c *Call) error {
	a := c.Answer
	defer a.End()
	defer a.Stream.Close()
	var pending []byte
	buf := make([]byte, eventBuffer)
	for {
		n, err := a.Stream.Body.Read(buf)
		if n > 0 {
			a.Hold.ResponseStarted(time.Now())
		}
		pending = append(pending, buf[:n]...)
		whole := eventsEnd(pending)
		if errors.Is(err, io.EOF) {
			whole = len(pending)
		}
		if whole > 0 {
			if werr := st.write(c, pending[:whole]); werr != nil {
				return werr
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		if errors.Is(err, io.EOF) {
			a.Stream.Finish()
			st.s.health.observe(a.Target, true, time.Now())
			st.s.book.RecordDuration(c.Service.Name, time.Since(c.Received))
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (st *deliverStep) write(c *Call, events []byte) error {
	if c.First.IsZero() {
		c.First = time.Now()
	}
	if id := lastID(events); id != "" {
		c.Ask.LastEvent = id
	}
	if _, err := c.W.Write(events); err != nil {
		return err
	}
	if f, ok := c.W.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// eventsEnd returns the length of the whole events at the beginning of b.
func eventsEnd(b []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(sep)); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// lastID returns the ID of the last event that has one.
func lastID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	if i >= 0 {
		i++
	} else if !bytes.HasPrefix(events, []byte("id:")) {
		return ""
	} else {
		i = 0
	}
	line, _, _ := bytes.Cut(events[i+len("id:"):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}

func copyHeader(to, from http.Header) {
	removeHopByHop(from)
	for k, vs := range from {
		to[k] = vs
	}
}
