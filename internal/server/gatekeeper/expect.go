package gatekeeper

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/admitter"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/internal/view"
)

const (
	// maxExamined bounds the targets whose wait is estimated for one request.
	maxExamined = 32
	// defaultPrefill is used while a model's configuration names no rate, in tokens a second.
	defaultPrefill = 20000
	// longRun is how much longer than the mean a run is expected to be at most.
	longRun = 2
)

// expect estimates the wait and the service of a chat at its best target, by the rates of the configuration.
func expect(r *request.Request, tokens int, means tracker.Averages, now time.Time) admitter.Estimate {
	m, _ := r.View.Config.Model(r.Chat.Model)
	rate, decode := float64(m.PrefillTokensPerSecond), float64(m.DecodeTokensPerSecond)
	if rate <= 0 {
		rate = defaultPrefill
	}
	work := float64(tokens) * means.ComputedShare
	e := admitter.Estimate{QueueDelay: bestWait(r, means, rate, now), FirstTokenTime: seconds(work / rate), Cost: max(1, work)}
	// The longest answer that the caller allows is rarely used, so the mean bounds it.
	answer := longRun * means.RunTime
	if decode > 0 {
		answer = min(answer, seconds(float64(r.Chat.MaxTokens)/decode))
	}
	e.ServiceTime = e.FirstTokenTime + answer
	return e
}

// bestWait returns the shortest wait of the examined targets; without a usable one the router decides.
func bestWait(r *request.Request, means tracker.Averages, rate float64, now time.Time) time.Duration {
	ts := r.View.ModelTargets(r.Chat.Model)
	best, found := time.Duration(0), false
	begin := 0
	if len(ts) > maxExamined {
		begin = int(uint64(now.UnixNano()) % uint64(len(ts)))
	}
	for i := range min(len(ts), maxExamined) {
		t := ts[(begin+i)%len(ts)]
		if !t.Usable() {
			continue
		}
		if w := waitAt(t, means, rate, now); !found || w < best {
			best, found = w, true
		}
	}
	return best
}

// waitAt estimates the wait for the prefill unit and for a slot of a target, with own dispatches since its last report.
func waitAt(t *view.Target, means tracker.Averages, rate float64, now time.Time) time.Duration {
	if t.LoadAt.IsZero() {
		return 0
	}
	tokens, runs := t.Dispatches.Backlog(float64(t.Load.WaitingTokens)*means.ComputedShare, t.LoadAt, now, rate)
	wait := tokens / rate
	run := means.RunTime.Seconds()
	busy := float64(t.Load.Running + t.Load.Waiting + runs)
	if run > 0 && t.Slots > 0 {
		done := min(busy, max(0, now.Sub(t.LoadAt).Seconds())*min(busy, float64(t.Slots))/run)
		wait += max(0, busy-done-float64(t.Slots)+1) * run / float64(t.Slots)
	}
	return seconds(wait)
}

// pool sums the slots and the reported runs of the model's usable targets.
func pool(r *request.Request, own int, means tracker.Averages) admitter.Pool {
	p := admitter.Pool{OwnRuns: own, RunTime: means.RunTime}
	for _, t := range r.View.ModelTargets(r.Chat.Model) {
		if t.Usable() {
			p.Slots += t.Slots
			p.ReportedRuns += t.Load.Running + t.Load.Waiting
		}
	}
	for i := range r.View.Members {
		if m := &r.View.Members[i]; (m.State == "alive" || m.State == "suspect") && r.View.Region(m.DataCentre) == r.View.Region(r.View.DataCentre) {
			p.Instances++
		}
	}
	return p
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
