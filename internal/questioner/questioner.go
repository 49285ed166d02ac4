// Package questioner turns an operator's answers into the published configuration.
//
// The questionnaire asks about things that an operator knows: the work, the
// accounts, the machines, the links, what must never happen. [Generate] derives
// every setting from the answers and refuses answers that contradict each other
// or that the machines cannot keep, with the reason and the way out. The same
// answers give the same text at every run; each value carries a comment with
// the answer that it comes from.
//
// # Usage
//
//	text := questioner.Empty()                      // the questionnaire
//	a, err := questioner.Parse("answers.toml", text)
//	g, err := questioner.Generate("answers.toml", text)
//	os.WriteFile("config.toml", []byte(g.Text), 0o644)
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

// laterElement matches the index of every list element but the first.
var laterElement = regexp.MustCompile(`\[[1-9]\d*\]`)

// elementIndex matches the index of a list element.
var elementIndex = regexp.MustCompile(`\[\d+\]`)

// Template returns a questionnaire without answers.
func Template() string {
	a := &Answers{
		DataCentres: make([]DataCentre, 1), Links: make([]Link, 1), Models: make([]Model, 1),
		Services: []Service{{Operations: make([]Operation, 1)}}, Stores: make([]Store, 1), Targets: make([]Target, 1),
		Instances: make([]Instance, 1), Applications: make([]Application, 1), Accounts: make([]Account, 1),
	}
	return Render(a, nil)
}

// Render returns the questionnaire with answers; keys in assumed, without indices, are marked as assumptions.
func Render(a *Answers, assumed []string) string {
	marks := map[string]bool{}
	for _, k := range assumed {
		marks[k] = true
	}
	r := &renderer.Renderer{LeadComment: question, LineComment: func(path string) string {
		if marks[elementIndex.ReplaceAllString(path, "")] {
			return "assumption"
		}
		return ""
	}}
	return introduction + "\n" + r.Render(a)
}

// question returns the question of a key, in the first entry of a list only.
func question(path string, f reflect.StructField) string {
	if laterElement.MatchString(path) {
		return ""
	}
	return f.Tag.Get("ask")
}

// Parse decodes answers; file only names them in faults.
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
