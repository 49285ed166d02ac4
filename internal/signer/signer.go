// Package signer issues and verifies the tokens that callers carry between requests.
//
// A token is a msgpack payload with a truncated HMAC-SHA-256. The account is
// part of the authenticated data but not of the token, so a token is only valid
// together with the account it was issued to. Several keys may be configured:
// the first signs and all verify, so that tokens stay valid across a key rotation.
//
// # Usage
//
//	s := &signer.Signer{Keys: keys}
//	tok, err := signer.Sign(s, signer.KindContinuation, account, signer.Continuation{...})
//	c, err := signer.Verify[signer.Continuation](s, signer.KindContinuation, account, tok)
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
	// macBytes is the length to which the HMAC is truncated.
	macBytes = 16
	// MaxTokenBytes is the maximum length of an encoded token. It bounds the work before the token is authenticated.
	MaxTokenBytes = 1024
)

// Kind is the purpose of a token. It is authenticated, so a token of one kind does not verify as another.
type Kind string

// The kinds of tokens.
const (
	KindContinuation Kind = "continuation"
	KindStream       Kind = "stream"
)

// Continuation states where the context of a conversation is cached or stored.
type Continuation struct {
	Anchor keyer.Key `msgpack:"a"`
	Target string    `msgpack:"t"`
	Store  string    `msgpack:"s"`
	// Version is the weight version for which the context was computed.
	Version    int64 `msgpack:"v"`
	BlockCount int   `msgpack:"n"`
	// EndedUnixMs is when the run ended, or 0 in tokens that an earlier release issued.
	EndedUnixMs int64 `msgpack:"e,omitempty"`
}

// Stream identifies the run whose stream a caller reads.
type Stream struct {
	Target string `msgpack:"t"`
	Run    string `msgpack:"r"`
	Model  string `msgpack:"m"`
}

// Signer holds the token keys. The first one signs, all verify. It is safe for concurrent use while Keys is not changed.
type Signer struct {
	Keys [][]byte
}

// Sign returns a token of kind k for v that is valid only for the account. It fails if no key is configured.
func Sign[T any](s *Signer, k Kind, account string, v T) (string, error) {
	if len(s.Keys) == 0 {
		return "", failer.New("sign token: no key configured")
	}
	payload, err := msgpack.Marshal(v)
	if err != nil {
		return "", failer.Wrap(err, "encode token", "", "sign")
	}
	mac := computeMAC(s.Keys[0], k, account, payload)
	return base64.RawURLEncoding.EncodeToString(append(mac, payload...)), nil
}

// Verify returns the content of a token that Sign issued for the same kind and account. It fails if the token is too long,
// malformed or not signed with one of the keys for that kind and account.
func Verify[T any](s *Signer, k Kind, account, token string) (T, error) {
	var v T
	if len(token) > MaxTokenBytes {
		return v, failer.New("token too long: got %d bytes, maximum %d", len(token), MaxTokenBytes)
	}
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < macBytes {
		return v, failer.New("malformed token")
	}
	for _, key := range s.Keys {
		if hmac.Equal(computeMAC(key, k, account, raw[macBytes:]), raw[:macBytes]) {
			if err := msgpack.Unmarshal(raw[macBytes:], &v); err != nil {
				return v, failer.Wrap(err, "decode token", "", "verify")
			}
			return v, nil
		}
	}
	return v, failer.New("token signature does not match for account %q", account)
}

func computeMAC(key []byte, k Kind, account string, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(k))
	h.Write([]byte{0})
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}
