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
	// demoSpeed is how much faster than real time the demo runs.
	demoSpeed = 10
	// minResponseTokens and maxAnswerTokens bound the length of the demo's answers.
	minResponseTokens, maxResponseTokens = 24, 400
	// maxTurns and maxGap bound a conversation's letters and the time between them, which stands for hours.
	maxTurns   = 4
	maxTurnGap = 3 * time.Second
	// conversationInterval is the mean time between conversations.
	conversationInterval = 60 * time.Millisecond
	// messageBytes is the length of one letter in a thread; Malayalam takes three bytes a character.
	messageBytes = 12000
)

// Demo is one run of the demo.
type Demo struct {
	User     string
	Seed     uint64
	Duration time.Duration
	Out      io.Writer
	Log      logger.Logger

	mu      sync.Mutex
	started time.Time
}

// Summary is what a demo run counted.
type Summary struct {
	Requests            int     `json:"requests"`
	Orders              int     `json:"orders"`
	Answered            int     `json:"answered"`
	RefusedNotRun       int     `json:"refusedNotRun"`
	UnknownOutcome      int     `json:"unknownOutcome"`
	Lost                int     `json:"lost"`
	DuplicateRuns       int     `json:"duplicateRuns"`
	FalseNotRun         int     `json:"falseNotRun"`
	CrossAccountBlocks  int     `json:"crossAccountBlocks"`
	StaleVersionBlocks  int     `json:"staleVersionBlocks"`
	InvariantViolations int     `json:"invariantViolations"`
	TTFTMsP50           float64 `json:"ttftMsP50"`
	TTFTMsP95           float64 `json:"ttftMsP95"`
	RecomputedShare     float64 `json:"recomputedShare"`
	LinkBytes           int64   `json:"linkBytes"`
	FirstResponseMs     int64   `json:"firstAnswerMs"`
	Resumed             int     `json:"resumed"`
}

// Failed reports whether one of the counts that must be zero is not.
func (s *Summary) Failed() bool {
	return s.Lost+s.DuplicateRuns+s.FalseNotRun+s.CrossAccountBlocks+s.StaleVersionBlocks+s.InvariantViolations != 0
}

// tally collects what callers saw.
type tally struct {
	mu   sync.Mutex
	sum  Summary
	ttft []time.Duration
}

// Run runs the demo and returns its summary.
func (d *Demo) Run(ctx context.Context) (*Summary, error) {
	size, ok := Specs[d.User]
	if !ok {
		return nil, fmt.Errorf("unknown user %q: must be trust or cooperative", d.User)
	}
	d.started = time.Now()
	dep, err := Start(ctx, size, demoSpeed, d.Log)
	if err != nil {
		return nil, err
	}
	defer dep.Close()
	d.printLine("started %d instances, %d engines, %d services in %d data centres; engines run %d times as fast as real ones",
		len(dep.Instances), len(dep.Engines), len(dep.Services), len(size.DataCentres), demoSpeed)
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

// sendChats sends the day's requests.
func (d *Demo) sendChats(ctx context.Context, dep *Deployment, t *tally, bal *balancer) {
	r := rand.New(rand.NewPCG(d.Seed, 1))
	pool := caller.NewHTTP()
	var wg sync.WaitGroup
	end := time.Now().Add(d.Duration)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		account := dep.Spec.Accounts[r.IntN(len(dep.Spec.Accounts))]
		th := newConversation(r, account, i)
		th.end, th.client = end, &caller.Client{Next: bal.next, Key: APIKey(account), HTTP: pool}
		wg.Go(func() { th.run(ctx, dep, t, d.started) })
		pause := time.NewTimer(time.Duration(r.ExpFloat64() * float64(conversationInterval)))
		select {
		case <-pause.C:
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

// newConversation draws a conversation of a few turns.
func newConversation(r *rand.Rand, account string, id int) *conversation {
	return &conversation{
		account: account, id: id,
		turns:  1 + r.IntN(maxTurns),
		tokens: minResponseTokens + r.IntN(maxResponseTokens-minResponseTokens),
		seed:   r.Int64N(1 << 30),
		gap:    time.Duration(r.Int64N(int64(maxTurnGap))),
	}
}

func (th *conversation) run(ctx context.Context, dep *Deployment, t *tally, begun time.Time) {
	msgs := []caller.Message{{Role: "system", Content: "ദയവായി മലയാളത്തിൽ മറുപടി എഴുതുക. Account " + th.account}}
	token := ""
	for n := range th.turns {
		if n > 0 && !time.Now().Before(th.end) {
			return
		}
		letter := fmt.Sprintf("thread %d letter %d: ചെരിപ്പ് നന്നാക്കണം. ", th.id, n)
		letter = strings.Repeat(letter, messageBytes/len(letter)+1)
		msgs = append(msgs, caller.Message{Role: "user", Content: letter})
		ans, err := th.client.Chat(ctx, caller.Chat{
			Model: dep.Spec.Model, Messages: msgs, Stream: true, MaxTokens: th.tokens, Seed: th.seed, Continuation: token,
		})
		t.recordChat(render(msgs), th, ans, err, begun)
		if err != nil {
			return
		}
		token = ans.Continuation
		msgs = append(msgs, caller.Message{Role: "assistant", Content: ans.Text})
		pause := time.NewTimer(th.gap)
		select {
		case <-pause.C:
		case <-ctx.Done():
			return
		}
	}
}

// render returns the prompt that the engines get for a conversation.
func render(ms []caller.Message) string {
	var b strings.Builder
	for _, m := range ms {
		fmt.Fprintf(&b, "<|%s|>\n%s\n", m.Role, m.Content)
	}
	return b.String()
}

// recordChat counts one chat and checks that the answer is the whole answer to its own prompt.
func (t *tally) recordChat(prompt string, th *conversation, ans *caller.Answer, err error, begun time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Requests++
	if err != nil {
		t.recordError(err)
		return
	}
	if ans.Text != emulator.ResponseText(prompt, th.seed, th.tokens) {
		t.sum.Lost++
		return
	}
	t.sum.Answered++
	t.sum.Resumed += ans.Resumed
	if t.sum.FirstResponseMs == 0 {
		t.sum.FirstResponseMs = time.Since(begun).Milliseconds()
	}
	t.ttft = append(t.ttft, ans.FirstToken)
}

// recordError sorts an error into what the caller was told.
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

func (t *tally) summary(dep *Deployment) *Summary {
	s := t.sum
	slices.Sort(t.ttft)
	s.TTFTMsP50, s.TTFTMsP95 = quantile(t.ttft, 0.50), quantile(t.ttft, 0.95)
	var recomputed, all int64
	for _, e := range dep.Engines {
		tr := e.GroundTruth()
		s.CrossAccountBlocks += tr.CrossAccountBlocks
		s.StaleVersionBlocks += tr.StaleVersionBlocks
		recomputed += tr.RecomputedTokens
		all += tr.RecomputedTokens + tr.CachedTokens + tr.ImportedTokens
	}
	if all > 0 {
		s.RecomputedShare = float64(recomputed) / float64(all)
	}
	for _, st := range dep.Stores {
		s.LinkBytes += st.LinkBytes()
	}
	for _, e := range dep.Instances {
		s.InvariantViolations += int(e.Asserter.Violations())
	}
	return &s
}

func quantile(ds []time.Duration, q float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	d := ds[min(len(ds)-1, int(q*float64(len(ds))))]
	return float64(d.Microseconds()) / 1000
}

func asRefusal(err error, r **caller.Refusal) bool { return errors.As(err, r) }

// balancer stands for the platform's balancer: it hands out the instances in turn and learns of a replacement late.
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
