// Command standin runs one case of the review: it starts the project's entry instances as processes and plays the
// platform's metadata store, the workers and the clients for them.
//
// Usage:
//
//	standin CASE RECORD
//
// It must be started in the root of the repository. RECORD is the file to which it writes what was sent, answered and
// run. With TROUBLE=0 in the environment, the case is played without its disruption. The exit status is 0 if the rule
// held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	statusHeld     = 0
	statusBroken   = 1
	statusCouldNot = 2
)

// caseTimeout bounds a case, which may take 120 s.
const caseTimeout = 100 * time.Second

// errBroken is returned by a case that has seen the rule broken.
var errBroken = errors.New("the rule was broken")

// cases holds the scenarios by name.
var cases = map[string]func(e *environment) error{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return statusCouldNot
	}
	e, err := newEnvironment(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCouldNot
	}
	defer e.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](e) }()
	select {
	case err = <-done:
	case s := <-interrupted:
		err = fmt.Errorf("interrupted by %v", s)
	case <-time.After(caseTimeout):
		err = fmt.Errorf("the case did not end within %v", caseTimeout)
	}
	switch {
	case err == nil:
		e.note("verdict: the rule held")
		return statusHeld
	case errors.Is(err, errBroken):
		e.note("verdict: %v", err)
		return statusBroken
	}
	e.note("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return statusCouldNot
}
