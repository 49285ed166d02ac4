package server

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/request"
)

// Guards against errors without a JSON body or without the name of the invalid field, and against a connection that is
// closed without a response to a caller whose body is too large.
func TestErrorsNameTheField(t *testing.T) {
	s := startEntry(t, &emulator.Engine{Models: map[string]int64{"m": 1}, Speed: instantSpeed})
	chat := func(rest string) string { return `{"model":"m",` + rest + `}` }
	messages := `"messages":[{"role":"user","content":"x"}]`
	limit := s.Initial.Limits.MaxBodyBytes
	tests := map[string]struct {
		path, key, body string
		header          [2]string
		status          int
		code            request.Code
		field           string
	}{
		"oversized body":          {"", "key", strings.Repeat("x", 2*limit), [2]string{}, 413, request.CodeTooLarge, "body"},
		"truncated body":          {"", "key", `{"model":"m","mess`, [2]string{}, 400, request.CodeBadRequest, "body"},
		"wrong type":              {"", "key", chat(`"max_tokens":"x",` + messages), [2]string{}, 400, request.CodeBadRequest, "max_tokens"},
		"no messages":             {"", "key", chat(`"messages":[]`), [2]string{}, 400, request.CodeBadRequest, "messages"},
		"unknown role":            {"", "key", chat(`"messages":[{"role":"x"}]`), [2]string{}, 400, request.CodeBadRequest, "messages[0].role"},
		"too many tokens":         {"", "key", chat(`"max_tokens":9999999,` + messages), [2]string{}, 400, request.CodeBadRequest, "max_tokens"},
		"unknown model":           {"", "key", `{"model":"n",` + messages + `}`, [2]string{}, 404, request.CodeUnknownModel, "model"},
		"unknown API key":         {"", "other", chat(messages), [2]string{}, 401, request.CodeUnauthorized, "Authorization"},
		"invalid event ID":        {"", "key", chat(messages), [2]string{"Last-Event-ID", "a.1"}, 400, request.CodeBadRequest, "Last-Event-ID"},
		"event ID without offset": {"", "key", chat(messages), [2]string{"Last-Event-ID", "a"}, 400, request.CodeBadRequest, "Last-Event-ID"},
		"long idempotency key":    {"", "key", chat(messages), [2]string{"Idempotency-Key", strings.Repeat("k", 200)}, 400, request.CodeBadRequest, "Idempotency-Key"},
		"invalid continuation":    {"", "key", chat(`"continuation":"a",` + messages), [2]string{}, 400, request.CodeBadRequest, "continuation"},
		"unknown path":            {"/v1/other", "key", "{}", [2]string{}, 404, request.CodeNotFound, "path"},
		"unknown service":         {"/v1/services/a/b", "key", "{}", [2]string{}, 404, request.CodeNotFound, "path"},
		"path without operation":  {"/v1/services/a", "key", "{}", [2]string{}, 404, request.CodeNotFound, "path"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if tt.path == "" {
				tt.path = "/v1/chat/completions"
			}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Addr()+tt.path, strings.NewReader(tt.body))
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+tt.key)
			if tt.header[0] != "" {
				req.Header.Set(tt.header[0], tt.header[1])
			}
			res, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer res.Body.Close()
			var b request.ErrorBody
			require.NoError(t, json.NewDecoder(res.Body).Decode(&b))
			require.Equal(t, tt.status, res.StatusCode)
			require.Equal(t, tt.code, b.Error.Code)
			require.Equal(t, tt.field, b.Error.Field)
			require.True(t, b.Error.NotRun)
			require.NotEmpty(t, b.Error.Message)
		})
	}
}
