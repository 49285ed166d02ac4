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
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const publishHelp = `Publishes the configuration in FILE on the platform's log, on top of the
version that diff compared it with. If another operator was faster, nothing
is changed and the command says so. It then waits until the new version is
in force at every instance and says where it is not yet.

Example:
  papayaworks publish config.toml --log 127.0.0.1:7000 --base 41 \
    --author asha --instance 127.0.0.1:8080

Exit status: 0 if the version is in force everywhere, 1 on an error, 2 if
the command line is wrong, 3 if another version was published meanwhile (run
diff again), 4 if it was published but is not in force everywhere yet.`

// pollPeriod is the time between two looks at the versions in force.
const pollPeriod = 200 * time.Millisecond

// errLostRace says that the base is not the version in force any more.
var errLostRace = errors.New("the configuration was not published; run diff against the version in force and publish on that")

// publisher appends a configuration to the log and reads back which version it became; errLostRace if it lost.
type publisher func(ctx context.Context, log string, base int64, author, text string) (int64, error)

type publishCommand struct {
	output
	Log       string        `long:"log" required:"true" value-name:"ADDR" description:"address of the platform's log"`
	Base      int64         `long:"base" required:"true" value-name:"N" description:"version that the change was made from"`
	Author    string        `long:"author" value-name:"NAME" description:"who publishes (default: the user's name)"`
	Instances []string      `long:"instance" value-name:"ADDR" description:"instance to ask for the version in force; may be repeated"`
	Wait      time.Duration `long:"wait" default:"5s" description:"how long to wait until the version is in force"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"how long to try to reach the log"`
	JSON      bool          `long:"json" description:"print the result as JSON"`
	Args      struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`

	publish publisher
}

// published is the result of a publication.
type published struct {
	Version int64 `json:"version"`
	// InForce are the instances that have the version or a later one, Behind those that do not, with their version.
	InForce []string         `json:"inForce"`
	Behind  map[string]int64 `json:"behind"`
	// Unreachable are the addresses that did not answer.
	Unreachable []string `json:"unreachable"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	ctx, stop := untilInterrupted()
	defer stop()
	text, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	if _, err := configurer.Parse(c.Args.File, text); err != nil {
		return refused(c.Args.File, err)
	}
	pctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	version, err := c.publish(pctx, c.Log, c.Base, c.author(), text)
	if errors.Is(err, errLostRace) {
		return &exitError{exitLostRace, err}
	}
	if err != nil {
		return fmt.Errorf("%w; whether it was published is not known: look with diff --instance", err)
	}
	p := c.await(ctx, version)
	if err := c.print(p); err != nil {
		return err
	}
	if len(p.Behind)+len(p.Unreachable) > 0 {
		return &exitError{exitNotEverywhere, fmt.Errorf("version %d is published but not in force everywhere yet", version)}
	}
	return nil
}

func (c *publishCommand) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// await looks at the instances until all have the version or the time is over.
func (c *publishCommand) await(ctx context.Context, version int64) *published {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	for {
		p := inForce(context.WithoutCancel(ctx), c.Instances, version)
		if len(p.Behind)+len(p.Unreachable) == 0 {
			return p
		}
		t := time.NewTimer(pollPeriod)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return p
		}
	}
}

// inForce asks the instances, and through them all members, for their versions.
func inForce(ctx context.Context, addrs []string, version int64) *published {
	client := &inquirer.Client{}
	p := &published{Version: version, InForce: []string{}, Behind: map[string]int64{}, Unreachable: []string{}}
	seen := map[string]int64{}
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
		seen[name] = max(seen[name], st.ConfigVersion)
		for _, m := range st.Members {
			if m.State != "dead" && m.State != "left" {
				seen[m.ID] = max(seen[m.ID], m.ConfigVersion)
			}
		}
	}
	for id, v := range seen {
		if v >= version {
			p.InForce = append(p.InForce, id)
		} else {
			p.Behind[id] = v
		}
	}
	return p
}

func (c *publishCommand) print(p *published) error {
	slices.Sort(p.InForce)
	if c.JSON {
		return c.json(p)
	}
	out := fmt.Sprintf("published as version %d\n", p.Version)
	if len(c.Instances) == 0 {
		return c.text(out + "no --instance given: whether it is in force was not looked at\n")
	}
	out += fmt.Sprintf("in force at %d: %s\n", len(p.InForce), list(p.InForce))
	for _, id := range slices.Sorted(maps.Keys(p.Behind)) {
		out += fmt.Sprintf("not yet at %s: it has version %d\n", id, p.Behind[id])
	}
	for _, a := range p.Unreachable {
		out += fmt.Sprintf("not known at %s: it did not answer\n", a)
	}
	return c.text(out)
}
