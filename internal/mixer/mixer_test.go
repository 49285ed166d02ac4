package mixer

import (
	"fmt"
	"math/bits"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against names that are alike and whose numbers are, too: they would all be placed on the same target.
func TestSumSpreads(t *testing.T) {
	var changed float64
	const n = 1000
	for i := range n {
		changed += float64(bits.OnesCount64(Sum("target", fmt.Sprint(i)) ^ Sum("target", fmt.Sprint(i+1))))
	}
	require.InDelta(t, 32, changed/n, 1)
	require.NotEqual(t, Sum("ab", "c"), Sum("a", "bc"))
	require.Equal(t, Sum("a", "b"), Sum("a", "b"))
}
