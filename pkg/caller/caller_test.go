package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a response beyond the size limit that is truncated and returned as complete.
func TestLongResponseIsTruncated(t *testing.T) {
	tests := map[string]struct {
		bytes int
		err   error
	}{
		"longest":  {maxResponseBytes, nil},
		"too long": {maxResponseBytes + 1, errTooLong},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			calls := 0
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls++
				_, _ = w.Write([]byte(strings.Repeat("b", tc.bytes)))
			}))
			defer s.Close()
			c := &Client{Addresses: []string{s.Listener.Addr().String()}, Key: "k"}
			body, err := c.Call(t.Context(), "desk", "book", "key", nil)
			require.ErrorIs(t, err, tc.err)
			require.Equal(t, 1, calls, "a further attempt would get as long a response")
			if tc.err == nil {
				require.Len(t, body, tc.bytes)
			}
		})
	}
}
