package cataloger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a configured key that is empty and admits requests that carry no key.
func TestEmptyKeyIsNone(t *testing.T) {
	c := New(1, nil, nil, []Account{{Name: "tea", Keys: []string{"", "key-tea"}}}, Limits{})
	_, ok := c.Account("")
	require.False(t, ok)
	a, ok := c.Account("key-tea")
	require.True(t, ok)
	require.Equal(t, "tea", a.Name)
}
