package differ

import (
	"fmt"
	"slices"
	"strings"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// meanings says what a change of a key does while the system runs; kinds of elements have the kind of change as key.
var meanings = map[string]string{
	"deployment.name":               "the deployment is called otherwise; nothing else changes",
	"dataCentres.added":             "a data centre is known; it serves once it has targets and instances",
	"dataCentres.removed":           "the data centre is no longer used",
	"models.added":                  "callers may ask for the model once a target serves it",
	"models.removed":                "new requests for the model are refused with unknownModel; runs in progress are finished",
	"models.version":                "the engines of the model load the new weights, at most two at a time while three quarters keep serving; context of the old version is not used again and is recomputed",
	"models.contextTokens":          "longer conversations than this are refused with tooLarge",
	"models.prefillTokensPerSecond": "the estimate of the time to compute a prompt changes, and with it the choice of targets",
	"models.decodeTokensPerSecond":  "the estimate of the time to write an answer changes, and with it admission",
	"models.bytesPerToken":          "the estimate of the time to bring context changes, and with it the choice between bringing and computing",
	"models.loadMs":                 "the estimate of the time of a weight swap changes",
	"stores.added":                  "the store takes context from the targets beside it",
	"stores.removed":                "context that it keeps is no longer found and is recomputed",
	"stores.address":                "context that only the old address keeps is recomputed",
	"stores.disabledReason":         "a disabled store takes no new context and is not read",
	"targets.added":                 "the target gets new work once it answers",
	"targets.removed":               "the target gets no new work; runs in progress are finished",
	"targets.leaving":               "a leaving target gets no new work within 3 s; runs in progress are finished",
	"targets.address":               "new work goes to the new address; runs in progress at the old one are finished",
	"targets.models":                "requests for a model go only to targets that name it",
	"targets.services":              "calls of a service go only to targets that name it",
	"targets.store":                 "new context goes to the other store; what the old one keeps is recomputed",
	"targets.slots":                 "the target gets more or less work at a time",
	"targets.checksFencing":         "commands to the target are sent in the way that fits whether it refuses an old fencing number",
	"services.added":                "callers may call the service",
	"services.removed":              "new calls of the service are refused with notFound",
	"services.operations.added":     "callers may call the operation",
	"services.operations.removed":   "new calls of the operation are refused with notFound",
	"services.operations.repeatable": "whether a call of the operation may run twice; from false to true a failed call may be sent again, " +
		"so be sure that a second run does no harm",
	"services.operations.deadlineMs": "how long a call of the operation may take",
	"accounts.added":                 "callers with the account's key are served",
	"accounts.removed":               "new requests with the account's key are refused with unauthorized; answers in progress are finished",
	"accounts.keySHA256":             "the old key is refused with unauthorized; callers need the new one",
	"accounts.share":                 "the account gets another part of the capacity when there is less than everybody wants",
	"accounts.priority":              "engines begin the account's waiting requests earlier or later than others'",
	"accounts.firstTokenMs":          "the target of the time to first token that routing and admission keep for the account",
	"accounts.deadlineMs":            "an answer that cannot be ready by then is refused at once",
	"accounts.requestsPerSecond":     "more requests a second than this are refused with limited",
	"accounts.tokensPerSecond":       "more tokens a second than this are refused with limited",
	"accounts.streams":               "more answers at a time than this are refused with limited",
	"limits.maxBodyBytes":            "larger bodies are refused with tooLarge",
	"limits.maxOutputTokens":         "longer answers than this cannot be asked for",
	"limits.streamBufferBytes":       "a reader that is slower than its stream by more than this is disconnected and continues",
	"ledger.partitions":              "the number of partitions cannot change while the deployment runs: publish refuses it",
	"ledger.retentionMinutes":        "idempotency keys older than this are refused",
}

// Defaults for whole tables.
var tableMeanings = map[string]string{
	"stores": "the choice between bringing context and computing it changes",
	"ledger": "the rate or grouping of appends for calls that may not be repeated changes",
	"timing": "the period of control work changes; no request is affected",
}

// meaning returns what a change does.
func meaning(c Change) string {
	kind, name := splitKey(c)
	if c.Kind != Changed {
		name = c.Kind
	}
	if m, ok := meanings[kind+"."+name]; ok {
		return m
	}
	if m, ok := tableMeanings[kind]; ok {
		return m
	}
	return "the setting " + name + " changes"
}

// splitKey returns the kind of the element and the name of the key.
func splitKey(c Change) (kind, name string) {
	kind, _, _ = strings.Cut(c.Key, "[")
	if c.Kind != Changed {
		return kind, ""
	}
	name = c.Key[strings.LastIndexByte(c.Key, '.')+1:]
	return strings.TrimSuffix(kind, "."+name), name
}

// elementID returns the id in the key.
func elementID(c Change) string {
	_, rest, _ := strings.Cut(c.Key, "[")
	s, _, _ := strings.Cut(rest, "]")
	return s
}

// affected returns the accounts and targets that feel a change.
func affected(c Change, from, to *configurer.Config) (accounts, targets []string) {
	kind, name := splitKey(c)
	all := []string{All}
	switch kind {
	case "accounts":
		return []string{elementID(c)}, nil
	case "targets":
		return all, []string{elementID(c)}
	case "stores":
		return all, matchingTargets(from, to, func(t configurer.Target) bool { return t.Store == elementID(c) })
	case "models":
		return all, matchingTargets(from, to, func(t configurer.Target) bool { return slices.Contains(t.Models, elementID(c)) })
	case "services", "services.operations":
		service, _, _ := strings.Cut(elementID(c), "/")
		return all, matchingTargets(from, to, func(t configurer.Target) bool { return slices.Contains(t.Services, service) })
	case "limits", "ledger":
		return all, nil
	case "dataCentres":
		if name == "region" {
			return nil, nil
		}
		return all, matchingTargets(from, to, func(t configurer.Target) bool { return t.DataCentre == elementID(c) })
	}
	return nil, nil
}

// matchingTargets returns the targets of both configurations that match.
func matchingTargets(from, to *configurer.Config, match func(configurer.Target) bool) []string {
	var ids []string
	for _, cfg := range []*configurer.Config{from, to} {
		for _, t := range cfg.Targets {
			if match(t) && !slices.Contains(ids, t.ID) {
				ids = append(ids, t.ID)
			}
		}
	}
	return ids
}

// changeGroup is what the same change of several elements has in common.
type changeGroup struct {
	kind, element, name, old, new string
}

func groupOf(c Change) changeGroup {
	kind, name := splitKey(c)
	return changeGroup{c.Kind, kind, name, c.Old, c.New}
}

// Text returns the report for people; the same change of several elements is told once.
func (r *Report) Text() string {
	if len(r.Changes) == 0 {
		return "no difference\n"
	}
	var b strings.Builder
	var order []Change
	ids := map[changeGroup][]string{}
	for _, c := range r.Changes {
		k := groupOf(c)
		if len(ids[k]) == 0 {
			order = append(order, c)
		}
		ids[k] = append(ids[k], elementID(c))
	}
	for _, c := range order {
		key := strings.Replace(c.Key, "["+elementID(c)+"]", "["+strings.Join(ids[groupOf(c)], ", ")+"]", 1)
		if c.Kind == Changed {
			fmt.Fprintf(&b, "%s: %s -> %s\n", key, c.Old, c.New)
		} else {
			fmt.Fprintf(&b, "%s: %s\n", key, c.Kind)
		}
		fmt.Fprintf(&b, "  %s\n", c.Meaning)
	}
	fmt.Fprintf(&b, "accounts that feel it: %s\n", joinNames(r.Accounts))
	fmt.Fprintf(&b, "targets that feel it: %s\n", joinNames(r.Targets))
	if r.Requests != nil {
		fmt.Fprintf(&b, "requests in progress there: %d\n", *r.Requests)
	} else {
		fmt.Fprintf(&b, "requests in progress there: not known\n")
	}
	return b.String()
}

func joinNames(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
