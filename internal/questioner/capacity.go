package questioner

import (
	"fmt"
	"math"
	"strings"
)

const (
	// maxSharePercent is the maximum sum of the accounts' shares.
	maxSharePercent = 100
	// shareUnitsPerPercent converts a percentage to a configured share, which is an integer. Units of 0.01% are needed
	// because with 1,200 accounts a share is less than 1%.
	shareUnitsPerPercent = 100
	minSharePercent      = 1.0 / shareUnitsPerPercent
	msPerSec             = 1000
	bytesPerMiB          = 1 << 20
)

func (v *verifier) applications() {
	for i, app := range v.a.Applications {
		key := fmt.Sprintf("applications[%d].", i)
		for j, o := range app.Operations {
			if !v.a.hasOperation(o) {
				v.add(fmt.Sprintf("%soperations[%d]", key, j), o, "no service has this operation", "add it to services or correct the name")
			}
		}
		if app.Model == "" && len(app.Operations) == 0 {
			v.add(key+"model", app.Model, "application "+app.Name+" uses neither a model nor an operation", "name one")
		}
		if app.FirstTokenMs < 1 || app.DeadlineSeconds*msPerSec < float64(app.FirstTokenMs) {
			v.add(key+"deadlineSeconds", app.DeadlineSeconds, "the deadline is before the time to first token",
				"give firstTokenMs above 0 and a deadline after it")
		}
		if app.Model != "" {
			v.modelUse(key, app)
		}
	}
}

// modelUse verifies the answers of an application that uses a model.
func (v *verifier) modelUse(key string, app Application) {
	m, ok := v.a.model(app.Model)
	if !ok {
		v.add(key+"model", app.Model, "no such model", "add it to models or correct the name")
		return
	}
	if app.NewTokens < 1 || app.AnswerTokens < 1 || app.ContextTokens < app.NewTokens {
		v.add(key+"newTokens", app.NewTokens, "a request needs at least one new token and one output token, and contextTokens includes newTokens",
			"give newTokens, answerTokens and contextTokens >= newTokens")
		return
	}
	if app.ContextTokens+app.AnswerTokens > m.ContextTokens {
		v.add(key+"contextTokens", app.ContextTokens, fmt.Sprintf("context and answer exceed the %d tokens of model %s",
			m.ContextTokens, m.Name), "shorten the conversation or use another model")
	}
	if m.PrefillTokensPerSecond < 1 || m.BytesPerToken < 1 || m.DecodeTokensPerSecond < 1 {
		return // reported by the validation of the model
	}
	if low := v.a.minFirstTokenMs(app, m); float64(app.FirstTokenMs) < low {
		v.add(key+"firstTokenMs", app.FirstTokenMs,
			fmt.Sprintf("prefilling %d new tokens, importing %d tokens of context and the network round trip take %.0f ms on an idle engine",
				app.NewTokens, app.ContextTokens-app.NewTokens, math.Ceil(low)),
			fmt.Sprintf("allow at least %.0f ms, add fewer tokens to a request, or use faster engines or links", math.Ceil(low)))
	}
}

// minFirstTokenMs returns the time to first token in milliseconds on an idle engine, for the longest delays to callers and
// between data centres. The new tokens are prefilled; the context is imported from the store with the slowest link or
// recomputed, whichever is faster.
func (a *Answers) minFirstTokenMs(app Application, m Model) float64 {
	callerMs := 0.0
	for _, d := range a.DataCentres {
		callerMs = max(callerMs, d.CallersMs)
	}
	linkMs := 0.0
	for _, l := range a.Links {
		linkMs = max(linkMs, l.OneWayMs)
	}
	prefillMs := msPerSec / float64(m.PrefillTokensPerSecond)
	contextTokens := float64(app.ContextTokens - app.NewTokens)
	contextMs := contextTokens * prefillMs
	if rate := a.slowestStoreLinkMiBPerSec(); rate > 0 {
		contextMs = min(contextMs, msPerSec*contextTokens*float64(m.BytesPerToken)/(rate*bytesPerMiB))
	}
	return 2*(callerMs+linkMs) + float64(app.NewTokens)*prefillMs + contextMs + msPerSec/float64(m.DecodeTokensPerSecond)
}

