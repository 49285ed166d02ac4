package signer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a token decoder that panics on caller input, or accepts a token that this system did not sign.
func FuzzVerify(f *testing.F) {
	s := &Signer{Keys: [][]byte{[]byte("key")}}
	tok, err := Sign(s, KindStream, "a", Stream{Target: "t", Run: "r", Model: "m"})
	require.NoError(f, err)
	f.Add("a", tok)
	f.Add("a", tok[1:])
	f.Add("b", "AAAA")
	f.Fuzz(func(t *testing.T, account, token string) {
		v, err := Verify[Stream](s, KindStream, account, token)
		if err != nil {
			return
		}
		again, err := Sign(s, KindStream, account, v)
		require.NoError(t, err)
		_, err = Verify[Stream](s, KindStream, account, again)
		require.NoError(t, err)
	})
}
