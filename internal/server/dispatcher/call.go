package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/ledger"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// maxResponseBytes bounds the response body of a plain service.
	maxResponseBytes = 1 << 20
	// notRunRetryAfter is the time after which a caller should retry a call that was not run.
	notRunRetryAfter = 250 * time.Millisecond
	// maxStatus is the highest valid status of a response.
	maxStatus = 599
)

// call sends a call of a plain service to its target and sets the response.
func (s *Step) call(ctx context.Context, r *request.Request) error {
	deadline := r.ReceivedAt.Add(configurer.Milliseconds(r.Call.Operation.DeadlineMs))
	if !r.Call.Operation.Repeatable {
		return s.callAtMostOnce(ctx, r, deadline)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	res, sent, err := exchange(ctx, s.Client.HTTP(), r)
	switch {
	case err != nil && !sent:
		return notRun(err.Error())
	case err != nil:
		return unknown(err.Error())
	}
	r.Response = &request.Response{Status: res.Status, ContentType: res.ContentType, Body: res.Body}
	return nil
}

// callAtMostOnce runs a non-repeatable call through the ledger, which runs it at most once per idempotency key.
func (s *Step) callAtMostOnce(ctx context.Context, r *request.Request, deadline time.Time) error {
	if s.Ledger == nil {
		return notRun("no ledger is available for non-repeatable calls")
	}
	c := ledger.Request{
		Account: r.Account.Name, Key: r.IdempotencyKey, Deadline: deadline,
		BodyHash: ledger.HashOf([]byte(r.Call.Method), []byte(r.Call.Service), []byte(r.Call.Operation.Name), r.Call.Body),
	}
	res := s.Ledger.Do(ctx, c, func(ctx context.Context) (*ledger.Response, bool, error) {
		return exchange(ctx, s.Client.HTTPWithoutRetry(), r)
	})
	// Reasons are metric labels, so the outcome is used and not its text, which may contain addresses.
	r.Reason = res.Outcome.String()
	switch res.Outcome {
	case ledger.Responded:
		r.Response = response(res.Response)
		return nil
	case ledger.NotRun:
		return notRun(res.Reason)
	case ledger.InvalidKey:
		return request.Refuse(http.StatusBadRequest, request.CodeBadRequest, "Idempotency-Key", "%s", res.Reason)
	case ledger.BodyMismatch:
		// The error must not state "not run", since the earlier request with the same key may have run.
		e := request.Fail(http.StatusUnprocessableEntity, request.CodeBadRequest, "%s", res.Reason)
		e.Field = "Idempotency-Key"
		return e
	}
	return unknown(res.Reason)
}

func notRun(reason string) error {
	return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "%s", reason).WithRetryAfter(notRunRetryAfter)
}

func unknown(reason string) error {
	return request.Fail(http.StatusGatewayTimeout, request.CodeOutcomeUnknown, "%s", reason)
}

// response converts a recorded response. If its body was not recorded, the body is a JSON object with the note.
func response(in *ledger.Response) *request.Response {
	out := &request.Response{Status: in.Status, ContentType: in.ContentType, Body: in.Body}
	if in.Note != "" {
		out.ContentType = "application/json"
		out.Body, _ = json.Marshal(map[string]string{"note": in.Note})
	}
	return out
}

// exchange sends a call and reads its response. On an error, sent reports whether the target may have received any part
// of the call, which is assumed from the moment a connection was available.
func exchange(ctx context.Context, client *http.Client, r *request.Request) (res *ledger.Response, sent bool, err error) {
	u := "http://" + r.Target.Address + "/v1/operations/" + r.Call.Operation.Name
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { sent = true },
		WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Call.Method, u, bytes.NewReader(r.Call.Body))
	if err != nil {
		return nil, false, failer.Wrap(err, "call target", r.Target.Address, "dispatch")
	}
	req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	if t := r.HTTP.Header.Get("Content-Type"); t != "" {
		req.Header.Set("Content-Type", t)
	}
	in, err := client.Do(req)
	if err != nil {
		return nil, sent, failer.Wrap(err, "call target", r.Target.Address, "dispatch")
	}
	defer in.Body.Close()
	body, err := io.ReadAll(io.LimitReader(in.Body, maxResponseBytes+1))
	switch {
	case err != nil:
	case len(body) > maxResponseBytes:
		err = errors.New("response exceeds the size limit")
	case in.StatusCode < http.StatusOK || in.StatusCode > maxStatus:
		err = fmt.Errorf("response has the invalid status %03d", in.StatusCode)
	case !isFramed(in) && !written.Load():
		// A failed write hides the reset of the connection from the reader, which then sees the end of the body.
		err = errors.New("response without framing ended before the request was written")
	}
	if err != nil {
		return nil, true, failer.Wrap(err, "read response of target", r.Target.Address, "dispatch")
	}
	return &ledger.Response{Status: in.StatusCode, ContentType: in.Header.Get("Content-Type"), Body: body}, true, nil
}

// isFramed reports whether the response states where its body ends. Otherwise it ends with the connection.
func isFramed(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}
