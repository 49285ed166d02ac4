// Package dispatcher is the step that sends a request to its target.
//
// A chat becomes a run at an engine. The run's name is derived from the account
// and the idempotency key or the request, so that a second dispatch of the same
// request attaches to the same run. A call of a plain service is sent directly if
// it may be repeated; otherwise the ledger decides whether it is sent.
//
// # Usage
//
//	s := &dispatcher.Step{Client: dialer.New(), Ledger: ledger, Now: time.Now}
package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/ledger"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// runNameBytes is the length of a run's name before it is written in hexadecimal.
const runNameBytes = 16

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
	// Leaving may be nil.
	Leaving Leaving
}

// String names the step.
func (s *Step) String() string { return "dispatch" }

// Default has nothing to take from the configuration.
func (s *Step) Default(*configurer.Config) {}

// Run dispatches the request.
func (s *Step) Run(ctx context.Context, r *request.Request) error {
	if s.Leaving != nil && r.Resume == nil {
		s.Leaving.Dispatching(r.Target.ID)
	}
	if r.Call != nil {
		return s.call(ctx, r)
	}
	if r.Run == "" {
		r.Run = RunName(r.Account.Name, r.IdempotencyKey, r.ID, r.Body)
	}
	st := &stream{client: s.Client, addr: r.Target.Address, run: r.Run, from: r.ResumeFrom}
	if r.Resume == nil {
		st.in = runRequest(r)
	}
	if err := st.open(ctx); err != nil {
		if s.Leaving != nil && dialer.Draining(err) {
			s.Leaving.Refused(r.Target.ID)
		}
		return refusal(err, r)
	}
	r.Stream = st
	return nil
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
		Run: r.Run, Account: r.Account.Name, Model: r.Chat.Model, Version: r.Scope.Version, Prompt: r.Prompt,
		Keys: r.Keys, PromptTokens: keyer.Tokens(len(r.Prompt)), MaxTokens: r.Chat.MaxTokens, Seed: r.Chat.Seed,
		Priority: r.Account.Priority, Import: r.Import, DeadlineMs: r.Account.DeadlineMs,
	}
}

// refusal turns the failure to open a stream into the caller's error.
func refusal(err error, r *request.Request) error {
	var se *dialer.StatusError
	if errors.As(err, &se) && r.Resume == nil {
		return &request.Error{
			Status: http.StatusServiceUnavailable, Code: request.CodeNotRun, NotRun: true, Message: err.Error(),
		}
	}
	return request.Fail(http.StatusBadGateway, request.CodeRunLost, "%v", err)
}
