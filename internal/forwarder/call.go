package forwarder

import (
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/archiver"
	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/pooler"
	"github.com/papayaworks/papayaworks/internal/throttler"
)

// Block is a piece of a prompt whose KV cache can be reused. ID is the hash by which callers identify it.
type Block struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a call, as stated by the caller.
type Prompt struct {
	Model string
	// Blocks are in prompt order; the last one is specific to the call or its conversation.
	Blocks []Block
	// InputTokens is the length of the prompt, MaxOutputTokens the maximum length of the output.
	InputTokens, MaxOutputTokens int
}

// sharedBlocks returns the blocks that other calls may have in common with this one: all but the last.
func (p Prompt) sharedBlocks() []Block { return p.Blocks[:max(0, len(p.Blocks)-1)] }

// SharedTokens returns the number of tokens in the shared blocks.
func (p Prompt) SharedTokens() int { return tokenCount(p.sharedBlocks()) }

// sharedBlockIDs returns the IDs of the shared blocks.
func (p Prompt) sharedBlockIDs() []string {
	blocks := p.sharedBlocks()
	out := make([]string, len(blocks))
	for i, x := range blocks {
		out[i] = x.ID
	}
	return out
}

func tokenCount(blocks []Block) int {
	n := 0
	for _, x := range blocks {
		n += x.Tokens
	}
	return n
}

// meanOutputShare is the mean length of an output as a fraction of its maximum length.
const meanOutputShare = 0.5

// expectedOutputTokens returns the expected length of the output.
func (p Prompt) expectedOutputTokens() int { return int(meanOutputShare * float64(p.MaxOutputTokens)) }

// RequestHeaders is the content of a caller's request headers.
type RequestHeaders struct {
	ID string
	// Timeout is how long the caller waits for the final response; 0 if it is not stated.
	Timeout time.Duration
	APIKey  string
	// LastEventID is the ID of the last event that the caller has received, if it takes up a stream.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream that the caller takes up; empty if it names none.
	Resumes string
	Prompt  Prompt
}

// TargetHeaders is the content of the headers that are added to the caller's request for a target.
type TargetHeaders struct {
	Timeout     time.Duration
	Target      string
	Account     string
	Priority    int
	LastEventID string
	// WeightVersion is the weight version that the target must have; 0 means any.
	WeightVersion int64
	// Scope separates KV cache that must not be shared, by model, weight version and isolated account.
	Scope string
	// FetchFrom and SaveTo are the KV store addresses for each block of the prompt; empty for blocks without one.
	FetchFrom, SaveTo []string
	// FetchDeadline is the time on the targets' clock at which an unfinished fetch is aborted.
	FetchDeadline time.Duration
}

// ResponseHeaders is the content of the headers of a target's response.
type ResponseHeaders struct {
	// HasSignature reports whether the response has a signature, which only targets add. The signature is not verified.
	HasSignature bool
	// NotRun reports whether the target states that it has not run the request.
	NotRun bool
	// Misdirected reports whether another target has the address, or the target has a different weight version.
	Misdirected bool
	// TargetID is the target that responded; empty if the response does not state it.
	TargetID string
	Load     *balancer.Load
	// Statement is what the target says about the requests that it accepts.
	Statement throttler.Statement
	// Warmup is how long the target says that it is still warming up; nil if it does not say so.
	Warmup *time.Duration
	// WeightVersions are the target's weight versions by model; the empty name stands for the model of the call.
	WeightVersions map[string]int64
}

// HeaderCodec encodes and decodes the headers of calls.
type HeaderCodec interface {
	// ParseRequest decodes the headers of a caller and removes from h those that only this system may set.
	ParseRequest(h http.Header) (RequestHeaders, error)
	// WriteTarget adds the headers for a target to h.
	WriteTarget(h http.Header, t TargetHeaders)
	// ResponseID returns the ID of the request that a response belongs to, or an empty string if it is not stated.
	ResponseID(h http.Header) string
	// ParseResponse decodes the headers of a target's response.
	ParseResponse(status int, h http.Header) ResponseHeaders
	// WriteRefusal adds to h the headers of an error response of this system.
	WriteRefusal(h http.Header, id string, retryAfter time.Duration)
}

// Call is one HTTP request of a caller with the results of the steps that it has passed.
type Call struct {
	W          http.ResponseWriter
	HTTP       *http.Request
	ReceivedAt time.Time
	View       *cataloger.View
	// Deadline is the earlier of the caller's and the route's time limit.
	Deadline time.Time

	Headers RequestHeaders
	Body    []byte
	Route   *cataloger.Route
	Service *cataloger.Service
	Account *cataloger.Account
	// WeightVersion is the weight version that the call runs on; Scope is the scope of its KV cache.
	WeightVersion int64
	Scope         string

	// TriedTargets are the IDs of the targets that were tried, Attempts the results for the log.
	TriedTargets []string
	Attempts     []Attempt
	// LeftOut holds the targets that must not get the call, with the verdict of the last choice.
	LeftOut map[string]throttler.Verdict
	// MisdirectedCount is the number of tried targets that refused the call as misdirected.
	MisdirectedCount int
	// AssumedVersions holds the weight versions that targets are assumed to have because they refused an older one.
	AssumedVersions map[string]int64
	// UnsentCount is the number of tried targets to which no byte of the call was sent.
	UnsentCount int
	// MayHaveRun reports whether bytes of the call may have reached a target that did not state that it has not run the call.
	MayHaveRun bool
	Response   *Response
	// FirstEventAt is when the first event of a stream or the complete response was available.
	FirstEventAt time.Time
	// ExpectedLatency is the expected time to the first event of a call that was refused because it would miss its objective.
	ExpectedLatency time.Duration
	// queue is what the queue of the service keeps of the call.
	queue queueState
	// heldBytes is the number of bytes that responses to the call hold in memory.
	heldBytes int
	// confirmation is set while another target is asked whether the stream, which has ended in order, has a rest.
	confirmation *confirmation
	// isEnding reports whether the call is counted among those that are ending.
	isEnding bool
	// HeaderSent reports whether the response header of a stream was sent to the caller.
	HeaderSent bool
	// software is the only software version of a target at which the stream may go on; nil if its first event is still to come.
	software *string

	// blockKeys caches the keys of the shared blocks in the quarantine.
	blockKeys []uint64
	// isProbe reports whether the call was admitted to find out whether a quarantined block still crashes targets.
	isProbe bool
}

// Response is a target's response.
type Response struct {
	Target *cataloger.Target
	Status int
	Header http.Header
	// Body is the complete body; it is empty if Stream is set.
	Body   []byte
	Stream *pooler.Exchange
	// InFlight counts the call as in flight at its target until Release is called. Both are set only with Stream.
	InFlight *balancer.InFlightRequest
	Release  func()

	// eventBytes is the number of bytes of complete events that were forwarded.
	eventBytes int
	// events is the number of complete events, sample what the estimator learns from the response; nil if nothing.
	events int
	sample *attemptSample
	// save is the save of the prompt's blocks; nil if there is none.
	save *archiver.Save
	// watch shows whether the target's process ends during the stream; nil if the stream has framing.
	watch *processWatch
	// end is how the response ended, once it has; processRuns reports whether the target's process was found to run then.
	end         responseEnd
	processRuns bool
	// sentAt is when the attempt started.
	sentAt time.Time
}
