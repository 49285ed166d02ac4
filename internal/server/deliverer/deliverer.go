// Package deliverer is the step that gives the caller the answer.
//
// A streamed answer is a series of server-sent events in the form of OpenAI's
// chat completion chunks. The id of each is the stream's token and the offset
// of the next piece, so that any instance can continue the stream. A whole
// answer is collected and sent as one JSON body.
//
// # Usage
//
//	s := &deliverer.Step{Signer: signer}
package deliverer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/signer"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// maxWholeBytes bounds an answer that is collected before it is sent.
const maxWholeBytes = 8 << 20

// Step delivers answers.
type Step struct {
	Signer   *signer.Signer
	Asserter *asserter.Asserter
	// Now is the clock of first-token times.
	Now func() time.Time
}

// String names the step.
func (s *Step) String() string { return "deliver" }

// SetDefaults has nothing to take from the configuration.
func (s *Step) SetDefaults(*configurer.Config) {}

// Chunk is one event of a streamed answer, or the whole answer.
type Chunk struct {
	ID           string   `json:"id"`
	Object       string   `json:"object"`
	Model        string   `json:"model"`
	Choices      []Choice `json:"choices"`
	Usage        *Usage   `json:"usage,omitempty"`
	Continuation string   `json:"continuation,omitempty"`
}

// Choice is the one alternative of a chunk.
type Choice struct {
	Index        int              `json:"index"`
	Delta        *request.Message `json:"delta,omitempty"`
	Message      *request.Message `json:"message,omitempty"`
	FinishReason string           `json:"finish_reason,omitempty"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"`
}

// Run delivers the answer.
func (s *Step) Run(ctx context.Context, r *request.Request) error {
	if r.Response != nil {
		return writeResponse(r)
	}
	defer r.Stream.Close()
	if r.Chat.Stream {
		return s.stream(ctx, r)
	}
	return s.whole(ctx, r)
}

func writeResponse(r *request.Request) error {
	if r.Response.ContentType != "" {
		r.W.Header().Set("Content-Type", r.Response.ContentType)
	}
	r.W.WriteHeader(r.Response.Status)
	_, err := r.W.Write(r.Response.Body)
	r.Finished = err == nil
	return err
}

func (s *Step) stream(ctx context.Context, r *request.Request) error {
	token, target, err := s.token(r)
	if err != nil {
		return err
	}
	h := r.W.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Request-Id", r.ID)
	flusher, _ := r.W.(http.Flusher)
	offset := r.ResumeFrom
	for {
		ps, end, err := r.Stream.Next(ctx)
		if err != nil && r.ChunkCount == 0 {
			// Nothing was written yet, so the caller gets an error body with its status.
			return request.Fail(http.StatusBadGateway, request.CodeRunLost, "%v", err)
		}
		if err != nil {
			writeErrorEvent(r, err)
			flusher.Flush()
			return err
		}
		if end != nil {
			s.checkEnd(r, offset, end)
			s.writeEnd(r, end)
			flusher.Flush()
			r.Finished = true
			return nil
		}
		if r.Target.ID != target {
			// The run was moved; the caller must come back to its present target.
			if token, target, err = s.token(r); err != nil {
				return err
			}
		}
		s.markFirst(r)
		s.checkPieces(r, offset, ps)
		offset += len(ps)
		r.ChunkCount += len(ps)
		c := Chunk{ID: r.RunID, Object: "chat.completion.chunk", Model: r.Chat.Model, Choices: []Choice{{
			Delta: &request.Message{Role: "assistant", Content: join(ps)},
		}}}
		if err := writeEvent(r.W, fmt.Sprintf("%s.%d", token, offset), c); err != nil {
			return err
		}
		flusher.Flush()
	}
}

// token returns the signed position of the stream and the target that it names.
func (s *Step) token(r *request.Request) (token, target string, err error) {
	token, err = signer.Sign(s.Signer, signer.KindStream, r.Account.Name,
		signer.Stream{Target: r.Target.ID, Run: r.RunID, Model: r.Chat.Model})
	return token, r.Target.ID, err
}

// checkPieces asserts that the pieces are the next ones of the answer.
func (s *Step) checkPieces(r *request.Request, offset int, ps []dialer.RunPiece) {
	for i, p := range ps {
		s.Asserter.Check(asserter.CompleteResponse, p.Offset == offset+i, "request %s: piece %d instead of %d", r.ID, p.Offset, offset+i)
	}
}

