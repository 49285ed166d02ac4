// Command papayaworks serves language-model prompts that return after long gaps.
//
// # Usage
//
//	papayaworks run --config instance.toml
//	papayaworks demo --seed 1
//	papayaworks COMMAND --help
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() { os.Exit(run(os.Args[1:])) }

// run parses the command line, runs the command and returns the exit status.
func run(args []string) int {
	p := newParser()
	_, err := p.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, "papayaworks: "+fe.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "papayaworks: "+err.Error())
	var ee *exitError
	if errors.As(err, &ee) {
		return ee.status
	}
	return exitFailed
}
