package dialer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/inspector"
	"github.com/papayaworks/papayaworks/internal/keyer"
)

const (
	// maxEventBytes is the maximum length of one line of an event stream.
	maxEventBytes = 1 << 20
	// maxResponseBytes is how much of a response that is not a stream is read at most.
	maxResponseBytes = 1 << 20
	// maxHeaderBytes bounds a response header.
	maxHeaderBytes   = 64 << 10
	connectTimeout   = 2 * time.Second
	idleConnsPerPeer = 128
	idleConnTimeout  = 90 * time.Second
	minErrorStatus   = http.StatusMultipleChoices
)

// StatusError is a response that is no success: the peer received the request and refused it, or its status is invalid.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// IsDraining reports whether err is a refusal by a target that accepts no new runs because it is draining or leaving.
func IsDraining(err error) bool {
	var se *StatusError
	if !errors.As(err, &se) || se.Status != http.StatusServiceUnavailable {
		return false
	}
	var body struct {
		Error string `json:"error"`
	}
	return json.Unmarshal([]byte(se.Body), &body) == nil && body.Error == "draining"
}

// Client sends requests to engines, KV stores and plain services. It is safe for concurrent use.
type Client struct {
	http         *http.Client
	withoutRetry *http.Client
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a client with its own connection pool and a connect time-out of 2 s.
func New() *Client {
	d := &net.Dialer{Timeout: connectTimeout}
	return NewWithDial(d.DialContext)
}

// NewWithDial returns a client that opens its connections with dial.
func NewWithDial(dial DialFunc) *Client {
	return &Client{
		http: &http.Client{Transport: inspector.NewTransport(&http.Transport{
			DialContext:            dial,
			MaxIdleConnsPerHost:    idleConnsPerPeer,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		})},
		withoutRetry: &http.Client{
			Transport: inspector.NewTransport(&http.Transport{
				DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
			}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// HTTPWithoutRetry returns the HTTP client for requests that must be sent at most once. net/http retries a request with an
// Idempotency-Key if it fails on a reused connection, so this client opens a connection for each request. It does not
// follow redirects, which would send the request again.
func (c *Client) HTTPWithoutRetry() *http.Client { return c.withoutRetry }

// HTTP returns the HTTP client with pooled connections, for requests that may be retried.
func (c *Client) HTTP() *http.Client { return c.http }

// Event is one event of a run's stream. Exactly one field is set.
type Event struct {
	Start *RunStart
	Chunk *RunChunk
	End   *RunEnd
}

// RunStream is the event stream of one run. The reader must close it.
type RunStream struct {
	body io.ReadCloser
	peer string
}

// Run starts a run, or attaches to it if it exists, and returns its stream. The stream starts at the chunk with offset from.
func (c *Client) Run(ctx context.Context, addr string, in *RunRequest, from int) (*RunStream, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, failer.Wrap(err, "encode run for", addr, "dispatch")
	}
	u := fmt.Sprintf("http://%s/v1/runs?from=%d", addr, from)
	return c.stream(ctx, http.MethodPost, u, addr, body)
}

// Resume returns the stream of an existing run. The stream starts at the chunk with offset from.
func (c *Client) Resume(ctx context.Context, addr, run string, from int) (*RunStream, error) {
	u := fmt.Sprintf("http://%s/v1/runs/%s?from=%d", addr, url.PathEscape(run), from)
	return c.stream(ctx, http.MethodGet, u, addr, nil)
}

func (c *Client) stream(ctx context.Context, method, u, addr string, body []byte) (*RunStream, error) {
	res, err := c.do(ctx, method, u, body) //nolint:bodyclose // RunStream.Close closes it.
	if err != nil {
		return nil, failer.Wrap(err, "open stream at", addr, "dispatch")
	}
	return &RunStream{body: res.Body, peer: addr}, nil
}

// Cancel cancels a run.
func (c *Client) Cancel(ctx context.Context, addr, run string) error {
	u := fmt.Sprintf("http://%s/v1/runs/%s", addr, url.PathEscape(run))
	return failer.Wrap(c.call(ctx, http.MethodDelete, u, nil, nil), "cancel run at", addr, "cancel")
}

// CancelIdle cancels a run unless its stream has a reader, such as a caller that reconnected through another instance.
func (c *Client) CancelIdle(ctx context.Context, addr, run string) error {
	u := fmt.Sprintf("http://%s/v1/runs/%s?idle=1", addr, url.PathEscape(run))
	return failer.Wrap(c.call(ctx, http.MethodDelete, u, nil, nil), "cancel idle run at", addr, "cancel")
}

// Export asks an engine to write the blocks of a conversation to a KV store.
func (c *Client) Export(ctx context.Context, addr string, in *ExportRequest) error {
	return failer.Wrap(c.call(ctx, http.MethodPost, "http://"+addr+"/v1/cache/export", in, nil), "export from", addr, "export")
}

// Prefetch asks an engine to import blocks ahead of a run.
func (c *Client) Prefetch(ctx context.Context, addr string, in *Import) error {
	return failer.Wrap(c.call(ctx, http.MethodPost, "http://"+addr+"/v1/cache/import", in, nil), "prefetch to", addr, "prefetch")
}

// Manifest reads the manifest of a conversation from a KV store.
func (c *Client) Manifest(ctx context.Context, addr string, anchor keyer.Key) (*Manifest, error) {
	m := new(Manifest)
	err := c.call(ctx, http.MethodGet, "http://"+addr+"/v1/manifests/"+anchor.String(), nil, m)
	if err != nil {
		return nil, failer.Wrap(err, "read manifest from", addr, "lookup")
	}
	return m, nil
}

// DeleteManifest removes a manifest and its blocks from a KV store if the manifest still has the given generation.
func (c *Client) DeleteManifest(ctx context.Context, addr string, anchor keyer.Key, generation int64) error {
	u := fmt.Sprintf("http://%s/v1/manifests/%s?generation=%d", addr, anchor, generation)
	return failer.Wrap(c.call(ctx, http.MethodDelete, u, nil, nil), "delete manifest from", addr, "evict")
}

// EngineLoad reads the load report of an engine.
func (c *Client) EngineLoad(ctx context.Context, addr string) (*Load, error) {
	l := new(Load)
	err := c.call(ctx, http.MethodGet, "http://"+addr+"/v1/load", nil, l)
	return l, failer.Wrap(err, "read load of", addr, "report")
}

// EngineState reads the state of an engine.
func (c *Client) EngineState(ctx context.Context, addr string) (*EngineState, error) {
	s := new(EngineState)
	err := c.call(ctx, http.MethodGet, "http://"+addr+"/v1/state", nil, s)
	return s, failer.Wrap(err, "read state of", addr, "report")
}

// StoreState reads the state of a KV store.
func (c *Client) StoreState(ctx context.Context, addr string) (*StoreState, error) {
	s := new(StoreState)
	err := c.call(ctx, http.MethodGet, "http://"+addr+"/v1/state", nil, s)
	return s, failer.Wrap(err, "read state of", addr, "report")
}

// SendCommand sends a command to an engine. An engine that checks fencing refuses a command whose token is older than the
// newest one that it received.
func (c *Client) SendCommand(ctx context.Context, addr string, cmd *Command) error {
	return failer.Wrap(c.call(ctx, http.MethodPost, "http://"+addr+"/v1/orders", cmd, nil), "send command to target", addr, cmd.Kind)
}

// CacheEvents reads the cache events of an engine whose sequence numbers are above after.
func (c *Client) CacheEvents(ctx context.Context, addr string, after int64) ([]CacheEvent, error) {
	var out struct {
		Events []CacheEvent `json:"events"`
	}
	u := fmt.Sprintf("http://%s/v1/cache/events?after=%d", addr, after)
	err := c.call(ctx, http.MethodGet, u, nil, &out)
	return out.Events, failer.Wrap(err, "read cache events of", addr, "report")
}

// call encodes in as the JSON body of a request and decodes the JSON response into out. Either may be nil.
func (c *Client) call(ctx context.Context, method, u string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	res, err := c.do(ctx, method, u, body)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxResponseBytes))
		return err
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(out)
}

func (c *Client) do(ctx context.Context, method, u string, body []byte) (*http.Response, error) {
	var rd io.Reader = http.NoBody
	if body != nil {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, u, rd)
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode < http.StatusOK || res.StatusCode >= minErrorStatus {
		defer res.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(res.Body, 1024))
		return nil, &StatusError{Status: res.StatusCode, Body: string(bytes.TrimSpace(text))}
	}
	return res, nil
}

// Close stops reading the stream. The run continues at the engine.
func (s *RunStream) Close() { _ = s.body.Close() }

// Events yields the events of the stream until the end event or the first error, which is the last value.
func (s *RunStream) Events() iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		err := ReadEvents(s.body, func(ev Event) bool { return yield(ev, nil) })
		if err != nil {
			yield(Event{}, failer.Wrap(err, "read stream of", s.peer, "deliver"))
		}
	}
}

// ReadEvents decodes a run's server-sent events until the end event, an error, or until handle returns false.
// It returns [io.ErrUnexpectedEOF] if the stream stops before its end event.
func ReadEvents(r io.Reader, handle func(Event) bool) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	kind := ""
	for sc.Scan() {
		line := sc.Bytes()
		if rest, ok := bytes.CutPrefix(line, []byte("event:")); ok {
			kind = string(bytes.TrimSpace(rest))
			continue
		}
		rest, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		ev, err := decodeEvent(kind, rest)
		if err != nil {
			return err
		}
		if !handle(ev) || ev.End != nil {
			return nil
		}
	}
	if err := sc.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func decodeEvent(kind string, data []byte) (Event, error) {
	var ev Event
	var v any
	switch kind {
	case "start":
		ev.Start = new(RunStart)
		v = ev.Start
	case "piece":
		ev.Chunk = new(RunChunk)
		v = ev.Chunk
	case "end":
		ev.End = new(RunEnd)
		v = ev.End
	default:
		return ev, fmt.Errorf("unknown event %q", kind)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return ev, fmt.Errorf("decode event %q: %w", kind, err)
	}
	return ev, nil
}
