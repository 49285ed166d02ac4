package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a run ID shared by two requests, which would give one caller the other's response.
func TestRunIDSeparatesRequests(t *testing.T) {
	base := RunID("a", "k", "id", []byte("body"))
	require.Equal(t, base, RunID("a", "k", "other id", []byte("body")), "a retry must have the same run ID")
	tests := map[string]string{
		"account":        RunID("b", "k", "id", []byte("body")),
		"key":            RunID("a", "l", "id", []byte("body")),
		"body":           RunID("a", "k", "id", []byte("other")),
		"no key":         RunID("a", "", "id", []byte("body")),
		"moved boundary": RunID("a", "k4", "id", []byte("ody")),
	}
	for name, got := range tests {
		t.Run(name, func(t *testing.T) { require.NotEqual(t, base, got) })
	}
}
