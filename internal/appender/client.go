package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/inspector"
)

const (
	connectTimeout = time.Second
	// requestTimeout bounds an append; a read may take its long-poll wait in addition.
	requestTimeout = 5 * time.Second
	// maxResponseBytes bounds the response to a read; 256 ledger records of the maximum size take 6.3 MB as JSON.
	maxResponseBytes = 16 << 20
	maxIdleConns     = 16
)

// sharedHTTP is the connection pool of all clients that set none.
var sharedHTTP = &http.Client{Transport: inspector.NewTransport(&http.Transport{
	DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
	MaxIdleConnsPerHost: maxIdleConns,
	IdleConnTimeout:     90 * time.Second,
})}

// Client implements [Log] over the log's HTTP protocol. It is safe for concurrent use.
type Client struct {
	// Addr is the log's host and port.
	Addr string
	// HTTP is the HTTP client to use; nil means one that all Clients share.
	HTTP *http.Client
}

type wireRecord struct {
	Offset int64  `json:"offset"`
	AtMs   int64  `json:"atMs"`
	Data   []byte `json:"data"`
}

type wireBatch struct {
	Records []wireRecord `json:"records"`
	Oldest  int64        `json:"oldest"`
	Next    int64        `json:"next"`
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return sharedHTTP
}

// Append implements [Log].
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return 0, c.wrap(&AppendError{Err: err}, "append")
	}
	body, err := json.Marshal(map[string][][]byte{"records": records})
	if err != nil {
		return 0, c.wrap(&AppendError{Err: err}, "append")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, c.wrap(&AppendError{Err: err}, "append")
	}
	req.Header.Set("Content-Type", "application/json")
	var out struct {
		First int64 `json:"first"`
	}
	if err := c.do(req, &out); err != nil {
		return 0, c.wrap(&AppendError{MaybeAppended: maybeSent(err), Err: err}, "append")
	}
	return out.First, nil
}

// Read implements [Log].
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	u := fmt.Sprintf("%s?from=%d&max=%d&waitMs=%d", c.url(stream), from, limit, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return Batch{}, c.wrap(err, "read")
	}
	var in wireBatch
	if err := c.do(req, &in); err != nil {
		return Batch{}, c.wrap(err, "read")
	}
	b := Batch{OldestOffset: in.Oldest, NextOffset: in.Next, Records: make([]Record, len(in.Records))}
	for i, r := range in.Records {
		b.Records[i] = Record{Offset: r.Offset, AppendedAt: time.UnixMilli(r.AtMs), Data: r.Data}
	}
	return b, nil
}

func (c *Client) url(stream string) string {
	return "http://" + c.Addr + "/streams/" + url.PathEscape(stream)
}

func (c *Client) wrap(err error, step string) error { return failer.Wrap(err, "use log", c.Addr, step) }

// statusError is a response with a status other than 200. The body is truncated to 512 bytes.
type statusError struct {
	status int
	body   string
}

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

func (c *Client) do(req *http.Request, out any) error {
	res, err := c.http().Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		const maxMessage = 512
		body, _ := io.ReadAll(io.LimitReader(res.Body, maxMessage))
		return &statusError{status: res.StatusCode, body: string(body)}
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(out)
}

// maybeSent reports whether a request that failed with err may have reached the log and taken effect. A failed dial and
// a 4xx status rule that out. A 5xx status does not, since a proxy in front of the log may have sent it.
func maybeSent(err error) bool {
	var se *statusError
	if errors.As(err, &se) {
		return se.status >= http.StatusInternalServerError
	}
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}
