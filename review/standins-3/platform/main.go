// Command standins runs the cases of the third review. Each case starts the
// project's program as separate processes, with a metadata store, workers and
// clients that follow the platform's pages.
//
// # Usage
//
//	standins case NAME RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 the case leaves out its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that does not end by itself.
const caseTimeout = 110 * time.Second

// caseFunc runs a case and reports whether the rule was broken. The error says why it could not run.
type caseFunc func(e *environment) (broken bool, err error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		if err := serveWorker(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins case NAME RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[2], os.Args[3]))
}

func runCase(name, path string) int {
	e, err := newEnvironment(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer e.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- e.run(name) }()
	select {
	case code := <-done:
		return code
	case <-signals:
		e.record("ended by a signal")
	case <-time.After(caseTimeout):
		e.record("case did not end in %v", caseTimeout)
	}
	return exitNotRun
}

// environment is what a case needs: its record, a metadata store and processes that end with it.
type environment struct {
	trouble bool
	dir     string
	store   *store
	started time.Time

	mu        sync.Mutex
	file      *os.File
	processes []*process
}

func newEnvironment(path string) (*environment, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &environment{trouble: os.Getenv("TROUBLE") != "0", dir: dir, store: s, started: time.Now(), file: file}, nil
}

func (e *environment) run(name string) int {
	e.record("case %s, disruption: %v", name, e.trouble)
	broken, err := cases[name](e)
	switch {
	case err != nil:
		e.record("could not run: %v", err)
		return exitNotRun
	case broken:
		e.record("RULE BROKEN")
		return exitBroken
	}
	e.record("rule held")
	return exitHeld
}

// record writes a line to the record of the case.
func (e *environment) record(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(e.started).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprint(e.file, line)
	fmt.Print(line)
}

// close ends all processes and removes the temporary files.
func (e *environment) close() {
	e.mu.Lock()
	ps := e.processes
	e.mu.Unlock()
	for _, p := range ps {
		p.kill()
	}
	e.store.close()
	_ = os.RemoveAll(e.dir)
	_ = e.file.Close()
}
