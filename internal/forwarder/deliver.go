package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/papayaworks/papayaworks/internal/pooler"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/retrier"
)

const (
	// readBufferBytes is the buffer size for reading a stream.
	readBufferBytes = 8 << 10
	// maxEventBytes bounds the part of an event that is kept in memory until the event is complete. Events hold a few tokens.
	maxEventBytes = 64 << 10
)

// deliverStep sends the response to the caller.
type deliverStep struct{ s *Server }

// String implements request.Stage.
func (*deliverStep) String() string { return "deliver" }

// Run implements request.Stage.
func (st *deliverStep) Run(ctx context.Context, c *Call) error {
	copyHeader(c.W.Header(), c.Response.Header)
	if c.Response.Stream != nil {
		return st.deliverStream(ctx, c)
	}
	c.FirstEventAt = time.Now()
	c.W.Header().Set("Content-Length", strconv.Itoa(len(c.Response.Body)))
	c.W.WriteHeader(c.Response.Status)
	_, err := c.W.Write(c.Response.Body)
	return err
}

// deliverStream forwards events as they arrive. An interrupted stream is resumed at another target if its route allows it;
// otherwise the returned error ends the caller's connection. A stream whose end is only to be confirmed is complete also if that fails.
func (st *deliverStep) deliverStream(ctx context.Context, c *Call) error {
	c.W.WriteHeader(c.Response.Status)
	c.HeaderSent = true
	restCtx := ctx
	for {
		err := st.forwardEvents(ctx, c)
		st.s.recordStreamEnd(c, err)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		if c.confirmation == nil {
			restCtx = ctx
		}
		switch {
		case errors.Is(err, errUnconfirmed):
			var cancel context.CancelFunc
			restCtx, cancel = st.s.startConfirmation(ctx, c)
			defer cancel()
			err = st.dispatchRest(restCtx, c, err)
		case restCtx.Err() != nil: // the confirmation has ended, and the target is not to blame
		default:
			err = st.resume(restCtx, c, err)
		}
		if err != nil && c.confirmation != nil && ctx.Err() == nil {
			c.Response = c.confirmation.response
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// resume resumes a stream that was interrupted by err.
func (st *deliverStep) resume(ctx context.Context, c *Call, err error) error {
	t := c.Response.Target
	st.s.health.observe(t.ID, false, time.Now())
	if c.Response.eventBytes == 0 && c.Service.Engine != nil {
		// A prompt that crashed its target would most likely crash the next one.
		if st.s.crashes.report(t, interruptedCall{blocks: st.s.blockKeys(c), begun: true}).wait(ctx) {
			return request.Fail(http.StatusBadGateway, request.CodeRunLost, "target crashed when it began to answer: %v", err)
		}
	}
	return st.dispatchRest(ctx, c, err)
}

// dispatchRest asks another target for the rest of a stream that err has ended.
func (st *deliverStep) dispatchRest(ctx context.Context, c *Call, err error) error {
	c.Response = nil
	if ctx.Err() != nil || !c.Route.Resumable || !st.s.shouldRetry(c, retrier.Repeatable, nil) {
		return request.Fail(http.StatusBadGateway, request.CodeRunLost, "stream interrupted: %v", err)
	}
	if err := st.s.dispatch(ctx, c); err != nil {
		return err
	}
	if c.Response.Stream == nil {
		return request.Fail(http.StatusBadGateway, request.CodeRunLost, "resume stream: target returned status %d instead of a stream", c.Response.Status)
	}
	return nil
}

// Reasons for which a stream counts as interrupted although its connection has not failed.
var (
	errIncompleteEvent = errors.New("stream ended inside an event")
	errNoEvent         = errors.New("stream without framing ended before its first event")
	errUnconfirmed     = errors.New("stream without framing ended in order, but others of its target have framing")
	errTargetEnded     = errors.New("response without framing ended together with its target")
	errEventTooLong    = fmt.Errorf("event is longer than %d bytes", maxEventBytes)
)

// forwardEvents copies complete events until the stream ends. An incomplete event is never forwarded, since an interrupted
// stream can only be resumed after a complete event. The error is nil only if checkEnd shows that the stream is complete.
func (st *deliverStep) forwardEvents(ctx context.Context, c *Call) error {
	res := c.Response
	defer res.Release()
	defer res.Stream.Close()
	var pending []byte
	var readErr error
	defer func() { res.end = newResponseEnd(res.Stream.Framing(), readErr, res.watch, res.processRuns) }()
	buf := make([]byte, readBufferBytes)
	for {
		n, err := res.Stream.Body.Read(buf)
		readErr = err
		if n > 0 {
			res.InFlight.ResponseStarted(time.Now())
			res.save.End()
		}
		pending = append(pending, buf[:n]...)
		complete := completeEventsLen(pending)
		isFramed := res.Stream.Framing() != pooler.FramingNone
		if errors.Is(err, io.EOF) && (isBlank(pending[complete:]) || isFramed && isComment(pending[complete:])) {
			complete = len(pending)
		}
		if complete > 0 {
			c.restFound()
			res.eventBytes += complete
			res.events += countEvents(pending[:complete])
			if werr := st.writeEvents(c, pending[:complete]); werr != nil {
				return werr
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		if errors.Is(err, io.EOF) {
			st.s.ending.add(c)
			if err := st.checkEnd(ctx, c, pending); err != nil {
				st.s.ending.remove(c)
				return err
			}
			if isFramed {
				st.s.framing.record(res.Target)
			}
			res.Stream.Finish()
			st.s.recordStreamComplete(c)
			st.s.health.observe(res.Target.ID, true, time.Now())
			st.s.recordSound(c)
			now := time.Now()
			st.s.loads.RecordDuration(c.Service.Name, now.Sub(c.ReceivedAt))
			res.sample.observe(st.s.estimates, res.events, c.FirstEventAt, now)
			return nil
		}
		if err != nil {
			return err
		}
		if len(pending) > maxEventBytes {
			return errEventTooLong
		}
	}
}

// checkEnd returns why a stream that has ended without an error is not complete, or nil if it is. A stream that ends inside an
// event is interrupted whatever its framing. Without framing, the end of the connection is the sign of the end, except if the
// target's process has ended, for which the operating system gives the same sign. A process that frames other streams may have cut this one, which
// only another target can tell.
func (st *deliverStep) checkEnd(ctx context.Context, c *Call, pending []byte) error {
	res := c.Response
	switch {
	case len(pending) > 0:
		return errIncompleteEvent
	case res.Stream.Framing() != pooler.FramingNone:
		return nil
	case res.eventBytes == 0 && c.Headers.LastEventID == "":
		return errNoEvent
	}
	if res.processRuns = st.s.runsOn(ctx, res.watch, res.sentAt); !res.processRuns {
		return errTargetEnded
	}
	if c.confirmation == nil && st.s.mayConfirm(c) && st.s.framing.contains(res.Target) {
		return errUnconfirmed
	}
	return nil
}

func (st *deliverStep) writeEvents(c *Call, events []byte) error {
	if c.FirstEventAt.IsZero() {
		c.FirstEventAt = time.Now()
		st.s.recordStreamBegin(c)
	}
	if id := lastEventID(events); id != "" {
		c.Headers.LastEventID = id
	}
	if _, err := c.W.Write(events); err != nil {
		return err
	}
	if f, ok := c.W.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// completeEventsLen returns the number of bytes up to the end of the last complete event in b. Further blank lines after an
// event do not belong to it.
func completeEventsLen(b []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(sep)); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	n := len(bytes.TrimRight(b[:end], "\r\n"))
	if n == 0 {
		return 0
	}
	for range 2 { // the end of the last line and the blank line
		n += bytes.IndexByte(b[n:], '\n') + 1
	}
	return n
}

// isBlank reports whether b contains only white space, which belongs to no event.
func isBlank(b []byte) bool { return len(bytes.TrimSpace(b)) == 0 }

// isComment reports whether b contains only complete lines that are comments or blank, which belong to no event.
func isComment(b []byte) bool {
	for line := range bytes.Lines(b) {
		if line[len(line)-1] != '\n' || line[0] != ':' && !isBlank(line) {
			return false
		}
	}
	return true
}

// lastEventID returns the ID of the last event that has one, or an empty string.
func lastEventID(events []byte) string {
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
