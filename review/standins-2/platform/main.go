// Command standins runs one case of the review: it starts the project's program as processes on loopback addresses, with stand-ins of the
// platform's store, of workers and of clients, and checks one rule from what these see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. Without trouble it does the same without the
// disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a run.
const maxTime = 115 * time.Second

// scenario runs one case and reports whether the rule was broken.
type scenario func(d *deployment, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"unsigned-success": unsignedSuccess,
	"late-record":      lateRecord,
	"held-answers":     heldAnswers,
	"revoked-key":      revokedKey,
	"partial-fetch":    partialFetch,
}

var errUnknownCase = errors.New("unknown case")

func main() { os.Exit(execute()) }

func execute() int {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", "", "folder of the case, for record.txt")
	trouble := flag.Bool("trouble", true, "whether to cause the disruption")
	flag.Parse()
	run, ok := scenarios[*name]
	if !ok {
		fmt.Println(errUnknownCase, *name)
		return 2
	}
	rec, err := newRecord(*folder)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	d, err := newDeployment(*folder, rec)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer d.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(d, *trouble)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-interrupted:
		r.err = errors.New("interrupted")
	case <-time.After(maxTime):
		r.err = errors.New("time is up")
	}
	switch {
	case r.err != nil:
		rec.line("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case r.broken:
		rec.line("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return 0
}
