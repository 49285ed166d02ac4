package main

import (
	"github.com/papayaworks/papayaworks/internal/questioner"
)

const questionnaireHelp = `Writes the questionnaire: a TOML file with a question above each answer.
With --user it has the answers of an example deployment; answers that are
assumptions are marked.

Examples:
  papayaworks questionnaire > answers.toml
  papayaworks questionnaire --user trust > answers.toml

Exit status: 0, or 2 if the command line is invalid.`

type questionnaireCommand struct {
	output
	User string `long:"user" choice:"trust" choice:"cooperative" description:"fill it in for a first user"`
	JSON bool   `long:"json" description:"print the answers as JSON"`
}

// Execute implements flags.Commander.
func (c *questionnaireCommand) Execute([]string) error {
	text, ok := questioner.ExampleText(c.User)
	if !ok {
		text = questioner.Template()
	}
	if !c.JSON {
		return c.text(text)
	}
	m, err := decodeTable(text)
	if err != nil {
		return err
	}
	return c.json(m)
}
