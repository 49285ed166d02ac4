package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/BurntSushi/toml"
	"github.com/jessevdk/go-flags"

	"github.com/papayaworks/papayaworks/internal/versioner"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// The exit statuses of all commands.
const (
	exitOK            = 0
	exitFailed        = 1
	exitUsage         = 2
	exitLostRace      = 3
	exitNotEverywhere = 4
)

// exitError is an error with an exit status of its own.
type exitError struct {
	status int
	err    error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// output is what commands write to; they embed it.
type output struct {
	out io.Writer
}

// json writes v as indented JSON.
func (o output) json(v any) error {
	enc := json.NewEncoder(o.out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

func (o output) text(s string) error {
	_, err := io.WriteString(o.out, s)
	return err
}

// newParser returns the parser of the command line with every command; they write to out.
func newParser(out io.Writer) *flags.Parser {
	p := flags.NewNamedParser("papayaworks", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Serves language-model prompts that return after long gaps."
	add := func(name, short, long string, cmd any) {
		if _, err := p.AddCommand(name, short, long, cmd); err != nil {
			panic(err) // the tags of a command's options are wrong
		}
	}
	o := output{out: out}
	add("run", "run an entry instance", runHelp, &runCommand{})
	add("forward", "run an entry instance on the platform", forwardHelp, &forwardCommand{})
	add("explain", "tell from logs what happened to a request", explainHelp, &explainCommand{output: o})
	add("demo", "run a whole deployment with stand-ins in one process", demoHelp, &demoCommand{output: o})
	add("questionnaire", "write the questionnaire", questionnaireHelp, &questionnaireCommand{output: o})
	add("generate", "make the configuration from answers", generateHelp, &generateCommand{output: o})
	add("check", "report every fault of a configuration", checkHelp, &checkCommand{output: o})
	add("diff", "say what a publication would change", diffHelp, &diffCommand{output: o})
	add("publish", "publish a configuration", publishHelp, &publishCommand{output: o, publish: logPublisher})
	add("status", "show what an instance sees", statusHelp, &statusCommand{output: o})
	add("timeline", "merge the events of instances", timelineHelp, &timelineCommand{output: o})
	return p
}

// untilInterrupted returns a context that ends with SIGTERM or SIGINT.
func untilInterrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string) (string, error) {
	if name == "-" {
		b, err := io.ReadAll(os.Stdin)
		return string(b), err
	}
	b, err := os.ReadFile(name)
	return string(b), err
}

// table returns a TOML text as a map, so that its JSON has the same keys.
func table(text string) (map[string]any, error) {
	m := map[string]any{}
	_, err := toml.Decode(text, &m)
	return m, err
}

// parsePublishable parses a configuration and reports, beside its faults, that it is too large to be published.
func parsePublishable(file, text string) error {
	_, err := configurer.Parse(file, text)
	fs := faultsOf(err)
	if err != nil && len(fs) == 0 {
		return err
	}
	if len(text) > versioner.MaxTextBytes {
		fs = append(fs, configurer.Fault{File: file, Key: "(whole file)", Value: fmt.Sprintf("%d bytes", len(text)),
			Allowed: fmt.Sprintf("a publication has at most %d bytes; generate with --bare leaves out the comments", versioner.MaxTextBytes)})
	}
	if len(fs) > 0 {
		return fs
	}
	return nil
}

// faultsOf returns the faults in an error, or none.
func faultsOf(err error) configurer.Faults {
	var fs configurer.Faults
	errors.As(err, &fs)
	return fs
}

// refused turns faults into an error that lists them, one a line.
func refused(what string, err error) error {
	if fs := faultsOf(err); len(fs) > 0 {
		return fmt.Errorf("%s: %d faults\n%w", what, len(fs), fs)
	}
	return fmt.Errorf("%s: %w", what, err)
}

// list joins names for a message.
func list(names []string) string { return strings.Join(names, ", ") }
