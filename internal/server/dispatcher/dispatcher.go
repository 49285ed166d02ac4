// Package dispatcher is the step that sends a request to its target.
//
// A chat becomes a run at an engine. The run's name is derived from the account
// and the idempotency key or the request, so that a second dispatch of the same
// request attaches to the same run. A refused or failed dispatch is tried again
// at the request's alternatives, and a broken answer is continued at the same
// engine or, if its seed makes it the same everywhere, at another one. A call of a plain service is sent directly if
// it may be repeated; otherwise the ledger decides whether it is sent.
//
// # Usage
//
//	s := &dispatcher.Step{Client: dialer.New(), Ledger: ledger, Now: time.Now, Retries: dispatcher.NewRetries()}
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

// runNameBytes is the length of a run's name before it is written in hexadecimal.
const runNameBytes = 16

const (
	// DefaultGrace is how long the run of a caller that went away goes on, so that it can come back to its stream.
	DefaultGrace = 5 * time.Second
	// refusedRetryAfter is when a request that every tried target refused is worth another try.
	refusedRetryAfter = 250 * time.Millisecond
)

// Leaving is told of new work and of targets that refuse it because they are leaving.
type Leaving interface {
	// Dispatching is called before new work is sent to a target.
	Dispatching(target string)
	// Refused is called when a target says that it is leaving.
	Refused(target string)
}

// Step dispatches requests.
type Step struct {
	Client *dialer.Client
	// Ledger runs non-repeatable calls; without one they are refused.
	Ledger *ledger.Ledger
	// Now is the clock of deadlines.
	Now func() time.Time
	// Retries is shared by the steps of all configurations.
	Retries *Retries
	// Decided is told of each decision about a retry; it may be nil.
	Decided  func(kind, target, reason string)
	Asserter *asserter.Asserter
	Log      logger.Logger
	// Grace is how long the run of a caller that went away goes on; 0 means DefaultGrace.
	Grace time.Duration
	// Leaving may be nil.
	Leaving Leaving
}

// String names the step.
func (s *Step) String() string { return "dispatch" }

// SetDefaults takes the pools of targets of the configuration.
func (s *Step) SetDefaults(cfg *configurer.Config) {
	if s.Retries == nil {
		s.Retries = NewRetries()
	}
	if s.Grace == 0 {
		s.Grace = DefaultGrace
	}
	s.Retries.SetPools(cfg)
}

// Run dispatches the request.
func (s *Step) Run(ctx context.Context, r *request.Request) error {
	if s.Leaving != nil && r.Resume == nil {
		s.Leaving.Dispatching(r.Target.ID)
	}
	if r.Call != nil {
		return s.call(ctx, r)
	}
	st := s.newStream(r)
	err := s.dispatch(ctx, r, st)
	if err != nil {
		st.event("lost")
		return s.refusal(err, r)
	}
	r.Stream = st
	return nil
}

// dispatch starts the run of a new request, or continues the stream of an earlier one.
func (s *Step) dispatch(ctx context.Context, r *request.Request, st *stream) error {
	if r.Resume == nil {
		r.RunID = RunName(r.Account.Name, r.IdempotencyKey, r.ID, r.Body)
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
	return st.move(ctx, err)
}

// RunName names the run of a request. A retry with the same account, idempotency key and body gives the same
// run; the body counts so that a key that is used again for another prompt does not get the earlier answer.
func RunName(account, key, id string, body []byte) string {
	h := sha256.New()
	if key == "" {
		key = id
	}
	for _, part := range []string{account, key, string(body)} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(h.Sum(nil)[:runNameBytes])
}

func runRequest(r *request.Request) *dialer.RunRequest {
	return &dialer.RunRequest{
		Run: r.RunID, Account: r.Account.Name, Model: r.Chat.Model, Version: r.Scope.Version, Prompt: r.Prompt,
		Keys: r.Keys, PromptTokens: keyer.Tokens(len(r.Prompt)), MaxTokens: r.Chat.MaxTokens, Seed: r.Chat.Seed,
		Priority: r.Account.Priority, Import: r.Import, DeadlineMs: r.Account.DeadlineMs,
	}
}

// refusal turns the failure to open a stream into the caller's error.
func (s *Step) refusal(err error, r *request.Request) error {
	var failed *attemptError
	if errors.As(err, &failed) && failed.notRun && r.Resume == nil {
		s.Asserter.Check(asserter.NotRunAccurate, r.OutputTokens == 0 && r.ChunkCount == 0, "request %s is refused as not run after %d tokens", r.ID, r.OutputTokens)
		return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "%v", err).WithRetryAfter(refusedRetryAfter)
	}
	return request.Fail(http.StatusBadGateway, request.CodeRunLost, "%v", err)
}
