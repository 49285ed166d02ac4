package main

import "github.com/jessevdk/go-flags"

// The exit statuses of all commands.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
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

// newParser returns the parser of the command line with every command.
func newParser() *flags.Parser {
	p := flags.NewNamedParser("papayaworks", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Serves language-model prompts that return after long gaps."
	add := func(name, short, long string, cmd any) {
		if _, err := p.AddCommand(name, short, long, cmd); err != nil {
			panic(err) // the tags of a command's options are wrong
		}
	}
	add("run", "run an entry instance", runHelp, &runCommand{})
	add("demo", "run a whole deployment with stand-ins in one process", demoHelp, &demoCommand{})
	return p
}