func (a *Answers) slowestStoreLinkMiBPerSec() float64 {
	rate := 0.0
	for _, s := range a.Stores {
		if r := float64(s.LinkMiBPerSecond); rate == 0 || r < rate {
			rate = r
		}
	}
	return rate
}

func (v *verifier) accounts() {
	sum := 0.0
	for i, acc := range v.a.Accounts {
		key := fmt.Sprintf("accounts[%d].", i)
		sum += acc.SharePercent
		if strings.TrimSpace(acc.KeySHA256) == "" {
			v.add(key+"keySHA256", acc.KeySHA256, "account "+acc.Name+" has no API key",
				"make a key and enter its SHA-256, for example from: printf %s KEY | sha256sum")
		}
		if len(acc.Applications) == 0 {
			v.add(key+"applications", acc.Applications, "account "+acc.Name+" has no application", "name at least one application")
		}
		for j, n := range acc.Applications {
			if _, ok := v.a.application(n); !ok {
				v.add(fmt.Sprintf("%sapplications[%d]", key, j), n, "no such application", "add it to applications or correct the name")
			}
		}
		if acc.SharePercent < minSharePercent {
			v.add(key+"sharePercent", acc.SharePercent, "account "+acc.Name+" would get no capacity under load", "give at least 0.01")
		}
		if acc.RequestsPerSecond <= 0 || acc.PeakRequestsPerSecond < acc.RequestsPerSecond {
			v.add(key+"requestsPerSecond", acc.RequestsPerSecond, "the promised rate must be above 0 and at most the peak rate",
				fmt.Sprintf("lower it or raise peakRequestsPerSecond (%g)", acc.PeakRequestsPerSecond))
		}
	}
	if sum > maxSharePercent+minSharePercent/2 { // the tolerance is for rounding errors of the sum
		v.add("accounts", sum, fmt.Sprintf("the accounts' shares add up to %.2f%%", sum), "lower sharePercent until the sum is at most 100")
	}
}

// Demand is the load that the accounts' promised rates put on a model's engines and the capacity of these engines, in
// tokens per second.
type Demand struct {
	PrefillTokensPerSec, DecodeTokensPerSec float64
	PrefillCapacity, DecodeCapacity         float64
}

// demand returns the demand for a model, assuming that an account's requests are spread evenly over its applications and
// an engine's capacity evenly over its models. Leaving targets have no capacity.
func (a *Answers) demand(m Model) Demand {
	var d Demand
	for _, acc := range a.Accounts {
		for _, n := range acc.Applications {
			if app, ok := a.application(n); ok && app.Model == m.Name {
				rate := acc.RequestsPerSecond / float64(len(acc.Applications))
				d.PrefillTokensPerSec += rate * float64(app.NewTokens)
				d.DecodeTokensPerSec += rate * float64(app.AnswerTokens)
			}
		}
	}
	for _, t := range a.engines(m.Name) {
		if t.Leaving {
			continue
		}
		d.PrefillCapacity += float64(m.PrefillTokensPerSecond) / float64(len(t.Models))
		d.DecodeCapacity += float64(m.DecodeTokensPerSecond*t.ParallelRuns) / float64(len(t.Models))
	}
	return d
}

// capacity reports models whose engines cannot sustain the promised rates even if no context is ever recomputed.
func (v *verifier) capacity() {
	for i, m := range v.a.Models {
		d := v.a.demand(m)
		if len(v.a.engines(m.Name)) == 0 || (d.PrefillTokensPerSec <= d.PrefillCapacity && d.DecodeTokensPerSec <= d.DecodeCapacity) {
			continue
		}
		utilization := max(d.PrefillTokensPerSec/max(1, d.PrefillCapacity), d.DecodeTokensPerSec/max(1, d.DecodeCapacity))
		v.add(fmt.Sprintf("models[%d].name", i), m.Name,
			fmt.Sprintf("the accounts' requestsPerSecond need %.0f prompt tokens and %.0f output tokens per second, the engines provide %.0f and %.0f",
				d.PrefillTokensPerSec, d.DecodeTokensPerSec, d.PrefillCapacity, d.DecodeCapacity),
			fmt.Sprintf("lower the rates to %.0f%% of the given values, or add engines", math.Floor(maxSharePercent/utilization)))
	}
}
