package gatekeeper

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/limiter"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/signer"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// fixture is a step with a fake clock and one engine in its view.
type fixture struct {
	now  time.Time
	cfg  *configurer.Config
	view *view.View
	step *Step
}

func newFixture(a configurer.Account) *fixture {
	f := &fixture{now: time.Unix(1_000_000, 0)}
	a.Name = "a"
	f.cfg = &configurer.Config{
		Models:   []configurer.Model{{Name: "m", PrefillTokensPerSecond: 1000}},
		Targets:  []configurer.Target{{ID: "e", Kind: configurer.KindEngine, Models: []string{"m"}}},
		Accounts: []configurer.Account{a},
	}
	f.cfg.SetDefaults()
	f.view = view.New(f.cfg, 1, "d")
	clock := func() time.Time { return f.now }
	f.step = &Step{Gate: NewGate("i1", "d"), Tracker: tracker.New(clock), Now: clock, Seed: func() uint64 { return 1 }}
	f.step.SetDefaults(f.cfg)
	return f
}

// backlog sets the number of prompt tokens that are queued at the engine.
func (f *fixture) backlog(tokens int) {
	f.view = f.view.WithTargets(map[string]view.Status{"e": {LoadAt: f.now, Load: dialer.Load{WaitingTokens: tokens}}})
}

func (f *fixture) request() *request.Request {
	return &request.Request{
		View: f.view, Account: f.cfg.Accounts[0], Prompt: "0123456789abcdef", Chat: &request.Chat{Model: "m", MaxTokens: 10},
	}
}

func (f *fixture) run(t *testing.T, r *request.Request) *request.Error {
	err := f.step.Run(t.Context(), r)
	if err == nil {
		return nil
	}
	var re *request.Error
	require.True(t, errors.As(err, &re))
	require.True(t, re.NotRun)
	require.Positive(t, re.RetryAfter)
	return re
}

// Guards against admission of a request that would miss its first-token target in the queue, and against a refusal after
// the queue has drained.
func TestBacklogIsRefused(t *testing.T) {
	f := newFixture(configurer.Account{FirstTokenMs: 500})
	f.backlog(2000) // 2 s at the configured rate
	re := f.run(t, f.request())
	require.NotNil(t, re)
	require.Equal(t, request.CodeOverloaded, re.Code)
	require.Equal(t, http.StatusServiceUnavailable, re.Status)
	f.now = f.now.Add(1800 * time.Millisecond)
	require.Nil(t, f.run(t, f.request()), "the queue has drained since the report")
}

// Guards against a leak of the account's streams, whether a request completes or is refused.
func TestStreamsAreReleased(t *testing.T) {
	f := newFixture(configurer.Account{Streams: 2, RequestsPerSecond: 1000})
	a, b := f.request(), f.request()
	require.Nil(t, f.run(t, a))
	require.Nil(t, f.run(t, b))
	re := f.run(t, f.request())
	require.Equal(t, request.CodeLimited, re.Code)
	require.Equal(t, http.StatusTooManyRequests, re.Status)
	a.Release()
	f.backlog(5000)
	require.Equal(t, request.CodeOverloaded, f.run(t, f.request()).Code)
	f.backlog(0)
	require.Nil(t, f.run(t, f.request()), "the refused request must not hold a stream")
}

// Guards against output tokens that are not charged.
func TestOutputTokensAreCharged(t *testing.T) {
	f := newFixture(configurer.Account{TokensPerSecond: 100, RequestsPerSecond: 1000})
	r := f.request()
	require.Nil(t, f.run(t, r))
	r.OutputTokens = 500
	r.Release()
	require.Equal(t, request.CodeLimited, f.run(t, f.request()).Code)
	f.now = f.now.Add(5 * time.Second)
	require.Nil(t, f.run(t, f.request()))
}

// Guards against a refused resume of a stream, and against new work on a draining instance.
func TestResumeAndDraining(t *testing.T) {
	f := newFixture(configurer.Account{Streams: 1})
	require.Nil(t, f.run(t, f.request()))
	f.backlog(50_000)
	r := f.request()
	r.Resume = &signer.Stream{}
	require.Nil(t, f.run(t, r))
	f.view = f.view.WithDraining(true)
	require.Equal(t, request.CodeDraining, f.run(t, f.request()).Code)
}

// Guards against refusals of requests when the engines are faster than configured.
func TestSpeedIsLearned(t *testing.T) {
	f := newFixture(configurer.Account{FirstTokenMs: 500})
	f.backlog(400)
	for range 100 {
		r := f.request()
		require.Nil(t, f.run(t, r))
		r.FirstTokenAt = f.now.Add(40 * time.Millisecond)
		r.Release()
		f.now = f.now.Add(100 * time.Millisecond)
		f.backlog(400)
	}
	f.backlog(2000)
	require.Nil(t, f.run(t, f.request()), "2 s by the configured rate, 0.2 s by the observed latency")
}

// Guards against limits that are not shared: two instances together must stay within the account's limit.
func TestGatesShareLimits(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a := configurer.Account{Name: "a", RequestsPerSecond: 100, TokensPerSecond: 1000, Streams: 10}
	members := []view.Member{{ID: "i1", DataCentre: "d", State: "alive"}, {ID: "i2", DataCentre: "d", State: "alive"}}
	gates := map[string]*Gate{"i1": NewGate("i1", "d"), "i2": NewGate("i2", "d")}
	for _, g := range gates {
		g.setAccounts([]configurer.Account{a}, now)
		g.SetMembers(members, now)
	}
	for range 500 {
		now = now.Add(time.Second)
		for range 300 {
			gates["i1"].limits.Acquire(a, 0, now)
		}
		local, wide := gates["i1"].Payloads(now)
		require.Nil(t, wide, "there is one data centre")
		if local != nil {
			gates["i2"].mergeAt("i1", local, now)
		}
	}
	one, two := gates["i1"].limits.Share(a, now), gates["i2"].limits.Share(a, now)
	// 20 % of the limit is divided evenly and 80 % by demand, where the demand of the idle instance counts as a quarter
	// of an even share: 10 + 80 x 100/112.5 = 81.1.
	require.Greater(t, one[limiter.Requests], 80.0)
	require.LessOrEqual(t, one[limiter.Requests]+two[limiter.Requests], 100.001)
	gates["i2"].Merge("unknown", []byte{0xdd, 0xff, 0xff, 0xff, 0xff})
}

// Guards against refused or finished runs that remain counted as running, after which the instance would refuse
// everything.
func TestRunsCountUntilTheyEnd(t *testing.T) {
	f := newFixture(configurer.Account{RequestsPerSecond: 1000})
	a := f.request()
	require.Nil(t, f.run(t, a))
	f.backlog(100000)
	require.Equal(t, request.CodeOverloaded, f.run(t, f.request()).Code)
	require.Equal(t, 1, f.step.Gate.runningCount(a.Chat.Model))
	a.Release()
	require.Zero(t, f.step.Gate.runningCount(a.Chat.Model))
}
