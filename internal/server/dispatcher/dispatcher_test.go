package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a run that is shared by two requests, which would give one caller the other's answer.
func TestRunNameSeparatesRequests(t *testing.T) {
	base := RunName("a", "k", "id", []byte("body"))
	require.Equal(t, base, RunName("a", "k", "other id", []byte("body")), "a retry must find its run")
	tests := map[string]string{
		"account":         RunName("b", "k", "id", []byte("body")),
		"key":             RunName("a", "l", "id", []byte("body")),
		"body":            RunName("a", "k", "id", []byte("other")),
		"no key":          RunName("a", "", "id", []byte("body")),
		"moved separator": RunName("a", "k4", "id", []byte("ody")),
	}
	for name, got := range tests {
		t.Run(name, func(t *testing.T) { require.NotEqual(t, base, got) })
	}
}
