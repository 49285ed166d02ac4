package questioner

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Example is the completed questionnaire of an example deployment.
type Example struct {
	Answers *Answers
	// AssumedKeys are the keys, without indices, whose answers are assumptions.
	AssumedKeys []string
}

// Text returns the questionnaire as TOML.
func (e *Example) Text() string { return Render(e.Answers, e.AssumedKeys) }

// Examples are the example deployments by name; each call returns a new copy.
var Examples = map[string]func() *Example{"trust": Trust, "cooperative": Cooperative}

// assumedKeys are the keys whose answers are assumptions in all examples.
var assumedKeys = []string{
	"platform.log", "platform.list", "platform.logRetentionHours", "platform.logAppendsPerSecond",
	"dataCentres.region", "links.oneWayMs",
	"models.version", "models.prefillTokensPerSecond", "models.decodeTokensPerSecond", "models.contextTokens",
	"models.bytesPerToken",
	"services.operations.deadlineSeconds",
	"stores.address", "stores.memoryMiB", "stores.diskMiB", "stores.linkMiBPerSecond", "stores.diskMiBPerSecond",
	"targets.address", "targets.parallelRuns", "targets.cacheBlocks", "targets.checksFencing",
	"instances.listen", "instances.peerListen",
	"applications.newTokens", "applications.contextTokens", "applications.answerTokens", "applications.firstTokenMs",
	"applications.deadlineSeconds",
	"accounts.keySHA256", "accounts.sharePercent", "accounts.requestsPerSecond", "accounts.peakRequestsPerSecond",
}

// DemoKey returns the API key of an account of the examples; its SHA-256 is in the questionnaire.
func DemoKey(account string) string { return "demo-key-" + account }

func demoKeyHash(account string) string {
	h := sha256.Sum256([]byte(DemoKey(account)))
	return hex.EncodeToString(h[:])
}

// machinePlan has the numbers of engines, service targets and entry instances of an example deployment and the names of its
// model and service.
type machinePlan struct {
	model, service                     string
	engines, serviceTargets, instances int
}

// Trust returns the example of a trust in Kerala that repairs footwear.
func Trust() *Example {
	a := baseAnswers("kerala-trust", "firstToken", "kerala", []string{"kochi-a", "kochi-b", "kochi-c"})
	a.Models = []Model{model("letters", 0.25)}
	a.Services = []Service{{Name: "dispatch", Operations: []Operation{
		operation("order", "the number that the post office's form gives the parcel when its order is saved"),
		{Name: "lookup", MayBeRepeated: true, DeadlineSeconds: 5},
	}}}
	a.addMachines(machinePlan{model: "letters", service: "dispatch", engines: 12, serviceTargets: 3, instances: 6})
	a.Applications = []Application{
		{Name: "read-letters", Does: "reads applicants' letters and answers in Malayalam", Model: "letters",
			NewTokens: 3000, ContextTokens: 9000, AnswerTokens: 300, FirstTokenMs: 550, DeadlineSeconds: 60},
		{Name: "assess-repairs", Does: "drafts the assessment of a repair from the letters and the cobbler's notes",
			Model: "letters", NewTokens: 2000, ContextTokens: 12000, AnswerTokens: 400, FirstTokenMs: 550, DeadlineSeconds: 60},
		{Name: "sort-parcels", Does: "sorts parcels by their fault", Model: "letters", Operations: []string{"dispatch/lookup"},
			NewTokens: 500, ContextTokens: 2000, AnswerTokens: 60, FirstTokenMs: 400, DeadlineSeconds: 30},
		{Name: "order-couriers", Does: "orders the pickup of a parcel", Operations: []string{"dispatch/order", "dispatch/lookup"},
			FirstTokenMs: 550, DeadlineSeconds: 30},
	}
	letters, sorting := []string{"read-letters", "assess-repairs"}, []string{"sort-parcels"}
	couriers := []string{"sort-parcels", "order-couriers"}
	a.Accounts = []Account{
		largeAccount("fishing-villages", "post offices on the coast", letters),
		largeAccount("tea-estates", "post offices in the hills", letters),
		smallAccount("schools", "school offices", letters),
		smallAccount("post-offices", "post offices in towns", couriers),
		smallAccount("volunteers", "volunteers who read letters", letters),
		smallAccount("cobblers", "cobblers in the workshops", []string{"assess-repairs", "sort-parcels"}),
		smallAccount("letters-desk", "the trust's own letter desk", letters),
		smallAccount("dispatch", "the parcel room", couriers),
		smallAccount("sorting", "volunteers at the sorting tables", sorting),
		smallAccount("reports", "the trust's office", []string{"assess-repairs"}),
	}
	return &Example{Answers: a, AssumedKeys: assumedKeys}
}

