package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/server"
	"github.com/papayaworks/papayaworks/internal/server/dispatcher"
	"github.com/papayaworks/papayaworks/internal/server/identifier"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/caller"
	"github.com/papayaworks/papayaworks/pkg/configurer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const (
	tokens  = 200
	wait    = 20 * time.Second // longest wait for a condition
	tick    = 5 * time.Millisecond
	userKey = "key"
	prompt  = "<|user|>\nmend the strap\n"
)

// testbed is one instance with some engines.
type testbed struct {
	engines []*emulator.Engine
	server  *server.Server
	events  *recorder.Recorder
	cfg     *configurer.Config
	caller  *caller.Client
}

func newTestbed(t *testing.T, engines int) *testbed {
	tb := &testbed{cfg: &configurer.Config{
		Deployment:  configurer.Deployment{Name: "test"},
		DataCentres: []configurer.DataCentre{{Name: "d1", Region: "r1"}},
		Models:      []configurer.Model{{Name: "m", Version: 1}},
		Accounts:    []configurer.Account{{Name: "a", KeySHA256: identifier.HashAPIKey(userKey)}},
		Limits:      configurer.Limits{MaxOutputTokens: 200_000},
		Timing:      configurer.Timing{LoadReportMs: 10},
	}}
	for i := range engines {
		e := &emulator.Engine{ID: fmt.Sprintf("e%d", i), Models: map[string]int64{"m": 1}, DecodeTokensPerSec: 500}
		addr, err := e.Start()
		require.NoError(t, err)
		t.Cleanup(e.Kill)
		tb.engines = append(tb.engines, e)
		tb.cfg.Targets = append(tb.cfg.Targets, configurer.Target{
			ID: e.ID, Address: addr, DataCentre: "d1", Kind: configurer.KindEngine, Models: []string{"m"},
		})
	}
	tb.cfg.SetDefaults()
	tb.events = recorder.New(recorder.NewClock(time.Now), "i1", 64, nil)
	set := &configurer.Settings{
		Instance: configurer.Instance{ID: "i1", DataCentre: "d1", Listen: "127.0.0.1:0"},
		Keys:     configurer.Keys{Token: []string{strings.Repeat("ab", 32)}},
	}
	tb.server = server.New(set, tb.cfg, logger.Discard(), tb.events, &asserter.Asserter{PanicOnViolation: true})
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, tb.server.Start(ctx))
	t.Cleanup(func() {
		cancel()
		tb.server.Kill()
	})
	tb.caller = &caller.Client{Addresses: []string{tb.server.Addr()}, Key: userKey, MaxAttempts: 1, HTTP: caller.NewHTTPClient()}
	return tb
}

func chat(stream bool, seed int64) caller.ChatRequest {
	return caller.ChatRequest{
		Model: "m", Messages: []caller.Message{{Role: "user", Content: "mend the strap"}}, Stream: stream, MaxTokens: tokens, Seed: seed,
	}
}

// runningEngine returns an engine that has a run, or nil.
func (tb *testbed) runningEngine() *emulator.Engine {
	for _, e := range tb.engines {
		if e.RunningCount() > 0 {
			return e
		}
	}
	return nil
}

// killRunning waits until an engine has a run and kills it.
func (tb *testbed) killRunning(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for ctx.Err() == nil {
		if e := tb.runningEngine(); e != nil {
			e.Kill()
			return
		}
		<-t.C
	}
}

func (tb *testbed) setFaults(f emulator.EngineFaults) {
	for _, e := range tb.engines {
		e.SetFaults(f)
	}
}

func (tb *testbed) runs() int {
	n := 0
	for _, e := range tb.engines {
		n += e.GroundTruth().Runs
	}
	return n
}

