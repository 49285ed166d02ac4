// Package questioner generates the published configuration from an operator's answers to a questionnaire.
//
// The questionnaire asks for facts that an operator knows: applications,
// accounts, machines, network links and required invariants. [Generate] derives
// every setting from the answers. It rejects answers that contradict each other
// or exceed the capacity of the machines, with a reason and a remedy. The output
// is deterministic, and each value has a comment with the answer that it comes
// from.
//
// # Usage
//
//	text := questioner.Template()                       // the empty questionnaire, to be filled in
//	g, err := questioner.Generate("answers.toml", text) // the configuration from the answers
//	a, err := questioner.Parse("answers.toml", text)
//	set, err := questioner.Settings(a, "kochi-a-1", tokenKeys) // the settings file of one instance
package questioner

import (
	"reflect"
	"regexp"
	"strings"

	"github.com/papayaworks/papayaworks/internal/renderer"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const introduction = `# Questionnaire of a papayaworks deployment.
# Answer every question, then run: papayaworks generate FILE
# A list of tables ([[...]]) has one entry for each thing; copy the entry as often as needed.
`

// laterElement matches the index of any list element except the first.
var laterElement = regexp.MustCompile(`\[[1-9]\d*\]`)

// elementIndex matches the index of a list element.
var elementIndex = regexp.MustCompile(`\[\d+\]`)

// Template returns an empty questionnaire.
func Template() string {
	a := &Answers{
		DataCentres: make([]DataCentre, 1), Links: make([]Link, 1), Models: make([]Model, 1),
		Services: []Service{{Operations: make([]Operation, 1)}}, Stores: make([]Store, 1), Targets: make([]Target, 1),
		Instances: make([]Instance, 1), Applications: make([]Application, 1), Accounts: make([]Account, 1),
	}
	return Render(a, nil)
}

// Render returns the questionnaire with the answers as TOML. It marks as assumptions the answers whose keys, without indices,
// are in assumed.
func Render(a *Answers, assumed []string) string {
	isAssumed := map[string]bool{}
	for _, k := range assumed {
		isAssumed[k] = true
	}
	r := &renderer.Renderer{LeadComment: question, LineComment: func(path string) string {
		if isAssumed[elementIndex.ReplaceAllString(path, "")] {
			return "assumption"
		}
		return ""
	}}
	return introduction + "\n" + r.Render(a)
}

// question returns the question for a key; elements of a list after the first have none.
func question(path string, f reflect.StructField) string {
	if laterElement.MatchString(path) {
		return ""
	}
	return f.Tag.Get("ask")
}

// Parse decodes answers; file is used only in faults.
func Parse(file, text string) (*Answers, error) {
	a := new(Answers)
	if err := configurer.Decode(file, text, a); err != nil {
		return nil, err
	}
	return a, nil
}

// joinNames joins names for a message.
func joinNames(names []string) string {
	if len(names) == 0 {
		return "(none)"
	}
	return strings.Join(names, ", ")
}
