package signer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a token that verifies for another account or kind, with another key or after a changed byte.
func TestVerifyRefusesForeignTokens(t *testing.T) {
	s := &Signer{Keys: [][]byte{[]byte("new"), []byte("old")}}
	tok, err := Sign(s, KindStream, "a", Stream{Target: "t", Run: "r"})
	require.NoError(t, err)
	got, err := Verify[Stream](s, KindStream, "a", tok)
	require.NoError(t, err)
	require.Equal(t, "r", got.Run)
	other := byte('A')
	if tok[0] == other {
		other = 'B'
	}
	tests := map[string]struct {
		s       *Signer
		k       Kind
		account string
		token   string
	}{
		"account": {s, KindStream, "b", tok},
		"kind":    {s, KindContinuation, "a", tok},
		"key":     {&Signer{Keys: [][]byte{[]byte("x")}}, KindStream, "a", tok},
		"byte":    {s, KindStream, "a", string(other) + tok[1:]},
		"short":   {s, KindStream, "a", "AAAA"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Verify[Stream](tt.s, tt.k, tt.account, tt.token)
			require.Error(t, err)
		})
	}
	old, err := Sign(&Signer{Keys: [][]byte{[]byte("old")}}, KindStream, "a", Stream{Run: "q"})
	require.NoError(t, err)
	_, err = Verify[Stream](s, KindStream, "a", old)
	require.NoError(t, err)
}
