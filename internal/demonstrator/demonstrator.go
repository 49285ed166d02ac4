package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/pkg/caller"
)

const (
	// demoSpeed is the ratio of emulated time to real time in a demo.
	demoSpeed = 10
	// minResponseTokens and maxResponseTokens bound the length of responses.
	minResponseTokens, maxResponseTokens = 24, 400
	// maxTurns bounds the turns of a conversation; maxTurnGap bounds the idle gap between them, which represents hours.
	maxTurns   = 4
	maxTurnGap = 3 * time.Second
	// conversationInterval is the mean time between the starts of conversations.
	conversationInterval = 60 * time.Millisecond
	// messageBytes is the approximate length of one message; a Malayalam character takes three bytes in UTF-8.
	messageBytes = 12000
)

// Demo is one run of the demo. Its exported fields are set before Run or Serve.
type Demo struct {
	// User is a key of [Specs].
	User     string
	Seed     uint64
	Duration time.Duration
	Out      io.Writer
	Log      logger.Logger

	mu      sync.Mutex
	started time.Time
}

// Summary holds the results of a demo run, as callers saw them and from the ground truth of the emulators.
type Summary struct {
	// Requests counts chat requests and orders.
	Requests       int `json:"requests"`
	Orders         int `json:"orders"`
	Answered       int `json:"answered"`
	RefusedNotRun  int `json:"refusedNotRun"`
	UnknownOutcome int `json:"unknownOutcome"`
	// Lost counts chat requests that got a wrong or truncated response, or failed without a reported outcome.
	Lost int `json:"lost"`
	// DuplicateRuns counts runs of orders beyond the first; FalseNotRun counts orders that were reported as not run but ran.
	DuplicateRuns       int     `json:"duplicateRuns"`
	FalseNotRun         int     `json:"falseNotRun"`
	CrossAccountBlocks  int     `json:"crossAccountBlocks"`
	StaleVersionBlocks  int     `json:"staleVersionBlocks"`
	InvariantViolations int     `json:"invariantViolations"`
	TTFTMsP50           float64 `json:"ttftMsP50"`
	TTFTMsP95           float64 `json:"ttftMsP95"`
	// RecomputedShare is the share of prompt tokens that engines prefilled, instead of finding them cached or importing them.
	RecomputedShare float64 `json:"recomputedShare"`
	LinkBytes       int64   `json:"linkBytes"`
	// FirstResponseMs is the time from the start of the demo to the first complete chat response.
	FirstResponseMs int64 `json:"firstAnswerMs"`
	// Resumed counts the resumptions of interrupted streams.
	Resumed int `json:"resumed"`
}

// Failed reports whether any count that must be zero is not zero.
func (s *Summary) Failed() bool {
	return s.Lost+s.DuplicateRuns+s.FalseNotRun+s.CrossAccountBlocks+s.StaleVersionBlocks+s.InvariantViolations != 0
}

// tally collects the results that callers saw.
type tally struct {
	mu   sync.Mutex
	sum  Summary
	ttft []time.Duration
}

// Run plays the workload for Duration on a new deployment and returns the summary. Progress is written to Out.
func (d *Demo) Run(ctx context.Context) (*Summary, error) {
	spec, ok := Specs[d.User]
	if !ok {
		return nil, fmt.Errorf("unknown user %q: must be trust or cooperative", d.User)
	}
	d.started = time.Now()
	dep, err := Start(ctx, spec, demoSpeed, d.Log)
	if err != nil {
		return nil, err
	}
	defer dep.Close()
	d.printLine("started %d instances, %d engines, %d services in %d data centres; engines run at %d times their real speed",
		len(dep.Instances), len(dep.Engines), len(dep.Services), len(spec.DataCentres), demoSpeed)
	t := &tally{}
	bal := &balancer{addrs: dep.Addresses()}
	bg, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.progress(bg, t)
	go d.injectFaults(bg, dep, bal)
	o := &orders{dep: dep, bal: bal, t: t, rand: rand.New(rand.NewPCG(d.Seed, 2))}
	var wg sync.WaitGroup
	wg.Go(func() { o.run(ctx, time.Now().Add(d.Duration)) })
	d.sendChats(ctx, dep, t, bal)
	wg.Wait()
	sum := t.summary(dep)
	o.verify(sum)
	return sum, nil
}

