// Package caller is a client of papayaworks.
//
// It sends chat completions and service calls, reads streamed answers and
// continues a broken stream at any other instance from the last event it saw.
// A call that may not be repeated is retried with the same idempotency key only.
//
// # Usage
//
//	c := &caller.Client{Addresses: []string{"127.0.0.1:8080"}, Key: "secret"}
//	ans, err := c.Chat(ctx, caller.Chat{Model: "letters", Messages: msgs})
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

	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	maxAnswerBytes = 4 << 20
	maxLineBytes   = 1 << 20
	connectTimeout = 2 * time.Second
	// defaultAttempts is how often a request or a broken stream is tried.
	defaultAttempts = 8
	defaultPause    = 50 * time.Millisecond
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is a chat completion.
type ChatRequest struct {
	Model        string    `json:"model"`
	Messages     []Message `json:"messages"`
	Stream       bool      `json:"stream"`
	MaxTokens    int       `json:"max_tokens,omitempty"`
	Seed         int64     `json:"seed,omitempty"`
	Application  string    `json:"application,omitempty"`
	Continuation string    `json:"continuation,omitempty"`
	// IdempotencyKey is the idempotency key; it is a header and not part of the body.
	IdempotencyKey string `json:"-"`
}

// Response is a whole answer.
type Response struct {
	Text             string
	Finish           string
	Continuation     string
	PromptTokens     int
	RecomputedTokens int
	// TimeToFirstToken is the time from the first attempt to the first piece.
	TimeToFirstToken time.Duration
	ResumeCount      int
}

// Refusal is an error body of the system.
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

// Client sends requests to the instances in turn, as a balancer would.
type Client struct {
	Addresses []string
	// NextAddress returns the address for the next try; nil means the addresses in turn.
	NextAddress func() string
	Key         string
	// MaxAttempts bounds the tries of one request; 0 means 8.
	MaxAttempts int
	// RetryDelay is the time between tries unless the refusal names one; 0 means 50 ms.
	RetryDelay time.Duration
	// HTTP may be shared between clients; nil means a new pool of connections.
	HTTP *http.Client
	// OnChunk is called for each event with the bytes of answer read so far; it may be nil.
	OnChunk func(bytes int)

	turn atomic.Uint64
}

// NewHTTPClient returns a pool of connections for many clients.
func NewHTTPClient() *http.Client {
	d := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 256}}
}

func (c *Client) pool() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

func (c *Client) next() string {
	if c.NextAddress != nil {
		return c.NextAddress()
	}
	return c.Addresses[int(c.turn.Add(1)-1)%len(c.Addresses)]
}

func (c *Client) attempts() int {
	if c.MaxAttempts > 0 {
		return c.MaxAttempts
	}
	return defaultAttempts
}

// pause waits before another try and reports whether ctx is still alive.
func (c *Client) pause(ctx context.Context, err error) bool {
	d := c.RetryDelay
	if d == 0 {
		d = defaultPause
	}
	var r *Refusal
	if errors.As(err, &r) && r.RetryAfterMs > 0 {
		d = time.Duration(r.RetryAfterMs) * time.Millisecond
	}
	return sleeper.Sleep(ctx, d)
}

// final reports whether another try cannot help.
func final(err error) bool {
	var r *Refusal
	return errors.As(err, &r) && r.Status < http.StatusInternalServerError && r.Status != http.StatusTooManyRequests
}

// Chat sends a chat completion and collects its answer; a broken stream is continued at another instance.
func (c *Client) Chat(ctx context.Context, in ChatRequest) (*Response, error) {
	a := &collector{begun: time.Now(), max: maxAnswerBytes, onPiece: c.OnChunk}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	for n := 0; ; n++ {
		err = c.try(ctx, &in, body, a)
		if err == nil {
			return a.answer(), nil
		}
		if n+1 >= c.attempts() || final(err) || !c.pause(ctx, err) {
			return a.answer(), err
		}
		if a.lastID != "" {
			a.ans.ResumeCount++
		}
	}
}

