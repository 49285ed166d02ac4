// Package request holds the state of one request on its way through the steps.
//
// Each step of the request path fills in its part and the next ones read it.
// A step that ends the request returns an [*Error], which carries the status,
// the code and the field for the caller's JSON error body, and says whether it
// is certain that nothing was run.
//
// # Usage
//
//	if acc, ok := accounts[hash]; !ok {
//		return request.Refuse(http.StatusUnauthorized, request.CodeUnauthorized, "authorization", "unknown API key")
//	}
package request

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/signer"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// Step is one step of the request path.
type Step interface {
	// String names the step in logs, errors and events.
	String() string
	// SetDefaults completes the step's settings from the configuration.
	SetDefaults(cfg *configurer.Config)
	// Run does the step's part of the request.
	Run(ctx context.Context, r *Request) error
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is the body of a chat completion.
type Chat struct {
	Model        string    `json:"model"`
	Messages     []Message `json:"messages"`
	Stream       bool      `json:"stream"`
	MaxTokens    int       `json:"max_tokens"`
	Seed         int64     `json:"seed"`
	User         string    `json:"user"`
	Application  string    `json:"application"`
	Continuation string    `json:"continuation"`
}

// Call is a call of a plain service.
type Call struct {
	Service   string
	Operation configurer.Operation
	Method    string
	Body      []byte
}

// Request is one request with what the steps found out about it.
type Request struct {
	W          http.ResponseWriter
	HTTP       *http.Request
	ID         string
	ReceivedAt time.Time
	View       *view.View
	Account    configurer.Account

	// Chat or Call is set by the reader.
	Chat *Chat
	Call *Call
	// Body is the body as it was received; its hash belongs to the idempotency key.
	Body           []byte
	IdempotencyKey string

	// Prompt, Scope, Keys and Anchor are set for a chat.
	Prompt       string
	Scope        keyer.Scope
	Keys         []keyer.Key
	Anchor       keyer.Key
	Continuation *signer.Continuation

	// Resume is set if the caller continues a stream.
	Resume     *signer.Stream
	ResumeFrom int

	// Target, Import and Reason are the decision of the selector.
	Target *view.Target
	Import *dialer.Import
	Reason string
	// Alternatives are further targets, best first, for a retry of what certainly did not run.
	Alternatives []*view.Target

	// ContextInfo is what the selector found out about the context, for the keeper.
	ContextInfo ContextInfo

	// RunID and Stream are set by the dispatcher.
	RunID  string
	Stream ChunkStream

	// Response is the answer of a plain service.
	Response *Response

	// RunStart tells what was computed; FirstTokenAt is when the first piece went out.
	RunStart     *dialer.RunStart
	FirstTokenAt time.Time
	ChunkCount   int
	Finished     bool
	// OutputTokens counts the tokens of the pieces that the engine gave for this request.
	OutputTokens int

	// Release gives back what admission took; it is called once when the request ends.
	Release func()
}

// ContextInfo is what is known of a conversation's context before its run.
type ContextInfo struct {
	// Returning: the conversation has had an answer before; Gap is the time since, 0 if that is not known.
	Returning bool
	Gap       time.Duration
	// LastTarget, LastBlocks and LastVersion tell where it ran last.
	LastTarget  string
	LastBlocks  int
	LastVersion int64
	// Store is the store that holds the blocks of Stored, which match the request's own keys.
	Store        string
	Tier         string
	StoredBlocks []dialer.ManifestBlock
	// StoredVersion is the weight version of Stored.
	StoredVersion int64
	// ExpectedTTFT is the time to the first token that the decision was based on.
	ExpectedTTFT time.Duration
	// QueueDelay is the part of it in the target's queues.
	QueueDelay time.Duration
}

// ChunkStream is an ordered stream of an answer's pieces.
type ChunkStream interface {
	// Next returns the next pieces, or end if the answer is complete.
	Next(ctx context.Context) (ps []dialer.RunPiece, end *dialer.RunEnd, err error)
	// RunStart returns the engine's report about the run, once it is known.
	RunStart() *dialer.RunStart
	// Close ends the reading.
	Close()
}

// Response is the whole answer of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Code names a kind of refusal in the error body.
type Code string

// The codes of error bodies.
const (
	CodeBadRequest     Code = "badRequest"
	CodeUnauthorized   Code = "unauthorized"
	CodeUnknownModel   Code = "unknownModel"
	CodeNotFound       Code = "notFound"
	CodeTooLarge       Code = "tooLarge"
	CodeLimited        Code = "limited"
	CodeOverloaded     Code = "overloaded"
	CodeNotRun         Code = "notRun"
	CodeOutcomeUnknown Code = "outcomeUnknown"
	CodeDraining       Code = "draining"
	CodeRunLost        Code = "runLost"
	CodeInternal       Code = "internal"
)

// Error is an error that the caller is told.
type Error struct {
	Status     int
	Code       Code
	Field      string
	Message    string
	NotRun     bool
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %s", e.Code, e.Field, e.Message)
}

// WithRetryAfter returns the error with a time after which a retry is worth while.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	n := *e
	n.RetryAfter = d
	return &n
}

// Refuse returns an error for a request that was certainly not run.
func Refuse(status int, code Code, field, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Field: field, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// Fail returns an error for a request that may have been run.
func Fail(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

// ErrorBody is the JSON body of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is what a caller is told of an error.
type ErrorDetail struct {
	Code         Code   `json:"code"`
	Message      string `json:"message"`
	Field        string `json:"field,omitempty"`
	NotRun       bool   `json:"notRun"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

// NewErrorBody returns the error body for e.
func NewErrorBody(e *Error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Code: e.Code, Message: e.Message, Field: e.Field, NotRun: e.NotRun, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}}
}
