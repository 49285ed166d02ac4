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

// Exit statuses of all commands.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage means that the command line is invalid.
	exitUsage = 2
	// exitBaseConflict means that publish did not publish because its base is not in force.
	exitBaseConflict = 3
	// exitNotEverywhere means that publish published a version that is not known to be in force at every instance.
	exitNotEverywhere = 4
)

// exitError is an error with an exit status other than exitFailed.
type exitError struct {
	status int
	err    error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// output writes the output of a command; commands embed it.
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

// newParser returns the command-line parser with all commands; they write to out.
func newParser(out io.Writer) *flags.Parser {
	p := flags.NewNamedParser("papayaworks", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Serves language-model prompts that return after long gaps."
	add := func(name, short, long string, cmd any) {
		if _, err := p.AddCommand(name, short, long, cmd); err != nil {
			panic(err) // a struct tag of a command is invalid
		}
	}
	o := output{out: out}
	add("run", "run an entry instance", runHelp, &runCommand{})
	add("forward", "run an entry instance on the platform", forwardHelp, &forwardCommand{})
	add("explain", "explain from logs what happened to a request", explainHelp, &explainCommand{output: o})
	add("demo", "run a complete emulated deployment in one process", demoHelp, &demoCommand{output: o})
	add("questionnaire", "write the questionnaire", questionnaireHelp, &questionnaireCommand{output: o})
	add("generate", "generate the configuration from answers", generateHelp, &generateCommand{output: o})
	add("check", "validate a configuration", checkHelp, &checkCommand{output: o})
	add("diff", "describe what a publication would change", diffHelp, &diffCommand{output: o})
	add("publish", "publish a configuration", publishHelp, &publishCommand{output: o, publish: logPublisher})
	add("status", "show the state that an instance reports", statusHelp, &statusCommand{output: o})
	add("timeline", "merge the events of several instances", timelineHelp, &timelineCommand{output: o})
	return p
}

// signalContext returns a context that is cancelled on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
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

// decodeTable decodes a TOML text into a map, so that its JSON encoding has the keys of the TOML text.
func decodeTable(text string) (map[string]any, error) {
	m := map[string]any{}
	_, err := toml.Decode(text, &m)
	return m, err
}

// parsePublishable returns the faults of a configuration, including that it is too large to be published.
func parsePublishable(file, text string) error {
	_, err := configurer.Parse(file, text)
	fs := faultsOf(err)
	if err != nil && len(fs) == 0 {
		return err
	}
	if len(text) > versioner.MaxTextBytes {
		fs = append(fs, configurer.Fault{File: file, Key: "(whole file)", Value: fmt.Sprintf("%d bytes", len(text)),
			Allowed: fmt.Sprintf("must be at most %d bytes; generate with --bare omits the comments", versioner.MaxTextBytes)})
	}
	if len(fs) > 0 {
		return fs
	}
	return nil
}

// faultsOf returns the faults in an error, or nil.
func faultsOf(err error) configurer.Faults {
	var fs configurer.Faults
	errors.As(err, &fs)
	return fs
}

// faultsError prefixes err with what it refers to; if err has faults, it lists them one per line.
func faultsError(what string, err error) error {
	if fs := faultsOf(err); len(fs) > 0 {
		return fmt.Errorf("%s: %d faults\n%w", what, len(fs), fs)
	}
	return fmt.Errorf("%s: %w", what, err)
}

// joinNames joins names for a message.
func joinNames(names []string) string { return strings.Join(names, ", ") }