func TestEngineKilledDuringResponse(t *testing.T) {
	tests := map[string]struct {
		stream bool
		seed   int64
		lost   bool
	}{
		// Guards against a lost response that another engine could continue.
		"stream with seed": {true, 7, false},
		// Guards against a response composed of parts of two different ones.
		"stream without seed": {true, 0, true},
		// Guards against an empty response, and against the loss of a response of which the caller has received nothing.
		"no stream, no seed": {false, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, 3)
			killed := false
			tb.caller.OnChunk = func(n int) {
				if tt.stream && !killed {
					killed = true
					tb.runningEngine().Kill()
				}
			}
			if !tt.stream {
				go tb.killRunning(t.Context())
			}
			res, err := tb.caller.Chat(t.Context(), chat(tt.stream, tt.seed))
			if tt.lost {
				var r *caller.Refusal
				require.ErrorAs(t, err, &r)
				require.Equal(t, string(request.CodeRunLost), r.Code)
				require.False(t, r.NotRun)
				return
			}
			require.NoError(t, err)
			require.Equal(t, emulator.ResponseText(prompt, tt.seed, tokens), res.Text)
		})
	}
}

func TestBrokenStreams(t *testing.T) {
	tests := map[string]struct {
		faults  emulator.EngineFaults
		engines int // number of engines with the fault
		lost    bool
	}{
		// Guards against chunks that reach the caller out of order or twice.
		"shuffled": {emulator.EngineFaults{ShuffleStream: true}, 3, false},
		// Guards against a response that fails because the streams of one engine always break at the same offset.
		"one breaks": {emulator.EngineFaults{BreakStreamAt: 20}, 1, false},
		// Guards against unlimited attempts, and against a truncated response that looks complete.
		"all break": {emulator.EngineFaults{BreakStreamAt: 20}, 3, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, 3)
			if tt.engines == 3 {
				tb.setFaults(tt.faults)
			} else {
				set := false
				tb.caller.OnChunk = func(int) {
					if !set {
						set = true
						tb.runningEngine().SetFaults(tt.faults)
					}
				}
			}
			res, err := tb.caller.Chat(t.Context(), chat(true, 7))
			if tt.lost {
				require.Error(t, err)
				require.True(t, strings.HasPrefix(emulator.ResponseText(prompt, 7, tokens), res.Text))
				return
			}
			require.NoError(t, err)
			require.Equal(t, emulator.ResponseText(prompt, 7, tokens), res.Text)
		})
	}
}

// Guards against a refused dispatch that fails the request although another engine accepts it.
func TestOneEngineRefuses(t *testing.T) {
	for i := range 3 {
		tb := newTestbed(t, 3)
		tb.setFaults(emulator.EngineFaults{RefuseRuns: true})
		tb.engines[i].SetFaults(emulator.EngineFaults{})
		res, err := tb.caller.Chat(t.Context(), chat(true, 0))
		require.NoError(t, err)
		require.Equal(t, emulator.ResponseText(prompt, 0, tokens), res.Text)
	}
}

// Guards against a refusal that does not state "not run", or that states it although an engine has run the request, and
// against one without a retry time.
func TestAllEnginesRefuse(t *testing.T) {
	tb := newTestbed(t, 3)
	tb.setFaults(emulator.EngineFaults{RefuseRuns: true})
	_, err := tb.caller.Chat(t.Context(), chat(true, 0))
	var r *caller.Refusal
	require.ErrorAs(t, err, &r)
	require.True(t, r.NotRun)
	require.Positive(t, r.RetryAfterMs)
	require.Zero(t, tb.runs())
}

// Guards against a resumed stream that fails because its engine was killed.
func TestResumeAfterEngineWasKilled(t *testing.T) {
	tb := newTestbed(t, 3)
	tb.caller.MaxAttempts, tb.caller.RetryDelay = 8, time.Millisecond
	first := true
	tb.caller.HTTP.Transport = breakingTransport{tb.caller.HTTP.Transport, func() bool { return first }}
	tb.caller.OnChunk = func(int) {
		if first {
			first = false
			tb.runningEngine().Kill()
		}
	}
	res, err := tb.caller.Chat(t.Context(), chat(true, 7))
	require.NoError(t, err)
	require.Positive(t, res.ResumeCount)
	require.Equal(t, emulator.ResponseText(prompt, 7, tokens), res.Text)
}

