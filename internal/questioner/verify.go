package questioner

import (
	"fmt"
	"slices"
	"strings"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// never maps the operator's words for what must never happen to the invariants that are checked.
var never = map[string][]asserter.Invariant{
	"lostAnswer":    {asserter.CompleteResponse, asserter.NotRunAccurate},
	"doubledCall":   {asserter.AtMostOnce},
	"mixedAccounts": {asserter.AccountIsolation, asserter.BlockComplete},
	"mixedWeights":  {asserter.VersionIsolation},
	"cutOffAtStop":  {asserter.GracefulStop, asserter.NoDispatchWhenLeaving},
}

// The answers to what counts most.
const (
	weighsFirstToken = "firstToken"
	weighsRecomputed = "recomputedShare"
)

// verifier collects contradictions in answers.
type verifier struct {
	a      *Answers
	file   string
	faults configurer.Faults
}

// add reports an answer with the reason why it cannot be and the way out.
func (v *verifier) add(key string, value any, reason, wayOut string) {
	v.faults = append(v.faults, configurer.Fault{
		File: v.file, Key: key, Value: fmt.Sprintf("%#v", value), Allowed: reason + "; " + wayOut,
	})
}

// verify returns every contradiction that the validation of the configuration does not see.
func verify(file string, a *Answers) configurer.Faults {
	v := &verifier{a: a, file: file}
	v.deployment()
	v.dataCentres()
	v.operations()
	v.targets()
	v.applications()
	v.accounts()
	v.capacity()
	return v.faults
}

func (v *verifier) deployment() {
	d := v.a.Deployment
	if d.WeighsMost != weighsFirstToken && d.WeighsMost != weighsRecomputed {
		v.add("deployment.weighsMost", d.WeighsMost, "is no answer", "write "+weighsFirstToken+" or "+weighsRecomputed)
	}
	for i, n := range d.MustNeverHappen {
		if _, ok := never[n]; !ok {
			v.add(fmt.Sprintf("deployment.mustNeverHappen[%d]", i), n, "is not checked",
				"choose from lostAnswer, doubledCall, mixedAccounts, mixedWeights, cutOffAtStop")
		}
	}
	if v.a.Platform.LogRetentionHours < 1 {
		v.add("platform.logRetentionHours", v.a.Platform.LogRetentionHours,
			"calls that may not be repeated are remembered for this time only", "have the log keep records for at least 1 hour")
	}
	if v.a.Platform.LogAppendsPerSecond < 2 {
		v.add("platform.logAppendsPerSecond", v.a.Platform.LogAppendsPerSecond, "leaves no append for us", "use a log that takes at least 2")
	}
}

func (v *verifier) dataCentres() {
	for i, d := range v.a.DataCentres {
		key := fmt.Sprintf("dataCentres[%d].name", i)
		if !slices.ContainsFunc(v.a.Targets, func(t Target) bool { return t.DataCentre == d.Name }) {
			v.add(key, d.Name, "no target is in this data centre, so that it serves nothing when it is cut off",
				"add a target there or remove the data centre")
		}
		if !slices.ContainsFunc(v.a.Instances, func(n Instance) bool { return n.DataCentre == d.Name }) {
			v.add(key, d.Name, "no entry instance is in this data centre", "add an instance there or remove the data centre")
		}
		for _, o := range v.a.DataCentres[:i] {
			if _, ok := v.a.link(o.Name, d.Name); !ok {
				v.add(key, d.Name, "no link to data centre "+o.Name+" is given", "add an entry to links")
			}
		}
	}
	for i, l := range v.a.Links {
		if len(l.Between) != 2 || l.OneWayMs <= 0 {
			v.add(fmt.Sprintf("links[%d].between", i), l.Between, "is no link", "name two data centres and a one-way time above 0")
		}
	}
}

// link returns the one-way time between two data centres.
func (a *Answers) link(x, y string) (float64, bool) {
	for _, l := range a.Links {
		if len(l.Between) == 2 && slices.Contains(l.Between, x) && slices.Contains(l.Between, y) {
			return l.OneWayMs, true
		}
	}
	return 0, false
}

func (v *verifier) operations() {
	for i, s := range v.a.Services {
		for j, o := range s.Operations {
			key := fmt.Sprintf("services[%d].operations[%d].", i, j)
			switch {
			case !o.MayBeRepeated && strings.TrimSpace(o.IdempotencyKeyFrom) == "":
				v.add(key+"idempotencyKeyFrom", o.IdempotencyKeyFrom,
					"operation "+s.Name+"/"+o.Name+" may not be repeated, but a retry could not be told from a second order",
					"say where the caller takes the key from, or set mayBeRepeated = true if a second run does no harm")
			case !o.MayBeRepeated && !slices.Contains(v.a.Deployment.MustNeverHappen, "doubledCall"):
				v.add(key+"mayBeRepeated", o.MayBeRepeated, "operation "+s.Name+"/"+o.Name+
					" may not be repeated, but deployment.mustNeverHappen does not name doubledCall",
					"add doubledCall there, or set mayBeRepeated = true")
			}
			if o.DeadlineSeconds <= 0 {
				v.add(key+"deadlineSeconds", o.DeadlineSeconds, "leaves no time for the call", "give a time above 0")
			}
		}
	}
}

func (v *verifier) targets() {
	for i, t := range v.a.Targets {
		if (len(t.Models) == 0) == (len(t.Services) == 0) {
			v.add(fmt.Sprintf("targets[%d].models", i), t.Models, "target "+t.ID+" must be an engine or a plain service, not both or neither",
				"fill in either models or services")
		}
	}
	for i, m := range v.a.Models {
		engines := v.a.engines(m.Name)
		if !slices.ContainsFunc(engines, func(t Target) bool { return !t.Leaving }) {
			v.add(fmt.Sprintf("models[%d].name", i), m.Name, "no target serves this model, or all are leaving",
				"name it in the models of a target that stays, or remove it")
		}
	}
	for i, s := range v.a.Services {
		if !slices.ContainsFunc(v.a.Targets, func(t Target) bool { return !t.Leaving && slices.Contains(t.Services, s.Name) }) {
			v.add(fmt.Sprintf("services[%d].name", i), s.Name, "no target offers this service, or all are leaving",
				"name it in the services of a target that stays, or remove it")
		}
	}
}

func (a *Answers) engines(model string) []Target {
	var out []Target
	for _, t := range a.Targets {
		if slices.Contains(t.Models, model) {
			out = append(out, t)
		}
	}
	return out
}

func (a *Answers) model(name string) (Model, bool) {
	for _, m := range a.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

func (a *Answers) application(name string) (Application, bool) {
	for _, p := range a.Applications {
		if p.Name == name {
			return p, true
		}
	}
	return Application{}, false
}

func (a *Answers) hasOperation(name string) bool {
	for _, s := range a.Services {
		for _, o := range s.Operations {
			if s.Name+"/"+o.Name == name {
				return true
			}
		}
	}
	return false
}
