package demonstrator

import (
	"fmt"

	"github.com/papayaworks/papayaworks/internal/questioner"
)

// Specs holds the deployments of the example users by name, as their questionnaires describe them.
var Specs = map[string]Spec{"trust": specOf(questioner.Trust), "cooperative": specOf(questioner.Cooperative)}

// specOf derives the spec from the questionnaire of a user. All engines and stores of a user have the same size, so that the
// first one stands for all.
func specOf(user func() *questioner.Example) Spec {
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

// configure generates the configuration from the user's questionnaire. The addresses are filled in when the emulators start.
func (d *Deployment) configure() error {
	g, err := questioner.FromAnswers("demo", d.Spec.user().Answers)
	if err != nil {
		return fmt.Errorf("generate the configuration of the demo: %w", err)
	}
	d.Config = g.Config
	for i := range d.Config.Accounts {
		// The workload is compressed by Speed, so that one second of the demo holds the requests of Speed seconds.
		a := &d.Config.Accounts[i]
		a.RequestsPerSecond = int(d.Speed * float64(a.RequestsPerSecond))
		a.TokensPerSecond = int(d.Speed * float64(a.TokensPerSecond))
	}
	return nil
}

// Questionnaire returns the text of the questionnaire that describes the running deployment, with its addresses.
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
	for i, in := range d.Instances {
		if i < len(a.Instances) {
			a.Instances[i].Listen, a.Instances[i].PeerListen = in.Server.Addr(), in.Server.PeerAddr()
		}
	}
	return u.Text()
}
