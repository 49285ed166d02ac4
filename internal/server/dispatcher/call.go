package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// maxResponseBytes bounds the answer of a plain service.
const maxResponseBytes = 1 << 20

// call sends a call of a plain service to its target.
func (s *Step) call(ctx context.Context, r *request.Request) error {
	ctx, cancel := context.WithTimeout(ctx, configurer.Milliseconds(r.Call.Operation.DeadlineMs))
	defer cancel()
	if !r.Call.Operation.Repeatable {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "the ledger is not available")
	}
	u := "http://" + r.Target.Address + "/v1/operations/" + r.Call.Operation.Name
	req, err := http.NewRequestWithContext(ctx, r.Call.Method, u, bytes.NewReader(r.Call.Body))
	if err != nil {
		return failer.Wrap(err, "call target", r.Target.Address, "dispatch")
	}
	req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	res, err := s.Client.HTTP().Do(req)
	if err != nil {
		return request.Fail(http.StatusBadGateway, request.CodeOutcomeUnknown, "%v",
			failer.Wrap(err, "call target", r.Target.Address, "dispatch"))
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return request.Fail(http.StatusBadGateway, request.CodeOutcomeUnknown, "%v",
			failer.Wrap(err, "read answer of", r.Target.Address, "dispatch"))
	}
	r.Response = &request.Response{Status: res.StatusCode, Type: res.Header.Get("Content-Type"), Body: body}
	return nil
}