// Cooperative returns the example of a tailors' co-operative in Sfax.
func Cooperative() *Example {
	a := baseAnswers("sfax-cooperative", "recomputedShare", "sfax", []string{"medina", "port", "ville-nouvelle"})
	a.Models = []Model{model("drafting", 0.5)}
	a.Services = []Service{{Name: "cloth", Operations: []Operation{
		operation("order", "the number of the order line in the counter's order book"),
		operation("deposit", "the number of the receipt, which is printed before the deposit is charged"),
		{Name: "lookup", MayBeRepeated: true, DeadlineSeconds: 5},
	}}}
	a.addMachines(machinePlan{model: "drafting", service: "cloth", engines: 12, serviceTargets: 3, instances: 7})
	a.Applications = []Application{
		{Name: "draft-patterns", Does: "drafts patterns from full measure books for cutters", Model: "drafting",
			NewTokens: 1500, ContextTokens: 24000, AnswerTokens: 600, FirstTokenMs: 900, DeadlineSeconds: 90},
		{Name: "fit-at-counter", Does: "answers fitting questions at shop counters", Model: "drafting",
			NewTokens: 400, ContextTokens: 6000, AnswerTokens: 80, FirstTokenMs: 450, DeadlineSeconds: 20},
		{Name: "check-setts", Does: "checks tartan setts for weavers", Model: "drafting",
			NewTokens: 800, ContextTokens: 8000, AnswerTokens: 200, FirstTokenMs: 900, DeadlineSeconds: 60},
		{Name: "order-cloth", Does: "places cloth orders and takes deposits",
			Operations: []string{"cloth/order", "cloth/deposit", "cloth/lookup"}, FirstTokenMs: 550, DeadlineSeconds: 30},
		{Name: "look-up-orders", Does: "looks up orders", Operations: []string{"cloth/lookup"}, FirstTokenMs: 550, DeadlineSeconds: 10},
	}
	drafts, counter, buying := []string{"draft-patterns"}, []string{"fit-at-counter", "look-up-orders"}, []string{"order-cloth"}
	a.Accounts = []Account{
		largeAccount("cutters", "cutters in the workshops", drafts),
		largeAccount("shop-medina", "shop counters in the medina", counter),
		smallAccount("shop-port", "shop counters at the port", counter),
		smallAccount("shop-ville", "shop counters in the new town", counter),
		smallAccount("weavers", "weavers", []string{"check-setts"}),
		smallAccount("orders", "buyers of cloth", buying),
		smallAccount("deposits", "cashiers", buying),
		smallAccount("lookups", "members who ask for their orders", []string{"look-up-orders"}),
		smallAccount("pattern-office", "the pattern office", drafts),
		smallAccount("members", "the members' office", []string{"check-setts", "look-up-orders"}),
	}
	return &Example{Answers: a, AssumedKeys: assumedKeys}
}

// baseAnswers returns the answers that the examples have in common.
func baseAnswers(name, weighsMost, region string, centres []string) *Answers {
	a := &Answers{
		Deployment: Deployment{Name: name, WeighsMost: weighsMost,
			MustNeverHappen: []string{"lostAnswer", "doubledCall", "mixedAccounts", "mixedWeights", "cutOffAtStop"}},
		Platform: Platform{Log: "10.20.0.10:7000", List: "10.20.0.11:7000", LogRetentionHours: 24, LogAppendsPerSecond: 400},
	}
	for i, c := range centres {
		a.DataCentres = append(a.DataCentres, DataCentre{Name: c, Region: region, CallersMs: 1})
		for _, other := range centres[:i] {
			a.Links = append(a.Links, Link{Between: []string{other, c}, OneWayMs: 1.2})
		}
	}
	return a
}

func model(name string, load float64) Model {
	return Model{Name: name, Version: 1, PrefillTokensPerSecond: 16000, DecodeTokensPerSecond: 60, ContextTokens: 131072,
		BytesPerToken: 2048, LoadSeconds: load}
}

func operation(name, from string) Operation {
	return Operation{Name: name, IdempotencyKeyFrom: from, DeadlineSeconds: 10}
}

// addMachines adds the targets, a store for each and the entry instances, distributed over the data centres.
func (a *Answers) addMachines(p machinePlan) {
	centre := func(i int) string { return a.DataCentres[i%len(a.DataCentres)].Name }
	address := func(kind, i, port int) string {
		return fmt.Sprintf("10.20.%d.%d:%d", 10*kind+i%len(a.DataCentres), 10+i/len(a.DataCentres), port)
	}
	for i := range p.engines + p.serviceTargets {
		st := Store{ID: fmt.Sprintf("store-%d", i+1), Address: address(3, i, 9000), DataCentre: centre(i),
			MemoryMiB: 1024, DiskMiB: 8192, LinkMiBPerSecond: 400, DiskMiBPerSecond: 100}
		t := Target{Address: address(2, i, 8000), DataCentre: st.DataCentre, Store: st.ID, ParallelRuns: 8}
		if i < p.engines {
			t.ID, t.Models, t.CacheBlocks, t.ChecksFencing = fmt.Sprintf("%s-%d", p.model, i+1), []string{p.model}, 24, i%2 == 0
		} else {
			t.ID, t.Services = fmt.Sprintf("%s-%d", p.service, i-p.engines+1), []string{p.service}
		}
		a.Stores, a.Targets = append(a.Stores, st), append(a.Targets, t)
	}
	for i := range p.instances {
		a.Instances = append(a.Instances, Instance{
			ID: fmt.Sprintf("%s-%d", centre(i), i/len(a.DataCentres)+1), DataCentre: centre(i),
			Listen: address(1, i, 8080), PeerListen: address(1, i, 8443),
		})
	}
}

// largeAccount returns an account with a share of 26%.
func largeAccount(name, callers string, apps []string) Account {
	return Account{Name: name, Callers: callers, KeySHA256: demoKeyHash(name), Applications: apps, SharePercent: 26,
		RequestsPerSecond: 2, PeakRequestsPerSecond: 12}
}

// smallAccount returns an account with a share of 6%.
func smallAccount(name, callers string, apps []string) Account {
	return Account{Name: name, Callers: callers, KeySHA256: demoKeyHash(name), Applications: apps, SharePercent: 6,
		RequestsPerSecond: 0.5, PeakRequestsPerSecond: 5}
}

// ExampleText returns the completed questionnaire of an example deployment and reports whether the example exists.
func ExampleText(name string) (string, bool) {
	example, ok := Examples[strings.ToLower(name)]
	if !ok {
		return "", false
	}
	return example().Text(), true
}
