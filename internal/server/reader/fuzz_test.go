package reader

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/papayaworks/papayaworks/internal/request"
)

// Guards against panics and against faults of the body that are not reported as "not run" with a field.
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
		// A grown conversation must keep its prompt as a prefix, or cached blocks would never match.
		more := append(c.Messages[:len(c.Messages):len(c.Messages)], request.Message{Role: "user", Content: "more"})
		if !strings.HasPrefix(RenderPrompt(more), RenderPrompt(c.Messages)) {
			t.Fatal("the prompt is no prefix of the grown one")
		}
	})
}
