package forwarder

import (
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/pooler"
)

// Block is one part of a prompt that may be cached.
type Block struct {
	ID     string
	Tokens int
}

// Prompt is what a caller tells of the prompt of a call.
type Prompt struct {
	Model string
	// Blocks are in order; the last one belongs to the call or its conversation.
	Blocks []Block
	// InputTokens and Out are the prompt tokens and the most output tokens.
	InputTokens, MaxOutputTokens int
}

// sharedBlocks returns the parts that other calls may share: all but the last.
func (p Prompt) sharedBlocks() []Block { return p.Blocks[:max(0, len(p.Blocks)-1)] }

// SharedTokens returns the tokens of the shared parts.
func (p Prompt) SharedTokens() int { return tokenCount(p.sharedBlocks()) }

// sharedBlockIDs returns the IDs of the shared parts.
func (p Prompt) sharedBlockIDs() []string {
	parts := p.sharedBlocks()
	out := make([]string, len(parts))
	for i, x := range parts {
		out[i] = x.ID
	}
	return out
}

func tokenCount(parts []Block) int {
	n := 0
	for _, x := range parts {
		n += x.Tokens
	}
	return n
}

// meanOutputShare is the part of the most output tokens that an answer has on average.
const meanOutputShare = 0.5

// expectedOutputTokens returns how many output tokens are expected.
func (p Prompt) expectedOutputTokens() int { return int(meanOutputShare * float64(p.MaxOutputTokens)) }

// RequestHeaders is what a caller's headers say.
type RequestHeaders struct {
	ID string
	// Timeout is how long the caller waits; 0 if it does not tell.
	Timeout time.Duration
	APIKey  string
	// LastEventID is the ID of the last event that the caller has, if it continues a stream.
	LastEventID string
	Prompt      Prompt
}

// TargetHeaders is what a target is told beside the caller's own request.
type TargetHeaders struct {
	Timeout     time.Duration
	Target      string
	Account     string
	Priority    int
	LastEventID string
	// WeightVersion is the weight version that the target must have; 0 if any will do.
	WeightVersion int64
	// Scope separates kept context that must not be shared.
	Scope string
	// FetchFrom and SaveTo are addresses of kept context for each part of the prompt; empty where there is none.
	FetchFrom, SaveTo []string
	// FetchDeadline is when a fetch that has not finished is given up, on the targets' clock.
	FetchDeadline time.Duration
}

// ResponseHeaders is what the headers of a target's answer say.
type ResponseHeaders struct {
	// HasSignature proves that a target made the answer.
	HasSignature bool
	// NotRun: the target says that it has not run the request.
	NotRun bool
	// Misdirected: another target has the address, or the target has other weights.
	Misdirected bool
	// TargetID is the target that answered, where it tells.
	TargetID string
	Load     *balancer.Load
	// WeightVersions are the weight versions by model; the empty name stands for the model of the call.
	WeightVersions map[string]int64
}

// HeaderCodec spells what calls carry in headers.
type HeaderCodec interface {
	// ParseRequest reads a caller's headers and removes those that only this system may set.
	ParseRequest(h http.Header) (RequestHeaders, error)
	// WriteTarget adds the headers for a target.
	WriteTarget(h http.Header, o TargetHeaders)
	// ResponseID returns the ID of the request that an answer belongs to, or nothing if it does not tell.
	ResponseID(h http.Header) string
	// ParseResponse reads the headers of a target's answer.
	ParseResponse(status int, h http.Header) ResponseHeaders
	// WriteRefusal adds the headers of a refusal of this system.
	WriteRefusal(h http.Header, id string, retryAfter time.Duration)
}

// Call is one call with what the steps found out about it.
type Call struct {
	W          http.ResponseWriter
	HTTP       *http.Request
	ReceivedAt time.Time
	View       *cataloger.View
	// Deadline is when the caller or the operator's timeout ends the call.
	Deadline time.Time

	Headers RequestHeaders
	Body    []byte
	Route   *cataloger.Route
	Service *cataloger.Service
	Account *cataloger.Account
	// WeightVersion is the weight version that the call runs on; Scope separates its kept context.
	WeightVersion int64
	Scope         string

	// TriedTargets are the targets that the call was sent to, and Attempts what came of it.
	TriedTargets []string
	Attempts     []Attempt
	// MisdirectedCount counts those that said that the call is not for them.
	MisdirectedCount int
	// UnsentCount counts those that could not be reached.
	UnsentCount int
	// MayHaveRun: bytes of the call may have reached a target that did not say that it has not run it.
	MayHaveRun bool
	Response   *Response
	// FirstEventAt is when the first event or the whole answer was there.
	FirstEventAt time.Time
	// ExpectedLatency is the expected time of a call that was refused because it would be late.
	ExpectedLatency time.Duration
	// HeaderSent: the head of the answer was sent to the caller.
	HeaderSent bool
}

// Response is a target's answer.
type Response struct {
	Target string
	Status int
	Header http.Header
	// Body is the whole body unless Stream is set.
	Body   []byte
	Stream *pooler.Exchange
	// InFlight and End count the call at its target; they are set for a stream.
	InFlight *balancer.Hold
	Release  func()
}
