// Package identifier is the step that authenticates the caller and identifies
// its client account.
//
// API keys are compared by SHA-256 hash, so configurations contain no secrets.
// Signed tokens that the caller returns (stream positions and continuations) are
// verified here and are valid only for the account they were issued to. The
// block keys of a request depend on its account, see [SetScope], so that
// accounts never share cached context.
//
// # Usage
//
//	s := &identifier.Step{Signer: signer}
package identifier

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/server/reader"
	"github.com/papayaworks/papayaworks/internal/signer"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// Step authenticates callers. Signer must be set and SetDefaults called before Run.
type Step struct {
	Signer *signer.Signer

	accountsByKeyHash map[string]configurer.Account
}

// String returns the name of the step.
func (s *Step) String() string { return "identify" }

// SetDefaults indexes the accounts of the configuration.
func (s *Step) SetDefaults(cfg *configurer.Config) {
	s.accountsByKeyHash = make(map[string]configurer.Account, len(cfg.Accounts))
	for _, a := range cfg.Accounts {
		s.accountsByKeyHash[a.KeySHA256] = a
	}
}

// HashAPIKey returns the hexadecimal SHA-256 hash of an API key, as stored in the configuration.
func HashAPIKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// Run sets the account of the request from its API key and verifies the tokens that the caller returned.
func (s *Step) Run(_ context.Context, r *request.Request) error {
	key, ok := strings.CutPrefix(r.HTTP.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return request.Refuse(http.StatusUnauthorized, request.CodeUnauthorized, "Authorization", "must be Bearer and an API key")
	}
	a, ok := s.accountsByKeyHash[HashAPIKey(key)]
	if !ok {
		return request.Refuse(http.StatusUnauthorized, request.CodeUnauthorized, "Authorization", "unknown API key")
	}
	r.Account = a
	if r.Chat == nil {
		return nil
	}
	return s.verifyTokens(r)
}

func (s *Step) verifyTokens(r *request.Request) error {
	if id := r.HTTP.Header.Get("Last-Event-ID"); id != "" {
		token := id[:strings.LastIndexByte(id, '.')] // the reader step has refused an ID without a dot
		st, err := signer.Verify[signer.Stream](s.Signer, signer.KindStream, r.Account.Name, token)
		if err != nil {
			return request.Refuse(http.StatusBadRequest, request.CodeBadRequest, "Last-Event-ID", "%v", err)
		}
		r.Resume = &st
	}
	if r.Chat.Continuation == "" {
		return nil
	}
	c, err := signer.Verify[signer.Continuation](s.Signer, signer.KindContinuation, r.Account.Name, r.Chat.Continuation)
	if err != nil {
		return request.Refuse(http.StatusBadRequest, request.CodeBadRequest, "continuation", "%v", err)
	}
	r.Continuation = &c
	return nil
}

// SetScope derives the block keys and the anchor of the request for the weight version that it will run on. It does
// nothing if they are already those of this version.
func SetScope(r *request.Request, version int64) {
	if len(r.Keys) > 0 && r.Scope.Version == version {
		return
	}
	r.Scope = keyer.Scope{Account: r.Account.Name, Model: r.Chat.Model, Version: version}
	r.Keys = keyer.BlockKeys(r.Scope, []byte(r.Prompt))
	r.Anchor = reader.Anchor(r.Scope, r.Chat.Messages)
}
