// Package identifier is the step that finds out which client account is calling.
//
// The API key is compared by its SHA-256 only, so that configurations hold no
// secrets. Tokens that the caller brings back are verified here, bound to the
// account; from then on the request carries the account's scope, and the keys
// of its blocks are derived from that.
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

// Step identifies callers.
type Step struct {
	Signer *signer.Signer

	byKey map[string]configurer.Account
}

// String names the step.
func (s *Step) String() string { return "identify" }

// SetDefaults indexes the accounts of the configuration.
func (s *Step) SetDefaults(cfg *configurer.Config) {
	s.byKey = make(map[string]configurer.Account, len(cfg.Accounts))
	for _, a := range cfg.Accounts {
		s.byKey[a.KeySHA256] = a
	}
}

// HashKey returns what the configuration holds of an API key.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// Run identifies the caller.
func (s *Step) Run(_ context.Context, r *request.Request) error {
	key, ok := strings.CutPrefix(r.HTTP.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return request.Refuse(http.StatusUnauthorized, request.CodeUnauthorized, "Authorization", "must be Bearer and an API key")
	}
	a, ok := s.byKey[HashKey(key)]
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
		token := id[:strings.LastIndexByte(id, '.')]
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

// SetScope derives the block keys and the anchor for the weight version that the request will run on.
func SetScope(r *request.Request, version int64) {
	if len(r.Keys) > 0 && r.Scope.Version == version {
		return
	}
	r.Scope = keyer.Scope{Account: r.Account.Name, Model: r.Chat.Model, Version: version}
	r.Keys = keyer.BlockKeys(r.Scope, []byte(r.Prompt))
	r.Anchor = reader.Anchor(r.Scope, r.Chat.Messages)
}
