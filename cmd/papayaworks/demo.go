package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayaworks/papayaworks/internal/demonstrator"
	"github.com/papayaworks/papayaworks/internal/logger"
)

const demoHelp = `Starts a complete deployment of the size of an example deployment in this
process, with an emulated platform, replays a seeded day of requests in less
than a minute and prints the results that callers observed. With --serve it
runs the deployment at real speed until interrupted, and prints addresses, an
API key and example commands.

Examples:
  papayaworks demo --seed 1
  papayaworks demo --user cooperative --duration 20s --json
  papayaworks demo --serve --answers answers.toml

Exit status: 0 if no response was lost, no non-repeatable call ran twice, no
call that ran was reported as not run, no KV cache was used by another account
or weight version and no invariant was violated, otherwise 1. With --serve: 0
after an interrupt, 1 on an error.`

type demoCommand struct {
	output
	Seed     uint64        `long:"seed" default:"1" value-name:"N" description:"seed of the day's requests"`
	User     string        `long:"user" default:"trust" choice:"trust" choice:"cooperative" description:"whose deployment"`
	Duration time.Duration `long:"duration" default:"30s" description:"how long requests are sent"`
	Serve    bool          `long:"serve" description:"run the deployment until interrupted"`
	Answers  string        `long:"answers" value-name:"FILE" description:"with --serve: write the deployment's questionnaire to FILE"`
	JSON     bool          `long:"json" description:"print the summary as a last line of JSON"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	d := &demonstrator.Demo{
		User: c.User, Seed: c.Seed, Duration: c.Duration, Out: c.out,
		Log: logger.New(io.Discard, "demo", logrus.InfoLevel),
	}
	if c.Serve {
		return d.Serve(ctx, c.Answers)
	}
	sum, err := d.Run(ctx)
	if err != nil {
		return err
	}
	if err := c.print(sum); err != nil {
		return err
	}
	if sum.Failed() {
		return errors.New("the run lost responses, executed calls twice, reported calls that ran as not run, reused KV cache of another account or weight version, or violated an invariant")
	}
	return nil
}

func (c *demoCommand) print(s *demonstrator.Summary) error {
	if c.JSON {
		return json.NewEncoder(c.out).Encode(s)
	}
	_, err := fmt.Fprintf(c.out, `requests            %8d
answered            %8d
refused, not run    %8d
outcome unknown     %8d
lost                %8d
duplicate runs      %8d
first token p50     %8.1f ms
first token p95     %8.1f ms
recomputed share    %8.3f
link traffic        %8.1f MB
`, s.Requests, s.Answered, s.RefusedNotRun, s.UnknownOutcome, s.Lost, s.DuplicateRuns,
		s.TTFTMsP50, s.TTFTMsP95, s.RecomputedShare, float64(s.LinkBytes)/1e6)
	return err
}
