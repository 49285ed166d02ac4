// Package caller is an HTTP client for papayaworks.
//
// It sends chat completions and service calls, reads streamed responses and
// resumes an interrupted stream at another instance from the last received
// event ID. A service call is retried only if it has an idempotency key, and
// always with the same key.
//
// # Usage
//
//	c := &caller.Client{Addresses: []string{"127.0.0.1:8080"}, Key: "secret"}
//	res, err := c.Chat(ctx, caller.ChatRequest{Model: "letters", Messages: msgs})
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/inspector"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	maxResponseBytes = 4 << 20
	// maxLineBytes bounds a line of a stream and the body of an error response.
	maxLineBytes   = 1 << 20
	connectTimeout = 2 * time.Second
	// defaultAttempts includes the first attempt and every resumption of a stream.
	defaultAttempts   = 8
	defaultRetryDelay = 50 * time.Millisecond
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion request.
type ChatRequest struct {
	Model       string    `json:"model"`
	Messages    []Message `json:"messages"`
	Stream      bool      `json:"stream"`
	MaxTokens   int       `json:"max_tokens,omitempty"`
	Seed        int64     `json:"seed,omitempty"`
	Application string    `json:"application,omitempty"`
	// Continuation is the token from the previous response of the conversation; it is empty in the first request.
	Continuation string `json:"continuation,omitempty"`
	// IdempotencyKey is sent in the Idempotency-Key header, not in the body.
	IdempotencyKey string `json:"-"`
}

// Response is a chat completion response; it is incomplete if [Client.Chat] also returned an error.
type Response struct {
	Text string
	// Finish is the finish reason.
	Finish string
	// Continuation is the signed token to send with the next request of the conversation.
	Continuation string
	PromptTokens int
	// RecomputedTokens is the number of prompt tokens that were not in the KV cache.
	RecomputedTokens int
	// TimeToFirstToken is measured from the first attempt to the first chunk of text.
	TimeToFirstToken time.Duration
	// ResumeCount is the number of retries after at least one event was received.
	ResumeCount int
}

// Refusal is an error response of an instance. NotRun reports whether the instance guarantees that the request was not
// executed.
type Refusal struct {
	Status       int    `json:"-"`
	Code         string `json:"code"`
	Message      string `json:"message"`
	Field        string `json:"field"`
	NotRun       bool   `json:"notRun"`
	RetryAfterMs int64  `json:"retryAfterMs"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("status %d: %s: %s (field %q, not run: %t)", r.Status, r.Code, r.Message, r.Field, r.NotRun)
}

// Client distributes its requests over the instances round robin. It is safe for concurrent use; the exported fields must
// not change while requests are running.
type Client struct {
	Addresses []string
	// NextAddress returns the address for the next attempt; nil selects from Addresses round robin.
	NextAddress func() string
	Key         string
	// MaxAttempts is the maximum number of attempts for one request; 0 means 8.
	MaxAttempts int
	// RetryDelay is the delay between attempts unless the error response specifies one; 0 means 50 ms.
	RetryDelay time.Duration
	// HTTP may be shared between clients; nil means http.DefaultClient.
	HTTP *http.Client
	// OnChunk is called for each event that carries text, with the number of text bytes received so far. It may be nil.
	OnChunk func(bytes int)

	roundRobin atomic.Uint64
}

// NewHTTPClient returns an HTTP client with a connection pool that many clients can share.
func NewHTTPClient() *http.Client {
	d := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: inspector.NewTransport(&http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 256})}
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

func (c *Client) nextAddress() string {
	if c.NextAddress != nil {
		return c.NextAddress()
	}
	return c.Addresses[int(c.roundRobin.Add(1)-1)%len(c.Addresses)]
}

func (c *Client) maxAttempts() int {
	if c.MaxAttempts > 0 {
		return c.MaxAttempts
	}
	return defaultAttempts
}

// waitRetry waits for the retry delay and reports whether ctx is still active.
func (c *Client) waitRetry(ctx context.Context, err error) bool {
	d := c.RetryDelay
	if d == 0 {
		d = defaultRetryDelay
	}
	var r *Refusal
	if errors.As(err, &r) && r.RetryAfterMs > 0 {
		d = time.Duration(r.RetryAfterMs) * time.Millisecond
	}
	return sleeper.Sleep(ctx, d)
}

// permanent reports whether err is a refusal that a retry cannot change: a status below 500 other than 429.
func permanent(err error) bool {
	var r *Refusal
	return errors.Is(err, errTooLong) || errors.As(err, &r) && r.Status < http.StatusInternalServerError && r.Status != http.StatusTooManyRequests
}

// Chat sends a chat completion request and collects the response, retrying at other instances. An interrupted stream is
// resumed after the last received event. On an error it returns the text received so far along with the error.
func (c *Client) Chat(ctx context.Context, in ChatRequest) (*Response, error) {
	a := &assembler{start: time.Now(), maxBytes: maxResponseBytes, onChunk: c.OnChunk}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	for n := 0; ; n++ {
		err = c.attemptChat(ctx, &in, body, a)
		if err == nil {
			return a.result(), nil
		}
		if n+1 >= c.maxAttempts() || permanent(err) || !c.waitRetry(ctx, err) {
			return a.result(), err
		}
		if a.lastID != "" {
			a.response.ResumeCount++
		}
	}
}

func (c *Client) attemptChat(ctx context.Context, in *ChatRequest, body []byte, a *assembler) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.nextAddress()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	if in.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", in.IdempotencyKey)
	}
	if a.lastID != "" {
		req.Header.Set("Last-Event-ID", a.lastID)
	}
	res, err := c.httpClient().Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readRefusal(res)
	}
	if in.Stream {
		return a.readStream(res.Body)
	}
	return a.readBody(res.Body)
}

// Call calls an operation of a plain service. It retries only if key is not empty, and with the same idempotency key.
// A returned [Refusal] has NotRun set only if no attempt was executed.
func (c *Client) Call(ctx context.Context, service, operation, key string, body []byte) ([]byte, error) {
	maybeRan := false
	for n := 0; ; n++ {
		out, err := c.attemptCall(ctx, service, operation, key, body)
		if err == nil {
			return out, nil
		}
		if n+1 >= c.maxAttempts() || permanent(err) || key == "" || !c.waitRetry(ctx, err) {
			return nil, finalError(err, maybeRan)
		}
		maybeRan = maybeRan || !notRun(err)
	}
}

// notRun reports whether a failed attempt certainly executed nothing: the instance reported so, or no connection was
// established.
func notRun(err error) bool {
	var r *Refusal
	if errors.As(err, &r) {
		return r.NotRun
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// finalError returns the error for the whole call. NotRun in err covers only the last attempt: if maybeRan reports that
// an earlier attempt may have been executed, the outcome of the call is unknown.
func finalError(err error, maybeRan bool) error {
	var r *Refusal
	if !maybeRan || !errors.As(err, &r) || !r.NotRun {
		return err
	}
	return &Refusal{
		Status: http.StatusGatewayTimeout, Code: "outcomeUnknown", RetryAfterMs: r.RetryAfterMs,
		Message: "an earlier attempt may have run; last attempt: " + r.Message,
	}
}

func (c *Client) attemptCall(ctx context.Context, service, operation, key string, body []byte) ([]byte, error) {
	u := "http://" + c.nextAddress() + "/v1/services/" + service + "/" + operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := c.httpClient().Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode < http.StatusOK || res.StatusCode >= http.StatusMultipleChoices {
		return nil, readRefusal(res)
	}
	return readAll(res.Body)
}

// errTooLong is returned for a response body beyond maxResponseBytes.
var errTooLong = fmt.Errorf("response is longer than %d bytes", maxResponseBytes)

// readAll reads a response body to its end.
func readAll(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, errTooLong
	}
	return body, nil
}

func readRefusal(res *http.Response) error {
	var b struct {
		Error Refusal `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxLineBytes)).Decode(&b); err != nil {
		return fmt.Errorf("decode error response with status %d: %w", res.StatusCode, err)
	}
	b.Error.Status = res.StatusCode
	return &b.Error
}

