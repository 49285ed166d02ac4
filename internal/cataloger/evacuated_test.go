package cataloger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a change of a view that a call already holds, and against a new view for each record that changes nothing.
func TestEvacuated(t *testing.T) {
	empty := NewView()
	v := empty.WithEvacuated([]string{"b", "a", "b"})
	require.Equal(t, []string{"a", "b"}, v.Evacuated())
	require.True(t, v.IsEvacuated("a"))
	require.False(t, v.IsEvacuated("c"))
	require.False(t, empty.IsEvacuated("a"))
	require.Same(t, v, v.WithEvacuated([]string{"a", "b"}))
	require.Same(t, empty, empty.WithEvacuated(nil))
	require.False(t, v.WithEvacuated([]string{"b"}).IsEvacuated("a"))
	require.True(t, v.WithDraining().IsEvacuated("a"))
}