// sendChats starts conversations until Duration has passed and waits for all of them to end.
func (d *Demo) sendChats(ctx context.Context, dep *Deployment, t *tally, bal *balancer) {
	r := rand.New(rand.NewPCG(d.Seed, 1))
	pool := caller.NewHTTPClient()
	var wg sync.WaitGroup
	end := time.Now().Add(d.Duration)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		account := dep.Spec.Accounts[r.IntN(len(dep.Spec.Accounts))]
		conv := newConversation(r, account, i)
		conv.end, conv.client = end, &caller.Client{NextAddress: bal.next, Key: APIKey(account), HTTP: pool}
		wg.Go(func() { conv.run(ctx, dep, t, d.started) })
		next := time.NewTimer(time.Duration(r.ExpFloat64() * float64(conversationInterval)))
		select {
		case <-next.C:
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// conversation is one conversation.
type conversation struct {
	account string
	id      int
	turns   int
	tokens  int
	seed    int64
	gap     time.Duration
	end     time.Time
	client  *caller.Client
}

// newConversation draws a conversation with random length, seed and gap.
func newConversation(r *rand.Rand, account string, id int) *conversation {
	return &conversation{
		account: account, id: id,
		turns:  1 + r.IntN(maxTurns),
		tokens: minResponseTokens + r.IntN(maxResponseTokens-minResponseTokens),
		seed:   r.Int64N(1 << 30),
		gap:    time.Duration(r.Int64N(int64(maxTurnGap))),
	}
}

func (c *conversation) run(ctx context.Context, dep *Deployment, t *tally, started time.Time) {
	msgs := []caller.Message{{Role: "system", Content: "ദയവായി മലയാളത്തിൽ മറുപടി എഴുതുക. Account " + c.account}}
	token := ""
	for n := range c.turns {
		if n > 0 && !time.Now().Before(c.end) {
			return
		}
		text := fmt.Sprintf("thread %d letter %d: ചെരിപ്പ് നന്നാക്കണം. ", c.id, n)
		text = strings.Repeat(text, messageBytes/len(text)+1)
		msgs = append(msgs, caller.Message{Role: "user", Content: text})
		res, err := c.client.Chat(ctx, caller.ChatRequest{
			Model: dep.Spec.Model, Messages: msgs, Stream: true, MaxTokens: c.tokens, Seed: c.seed, Continuation: token,
		})
		t.recordChat(render(msgs), c, res, err, started)
		if err != nil {
			return
		}
		token = res.Continuation
		msgs = append(msgs, caller.Message{Role: "assistant", Content: res.Text})
		gap := time.NewTimer(c.gap)
		select {
		case <-gap.C:
		case <-ctx.Done():
			return
		}
	}
}

// render returns the prompt that engines receive for the messages of a conversation.
func render(ms []caller.Message) string {
	var b strings.Builder
	for _, m := range ms {
		fmt.Fprintf(&b, "<|%s|>\n%s\n", m.Role, m.Content)
	}
	return b.String()
}

// recordChat counts one chat request and checks that its response is complete and belongs to its prompt.
func (t *tally) recordChat(prompt string, c *conversation, res *caller.Response, err error, started time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Requests++
	if err != nil {
		t.recordError(err)
		return
	}
	if res.Text != emulator.ResponseText(prompt, c.seed, c.tokens) {
		t.sum.Lost++
		return
	}
	t.sum.Answered++
	t.sum.Resumed += res.ResumeCount
	if t.sum.FirstResponseMs == 0 {
		t.sum.FirstResponseMs = time.Since(started).Milliseconds()
	}
	t.ttft = append(t.ttft, res.TimeToFirstToken)
}

// recordError counts a failed chat request by the outcome that was reported to the caller, or as lost if none was. t.mu must be
// held.
func (t *tally) recordError(err error) {
	r := new(caller.Refusal)
	switch {
	case asRefusal(err, &r) && r.NotRun:
		t.sum.RefusedNotRun++
	case asRefusal(err, &r) && r.Code == "outcomeUnknown":
		t.sum.UnknownOutcome++
	default:
		t.sum.Lost++
	}
}

// summary adds the ground truth of the emulators to the results that callers saw.
func (t *tally) summary(dep *Deployment) *Summary {
	s := t.sum
	slices.Sort(t.ttft)
	s.TTFTMsP50, s.TTFTMsP95 = quantile(t.ttft, 0.50), quantile(t.ttft, 0.95)
	var recomputed, all int64
	for _, e := range dep.Engines {
		truth := e.GroundTruth()
		s.CrossAccountBlocks += truth.CrossAccountBlocks
		s.StaleVersionBlocks += truth.StaleVersionBlocks
		recomputed += truth.RecomputedTokens
		all += truth.RecomputedTokens + truth.CachedTokens + truth.ImportedTokens
	}
	if all > 0 {
		s.RecomputedShare = float64(recomputed) / float64(all)
	}
	for _, st := range dep.Stores {
		s.LinkBytes += st.LinkBytes()
	}
	for _, in := range dep.Instances {
		s.InvariantViolations += int(in.Asserter.Violations())
	}
	return &s
}

// quantile returns the q-quantile of sorted durations, in milliseconds.
func quantile(ds []time.Duration, q float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	d := ds[min(len(ds)-1, int(q*float64(len(ds))))]
	return float64(d.Microseconds()) / 1000
}

func asRefusal(err error, r **caller.Refusal) bool { return errors.As(err, r) }

// balancer emulates the platform's load balancer. It selects instances round robin; a killed instance stays in the rotation
// until it is replaced.
type balancer struct {
	mu    sync.Mutex
	addrs []string
	index int
}

func (b *balancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.index++
	return b.addrs[b.index%len(b.addrs)]
}

func (b *balancer) replace(old, with string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.addrs, old); i >= 0 {
		b.addrs[i] = with
	}
}
