// Package request defines the state of one request as it passes through the
// steps of a request pipeline, and the errors that end it.
//
// Each step fills in its own fields of the [Request], and later steps use them.
// A step that ends the request returns an [*Error] with the HTTP status, the
// code and the field for the JSON error body that the caller receives, and with
// a flag that is set only if the request was certainly not run. [RunStages] runs
// the steps of any pipeline, also of one with another request type.
//
// # Usage
//
//	if _, ok := accounts[hash]; !ok {
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

// Step is one step of the pipeline for a [Request]: a [Stage] that also has settings.
type Step interface {
	// String returns the step's name for logs, errors and events.
	String() string
	// SetDefaults sets the fields of the step that depend on the configuration or have a default.
	SetDefaults(cfg *configurer.Config)
	// Run processes the request; an error ends it.
	Run(ctx context.Context, r *Request) error
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is the JSON body of a chat completion request.
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

// Call is a request to a service that is not an inference engine.
type Call struct {
	Service   string
	Operation configurer.Operation
	Method    string
	Body      []byte
}

// Request is one request with the results of the steps that it has passed.
type Request struct {
	W          http.ResponseWriter
	HTTP       *http.Request
	ID         string
	ReceivedAt time.Time
	View       *view.View
	Account    configurer.Account

	// Chat or Call is set by the reader step; the other one is nil.
	Chat *Chat
	Call *Call
	// Body is the body as received; an idempotency key is valid only together with the hash of the body.
	Body           []byte
	IdempotencyKey string

	// Prompt, Scope, Keys (of the prompt's blocks) and Anchor are set for a chat only.
	Prompt       string
	Scope        keyer.Scope
	Keys         []keyer.Key
	Anchor       keyer.Key
	Continuation *signer.Continuation

	// Resume is set if the caller resumes a stream; ResumeFrom is the offset in the ID of the last event that it received.
	Resume     *signer.Stream
	ResumeFrom int

	// Target, Import and Reason are the decision of the selector step.
	Target *view.Target
	Import *dialer.Import
	Reason string
	// Alternatives are further targets, best first, for a retry after an attempt that certainly did not run.
	Alternatives []*view.Target

	// ContextInfo is set by the selector step and used by the keeper step.
	ContextInfo ContextInfo

	// RunID and Stream are set by the dispatcher step.
	RunID  string
	Stream ChunkStream

	// Response is the response to a Call.
	Response *Response

	// RunStart is the engine's report about the start of the run; FirstTokenAt is when the first chunk was sent to the caller.
	RunStart     *dialer.RunStart
	FirstTokenAt time.Time
	ChunkCount   int
	Finished     bool
	// OutputTokens counts the tokens of the chunks that the engine generated for this request.
	OutputTokens int

	// Release returns the capacity that admission reserved. It is called once, when the request ends.
	Release func()
}

// ContextInfo describes the cached and stored context of a conversation before the request runs.
type ContextInfo struct {
	// Returning reports whether the conversation has had a response before; Gap is the time since then, 0 if unknown.
	Returning bool
	Gap       time.Duration
	// LastTarget, LastBlocks and LastVersion are the target, the number of blocks and the weight version of its last run.
	LastTarget  string
	LastBlocks  int
	LastVersion int64
	// Store is the KV store that holds StoredBlocks, which match a prefix of the request's block keys.
	Store        string
	Tier         string
	StoredBlocks []dialer.ManifestBlock
	// StoredVersion is the weight version of StoredBlocks.
	StoredVersion int64
	// ExpectedTTFT is the time to first token that the choice of the target was based on.
	ExpectedTTFT time.Duration
	// QueueDelay is the expected wait in the target's queues, plus the mean by which recent first tokens were late.
	QueueDelay time.Duration
}

// ChunkStream is the ordered stream of the chunks of a response.
type ChunkStream interface {
	// Next returns the next chunks, or end if the response is complete.
	Next(ctx context.Context) (chunks []dialer.RunChunk, end *dialer.RunEnd, err error)
	// RunStart returns the engine's report about the start of the run, nil until it has arrived.
	RunStart() *dialer.RunStart
	// Close stops reading and releases the stream.
	Close()
}

// Response is the complete response of a service that is not an inference engine.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Code identifies the kind of an error in the JSON error body.
type Code string

// Codes of the JSON error body.
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

// Error is an error that is reported to the caller.
type Error struct {
	Status  int
	Code    Code
	Field   string
	Message string
	// NotRun is set only if the request was certainly not run.
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

// WithRetryAfter returns a copy of the error that advises the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	n := *e
	n.RetryAfter = d
	return &n
}

// Refuse returns an error for a request that was certainly not run, so that a retry cannot run it twice.
func Refuse(status int, code Code, field, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Field: field, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// Fail returns an error for a request that may have run.
func Fail(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

// ErrorBody is the JSON body of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the part of an [Error] that the caller receives.
type ErrorDetail struct {
	Code         Code   `json:"code"`
	Message      string `json:"message"`
	Field        string `json:"field,omitempty"`
	NotRun       bool   `json:"notRun"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

// NewErrorBody returns the JSON error body for e.
func NewErrorBody(e *Error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Code: e.Code, Message: e.Message, Field: e.Field, NotRun: e.NotRun, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}}
}
