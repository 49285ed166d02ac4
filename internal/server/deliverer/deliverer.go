// Package deliverer is the step that writes the response to the caller.
//
// A streamed response is a series of server-sent events in the form of OpenAI's
// chat completion chunks. Each event ID consists of the stream's signed token and
// the offset of the next chunk, so that any instance can resume the stream. A
// response without streaming is collected and sent as one JSON body.
//
// # Usage
//
//	s := &deliverer.Step{Signer: signer, Now: time.Now, Asserter: asserter}
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

// maxCollectedBytes bounds the text of a response without streaming.
const maxCollectedBytes = 8 << 20

// Step delivers responses. Its exported fields must be set before Run.
type Step struct {
	Signer   *signer.Signer
	Asserter *asserter.Asserter
	// Now returns the time for first tokens and continuation tokens.
	Now func() time.Time
}

// String returns the name of the step.
func (s *Step) String() string { return "deliver" }

// SetDefaults does nothing, since the step has no settings.
func (s *Step) SetDefaults(*configurer.Config) {}

// Chunk is one event of a streamed response, or the body of a response without streaming.
type Chunk struct {
	ID           string   `json:"id"`
	Object       string   `json:"object"`
	Model        string   `json:"model"`
	Choices      []Choice `json:"choices"`
	Usage        *Usage   `json:"usage,omitempty"`
	Continuation string   `json:"continuation,omitempty"`
}

// Choice is the content of a chunk; each chunk has exactly one.
type Choice struct {
	Index        int              `json:"index"`
	Delta        *request.Message `json:"delta,omitempty"`
	Message      *request.Message `json:"message,omitempty"`
	FinishReason string           `json:"finish_reason,omitempty"`
}

// Usage holds the token counts of a request. RecomputedTokens is the part of the prompt that was not in the KV cache.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"`
}

// Run writes the response. An error after the first chunk of a stream is reported to the caller as an error event.
func (s *Step) Run(ctx context.Context, r *request.Request) error {
	if r.Response != nil {
		return writeResponse(r)
	}
	defer r.Stream.Close()
	if r.Chat.Stream {
		return s.stream(ctx, r)
	}
	return s.collect(ctx, r)
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
		chunks, end, err := r.Stream.Next(ctx)
		if err != nil && r.ChunkCount == 0 {
			// Nothing has been written yet, so the caller receives a JSON error with its status.
			return request.Fail(http.StatusBadGateway, request.CodeRunLost, "%v", err)
		}
		if err != nil {
			writeErrorEvent(r)
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
			// The request was rerun at another target, which the token must name for a resume.
			if token, target, err = s.token(r); err != nil {
				return err
			}
		}
		s.recordFirstToken(r)
		s.checkChunks(r, offset, chunks)
		offset += len(chunks)
		r.ChunkCount += len(chunks)
		c := Chunk{ID: r.RunID, Object: "chat.completion.chunk", Model: r.Chat.Model, Choices: []Choice{{
			Delta: &request.Message{Role: "assistant", Content: joinText(chunks)},
		}}}
		if err := writeEvent(r.W, fmt.Sprintf("%s.%d", token, offset), c); err != nil {
			return err
		}
		flusher.Flush()
	}
}

// token returns the signed token of the stream and the ID of the target in it.
func (s *Step) token(r *request.Request) (token, target string, err error) {
	token, err = signer.Sign(s.Signer, signer.KindStream, r.Account.Name,
		signer.Stream{Target: r.Target.ID, Run: r.RunID, Model: r.Chat.Model})
	return token, r.Target.ID, err
}

// checkChunks asserts that the chunks of the response are consecutive.
func (s *Step) checkChunks(r *request.Request, offset int, chunks []dialer.RunChunk) {
	for i, c := range chunks {
		s.Asserter.Check(asserter.CompleteResponse, c.Offset == offset+i, "request %s: chunk offset is %d, want %d", r.ID, c.Offset, offset+i)
	}
}

// checkEnd asserts that every chunk was delivered.
func (s *Step) checkEnd(r *request.Request, offset int, end *dialer.RunEnd) {
	s.Asserter.Check(asserter.CompleteResponse, offset == end.Offset, "request %s: response has %d chunks, delivered %d", r.ID, end.Offset, offset)
}

