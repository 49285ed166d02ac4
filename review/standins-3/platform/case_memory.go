package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["memory"] = runMemoryCase }

const (
	// Four requests just inside max_body_bytes leave some room of the eighth of the memory that requests may hold.
	largeRequests  = 4
	largeBodyBytes = 4_190_000
	// smallBodyBytes is the mean size of a request in the site file.
	smallRequests  = 120
	smallBodyBytes = 12_000
	// idleConnections is the number of further connections that clients keep open.
	idleConnections = 1500
	memoryMB        = 134
	// allowedLost is the number of such losses that the rule allows.
	allowedLost = 3
)

// exchange is one request of a client and what came of it.
type exchange struct {
	id  string
	got result
}

// runMemoryCase sends several large requests, which are still being answered when many ordinary ones arrive on kept connections.
func runMemoryCase(e *environment) (bool, error) {
	const timeout = 10 * time.Second
	w, err := e.startWorker(workerConfig{ID: "w-1", Address: loopback(2) + ":0", Answers: []answer{
		{Prefix: "/lookup/", Parts: 1, PartBytes: 800}, {Prefix: "/draft/", Parts: 30, PartGapMs: 150, Events: true},
	}})
	if err != nil {
		return false, err
	}
	if err := e.publish(1, route("lookup", "safe", "/lookup/", timeout), route("draft", "streaming", "/draft/", timeout)); err != nil {
		return false, err
	}
	n, err := e.startNode(firstMachine, ctksMesures)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // stable_window_ms and more
	kept := make([]*client, smallRequests+idleConnections)
	for i := range kept {
		if kept[i], err = dial(n.front); err != nil {
			return false, err
		}
		id := fmt.Sprintf("first-%d", i)
		if err := kept[i].send(http.MethodGet, "/lookup/1", id, timeout, nil); err != nil {
			return false, err
		}
		if got := kept[i].receive(http.MethodGet, time.Now().Add(timeout)); got.err != nil || got.status != http.StatusOK {
			return false, fmt.Errorf("first request of a connection: status %d, %v", got.status, got.err)
		}
	}
	e.record("%d connections have got the answer to a first request", len(kept))
	var wg sync.WaitGroup
	large := make([]exchange, largeRequests)
	if e.trouble {
		for i := range large {
			wg.Go(func() { large[i] = e.draft(n, nil, fmt.Sprintf("large-%d", i), largeBodyBytes, timeout) })
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
	}
	small := make([]exchange, smallRequests)
	for i, c := range kept[:smallRequests] {
		wg.Go(func() { small[i] = e.draft(n, c, fmt.Sprintf("small-%d", i), smallBodyBytes, timeout) })
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	lost, answered, refused := 0, 0, 0
	for _, x := range append(large, small...) {
		if x.id == "" {
			continue
		}
		runs := w.runCount(x.id)
		e.record("%s: %d bytes read by the client, status %d, error %v, runs %d", x.id, len(x.got.body), x.got.status, x.got.err, runs)
		switch {
		case x.got.status == 0 && runs > 0:
			lost++
		case x.got.status == http.StatusOK && x.got.err == nil:
			answered++
		case x.got.status == http.StatusServiceUnavailable:
			refused++
		}
	}
	e.record("answered %d, refused %d, passed on to the worker and closed without an answer %d (allowed %d); the instance has ended: %v", answered, refused, lost, allowedLost, n.ended())
	return lost > allowedLost || n.ended(), nil
}

// draft sends a request for a stream on a connection, or on a new one, and reads the answer.
func (e *environment) draft(n *node, c *client, id string, bodyBytes int, timeout time.Duration) exchange {
	x := exchange{id: id}
	if c == nil {
		var err error
		if c, err = dial(n.front); err != nil {
			x.got.err = err
			return x
		}
	}
	defer func() { _ = c.Close() }()
	if err := c.send(http.MethodPost, "/draft/1", id, timeout, bytes.Repeat([]byte("x"), bodyBytes)); err != nil {
		x.got.err = err
		return x
	}
	x.got = c.receive(http.MethodPost, time.Now().Add(timeout))
	return x
}
