package forwarder

import (
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/pooler"
)

// Part is one part of a prompt that may be cached.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a caller tells of the prompt of a call.
type Prompt struct {
	Model string
	// Parts are in order; the last one belongs to the call or its conversation.
	Parts []Part
	// In and Out are the prompt tokens and the most output tokens.
	In, Out int
}

// shared returns the parts that other calls may share: all but the last.
func (p Prompt) shared() []Part { return p.Parts[:max(0, len(p.Parts)-1)] }

// Shared returns the tokens of the shared parts.
func (p Prompt) Shared() int { return tokensOf(p.shared()) }

// sharedIDs returns the IDs of the shared parts.
func (p Prompt) sharedIDs() []string {
	parts := p.shared()
	out := make([]string, len(parts))
	for i, x := range parts {
		out[i] = x.ID
	}
	return out
}

func tokensOf(parts []Part) int {
	n := 0
	for _, x := range parts {
		n += x.Tokens
	}
	return n
}

// outShare is the part of the most output tokens that an answer has on average.
const outShare = 0.5

// expectedOut returns how many output tokens are expected.
func (p Prompt) expectedOut() int { return int(outShare * float64(p.Out)) }

// Ask is what a caller's headers say.
type Ask struct {
	ID string
	// Budget is how long the caller waits; 0 if it does not tell.
	Budget time.Duration
	Key    string
	// LastEvent is the ID of the last event that the caller has, if it continues a stream.
	LastEvent string
	Prompt    Prompt
}

// Order is what a target is told beside the caller's own request.
type Order struct {
	Budget    time.Duration
	Target    string
	Account   string
	Priority  int
	LastEvent string
	// Version is the weight version that the target must have; 0 if any will do.
	Version int64
	// Scope separates kept context that must not be shared.
	Scope string
	// FetchFrom and SaveTo are addresses of kept context for each part of the prompt; empty where there is none.
	FetchFrom, SaveTo []string
	// FetchUntil is when a fetch that has not finished is given up, on the targets' clock.
	FetchUntil time.Duration
}

// Reply is what the headers of a target's answer say.
type Reply struct {
	// Receipt proves that a target made the answer.
	Receipt bool
	// NotRun: the target says that it has not run the request.
	NotRun bool
	// Misdirected: another target has the address, or the target has other weights.
	Misdirected bool
	// Instance is the target that answered, where it tells.
	Instance string
	Load     *balancer.Load
	// Versions are the weight versions by model; the empty name stands for the model of the call.
	Versions map[string]int64
}

// Wire spells what calls carry in headers.
type Wire interface {
	// Ask reads a caller's headers and removes those that only this system may set.
	Ask(h http.Header) (Ask, error)
	// Order adds the headers for a target.
	Order(h http.Header, o Order)
	// AnswerID returns the ID of the request that an answer belongs to, or nothing if it does not tell.
	AnswerID(h http.Header) string
	// Reply reads the headers of a target's answer.
	Reply(status int, h http.Header) Reply
	// Refuse adds the headers of a refusal of this system.
	Refuse(h http.Header, id string, retryAfter time.Duration)
}

// Call is one call with what the steps found out about it.
type Call struct {
	W        http.ResponseWriter
	HTTP     *http.Request
	Received time.Time
	View     *cataloger.View
	// Deadline is when the caller or the operator's timeout ends the call.
	Deadline time.Time

	Ask     Ask
	Body    []byte
	Route   *cataloger.Route
	Service *cataloger.Service
	Account *cataloger.Account
	// Version is the weight version that the call runs on; Scope separates its kept context.
	Version int64
	Scope   string

	// Tried are the targets that the call was sent to, and Trials what came of it.
	Tried  []string
	Trials []Trial
	// Misdirected counts those that said that the call is not for them.
	Misdirected int
	// Unsent counts those that could not be reached.
	Unsent int
	// Sent: bytes of the call may have reached a target that did not say that it has not run it.
	Sent   bool
	Answer *Answer
	// First is when the first event or the whole answer was there.
	First time.Time
	// Wait is the expected time of a call that was refused because it would be late.
	Wait time.Duration
	// Begun: the head of the answer was sent to the caller.
	Begun bool
}

// Answer is a target's answer.
type Answer struct {
	Target string
	Status int
	Header http.Header
	// Body is the whole body unless Stream is set.
	Body   []byte
	Stream *pooler.Exchange
	// Hold and End count the call at its target; they are set for a stream.
	Hold *balancer.InFlightRequest
	End  func()
}
