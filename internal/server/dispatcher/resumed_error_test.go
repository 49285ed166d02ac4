package dispatcher_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/emulator"
)

// randomIDs matches the random IDs in a stream, which may contain any digits.
var randomIDs = regexp.MustCompile(`(?m)^id: .*$|"id":"[0-9a-f]{32}"`)

// Guards against the text of a second engine's refusal in the stream of a caller, and against a broken stream whose response ends as
// if it were complete.
func TestErrorOfSecondEngineInsideStream(t *testing.T) {
	tb := newTestbed(t, 3)
	body, err := json.Marshal(chat(true, 7))
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+tb.server.Addr()+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+userKey)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	require.Equal(t, http.StatusOK, res.StatusCode)
	running := tb.runningEngine()
	tb.setFaults(emulator.EngineFaults{RefuseRuns: true})
	running.Kill()
	got, err := io.ReadAll(res.Body)
	require.Error(t, err, "the response ends as if it were complete")
	require.Contains(t, string(got), "event: error")
	require.NotContains(t, string(got), "[DONE]")
	withoutIDs := randomIDs.ReplaceAllString(string(got), "")
	for _, text := range []string{"503", "starting", "127.0.0.1"} {
		require.NotContains(t, withoutIDs, text, "the second engine's error is in the stream")
	}
}
