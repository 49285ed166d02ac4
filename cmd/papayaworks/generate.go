package main

import (
	"fmt"
	"strings"

	"github.com/papayaworks/papayaworks/internal/questioner"
)

const generateHelp = `Generates the configuration to publish from the answers in FILE ("-" is
standard input) and prints it. The output is deterministic. Each value has a
comment with the answer that it comes from. Answers that contradict each
other or exceed the capacity of the machines are refused with a reason and a
remedy. With --instance it prints the settings file of one instance instead.
The secret keys that sign callers' tokens come from the file of --token-key:
one key of 64 hexadecimal digits per line, the same at every instance.

Examples:
  papayaworks generate answers.toml > config.toml
  papayaworks generate answers.toml --instance kochi-a-1 --token-key token.key > instance.toml

Exit status: 0, 1 if the answers were refused, 2 if the command line is
invalid.`

type generateCommand struct {
	output
	Instance string `long:"instance" value-name:"ID" description:"print the settings of this instance"`
	TokenKey string `long:"token-key" value-name:"FILE" description:"file with the keys of callers' tokens"`
	Bare     bool   `long:"bare" description:"leave out the comments"`
	JSON     bool   `long:"json" description:"print the result or the faults as JSON"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *generateCommand) Execute([]string) error {
	text, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	g, err := questioner.Generate(c.Args.File, text)
	if err != nil {
		if fs := faultsOf(err); c.JSON && len(fs) > 0 {
			if err := c.json(map[string]any{"faults": fs}); err != nil {
				return err
			}
		}
		return faultsError("the answers were refused", err)
	}
	out := g.Text
	if c.Bare {
		out = g.Bare()
	}
	if c.Instance != "" {
		if out, err = c.settings(text); err != nil {
			return err
		}
	}
	if !c.JSON {
		return c.text(out)
	}
	m, err := decodeTable(out)
	if err != nil {
		return err
	}
	return c.json(map[string]any{"text": out, "values": m})
}

// settings returns the settings file of the instance that --instance names.
func (c *generateCommand) settings(text string) (string, error) {
	a, err := questioner.Parse(c.Args.File, text)
	if err != nil {
		return "", err
	}
	if c.TokenKey == "" {
		return "", fmt.Errorf("--instance requires --token-key FILE; generate a key with: openssl rand -hex 32 > token.key")
	}
	keys, err := readFile(c.TokenKey)
	if err != nil {
		return "", err
	}
	return questioner.Settings(a, c.Instance, strings.Fields(keys))
}
