package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/papayaworks/papayaworks/internal/inquirer"
	"github.com/papayaworks/papayaworks/internal/merger"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const timelineHelp = `Merges the events of instances in causal order and prints them. A source is a
file with one event per line, or http://ADDR for the most recent events of an
instance. An event that caused another one at another instance is printed
first, even if the machines' clocks differ. An event in several sources is
printed once.

Examples:
  papayaworks timeline a.events b.events --request kochi-a-1-7f
  papayaworks timeline http://127.0.0.1:8080 http://127.0.0.1:8081 --account schools --html day.html

Exit status: 0, 1 if a source could not be read, 2 if the command line is
invalid.`

type timelineCommand struct {
	output
	Request  string `long:"request" value-name:"ID" description:"only events of this request"`
	Account  string `long:"account" value-name:"NAME" description:"only events of this account"`
	Target   string `long:"target" value-name:"ID" description:"only events of this target"`
	Instance string `long:"instance" value-name:"ID" description:"only events of this instance"`
	HTML     string `long:"html" value-name:"FILE" description:"draw the events on a page"`
	JSON     bool   `long:"json" description:"print one event of JSON a line"`
	Args     struct {
		Sources []string `positional-arg-name:"FILE|URL" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	var sources [][]recorder.Event
	for _, s := range c.Args.Sources {
		events, err := readEvents(ctx, s)
		if err != nil {
			return fmt.Errorf("%s: %w", s, err)
		}
		sources = append(sources, events)
	}
	f := merger.Filter{Request: c.Request, Account: c.Account, Target: c.Target, Instance: c.Instance}
	events := merger.Merge(f, sources...)
	if c.HTML != "" {
		return c.draw(events)
	}
	return c.print(events)
}

func readEvents(ctx context.Context, source string) ([]recorder.Event, error) {
	if strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://") {
		body, err := (&inquirer.Client{}).Events(ctx, source)
		if err != nil {
			return nil, err
		}
		return merger.Read(bytes.NewReader(body))
	}
	f, err := os.Open(source)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return merger.Read(f)
}

func (c *timelineCommand) draw(events []recorder.Event) error {
	f, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	if err := merger.WriteHTML(f, events); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func (c *timelineCommand) print(events []recorder.Event) error {
	enc := json.NewEncoder(c.out)
	for _, e := range events {
		var err error
		if c.JSON {
			err = enc.Encode(e)
		} else {
			err = c.text(merger.FormatLine(e))
		}
		if err != nil {
			return err
		}
	}
	return nil
}
