package keyer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two scopes that share a block key, which would let one account use the context of another.
func TestBlockKeysDifferByScope(t *testing.T) {
	base := Scope{Account: "ab", Model: "c", Version: 1}
	tests := map[string]Scope{
		"account":              {Account: "x", Model: "c", Version: 1},
		"moved field boundary": {Account: "a", Model: "bc", Version: 1},
		"version":              {Account: "ab", Model: "c", Version: 2},
		"adapter":              {Account: "ab", Model: "c", Version: 1, Adapter: "d"},
	}
	prompt := []byte(strings.Repeat("text", BlockBytes))
	want := BlockKeys(base, prompt)
	require.Len(t, want, 4)
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			for i, k := range BlockKeys(s, prompt) {
				require.NotEqual(t, want[i], k)
			}
			require.NotEqual(t, Anchor(base, "s", "f"), Anchor(s, "s", "f"))
		})
	}
}

// Guards against block keys that change when a conversation grows, which would make every turn recompute its context.
func TestPrefixKeepsBlockKeys(t *testing.T) {
	s := Scope{Account: "a", Model: "m", Version: 1}
	prompt := []byte(strings.Repeat("abcdefgh", 2*BlockBytes))
	long, short := BlockKeys(s, prompt), BlockKeys(s, prompt[:len(prompt)/2+3])
	require.Equal(t, long[:len(short)], short)
}

// Guards against a hash that moves most conversations to other targets when one target is removed.
func TestRendezvousMovesOnlyKeysOfRemovedTarget(t *testing.T) {
	ids := []string{"t1", "t2", "t3", "t4"}
	for i := range 200 {
		k := Anchor(Scope{Account: "a"}, "", strings.Repeat("x", i))
		order := Rendezvous(k, ids)
		rest := Rendezvous(k, []string{"t1", "t2", "t4"})
		if order[0] != "t3" {
			require.Equal(t, order[0], rest[0])
		} else {
			require.Equal(t, order[1], rest[0])
		}
	}
}
