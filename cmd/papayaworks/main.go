// Command papayaworks runs and operates an HTTP serving system for language-model conversations whose follow-up prompts
// arrive after long idle gaps.
//
// # Usage
//
//	papayaworks run --config instance.toml
//	papayaworks demo --seed 1
//	papayaworks questionnaire > answers.toml
//	papayaworks generate answers.toml > config.toml
//	papayaworks COMMAND --help
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run parses the command line, runs the command and returns the exit status.
func run(args []string, stdout, stderr io.Writer) int {
	p := newParser(stdout)
	_, err := p.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, fe.Message)
			return exitOK
		}
		fmt.Fprintln(stderr, "papayaworks: "+fe.Message)
		return exitUsage
	}
	fmt.Fprintln(stderr, "papayaworks: "+err.Error())
	var ee *exitError
	if errors.As(err, &ee) {
		return ee.status
	}
	return exitFailed
}