// checkEnd asserts that every piece was delivered.
func (s *Step) checkEnd(r *request.Request, offset int, end *dialer.RunEnd) {
	s.Asserter.Check(asserter.CompleteResponse, offset == end.Offset, "request %s: answer of %d pieces ends at %d", r.ID, end.Offset, offset)
}

func (s *Step) markFirst(r *request.Request) {
	if r.FirstTokenAt.IsZero() {
		r.FirstTokenAt, r.RunStart = s.Now(), r.Stream.RunStart()
	}
}

func join(ps []dialer.RunPiece) string {
	if len(ps) == 1 {
		return ps[0].Text
	}
	var b strings.Builder
	for _, p := range ps {
		b.WriteString(p.Text)
	}
	return b.String()
}

func writeEvent(w http.ResponseWriter, id string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if id != "" {
		_, err = fmt.Fprintf(w, "id: %s\ndata: %s\n\n", id, data)
	} else {
		_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	return err
}

func (s *Step) writeEnd(r *request.Request, end *dialer.RunEnd) {
	c := Chunk{ID: r.RunID, Object: "chat.completion.chunk", Model: r.Chat.Model, Usage: usage(r, end),
		Continuation: s.continuation(r), Choices: []Choice{{Delta: &request.Message{}, FinishReason: end.Finish}}}
	_ = writeEvent(r.W, "", c)
	_, _ = fmt.Fprint(r.W, "data: [DONE]\n\n")
}

// writeErrorEvent tells the reader of a stream that it broke; without it a cut would look like an end.
func writeErrorEvent(r *request.Request, cause error) {
	body := request.NewErrorBody(request.Fail(http.StatusBadGateway, request.CodeRunLost, "%v", cause))
	data, err := json.Marshal(body)
	if err == nil {
		_, _ = fmt.Fprintf(r.W, "event: error\ndata: %s\n\n", data)
	}
}

func usage(r *request.Request, end *dialer.RunEnd) *Usage {
	n := keyer.Tokens(len(r.Prompt))
	u := &Usage{PromptTokens: n, CompletionTokens: end.Offset, TotalTokens: n + end.Offset}
	if st := r.Stream.RunStart(); st != nil {
		u.RecomputedTokens = st.RecomputedTokens
	}
	return u
}

func (s *Step) continuation(r *request.Request) string {
	if r.Resume != nil {
		return ""
	}
	tok, err := signer.Sign(s.Signer, signer.KindContinuation, r.Account.Name, signer.Continuation{
		Anchor: r.Anchor, Target: r.Target.ID, Store: r.Target.Store, Version: r.Scope.Version, Blocks: len(r.Keys),
		AtMs: s.Now().UnixMilli(),
	})
	if err != nil {
		return ""
	}
	return tok
}

// whole collects the answer. The request's pieces count only once it is written, because the error body of a request
// with delivered pieces would be left out.
func (s *Step) whole(ctx context.Context, r *request.Request) error {
	var b strings.Builder
	n := 0
	for {
		ps, end, err := r.Stream.Next(ctx)
		if err != nil {
			return request.Fail(http.StatusBadGateway, request.CodeRunLost, "%v", err)
		}
		if end != nil {
			s.checkEnd(r, n, end)
			r.ChunkCount = n
			return s.writeWhole(r, b.String(), end)
		}
		if len(ps) > 0 && ps[0].Offset == 0 {
			// An answer without a seed that was run again begins anew.
			b.Reset()
			n = 0
		}
		s.markFirst(r)
		s.checkPieces(r, n, ps)
		n += len(ps)
		b.WriteString(join(ps))
		if b.Len() > maxWholeBytes {
			return request.Fail(http.StatusBadGateway, request.CodeRunLost, "answer is longer than %d bytes", maxWholeBytes)
		}
	}
}

func (s *Step) writeWhole(r *request.Request, text string, end *dialer.RunEnd) error {
	r.W.Header().Set("Content-Type", "application/json")
	r.W.Header().Set("X-Request-Id", r.ID)
	err := json.NewEncoder(r.W).Encode(Chunk{
		ID: r.RunID, Object: "chat.completion", Model: r.Chat.Model, Usage: usage(r, end), Continuation: s.continuation(r),
		Choices: []Choice{{Message: &request.Message{Role: "assistant", Content: text}, FinishReason: end.Finish}},
	})
	r.Finished = err == nil
	return err
}
