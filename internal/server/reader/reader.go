// Package reader is the first step of the request pipeline: it reads, decodes
// and validates the request.
//
// It accepts chat completions and calls of plain services, which are services
// without model inference. The error for an invalid request names the field at
// fault. Authentication is left to the next step, see package identifier.
//
// # Usage
//
//	s := &reader.Step{}
//	s.SetDefaults(cfg)
//	err := s.Run(ctx, r)
package reader

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/v1/services/"
	// maxIdempotencyKeyBytes bounds the length of an idempotency key.
	maxIdempotencyKeyBytes = 128
)

// Step reads and decodes requests.
type Step struct {
	MaxBodyBytes    int
	MaxOutputTokens int
}

// String returns the name of the step.
func (s *Step) String() string { return "read" }

// SetDefaults sets the limits from the configuration.
func (s *Step) SetDefaults(cfg *configurer.Config) {
	s.MaxBodyBytes = cfg.Limits.MaxBodyBytes
	s.MaxOutputTokens = cfg.Limits.MaxOutputTokens
}

// Run reads the body and sets r.Chat or r.Call. Every error is a refusal as "not run".
func (s *Step) Run(_ context.Context, r *request.Request) error {
	if err := s.readBody(r); err != nil {
		return err
	}
	r.IdempotencyKey = r.HTTP.Header.Get("Idempotency-Key")
	if len(r.IdempotencyKey) > maxIdempotencyKeyBytes {
		return badRequest("Idempotency-Key", "must be at most %d bytes", maxIdempotencyKeyBytes)
	}
	switch path := r.HTTP.URL.Path; {
	case path == chatPath:
		return s.readChat(r)
	case strings.HasPrefix(path, servicePrefix):
		return readCall(r, strings.TrimPrefix(path, servicePrefix))
	}
	return request.Refuse(http.StatusNotFound, request.CodeNotFound, "path", "no such path %q", r.HTTP.URL.Path)
}

func badRequest(field, format string, args ...any) error {
	return request.Refuse(http.StatusBadRequest, request.CodeBadRequest, field, format, args...)
}

func (s *Step) readBody(r *request.Request) error {
	limit := int64(s.MaxBodyBytes)
	if r.HTTP.ContentLength > limit {
		return s.tooLarge()
	}
	body, err := io.ReadAll(io.LimitReader(r.HTTP.Body, limit+1))
	if err != nil {
		return badRequest("body", "read request body: %v", err)
	}
	if int64(len(body)) > limit {
		return s.tooLarge()
	}
	r.Body = body
	return nil
}

func (s *Step) tooLarge() error {
	return request.Refuse(http.StatusRequestEntityTooLarge, request.CodeTooLarge, "body",
		"must be at most %d bytes", s.MaxBodyBytes)
}

func (s *Step) readChat(r *request.Request) error {
	if r.HTTP.Method != http.MethodPost {
		return request.Refuse(http.StatusMethodNotAllowed, request.CodeBadRequest, "method", "must be POST")
	}
	c, err := DecodeChat(r.Body)
	if err != nil {
		return err
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = s.MaxOutputTokens
	}
	if c.MaxTokens < 0 || c.MaxTokens > s.MaxOutputTokens {
		return badRequest("max_tokens", "must be from 1 to %d", s.MaxOutputTokens)
	}
	if _, ok := r.View.Config.Model(c.Model); !ok {
		return request.Refuse(http.StatusNotFound, request.CodeUnknownModel, "model", "unknown model %q", c.Model)
	}
	r.Chat = c
	r.Prompt = RenderPrompt(c.Messages)
	if id := r.HTTP.Header.Get("Last-Event-ID"); id != "" {
		return parseStreamPosition(r, id)
	}
	return nil
}

// parseStreamPosition parses an event ID, which consists of a signed token and the offset of the next chunk, and sets the
// offset at which the stream resumes. The identifier step verifies the token.
func parseStreamPosition(r *request.Request, id string) error {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return badRequest("Last-Event-ID", "must be the ID of an event of a chat completion stream")
	}
	n, err := strconv.Atoi(id[i+1:])
	if err != nil || n < 0 {
		return badRequest("Last-Event-ID", "must end in the offset of an event")
	}
	r.ResumeFrom = n
	return nil
}

// DecodeChat decodes and validates the body of a chat completion request.
func DecodeChat(body []byte) (*request.Chat, error) {
	c := new(request.Chat)
	if err := json.Unmarshal(body, c); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, badRequest(te.Field, "must be %s, not %s", te.Type, te.Value)
		}
		return nil, badRequest("body", "invalid JSON: %v", err)
	}
	if c.Model == "" {
		return nil, badRequest("model", "is missing")
	}
	if len(c.Messages) == 0 {
		return nil, badRequest("messages", "must contain at least one message")
	}
	for i, m := range c.Messages {
		switch m.Role {
		case "system", "user", "assistant", "tool":
		default:
			return nil, badRequest("messages["+strconv.Itoa(i)+"].role", "must be system, user, assistant or tool, not %q", m.Role)
		}
	}
	return c, nil
}

// RenderPrompt returns the prompt text of a conversation. Adding messages only appends text, so the previous prompt
// remains a prefix and its cached blocks match.
func RenderPrompt(ms []request.Message) string {
	var b strings.Builder
	for _, m := range ms {
		b.WriteString("<|")
		b.WriteString(m.Role)
		b.WriteString("|>\n")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Anchor returns the key that identifies a conversation, derived from the leading system messages and the first other
// message.
func Anchor(s keyer.Scope, ms []request.Message) keyer.Key {
	system, first := "", ""
	for _, m := range ms {
		if m.Role == "system" && first == "" {
			system += m.Content
			continue
		}
		first = m.Content
		break
	}
	return keyer.Anchor(s, system, first)
}

func readCall(r *request.Request, rest string) error {
	service, operation, ok := strings.Cut(rest, "/")
	if !ok || service == "" || operation == "" {
		return request.Refuse(http.StatusNotFound, request.CodeNotFound, "path",
			"must be %sSERVICE/OPERATION", servicePrefix)
	}
	op, ok := r.View.Config.Operation(service, operation)
	if !ok {
		return request.Refuse(http.StatusNotFound, request.CodeNotFound, "path",
			"service %q has no operation %q", service, operation)
	}
	if r.HTTP.Method != http.MethodPost && r.HTTP.Method != http.MethodGet {
		return request.Refuse(http.StatusMethodNotAllowed, request.CodeBadRequest, "method", "must be GET or POST")
	}
	r.Call = &request.Call{Service: service, Operation: op, Method: r.HTTP.Method, Body: r.Body}
	return nil
}
