package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["smuggled"] = runSmuggledCase }

// carriers is how often a request is sent with another one in its body.
const carriers = 5

// runSmuggledCase sends requests that state two different lengths. Under the second one, another request is a part of the body.
func runSmuggledCase(e *environment) (bool, error) {
	const timeout = 3 * time.Second
	w, err := e.startWorker(workerConfig{ID: "w-1", Address: loopback(2) + ":0", Answers: []answer{{Prefix: "/lookup/", Parts: 1, PartBytes: 800}, {Prefix: "/order/", Parts: 1, PartBytes: 800}}})
	if err != nil {
		return false, err
	}
	if err := e.publish(1, route("lookup", "safe", "/lookup/", timeout), route("order", "unsafe", "/order/", timeout)); err != nil {
		return false, err
	}
	n, err := e.startNode(10, memoryMB)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // stable_window_ms and more
	smuggled := 0
	for i := range carriers {
		inner := fmt.Sprintf("inner-%d", i)
		body := []byte(fmt.Sprintf("POST /order/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", hostName, inner, timeout.Milliseconds(), apiKey))
		got, err := e.sendWithLengths(n, fmt.Sprintf("carrier-%d", i), body, timeout)
		if err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
		runs := w.runCount(inner)
		e.record("carrier-%d: status %d, error %v, runs %d; %s in its body: runs %d", i, got.status, got.err, w.runCount(fmt.Sprintf("carrier-%d", i)), inner, runs)
		smuggled += runs
	}
	e.record("requests run that were a part of the body of another one: %d", smuggled)
	return smuggled > 0, nil
}

// sendWithLengths sends a request with a body and reads the answer. With the disruption it states a length of 0 as well.
func (e *environment) sendWithLengths(n *node, id string, body []byte, timeout time.Duration) (result, error) {
	c, err := dial(n.front, 0)
	if err != nil {
		return result{}, err
	}
	defer func() { _ = c.Close() }()
	lengths := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if e.trouble {
		lengths = "Content-Length: 0\r\n" + lengths
	}
	head := fmt.Sprintf("POST /lookup/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s\r\n", hostName, id, timeout.Milliseconds(), apiKey, lengths)
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		return result{err: err}, nil
	}
	return c.receive(http.MethodPost, time.Now().Add(timeout)), nil
}