func (c *Client) try(ctx context.Context, in *ChatRequest, body []byte, a *collector) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.next()+"/v1/chat/completions", bytes.NewReader(body))
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
	res, err := c.pool().Do(req)
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
	return a.readWhole(res.Body)
}

// Call sends a call of a plain service; with a key, a try whose answer was lost is repeated with the same key.
// An error says "not run" only if that holds for every try.
func (c *Client) Call(ctx context.Context, service, operation, key string, body []byte) ([]byte, error) {
	uncertain := false
	for n := 0; ; n++ {
		out, err := c.tryCall(ctx, service, operation, key, body)
		if err == nil {
			return out, nil
		}
		if n+1 >= c.attempts() || final(err) || key == "" || !c.pause(ctx, err) {
			return nil, overall(err, uncertain)
		}
		uncertain = uncertain || !notRun(err)
	}
}

// notRun reports whether a failed try certainly ran nothing: the system says so, or no connection came about.
func notRun(err error) bool {
	var r *Refusal
	if errors.As(err, &r) {
		return r.NotRun
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// overall returns the error of the last try. Its "not run" speaks of that try only; if an earlier one may have run,
// the outcome of the call is unknown.
func overall(err error, uncertain bool) error {
	var r *Refusal
	if !uncertain || !errors.As(err, &r) || !r.NotRun {
		return err
	}
	return &Refusal{
		Status: http.StatusGatewayTimeout, Code: "outcomeUnknown", RetryAfterMs: r.RetryAfterMs,
		Message: "an earlier try may have run; the last one: " + r.Message,
	}
}

func (c *Client) tryCall(ctx context.Context, service, operation, key string, body []byte) ([]byte, error) {
	u := "http://" + c.next() + "/v1/services/" + service + "/" + operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := c.pool().Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, readRefusal(res)
	}
	return io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
}

func readRefusal(res *http.Response) error {
	var b struct {
		Error Refusal `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxLineBytes)).Decode(&b); err != nil {
		return fmt.Errorf("status %d without an error body: %w", res.StatusCode, err)
	}
	b.Error.Status = res.StatusCode
	return &b.Error
}

// collector gathers an answer over several connections.
type collector struct {
	begun  time.Time
	lastID string
	text   strings.Builder
	max    int
	ans    Response
	// onPiece may be nil.
	onPiece func(int)
}

func (a *collector) answer() *Response {
	a.ans.Text = a.text.String()
	return &a.ans
}

// chunk is the part of a chunk that the client reads.
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

func (a *collector) take(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("event is malformed: %w", err)
	}
	for _, ch := range c.Choices {
		piece := ch.Delta.Content + ch.Message.Content
		if piece != "" && a.ans.TimeToFirstToken == 0 {
			a.ans.TimeToFirstToken = time.Since(a.begun)
		}
		if a.text.Len()+len(piece) > a.max {
			return errors.New("answer is too long")
		}
		a.text.WriteString(piece)
		if piece != "" && a.onPiece != nil {
			a.onPiece(a.text.Len())
		}
		if ch.FinishReason != "" {
			a.ans.Finish = ch.FinishReason
		}
	}
	if c.Usage != nil {
		a.ans.PromptTokens, a.ans.RecomputedTokens = c.Usage.PromptTokens, c.Usage.RecomputedTokens
	}
	if c.Continuation != "" {
		a.ans.Continuation = c.Continuation
	}
	return nil
}

func (a *collector) readWhole(r io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes))
	if err != nil {
		return err
	}
	return a.take(data)
}

// readStream reads events until the end mark; the id of an event counts only once its data was taken.
func (a *collector) readStream(r io.Reader) error {
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
			if err := a.take([]byte(value)); err != nil {
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
		return fmt.Errorf("error event is malformed: %w", err)
	}
	b.Error.Status = http.StatusBadGateway
	return &b.Error
}
