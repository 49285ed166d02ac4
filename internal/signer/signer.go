// Package signer issues and verifies the tokens that callers carry between requests.
//
// A token is a msgpack payload with a truncated HMAC-SHA-256. The account is
// part of the authenticated data but not of the token, so a token is only valid
// together with the account it was issued to. Several keys may be configured:
// the first signs, all verify, so that keys rotate without a gap.
//
// # Usage
//
//	s := &signer.Signer{Keys: keys}
//	tok, err := signer.Sign(s, "continuation", account, signer.Continuation{...})
//	c, err := signer.Verify[signer.Continuation](s, "continuation", account, tok)
package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/keyer"
)

const (
	macBytes = 16
	// MaxTokenBytes bounds what is decoded before the token is authenticated.
	MaxTokenBytes = 1024
)

// Kind separates the uses of tokens, so that one cannot pass for another.
type Kind string

// The kinds of tokens.
const (
	KindContinuation Kind = "continuation"
	KindStream       Kind = "stream"
)

// Continuation names where the context of a conversation was left.
type Continuation struct {
	Anchor     keyer.Key `msgpack:"a"`
	Target     string    `msgpack:"t"`
	Store      string    `msgpack:"s"`
	Version    int64     `msgpack:"v"`
	BlockCount int       `msgpack:"n"`
	// EndedUnixMs is when the run ended; 0 in tokens of earlier versions.
	EndedUnixMs int64 `msgpack:"e,omitempty"`
}

// Stream names the run whose stream a caller reads.
type Stream struct {
	Target string `msgpack:"t"`
	Run    string `msgpack:"r"`
	Model  string `msgpack:"m"`
}

// Signer holds the keys; the first one signs.
type Signer struct {
	Keys [][]byte
}

// Sign returns a token of kind k for v, valid for the account only.
func Sign[T any](s *Signer, k Kind, account string, v T) (string, error) {
	if len(s.Keys) == 0 {
		return "", failer.New("no token key is configured")
	}
	payload, err := msgpack.Marshal(v)
	if err != nil {
		return "", failer.Wrap(err, "encode token", "", "sign")
	}
	mac := tag(s.Keys[0], k, account, payload)
	return base64.RawURLEncoding.EncodeToString(append(mac, payload...)), nil
}

// Verify returns the content of a token that Sign issued for the same kind and account.
func Verify[T any](s *Signer, k Kind, account, token string) (T, error) {
	var v T
	if len(token) > MaxTokenBytes {
		return v, failer.New("token of %d bytes is longer than %d", len(token), MaxTokenBytes)
	}
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < macBytes {
		return v, failer.New("token is malformed")
	}
	for _, key := range s.Keys {
		if hmac.Equal(tag(key, k, account, raw[macBytes:]), raw[:macBytes]) {
			if err := msgpack.Unmarshal(raw[macBytes:], &v); err != nil {
				return v, failer.Wrap(err, "decode token", "", "verify")
			}
			return v, nil
		}
	}
	return v, failer.New("token was not issued to account %q by this system", account)
}

func tag(key []byte, k Kind, account string, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(k))
	h.Write([]byte{0})
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}
