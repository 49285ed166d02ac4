// Package dispatcher is the step that dispatches a request to its target.
//
// A chat becomes a run on an engine. The run ID is derived from the account, the
// body and the idempotency key or the request ID, so that a second dispatch of the
// same request attaches to the same run. A refused or failed dispatch is retried
// at the request's alternatives within the retry budget. A broken stream is
// reopened at the same engine, or rerun at another one if the request has a seed,
// which makes the response deterministic, or if the caller has received nothing
// yet. A repeatable call of a plain service is sent directly, and a non-repeatable
// one through the ledger, which runs it at most once.
//
// # Usage
//
//	s := &dispatcher.Step{Client: dialer.New(), Ledger: ledger, Now: time.Now, RetryState: dispatcher.NewRetryState()}
package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/ledger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/server/identifier"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// runIDBytes is the length of a run ID before its hexadecimal encoding.
const runIDBytes = 16

const (
	// DefaultGrace is the default of Step.Grace.
	DefaultGrace = 5 * time.Second
	// refusedRetryAfter is the time after which a caller should retry a request that every attempted target refused.
	refusedRetryAfter = 250 * time.Millisecond
)

// TargetObserver observes dispatches and refusals by leaving targets. Its methods are called concurrently.
type TargetObserver interface {
	// OnDispatch is called before new work is sent to a target.
	OnDispatch(target string)
	// OnLeavingRefusal is called when a target refuses work because it is leaving.
	OnLeavingRefusal(target string)
}

// Step dispatches requests. Its exported fields must be set before SetDefaults.
type Step struct {
	Client *dialer.Client
	// Ledger runs non-repeatable calls; without one they are refused.
	Ledger *ledger.Ledger
	// Now returns the time for deadlines.
	Now func() time.Time
	// RetryState is shared by the steps of all configurations.
	RetryState *RetryState
	// OnDecision is called for each decision about a retry; it may be nil.
	OnDecision func(kind, target, reason string)
	Asserter   *asserter.Asserter
	Log        logger.Logger
	// Grace is the time after which the run of a disconnected caller is cancelled unless the stream was resumed; 0
	// means DefaultGrace.
	Grace time.Duration
	// TargetObserver may be nil.
	TargetObserver TargetObserver
}

// String returns the name of the step.
func (s *Step) String() string { return "dispatch" }

// SetDefaults sets the target pools from the configuration, and the defaults of RetryState and Grace.
func (s *Step) SetDefaults(cfg *configurer.Config) {
	if s.RetryState == nil {
		s.RetryState = NewRetryState()
	}
	if s.Grace == 0 {
		s.Grace = DefaultGrace
	}
	s.RetryState.SetPools(cfg)
}

// Run dispatches the request and sets r.Stream or r.Response. An error states whether the request has certainly not run.
func (s *Step) Run(ctx context.Context, r *request.Request) error {
	if s.TargetObserver != nil && r.Resume == nil {
		s.TargetObserver.OnDispatch(r.Target.ID)
	}
	if r.Call != nil {
		return s.call(ctx, r)
	}
	st := s.newStream(r)
	err := s.dispatch(ctx, r, st)
	if err != nil {
		st.transition("lost")
		return s.refusal(err, r)
	}
	r.Stream = st
	return nil
}

// dispatch starts the run of a new request, or resumes the stream of an earlier one. If the run cannot be resumed, the
// request is rerun at another target where that is possible.
func (s *Step) dispatch(ctx context.Context, r *request.Request, st *stream) error {
	if r.Resume == nil {
		r.RunID = RunID(r.Account.Name, r.IdempotencyKey, r.ID, r.Body)
		return st.open(ctx, append([]*view.Target{r.Target}, r.Alternatives...), r.ReceivedAt, false)
	}
	if v := r.Target.Version(r.Chat.Model); v != 0 {
		identifier.SetScope(r, v)
	} else {
		m, _ := r.View.Config.Model(r.Chat.Model)
		identifier.SetScope(r, m.Version)
	}
	err := st.attach(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	return st.rerunElsewhere(ctx, err)
}

// RunID returns the ID of a request's run. A retry with the same account, idempotency key and body has the same ID. The
// body is included, so that a key reused with another prompt does not receive the earlier response. Without a key, the
// request ID is used.
func RunID(account, key, id string, body []byte) string {
	h := sha256.New()
	if key == "" {
		key = id
	}
	for _, part := range []string{account, key, string(body)} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(h.Sum(nil)[:runIDBytes])
}

// runRequest returns the run of a chat as it is sent to an engine.
func runRequest(r *request.Request) *dialer.RunRequest {
	return &dialer.RunRequest{
		Run: r.RunID, Account: r.Account.Name, Model: r.Chat.Model, Version: r.Scope.Version, Prompt: r.Prompt,
		BlockKeys: r.Keys, PromptTokens: keyer.EstimateTokens(len(r.Prompt)), MaxTokens: r.Chat.MaxTokens, Seed: r.Chat.Seed,
		Priority: r.Account.Priority, Import: r.Import, DeadlineMs: r.Account.DeadlineMs,
	}
}

// refusal returns the caller's error for a stream that could not be opened.
func (s *Step) refusal(err error, r *request.Request) error {
	var failed *attemptError
	if errors.As(err, &failed) && failed.notRun && r.Resume == nil {
		s.Asserter.Check(asserter.NotRunAccurate, r.OutputTokens == 0 && r.ChunkCount == 0, "request %s refused as not run after %d tokens", r.ID, r.OutputTokens)
		return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "%v", err).WithRetryAfter(refusedRetryAfter)
	}
	return request.Fail(http.StatusBadGateway, request.CodeRunLost, "%v", err)
}
