package questioner

import (
	"fmt"
	"slices"
	"strings"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// invariantsByAnswer maps the answers to mustNeverHappen to the run-time invariants that are checked for them.
var invariantsByAnswer = map[string][]asserter.Invariant{
	"lostAnswer":    {asserter.CompleteResponse, asserter.NotRunAccurate},
	"doubledCall":   {asserter.AtMostOnce},
	"mixedAccounts": {asserter.AccountIsolation, asserter.BlockComplete},
	"mixedWeights":  {asserter.VersionIsolation},
	"cutOffAtStop":  {asserter.GracefulStop, asserter.NoDispatchWhenLeaving},
}

// Answers to weighsMost.
const (
	weighsFirstToken = "firstToken"
	weighsRecomputed = "recomputedShare"
)

// verifier collects faults in answers: contradictions and promises that exceed the capacity.
type verifier struct {
	a      *Answers
	file   string
	faults configurer.Faults
}

// add reports a rejected answer with the reason and a remedy.
func (v *verifier) add(key string, value any, reason, remedy string) {
	v.faults = append(v.faults, configurer.Fault{
		File: v.file, Key: key, Value: fmt.Sprintf("%#v", value), Allowed: reason + "; " + remedy,
	})
}

// verify returns the faults in the answers that the validation of the generated configuration does not detect.
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
		if _, ok := invariantsByAnswer[n]; !ok {
			v.add(fmt.Sprintf("deployment.mustNeverHappen[%d]", i), n, "is not checked",
				"choose from lostAnswer, doubledCall, mixedAccounts, mixedWeights, cutOffAtStop")
		}
	}
	if v.a.Platform.LogRetentionHours < 1 {
		v.add("platform.logRetentionHours", v.a.Platform.LogRetentionHours,
			"non-repeatable calls are deduplicated for this time only", "configure the log to retain records for at least 1 hour")
	}
	if v.a.Platform.LogAppendsPerSecond < 2 {
		v.add("platform.logAppendsPerSecond", v.a.Platform.LogAppendsPerSecond, "leaves no appends for the ledger", "use a log that accepts at least 2 per second")
	}
}

func (v *verifier) dataCentres() {
	for i, d := range v.a.DataCentres {
		key := fmt.Sprintf("dataCentres[%d].name", i)
		if !slices.ContainsFunc(v.a.Targets, func(t Target) bool { return t.DataCentre == d.Name }) {
			v.add(key, d.Name, "no target is in this data centre, so it cannot serve requests during a network partition",
				"add a target there or remove the data centre")
		}
		if !slices.ContainsFunc(v.a.Instances, func(n Instance) bool { return n.DataCentre == d.Name }) {
			v.add(key, d.Name, "no entry instance is in this data centre", "add an instance there or remove the data centre")
		}
		for _, o := range v.a.DataCentres[:i] {
			if _, ok := v.a.linkOneWayMs(o.Name, d.Name); !ok {
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

// linkOneWayMs returns the one-way network delay between two data centres in milliseconds.
func (a *Answers) linkOneWayMs(x, y string) (float64, bool) {
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
					"operation "+s.Name+"/"+o.Name+" may not be repeated, but a retry cannot be distinguished from a second call",
					"say where the caller takes the key from, or set mayBeRepeated = true if a second run does no harm")
			case !o.MayBeRepeated && !slices.Contains(v.a.Deployment.MustNeverHappen, "doubledCall"):
				v.add(key+"mayBeRepeated", o.MayBeRepeated, "operation "+s.Name+"/"+o.Name+
					" may not be repeated, but deployment.mustNeverHappen does not name doubledCall",
					"add doubledCall there, or set mayBeRepeated = true")
			}
			if o.DeadlineSeconds <= 0 {
				v.add(key+"deadlineSeconds", o.DeadlineSeconds, "must be above 0", "give the time after which callers time out")
			}
		}
	}
}

func (v *verifier) targets() {
	for i, t := range v.a.Targets {
		if (len(t.Models) == 0) == (len(t.Services) == 0) {
			v.add(fmt.Sprintf("targets[%d].models", i), t.Models, "target "+t.ID+" must serve either models or plain services",
				"fill in either models or services")
		}
	}
	for i, m := range v.a.Models {
		engines := v.a.engines(m.Name)
		if !slices.ContainsFunc(engines, func(t Target) bool { return !t.Leaving }) {
			v.add(fmt.Sprintf("models[%d].name", i), m.Name, "no target serves this model, or all are leaving",
				"add it to the models of a target that is not leaving, or remove it")
		}
	}
	for i, s := range v.a.Services {
		if !slices.ContainsFunc(v.a.Targets, func(t Target) bool { return !t.Leaving && slices.Contains(t.Services, s.Name) }) {
			v.add(fmt.Sprintf("services[%d].name", i), s.Name, "no target offers this service, or all are leaving",
				"add it to the services of a target that is not leaving, or remove it")
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
	for _, app := range a.Applications {
		if app.Name == name {
			return app, true
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