// breakingTransport is a transport whose response bodies fail after the first read if on returned true when the response
// arrived.
type breakingTransport struct {
	http.RoundTripper
	on func() bool
}

// RoundTrip implements http.RoundTripper.
func (b breakingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := b.RoundTripper.RoundTrip(req)
	if err == nil && b.on() {
		res.Body = &brokenBody{res.Body, 0}
	}
	return res, err
}

type brokenBody struct {
	io.ReadCloser
	n int
}

// Read implements io.Reader.
func (c *brokenBody) Read(p []byte) (int, error) {
	if c.n++; c.n > 1 {
		return 0, errors.New("connection reset")
	}
	return c.ReadCloser.Read(p)
}

// step returns a dispatcher with one engine, a request for a long run on it, and the engine.
func step(t *testing.T, grace time.Duration) (*dispatcher.Step, *request.Request, *emulator.Engine) {
	e := &emulator.Engine{ID: "e", Models: map[string]int64{"m": 1}}
	addr, err := e.Start()
	require.NoError(t, err)
	t.Cleanup(e.Kill)
	cfg := &configurer.Config{
		Models:  []configurer.Model{{Name: "m", Version: 1}},
		Targets: []configurer.Target{{ID: "e", Address: addr, Kind: configurer.KindEngine, Models: []string{"m"}}},
	}
	cfg.SetDefaults()
	s := &dispatcher.Step{
		Client: dialer.New(), Now: time.Now, Grace: grace, Log: logger.Discard(), Asserter: &asserter.Asserter{PanicOnViolation: true},
	}
	s.SetDefaults(cfg)
	v := view.New(cfg, 1, "")
	target, _ := v.Target("e")
	r := &request.Request{
		ID: "r", ReceivedAt: time.Now(), View: v, Target: target, Prompt: prompt, Body: []byte("b"),
		Account: configurer.Account{Name: "a", DeadlineMs: 60000},
		Chat:    &request.Chat{Model: "m", Stream: true, MaxTokens: 100_000},
	}
	return s, r, e
}

// Guards against a run that occupies its slot after its caller disconnected.
func TestCallerDisconnects(t *testing.T) {
	s, r, e := step(t, time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	require.NoError(t, s.Run(ctx, r))
	_, _, err := r.Stream.Next(ctx)
	require.NoError(t, err)
	cancel()
	for err == nil {
		_, _, err = r.Stream.Next(ctx)
	}
	require.ErrorIs(t, err, context.Canceled)
	r.Stream.Close()
	require.Eventually(t, func() bool { return e.RunningCount() == 0 }, wait, tick)
}

// Guards against cancelling the run of a caller that resumed its stream at another instance.
func TestRunWithAnotherReaderIsNotCancelled(t *testing.T) {
	s, r, e := step(t, time.Millisecond)
	require.NoError(t, s.Run(t.Context(), r))
	_, _, err := r.Stream.Next(t.Context())
	require.NoError(t, err)
	other, err := dialer.New().Resume(t.Context(), r.Target.Address, r.RunID, 0)
	require.NoError(t, err)
	r.Stream.Close()
	var refused *dialer.StatusError
	require.ErrorAs(t, s.Client.CancelIdle(t.Context(), r.Target.Address, r.RunID), &refused)
	require.Equal(t, 1, e.RunningCount())
	other.Close()
	require.Eventually(t, func() bool { return s.Client.CancelIdle(t.Context(), r.Target.Address, r.RunID) == nil }, wait, tick)
	require.Eventually(t, func() bool { return e.RunningCount() == 0 }, wait, tick)
}

// Guards against unbounded memory use for a caller that does not read. Its connection is closed, and it may resume.
func TestSlowReaderIsDisconnected(t *testing.T) {
	tb := newTestbed(t, 1)
	tb.engines[0].DecodeTokensPerSec = 1e6
	conn, err := net.Dial("tcp", tb.server.Addr())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	body := `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":150000}`
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		userKey, len(body), body)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(tb.events.Events(), func(e recorder.Event) bool { return e.Kind == "failed" && e.Step == "deliver" })
	}, wait, tick)
}
