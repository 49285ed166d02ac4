package main

import (
	"github.com/papayaworks/papayaworks/pkg/configurer"
	"github.com/papayaworks/papayaworks/platform"
)

const checkHelp = `Validates the configuration in FILE ("-" is standard input) and reports all
faults: file and line, key, value and what is allowed. With --settings, FILE
is an instance's settings file, with --node a settings file of the platform,
and with --deploy the platform's deploy file.

Examples:
  papayaworks check config.toml
  papayaworks check --settings instance.toml
  papayaworks check --deploy deploy/system.toml

Exit status: 0 if there are no faults, 1 if there are faults, 2 if the
command line is invalid.`

type checkCommand struct {
	output
	Settings bool `long:"settings" description:"the file is an instance's settings file"`
	Node     bool `long:"node" description:"the file is a settings file of the platform"`
	Deploy   bool `long:"deploy" description:"the file is the platform's deploy file"`
	JSON     bool `long:"json" description:"print the faults as JSON"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	text, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	switch {
	case c.Settings:
		_, err = configurer.ParseSettings(c.Args.File, text)
	case c.Node:
		err = platform.CheckSettings(c.Args.File, text)
	case c.Deploy:
		err = platform.CheckDeploy(c.Args.File, text)
	default:
		err = parsePublishable(c.Args.File, text)
	}
	if c.JSON {
		fs := faultsOf(err)
		if fs == nil {
			fs = configurer.Faults{}
		}
		if err := c.json(map[string]any{"faults": fs}); err != nil {
			return err
		}
	}
	if err != nil {
		return faultsError(c.Args.File, err)
	}
	if !c.JSON {
		return c.text(c.Args.File + ": no faults\n")
	}
	return nil
}