// assembler assembles a response from one or more connections.
type assembler struct {
	start    time.Time
	lastID   string
	text     strings.Builder
	maxBytes int
	response Response
	// onChunk may be nil.
	onChunk func(int)
}

func (a *assembler) result() *Response {
	a.response.Text = a.text.String()
	return &a.response
}

// chunk holds the fields that the client uses of a response body or stream event.
type chunk struct {
	Choices []struct {
		Delta        Message `json:"delta"`
		Message      Message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		RecomputedTokens int `json:"recomputed_tokens"`
	} `json:"usage"`
	Continuation string `json:"continuation"`
}

func (a *assembler) addChunk(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode response chunk: %w", err)
	}
	for _, ch := range c.Choices {
		content := ch.Delta.Content + ch.Message.Content
		if content != "" && a.response.TimeToFirstToken == 0 {
			a.response.TimeToFirstToken = time.Since(a.start)
		}
		if a.text.Len()+len(content) > a.maxBytes {
			return errors.New("response text exceeds the size limit")
		}
		a.text.WriteString(content)
		if content != "" && a.onChunk != nil {
			a.onChunk(a.text.Len())
		}
		if ch.FinishReason != "" {
			a.response.Finish = ch.FinishReason
		}
	}
	if c.Usage != nil {
		a.response.PromptTokens, a.response.RecomputedTokens = c.Usage.PromptTokens, c.Usage.RecomputedTokens
	}
	if c.Continuation != "" {
		a.response.Continuation = c.Continuation
	}
	return nil
}

func (a *assembler) readBody(r io.Reader) error {
	data, err := readAll(r)
	if err != nil {
		return err
	}
	return a.addChunk(data)
}

// readStream reads events until [DONE]. It records an event ID only after the event's data was added, so that a resumption
// neither skips nor repeats text.
func (a *assembler) readStream(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
	id, event := "", ""
	for sc.Scan() {
		name, value, _ := strings.Cut(sc.Text(), ": ")
		switch name {
		case "id":
			id = value
		case "event":
			event = value
		case "data":
			if event == "error" {
				return streamError(value)
			}
			if value == "[DONE]" {
				return nil
			}
			if err := a.addChunk([]byte(value)); err != nil {
				return err
			}
			if id != "" {
				a.lastID = id
			}
		}
	}
	if err := sc.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func streamError(data string) error {
	var b struct {
		Error Refusal `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &b); err != nil {
		return fmt.Errorf("decode error event: %w", err)
	}
	b.Error.Status = http.StatusBadGateway
	return &b.Error
}
