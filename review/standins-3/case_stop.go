package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = runStopCase }

const (
	// readTime is how long a client takes to read its response: well within the time budget and the grace period.
	readTime      = 6500 * time.Millisecond
	receiveBuffer = 32 << 10
	// The responses have different sizes, because kernels hold different amounts of unsent bytes.
	readers        = 16
	smallestRecord = 1_600_000
	recordStep     = 50_000
	stopDelay      = 300 * time.Millisecond
	stopMemoryMB   = 284
)

// recordPrefix returns the path prefix of the i-th record.
func recordPrefix(i int) string { return fmt.Sprintf("/record/%d/", i) }

// runStopCase stops an instance while clients read complete responses of a worker slowly and steadily.
func runStopCase(e *environment) (bool, error) {
	const timeout = 15 * time.Second
	var answers []answer
	for i := range readers {
		answers = append(answers, answer{Prefix: recordPrefix(i), Parts: 1, PartBytes: smallestRecord + i*recordStep})
	}
	w, err := e.startWorker(workerConfig{ID: "w-1", Address: loopback(2) + ":0", Answers: answers})
	if err != nil {
		return false, err
	}
	if err := e.publish(1, route("record", "safe", "/record/", timeout)); err != nil {
		return false, err
	}
	n, err := e.startNode(10, stopMemoryMB)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // stable_window_ms and more
	var wg sync.WaitGroup
	out := make([]exchange, readers)
	ended := make([]time.Duration, len(out))
	sent := time.Now()
	for i := range out {
		wg.Go(func() {
			x := exchange{id: fmt.Sprintf("record-%d", i)}
			defer func() { out[i], ended[i] = x, time.Since(sent) }()
			c, err := dial(n.front, receiveBuffer)
			if err != nil {
				x.got.err = err
				return
			}
			defer func() { _ = c.Close() }()
			if x.got.err = c.send(http.MethodGet, recordPrefix(i), x.id, timeout, nil); x.got.err == nil {
				x.got = c.receiveAt(http.MethodGet, time.Now().Add(timeout), int(float64(answers[i].PartBytes)/readTime.Seconds()))
			}
		})
	}
	if e.trouble {
		time.Sleep(stopDelay)
		e.record("SIGTERM to %s", n.name)
		if err := n.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	wg.Wait()
	lost := 0
	for i, x := range out {
		e.record("%s: status %d, %d of %d bytes after %v, error %v, runs %d", x.id, x.got.status, len(x.got.body), answers[i].PartBytes, ended[i].Round(time.Millisecond), x.got.err, w.runCount(x.id))
		if w.runCount(x.id) > 0 && (x.got.err != nil || x.got.status != http.StatusOK || string(x.got.body) != string(answers[i].whole(x.id))) {
			lost++
		}
	}
	e.record("passed on to the worker and ended without a complete answer: %d of %d", lost, len(out))
	return lost > 0, nil
}
