// Package keyer derives the keys of KV cache blocks and the anchor of a conversation.
//
// A block's key is a chained hash over the scope (client account, model, weight
// version, adapter), the key of the preceding block and the text of the block.
// Two accounts or two weight versions therefore never share a key, so isolation
// does not depend on a separate check.
//
// The anchor identifies a conversation for placement. It covers the scope, the
// system message and the first user message, which do not change while a
// conversation grows. Conversations that share only a system message have
// different anchors.
//
// # Usage
//
//	s := keyer.Scope{Account: "estates", Model: "letters", Version: 3}
//	keys := keyer.BlockKeys(s, prompt)
//	preferred := keyer.Rendezvous(keyer.Anchor(s, system, first), targetIDs)[0]
package keyer

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"

	"github.com/papayaworks/papayaworks/internal/hasher"
)

const (
	// BlockBytes is the length of a block in bytes of rendered prompt, about 2,000 tokens.
	BlockBytes = 8000
	// BytesPerToken is the mean length of a token in bytes of rendered prompt.
	BytesPerToken = 4
	// BlockTokens is the estimated number of tokens in a complete block.
	BlockTokens = BlockBytes / BytesPerToken
	// KeyBytes is the length of a key in bytes.
	KeyBytes = 16
)

// Key is the hash that identifies a block or a conversation.
type Key [KeyBytes]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != 2*KeyBytes {
		return hex.ErrLength
	}
	_, err := hex.Decode(k[:], text)
	return err
}

// Scope is the part of every key that isolates client accounts, models, weight versions and adapters from each other.
type Scope struct {
	Account string
	Model   string
	Version int64
	Adapter string
}

func (s Scope) write(h hash.Hash) {
	writeField(h, s.Account)
	writeField(h, s.Model)
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(s.Version))
	h.Write(n[:])
	writeField(h, s.Adapter)
}

// writeField writes the length of the field before its content, so that ("ab","c") and ("a","bc") differ.
func writeField(h hash.Hash, f string) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(f)))
	h.Write(n[:])
	h.Write([]byte(f))
}

func sum(h hash.Hash) Key {
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// BlockKeys returns the keys of the complete blocks of prompt. A last block shorter than [BlockBytes] has no key.
func BlockKeys(s Scope, prompt []byte) []Key {
	keys := make([]Key, 0, len(prompt)/BlockBytes)
	h := sha256.New()
	for len(prompt) >= BlockBytes {
		h.Reset()
		s.write(h)
		if n := len(keys); n > 0 {
			h.Write(keys[n-1][:])
		}
		h.Write(prompt[:BlockBytes])
		keys = append(keys, sum(h))
		prompt = prompt[BlockBytes:]
	}
	return keys
}

// Anchor returns the key of a conversation with the given system message and first user message.
func Anchor(s Scope, system, first string) Key {
	h := sha256.New()
	s.write(h)
	writeField(h, system)
	writeField(h, first)
	return sum(h)
}

// Rendezvous returns ids in descending order of their rendezvous (highest random weight) hash with k. Adding or removing an
// id changes the first choice only of the keys that prefer this id.
func Rendezvous(k Key, ids []string) []string {
	type weighted struct {
		id string
		w  uint64
	}
	ws := make([]weighted, len(ids))
	for i, id := range ids {
		ws[i] = weighted{id: id, w: Weight(k, id)}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.w, a.w), cmp.Compare(a.id, b.id))
	})
	out := make([]string, len(ws))
	for i, w := range ws {
		out[i] = w.id
	}
	return out
}

// Weight returns the rendezvous hash weight of id for k.
func Weight(k Key, id string) uint64 {
	const prime = 1099511628211 // 64-bit FNV prime
	w := binary.BigEndian.Uint64(k[:8])
	for i := range len(id) {
		w = (w ^ uint64(id[i])) * prime
	}
	return hasher.Mix64(w)
}

// EstimateTokens returns the number of tokens in n bytes of rendered prompt at [BytesPerToken], rounded up.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
