package gatekeeper

import (
	"time"

	"github.com/papayaworks/papayaworks/internal/admitter"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/tracker"
	"github.com/papayaworks/papayaworks/internal/view"
)

const (
	// maxExaminedTargets bounds the number of targets whose queue delay is estimated for one request.
	maxExaminedTargets = 32
	// defaultPrefillRate is the rate of a model whose configuration has none, in tokens per second.
	defaultPrefillRate = 20000
	// maxRunFactor bounds the expected decode time, as a multiple of the mean run time.
	maxRunFactor = 2
)

// estimate returns the expected queue delay and service time of a chat at its best target, by the configured rates.
func estimate(r *request.Request, tokens int, averages tracker.Averages, now time.Time) admitter.Estimate {
	m, _ := r.View.Config.Model(r.Chat.Model)
	rate, decode := float64(m.PrefillTokensPerSecond), float64(m.DecodeTokensPerSecond)
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	work := float64(tokens) * averages.ComputedShare
	e := admitter.Estimate{QueueDelay: minQueueDelay(r, averages, rate, now), FirstTokenTime: seconds(work / rate), Cost: max(1, work)}
	// Few responses reach the caller's maximum length, so a multiple of the mean run time bounds the estimate.
	decodeTime := maxRunFactor * averages.RunTime
	if decode > 0 {
		decodeTime = min(decodeTime, seconds(float64(r.Chat.MaxTokens)/decode))
	}
	e.ServiceTime = e.FirstTokenTime + decodeTime
	return e
}

// minQueueDelay returns the shortest queue delay of at most maxExaminedTargets targets, starting at an index that varies
// with the time. It returns 0 if none is usable, in which case the selector step refuses the request.
func minQueueDelay(r *request.Request, averages tracker.Averages, rate float64, now time.Time) time.Duration {
	ts := r.View.ModelTargets(r.Chat.Model)
	shortest, found := time.Duration(0), false
	offset := 0
	if len(ts) > maxExaminedTargets {
		offset = int(uint64(now.UnixNano()) % uint64(len(ts)))
	}
	for i := range min(len(ts), maxExaminedTargets) {
		t := ts[(offset+i)%len(ts)]
		if !t.Usable() {
			continue
		}
		if w := queueDelayAt(t, averages, rate, now); !found || w < shortest {
			shortest, found = w, true
		}
	}
	return shortest
}

// queueDelayAt estimates the wait for prefill and for a slot of a target, including this instance's dispatches since
// the target's last load report. It returns 0 for a target without a report.
func queueDelayAt(t *view.Target, averages tracker.Averages, rate float64, now time.Time) time.Duration {
	if t.LoadAt.IsZero() {
		return 0
	}
	tokens, runs := t.Dispatches.Backlog(float64(t.Load.WaitingTokens)*averages.ComputedShare, t.LoadAt, now, rate)
	wait := tokens / rate
	run := averages.RunTime.Seconds()
	outstanding := float64(t.Load.Running + t.Load.Waiting + runs)
	if run > 0 && t.Slots > 0 {
		ended := min(outstanding, max(0, now.Sub(t.LoadAt).Seconds())*min(outstanding, float64(t.Slots))/run)
		wait += max(0, outstanding-ended-float64(t.Slots)+1) * run / float64(t.Slots)
	}
	return seconds(wait)
}

// poolOf returns the pool of the model's usable targets with the sums of their slots and reported runs, the runs of this
// instance, and the number of live instances in the region.
func poolOf(r *request.Request, ownRuns int, averages tracker.Averages) admitter.Pool {
	p := admitter.Pool{OwnRuns: ownRuns, RunTime: averages.RunTime}
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
