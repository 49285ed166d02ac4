package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/ledger"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// newStep returns a step whose ledger uses the given log.
func newStep(t *testing.T, log appender.Log) *Step {
	l := &ledger.Ledger{Log: log, Owner: "a", Asserter: &asserter.Asserter{PanicOnViolation: true}}
	l.Start(t.Context())
	return &Step{Client: dialer.New(), Ledger: l, Now: time.Now}
}

// call returns a request for a service operation.
func call(addr, key, body string, repeatable bool) *request.Request {
	return &request.Request{
		HTTP: httptest.NewRequest(http.MethodPost, "/", http.NoBody), ReceivedAt: time.Now(), IdempotencyKey: key,
		Account: configurer.Account{Name: "dispatch"},
		Target:  &view.Target{Target: configurer.Target{ID: "s", Address: addr}},
		Call: &request.Call{Service: "dispatch", Method: http.MethodPost, Body: []byte(body),
			Operation: configurer.Operation{Name: "order", Repeatable: repeatable, DeadlineMs: 5000}},
	}
}

// Guards against an error whose status, code or not-run flag contradicts what the service ran.
func TestCallOutcomes(t *testing.T) {
	validKey := ledger.NewKey(time.Now(), 1, 1)
	tests := map[string]struct {
		key        string
		repeatable bool
		log        appender.Faults
		service    emulator.ServiceFaults
		stopped    bool // the service is not running
		status     int  // of the error; 0 means a response
		code       request.Code
		field      string
		notRun     bool
		runs       int
	}{
		"answered":                    {key: validKey, runs: 1},
		"no key":                      {status: 400, code: request.CodeBadRequest, field: "Idempotency-Key", notRun: true},
		"malformed key":               {key: "order-1", status: 400, code: request.CodeBadRequest, field: "Idempotency-Key", notRun: true},
		"expired key":                 {key: ledger.NewKey(time.Now().Add(-24*time.Hour), 1, 1), status: 400, code: request.CodeBadRequest, field: "Idempotency-Key", notRun: true},
		"log down":                    {key: validKey, log: appender.Faults{Down: true}, status: 504, code: request.CodeOutcomeUnknown},
		"log down, repeatable":        {key: validKey, repeatable: true, log: appender.Faults{Down: true}, runs: 1},
		"repeatable without key":      {repeatable: true},
		"service stopped":             {key: validKey, stopped: true, status: 503, code: request.CodeNotRun, notRun: true},
		"service stopped, repeatable": {repeatable: true, stopped: true, status: 503, code: request.CodeNotRun, notRun: true},
		"response dropped":            {key: validKey, service: emulator.ServiceFaults{DropResponses: true}, status: 504, code: request.CodeOutcomeUnknown, runs: 1},
		"append responses dropped":    {key: validKey, log: appender.Faults{DropResponses: true}, runs: 1},
		"service responds 503":        {key: validKey, service: emulator.ServiceFaults{Down: true}},
		"service misses deadline":     {key: validKey, service: emulator.ServiceFaults{Delay: 20 * time.Second}, status: 504, code: request.CodeOutcomeUnknown, runs: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sv := &emulator.Service{ID: "s"}
			addr, err := sv.Start()
			require.NoError(t, err)
			defer sv.Kill()
			sv.SetFaults(tc.service)
			if tc.stopped {
				sv.Kill()
			}
			log := appender.NewFake(nil)
			log.SetFaults(tc.log)
			err = newStep(t, log).Run(context.Background(), call(addr, tc.key, "x", tc.repeatable))
			require.Equal(t, tc.runs, sv.RunCounts()[tc.key])
			if tc.status == 0 {
				require.NoError(t, err)
				return
			}
			var re *request.Error
			require.ErrorAs(t, err, &re)
			require.Equal(t, []any{tc.status, tc.code, tc.field, tc.notRun}, []any{re.Status, re.Code, re.Field, re.NotRun}, re.Message)
		})
	}
}

// Guards against a second run: Go's HTTP client by itself retries a request with an Idempotency-Key when a reused
// connection breaks. Guards also against wrong responses to a retry and to another body with the same key.
func TestCallIsNeverRepeated(t *testing.T) {
	sv := &emulator.Service{ID: "s"}
	addr, err := sv.Start()
	require.NoError(t, err)
	defer sv.Kill()
	st := newStep(t, appender.NewFake(nil))
	key := func(n uint64) string { return ledger.NewKey(time.Now(), n, n) }
	reusedKey, droppedKey := key(1), key(2)
	first, retry := call(addr, reusedKey, "", false), call(addr, reusedKey, "", false)
	require.NoError(t, st.Run(t.Context(), first))
	require.NoError(t, st.Run(t.Context(), retry))
	require.True(t, bytes.Equal(first.Response.Body, retry.Response.Body))

	var re *request.Error
	require.ErrorAs(t, st.Run(t.Context(), call(addr, reusedKey, "other", false)), &re)
	require.Equal(t, http.StatusUnprocessableEntity, re.Status)
	require.Equal(t, "Idempotency-Key", re.Field)

	sv.SetFaults(emulator.ServiceFaults{DropResponses: true})
	for range 3 {
		require.ErrorAs(t, st.Run(t.Context(), call(addr, droppedKey, "", false)), &re)
		require.Equal(t, request.CodeOutcomeUnknown, re.Code)
	}
	require.Equal(t, map[string]int{reusedKey: 1, droppedKey: 1}, sv.RunCounts())
}

// startRawService serves each connection with a function on a loopback address.
func startRawService(t *testing.T, serve func(c *net.TCPConn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a response that is passed on although it is none: one with an invalid status, field name or framing, or one without framing
// whose connection was reset while the call was being sent, of which only a part has arrived.
func TestInvalidResponses(t *testing.T) {
	respond := func(statusAndHeader string) func(c *net.TCPConn) {
		return func(c *net.TCPConn) {
			for r := bufio.NewReader(c); ; {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 "+statusAndHeader+"\r\n\r\nok")
			}
		}
	}
	tests := map[string]struct {
		bodyBytes int
		serve     func(c *net.TCPConn)
	}{
		"status 000":                {2, respond("000 Trouble\r\nContent-Length: 2")},
		"status 999":                {2, respond("999 Trouble\r\nContent-Length: 2")},
		"blank in a field name":     {2, respond("200 OK\r\nX Pad: a\r\nContent-Length: 2")},
		"chunks in HTTP/1.0":        {2, respond("103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nContent-Length: 2\r\ntransfer-encoding: chunked")},
		"folded line":               {2, respond("200 OK\r\nContent-Type: text/plain\r\n X-Pad: a\r\nContent-Length: 2")},
		"after an interim response": {2, respond("103 Early Hints\r\nX-Pad: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Pad : a\r\nContent-Length: 2")},
		"reset during the upload": {64 << 20, func(c *net.TCPConn) {
			_, _ = io.ReadFull(c, make([]byte, 4<<10))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nfirst part")
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address := startRawService(t, tc.serve)
			client := dialer.New()
			for range 20 {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				res, _, err := exchange(ctx, client.HTTP(), call(address, "", strings.Repeat("b", tc.bodyBytes), true))
				cancel()
				require.Error(t, err, "response %+v", res)
				require.NotErrorIs(t, err, context.DeadlineExceeded)
			}
		})
	}
}
