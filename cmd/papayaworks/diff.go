package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/papayaworks/papayaworks/internal/differ"
	"github.com/papayaworks/papayaworks/internal/inquirer"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const diffHelp = `Describes what a publication would change: each difference with its effect,
the affected accounts and targets, and the number of requests in progress at
these targets. With two files, the first is compared with the second. With
--instance and one file, the version in force at that instance is compared
with the file, and its number is printed for publish --base.

Examples:
  papayaworks diff old.toml new.toml
  papayaworks diff --instance 127.0.0.1:8080 new.toml

Exit status: 0 if the configurations were compared, 1 if one could not be
read or has faults, 2 if the command line is invalid.`

type diffCommand struct {
	output
	Instance string `long:"instance" value-name:"ADDR" description:"compare with the version in force at this instance"`
	JSON     bool   `long:"json" description:"print the report as JSON"`
	Args     struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	files := c.Args.Files
	if (c.Instance == "") != (len(files) == 2) || len(files) > 2 {
		return &exitError{exitUsage, errors.New("give two files, or --instance and one file")}
	}
	next, err := c.parse(files[len(files)-1])
	if err != nil {
		return err
	}
	if c.Instance == "" {
		base, err := c.parse(files[0])
		if err != nil {
			return err
		}
		return c.print(differ.Compare(base, next), nil)
	}
	return c.compareInForce(ctx, next)
}

// compareInForce compares the version in force at the instance with next.
func (c *diffCommand) compareInForce(ctx context.Context, next *configurer.Config) error {
	client := &inquirer.Client{}
	p, err := client.Config(ctx, c.Instance)
	if err != nil {
		return err
	}
	base := new(configurer.Config)
	if p.Text != "" {
		if base, err = configurer.Parse(fmt.Sprintf("version %d", p.Version), p.Text); err != nil {
			return faultsError("the version in force", err)
		}
	}
	r := differ.Compare(base, next)
	if st, err := client.Status(ctx, c.Instance); err == nil {
		if running, ok := st.OutstandingRequests(); ok {
			r = r.WithLoad(running)
		}
	}
	return c.print(r, p)
}

func (c *diffCommand) parse(file string) (*configurer.Config, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	cfg, err := configurer.Parse(file, text)
	if err != nil {
		return nil, faultsError(file, err)
	}
	return cfg, nil
}

func (c *diffCommand) print(r *differ.Report, p *inquirer.PublishedConfig) error {
	if c.JSON {
		out := map[string]any{"report": r}
		if p != nil {
			out["version"], out["hash"] = p.Version, p.Hash
		}
		return c.json(out)
	}
	if err := c.text(r.Text()); err != nil || p == nil {
		return err
	}
	return c.text(fmt.Sprintf("compared with version %d; publish with --base %d\n", p.Version, p.Version))
}
