package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os/user"
	"slices"
	"time"

	"github.com/papayaworks/papayaworks/internal/inquirer"
	"github.com/papayaworks/papayaworks/internal/questioner"
)

const publishHelp = `Publishes the configuration in FILE on the platform's log, based on the
version that diff compared it with. If another version has been published
since, nothing is changed and the command fails. Otherwise it waits until the
new version is in force at every instance and lists the instances where it is
not. With --answers, the addresses of the log and of all instances come from
the questionnaire.

Examples:
  papayaworks publish config.toml --answers answers.toml --base 41 --author asha
  papayaworks publish config.toml --log 127.0.0.1:7000 --base 41 \
    --author asha --instance 127.0.0.1:8080 --instance 127.0.0.1:8081

Exit status: 0 if the version is in force everywhere, 1 on an error, 2 if
the command line is invalid, 3 if another version was published meanwhile
(run diff again), 4 if it was published but is not yet in force everywhere.`

// pollInterval is the interval between queries for the versions in force.
const pollInterval = 200 * time.Millisecond

// errBaseConflict means that nothing was published because the base is not, or is no longer, the version in force.
var errBaseConflict = errors.New("configuration not published: another version is in force; run diff against it and publish with its number as --base")

// publishFunc publishes a configuration that is based on version base and returns its version. The error wraps
// errBaseConflict if base is not in force.
type publishFunc func(ctx context.Context, log string, base int64, author, text string) (int64, error)

type publishCommand struct {
	output
	Log       string        `long:"log" value-name:"ADDR" description:"address of the platform's log"`
	Answers   string        `long:"answers" value-name:"FILE" description:"questionnaire with the addresses of the log and the instances"`
	Base      int64         `long:"base" required:"true" value-name:"N" description:"version that the change was made from"`
	Author    string        `long:"author" value-name:"NAME" description:"who publishes (default: the user's name)"`
	Instances []string      `long:"instance" value-name:"ADDR" description:"instance to ask for the version in force; may be repeated"`
	Wait      time.Duration `long:"wait" default:"5s" description:"how long to wait until the version is in force"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"how long to try to reach the log"`
	JSON      bool          `long:"json" description:"print the result as JSON"`
	Args      struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`

	publish publishFunc
}

// publishResult is the result of a publication.
type publishResult struct {
	Version int64 `json:"version"`
	// InForce lists the instances that have the version or a later one in force, Behind the others with their version.
	InForce []string         `json:"inForce"`
	Behind  map[string]int64 `json:"behind"`
	// Unreachable lists the addresses that did not respond.
	Unreachable []string `json:"unreachable"`
	// NotQueried lists members that were not queried themselves and that no queried instance reports to have the version.
	// They may have it: an instance learns a member's version only from that member's messages.
	NotQueried []string `json:"unasked"`
}

// inForceEverywhere reports whether the version is known to be in force at every instance.
func (p *publishResult) inForceEverywhere() bool {
	return len(p.Behind)+len(p.Unreachable)+len(p.NotQueried) == 0
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	text, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	if err := parsePublishable(c.Args.File, text); err != nil {
		return faultsError(c.Args.File, err)
	}
	if err := c.resolveAddresses(); err != nil {
		return err
	}
	pctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	version, err := c.publish(pctx, c.Log, c.Base, c.authorName(), text)
	if errors.Is(err, errBaseConflict) {
		return &exitError{exitBaseConflict, err}
	}
	if err != nil {
		return fmt.Errorf("%w; it is unknown whether the version was published: check with diff --instance", err)
	}
	p := c.awaitInForce(ctx, version)
	if err := c.print(p); err != nil {
		return err
	}
	if !p.inForceEverywhere() {
		return &exitError{exitNotEverywhere, fmt.Errorf("version %d is published but not known to be in force everywhere yet", version)}
	}
	return nil
}

// resolveAddresses adds the addresses from the questionnaire of --answers. It fails if the address of the log is missing.
func (c *publishCommand) resolveAddresses() error {
	if c.Answers != "" {
		text, err := readFile(c.Answers)
		if err != nil {
			return err
		}
		a, err := questioner.Parse(c.Answers, text)
		if err != nil {
			return err
		}
		if c.Log == "" {
			c.Log = a.Platform.Log
		}
		for _, n := range a.Instances {
			c.Instances = append(c.Instances, n.Listen)
		}
	}
	if c.Log == "" {
		return &exitError{exitUsage, errors.New("give --log or --answers")}
	}
	return nil
}

func (c *publishCommand) authorName() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// awaitInForce polls the instances until all have the version in force or --wait has passed.
func (c *publishCommand) awaitInForce(ctx context.Context, version int64) *publishResult {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	for {
		p := collectVersions(context.WithoutCancel(ctx), c.Instances, version)
		if p.inForceEverywhere() {
			return p
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return p
		}
	}
}

// collectVersions queries the instances for their versions. A version that an instance reports for another member may be
// out of date.
func collectVersions(ctx context.Context, addrs []string, version int64) *publishResult {
	client := &inquirer.Client{}
	p := &publishResult{Version: version, InForce: []string{}, Behind: map[string]int64{}, Unreachable: []string{}, NotQueried: []string{}}
	queried, reported := map[string]int64{}, map[string]int64{}
	for _, a := range addrs {
		st, err := client.Status(ctx, a)
		if err != nil {
			p.Unreachable = append(p.Unreachable, a)
			continue
		}
		name := st.Instance
		if name == "" {
			name = a
		}
		queried[name] = st.ConfigVersion
		for _, m := range st.Members {
			if m.State != "dead" && m.State != "left" {
				reported[m.ID] = max(reported[m.ID], m.ConfigVersion)
			}
		}
	}
	p.classify(queried, reported)
	return p
}

// classify assigns each instance to InForce, Behind or NotQueried. queried has the versions that instances report for
// themselves, reported those that they report for other members.
func (p *publishResult) classify(queried, reported map[string]int64) {
	for id, v := range queried {
		if v < p.Version {
			p.Behind[id] = v
		}
		reported[id] = v
	}
	for id, v := range reported {
		_, ok := queried[id]
		switch {
		case v >= p.Version:
			p.InForce = append(p.InForce, id)
		case !ok:
			p.NotQueried = append(p.NotQueried, id)
		}
	}
	slices.Sort(p.InForce)
	slices.Sort(p.NotQueried)
}

func (c *publishCommand) print(p *publishResult) error {
	if c.JSON {
		return c.json(p)
	}
	out := fmt.Sprintf("published as version %d\n", p.Version)
	if len(c.Instances) == 0 {
		return c.text(out + "neither --instance nor --answers given: the versions in force were not checked\n")
	}
	out += fmt.Sprintf("in force at %d: %s\n", len(p.InForce), joinNames(p.InForce))
	for _, id := range slices.Sorted(maps.Keys(p.Behind)) {
		out += fmt.Sprintf("not yet at %s: it has version %d\n", id, p.Behind[id])
	}
	if len(p.NotQueried) > 0 {
		out += fmt.Sprintf("not known at %s: give its address with --instance, or --answers\n", joinNames(p.NotQueried))
	}
	for _, a := range p.Unreachable {
		out += fmt.Sprintf("not known at %s: it did not respond\n", a)
	}
	return c.text(out)
}
