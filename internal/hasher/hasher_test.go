package hasher

import (
	"fmt"
	"math/bits"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against similar names with similar hashes, which rendezvous hashing would assign to the same target.
func TestHashSpreads(t *testing.T) {
	var changed float64
	const n = 1000
	for i := range n {
		changed += float64(bits.OnesCount64(Hash("target", fmt.Sprint(i)) ^ Hash("target", fmt.Sprint(i+1))))
	}
	require.InDelta(t, 32, changed/n, 1)
	require.NotEqual(t, Hash("ab", "c"), Hash("a", "bc"))
	require.Equal(t, Hash("a", "b"), Hash("a", "b"))
}
