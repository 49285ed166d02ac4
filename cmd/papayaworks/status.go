package main

import (
	"github.com/papayaworks/papayaworks/internal/inquirer"
)

const statusHelp = `Shows the state that an instance reports: instances, data centres, targets,
configuration versions in force, limits, links and leases. Any instance can be
queried; during a network partition each shows its side.

Examples:
  papayaworks status --instance 127.0.0.1:8080
  papayaworks status --instance 127.0.0.1:8080 --json

Exit status: 0, 1 if the instance did not respond, 2 if the command line is
invalid.`

type statusCommand struct {
	output
	Instance string `long:"instance" required:"true" value-name:"ADDR" description:"instance to ask"`
	JSON     bool   `long:"json" description:"print the page as JSON"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	st, err := (&inquirer.Client{}).Status(ctx, c.Instance)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.json(st.Fields)
	}
	return c.text(st.Text())
}
