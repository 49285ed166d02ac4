package reader

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/papayaworks/papayaworks/internal/request"
)

// Guards against panics, and against invalid bodies that are not refused as "not run" with status 400.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3,"seed":1}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"nobody"}]}`))
	f.Add([]byte(`{"model":7}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := DecodeChat(body)
		if err != nil {
			var re *request.Error
			if !errors.As(err, &re) || !re.NotRun || re.Status != http.StatusBadRequest {
				t.Fatalf("error %v", err)
			}
			return
		}
		if c.Model == "" || len(c.Messages) == 0 {
			t.Fatalf("accepted %+v", c)
		}
		// The prompt must be a prefix of that of the continued conversation, or cached blocks would never match.
		more := append(c.Messages[:len(c.Messages):len(c.Messages)], request.Message{Role: "user", Content: "more"})
		if !strings.HasPrefix(RenderPrompt(more), RenderPrompt(c.Messages)) {
			t.Fatal("prompt is not a prefix of that of the continued conversation")
		}
	})
}