func (s *Step) recordFirstToken(r *request.Request) {
	if r.FirstTokenAt.IsZero() {
		r.FirstTokenAt, r.RunStart = s.Now(), r.Stream.RunStart()
	}
}

func joinText(chunks []dialer.RunChunk) string {
	if len(chunks) == 1 {
		return chunks[0].Text
	}
	var b strings.Builder
	for _, c := range chunks {
		b.WriteString(c.Text)
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
		Continuation: s.continuation(r), Choices: []Choice{{Delta: &request.Message{}, FinishReason: end.FinishReason}}}
	_ = writeEvent(r.W, "", c)
	_, _ = fmt.Fprint(r.W, "data: [DONE]\n\n")
}

// writeErrorEvent writes an error event to a stream that failed, so that the caller does not mistake the truncated
// stream for a complete one. The cause may hold responses of engines, which do not belong in the stream; it is logged.
func writeErrorEvent(r *request.Request) {
	body := request.NewErrorBody(request.Fail(http.StatusBadGateway, request.CodeRunLost, "the stream was interrupted and could not be continued"))
	data, err := json.Marshal(body)
	if err == nil {
		_, _ = fmt.Fprintf(r.W, "event: error\ndata: %s\n\n", data)
	}
}

func usage(r *request.Request, end *dialer.RunEnd) *Usage {
	n := keyer.EstimateTokens(len(r.Prompt))
	u := &Usage{PromptTokens: n, CompletionTokens: end.Offset, TotalTokens: n + end.Offset}
	if st := r.Stream.RunStart(); st != nil {
		u.RecomputedTokens = st.RecomputedTokens
	}
	return u
}

// continuation returns the signed token that the caller sends with the next request of the conversation, or "" for a
// resumed stream.
func (s *Step) continuation(r *request.Request) string {
	if r.Resume != nil {
		return ""
	}
	tok, err := signer.Sign(s.Signer, signer.KindContinuation, r.Account.Name, signer.Continuation{
		Anchor: r.Anchor, Target: r.Target.ID, Store: r.Target.Store, Version: r.Scope.Version, BlockCount: len(r.Keys),
		EndedUnixMs: s.Now().UnixMilli(),
	})
	if err != nil {
		return ""
	}
	return tok
}

// collect collects the chunks and writes the complete response. ChunkCount remains 0 until then, because the server writes
// no error body for a request with delivered chunks.
func (s *Step) collect(ctx context.Context, r *request.Request) error {
	var b strings.Builder
	n := 0
	for {
		chunks, end, err := r.Stream.Next(ctx)
		if err != nil {
			return request.Fail(http.StatusBadGateway, request.CodeRunLost, "%v", err)
		}
		if end != nil {
			s.checkEnd(r, n, end)
			r.ChunkCount = n
			return s.writeCompletion(r, b.String(), end)
		}
		if len(chunks) > 0 && chunks[0].Offset == 0 {
			// A response without a seed was rerun at another target, so the collected text is discarded.
			b.Reset()
			n = 0
		}
		s.recordFirstToken(r)
		s.checkChunks(r, n, chunks)
		n += len(chunks)
		b.WriteString(joinText(chunks))
		if b.Len() > maxCollectedBytes {
			return request.Fail(http.StatusBadGateway, request.CodeRunLost, "response exceeds %d bytes", maxCollectedBytes)
		}
	}
}

func (s *Step) writeCompletion(r *request.Request, text string, end *dialer.RunEnd) error {
	r.W.Header().Set("Content-Type", "application/json")
	r.W.Header().Set("X-Request-Id", r.ID)
	err := json.NewEncoder(r.W).Encode(Chunk{
		ID: r.RunID, Object: "chat.completion", Model: r.Chat.Model, Usage: usage(r, end), Continuation: s.continuation(r),
		Choices: []Choice{{Message: &request.Message{Role: "assistant", Content: text}, FinishReason: end.FinishReason}},
	})
	r.Finished = err == nil
	return err
}
