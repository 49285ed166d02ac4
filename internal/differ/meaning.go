package differ

import (
	"fmt"
	"slices"
	"strings"

	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// meanings describes the effect of a change on the running system by element kind and key name, or by element kind and
// kind of change for elements that are added or removed.
var meanings = map[string]string{
	"deployment.name":               "the deployment is renamed; nothing else changes",
	"dataCentres.added":             "the data centre is added; it serves requests once it has targets and instances",
	"dataCentres.removed":           "the data centre is no longer used",
	"models.added":                  "requests for the model are accepted once a target serves it",
	"models.removed":                "new requests for the model are refused with unknownModel; runs in progress are finished",
	"models.version":                "the engines of the model load the new weights, at most two at a time, while three quarters of them, or all but one of fewer than four, keep serving; KV cache of the superseded version is not reused and is recomputed",
	"models.contextTokens":          "conversations longer than this are refused with tooLarge",
	"models.prefillTokensPerSecond": "the estimated prefill time changes, which affects the choice of targets",
	"models.decodeTokensPerSecond":  "the estimated decode time changes, which affects admission",
	"models.bytesPerToken":          "the estimated time to import KV cache changes, which affects the choice between importing and recomputing",
	"models.loadMs":                 "the estimated duration of a weight swap changes",
	"stores.added":                  "the targets that name the store export KV cache to it",
	"stores.removed":                "KV cache in the store is no longer used and is recomputed",
	"stores.address":                "KV cache that is only at the previous address is recomputed",
	"stores.disabledReason":         "a disabled store is neither written nor read",
	"targets.added":                 "the target gets new work once it responds",
	"targets.removed":               "the target gets no new work; runs in progress are finished",
	"targets.leaving":               "a leaving target gets no new work within 3 s; runs in progress are finished",
	"targets.address":               "new work goes to the new address; runs in progress at the previous one are finished",
	"targets.models":                "requests for a model go only to targets that name it",
	"targets.services":              "calls of a service go only to targets that name it",
	"targets.store":                 "new KV cache is exported to the new store; that in the previous store is recomputed",
	"targets.slots":                 "the number of concurrent runs at the target changes",
	"targets.checksFencing":         "commands to the target use the protocol for targets that refuse a stale fencing token, or for those that do not",
	"services.added":                "callers may call the service",
	"services.removed":              "new calls of the service are refused with notFound",
	"services.operations.added":     "callers may call the operation",
	"services.operations.removed":   "new calls of the operation are refused with notFound",
	"services.operations.repeatable": "whether a call of the operation may run twice; from false to true, failed calls may be retried, " +
		"so make sure that a second run does no harm",
	"services.operations.deadlineMs": "the maximum duration of a call of the operation changes",
	"accounts.added":                 "requests with the account's key are accepted",
	"accounts.removed":               "new requests with the account's key are refused with unauthorized; responses in progress are finished",
	"accounts.keySHA256":             "the previous key is refused with unauthorized; callers need the new one",
	"accounts.share":                 "the account's share of the capacity under overload changes",
	"accounts.priority":              "engines start the account's queued requests earlier or later than those of other accounts",
	"accounts.firstTokenMs":          "the objective for the time to first token that routing and admission use for the account changes",
	"accounts.deadlineMs":            "requests that cannot be completed within the deadline are refused at once",
	"accounts.requestsPerSecond":     "requests above this rate per second are refused with limited",
	"accounts.tokensPerSecond":       "requests above this rate of tokens per second are refused with limited",
	"accounts.streams":               "requests above this number of concurrent responses are refused with limited",
	"limits.maxBodyBytes":            "larger bodies are refused with tooLarge",
	"limits.maxOutputTokens":         "requests for more output tokens than this are refused",
	"limits.streamBufferBytes":       "a caller that lags behind its stream by more than this is disconnected and can resume",
	"ledger.partitions":              "the number of partitions cannot change while the deployment runs: publish refuses the change",
	"ledger.retentionMinutes":        "idempotency keys older than this are refused",
}

// tableMeanings describes the effect of a change of any key of a table that meanings does not contain.
var tableMeanings = map[string]string{
	"stores": "the choice between importing and recomputing KV cache changes",
	"ledger": "the rate or partitioning of log appends for non-repeatable calls changes",
	"timing": "an interval or time-out of background tasks changes; no request is affected",
}

// meaning returns the description of a change.
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

// splitKey returns the element kind and the key name of a change; name is empty if an element is added or removed.
func splitKey(c Change) (kind, name string) {
	kind, _, _ = strings.Cut(c.Key, "[")
	if c.Kind != Changed {
		return kind, ""
	}
	name = c.Key[strings.LastIndexByte(c.Key, '.')+1:]
	return strings.TrimSuffix(kind, "."+name), name
}

// elementID returns the element ID in the key of a change, or an empty string.
func elementID(c Change) string {
	_, rest, _ := strings.Cut(c.Key, "[")
	s, _, _ := strings.Cut(rest, "]")
	return s
}

// affected returns the accounts and targets that a change affects.
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

// matchingTargets returns the IDs of the matching targets of both configurations.
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

// changeGroup is the key by which Text groups equal changes of several elements of one kind.
type changeGroup struct {
	changeKind, elementKind, name, old, new string
}

func groupOf(c Change) changeGroup {
	kind, name := splitKey(c)
	return changeGroup{c.Kind, kind, name, c.Old, c.New}
}

// Text returns the report as readable text; equal changes of several elements are grouped.
func (r *Report) Text() string {
	if len(r.Changes) == 0 {
		return "no difference\n"
	}
	var b strings.Builder
	var firstChanges []Change
	ids := map[changeGroup][]string{}
	for _, c := range r.Changes {
		k := groupOf(c)
		if len(ids[k]) == 0 {
			firstChanges = append(firstChanges, c)
		}
		ids[k] = append(ids[k], elementID(c))
	}
	for _, c := range firstChanges {
		key := strings.Replace(c.Key, "["+elementID(c)+"]", "["+strings.Join(ids[groupOf(c)], ", ")+"]", 1)
		if c.Kind == Changed {
			fmt.Fprintf(&b, "%s: %s -> %s\n", key, c.Old, c.New)
		} else {
			fmt.Fprintf(&b, "%s: %s\n", key, c.Kind)
		}
		fmt.Fprintf(&b, "  %s\n", c.Meaning)
	}
	fmt.Fprintf(&b, "affected accounts: %s\n", joinNames(r.Accounts))
	fmt.Fprintf(&b, "affected targets: %s\n", joinNames(r.Targets))
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
