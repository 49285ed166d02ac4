package demonstrator

import (
	"fmt"

	"github.com/papayaworks/papayaworks/internal/questioner"
)

// Specs are the deployments of today's users, as their questionnaires describe them.
var Specs = map[string]Spec{"trust": specOf(questioner.Trust), "cooperative": specOf(questioner.Cooperative)}

// specOf returns what the demo needs to know of a user's deployment; all engines of a user are alike.
func specOf(user func() *questioner.User) Spec {
	a := user().Answers
	m, s := a.Models[0], a.Services[0]
	out := Spec{
		Instances: len(a.Instances), Model: m.Name, Service: s.Name, WeightLoadMs: int(1000 * m.LoadSeconds),
		PrefillTokensPerSec: m.PrefillTokensPerSecond, DecodeTokensPerSec: m.DecodeTokensPerSecond,
		LinkMiBPerSec: a.Stores[0].LinkMiBPerSecond, Slots: a.Targets[0].ParallelRuns, CacheBlocks: a.Targets[0].CacheBlocks,
		user: user,
	}
	for _, d := range a.DataCentres {
		out.DataCentres = append(out.DataCentres, d.Name)
	}
	for _, t := range a.Targets {
		if len(t.Models) > 0 {
			out.Engines++
		} else {
			out.Services++
		}
	}
	for _, o := range s.Operations {
		switch {
		case o.MayBeRepeated && out.RetryableOperation == "":
			out.RetryableOperation = o.Name
		case !o.MayBeRepeated && out.AtMostOnceOperation == "":
			out.AtMostOnceOperation = o.Name
		}
	}
	for _, c := range a.Accounts {
		out.Accounts = append(out.Accounts, c.Name)
	}
	return out
}

// configure generates the configuration from the user's answers; the addresses are filled in as the stand-ins start.
func (d *Deployment) configure() error {
	g, err := questioner.FromAnswers("demo", d.Spec.user().Answers)
	if err != nil {
		return fmt.Errorf("questionnaire of the demo: %w", err)
	}
	d.Config = g.Config
	for i := range d.Config.Accounts {
		// The day is played faster, so that a second of the demo holds the requests of several.
		a := &d.Config.Accounts[i]
		a.RequestsPerSecond = int(d.Speed * float64(a.RequestsPerSecond))
		a.TokensPerSecond = int(d.Speed * float64(a.TokensPerSecond))
	}
	return nil
}

// Questionnaire returns the questionnaire of the running deployment, with its addresses.
func (d *Deployment) Questionnaire() string {
	u := d.Spec.user()
	a := u.Answers
	a.Platform.Log, a.Platform.List = d.Log.Addr, d.InstanceList.Addr
	for i := range a.Stores {
		a.Stores[i].Address = d.Config.Stores[i].Address
	}
	for i := range a.Targets {
		a.Targets[i].Address = d.Config.Targets[i].Address
	}
	for i, e := range d.Instances {
		if i < len(a.Instances) {
			a.Instances[i].Listen, a.Instances[i].PeerListen = e.Server.Addr(), e.Server.PeerAddr()
		}
	}
	return u.Text()
}
