package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// documentBytes is the size of an answer.
	documentBytes = 300_000
	// linkSegmentBytes and linkWindowBytes are those of a client behind an Ethernet link with a small window. The loopback
	// interface has segments of 64 KiB, with which the kernel buffers megabytes of an answer.
	linkSegmentBytes = 1460
	linkWindowBytes  = 32 << 10
	// sendDelay is the time between the signal and the requests.
	sendDelay = 200 * time.Millisecond
	// orderTime is how long a worker works on an order.
	orderTime = 500 * time.Millisecond
)

func init() { cases["stop"] = stop }

// stop stops an instance and sends it orders with long answers on the connections that its clients have kept.
func stop(e *environment) error {
	s, err := e.startStore()
	if err != nil {
		return err
	}
	const key = "key-members"
	s.put(topicOperator, "config", configuration(1, []tenant{{Name: "members", Keys: []string{key}}}))
	document := strings.Repeat("pleat\n", documentBytes/6)
	w := &worker{id: "i-counter1", service: counter, zone: "medina"}
	w.respond = func(rw http.ResponseWriter, r *http.Request, _ string) {
		answer := "found\n"
		if r.Method == http.MethodPost {
			time.Sleep(orderTime)
			answer = document
		}
		rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(rw, answer)
	}
	if err := e.startWorker(s, w); err != nil {
		return err
	}
	in, err := e.startInstance("edge-medina-1", "medina", s.address)
	if err != nil {
		return err
	}
	if err := waitFor(func() bool { a, err := send(in.front, lookup(key)); return err == nil && a.status == http.StatusOK }); err != nil {
		return err
	}
	var connections []*connection
	for range 10 {
		c, err := dialLink(in.front)
		if err != nil {
			return err
		}
		defer c.Close()
		if a, err := c.do(lookup(key)); err != nil || a.status != http.StatusOK {
			return fmt.Errorf("a lookup before the stop gets status %d, error %w", a.status, err)
		}
		connections = append(connections, c)
	}
	if e.trouble {
		in.signal(syscall.SIGTERM)
	}
	time.Sleep(sendDelay)
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for i, c := range connections {
		wg.Go(func() {
			r := order(key)
			a, err := c.do(r)
			e.note("client %d sends %s on a kept connection: status %d, %d of %d bytes, error %v", i, r.id, a.status, len(a.body), len(document), err)
			// Any complete answer is one, also a refusal or a failure. Only orders that were passed on to the worker count.
			if err != nil && w.hasRun(r.id) {
				mu.Lock()
				cut++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if e.trouble {
		<-in.exited
	}
	in.noteLog(`"stopping"`, `"stopped"`, `"POST`)
	if cut > 0 {
		return fmt.Errorf("%w: %d of %d orders that a worker has run ended without a complete answer", errBroken, cut, len(connections))
	}
	return nil
}

// dialLink connects as a client behind a network link.
func dialLink(address string) (*connection, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, rc syscall.RawConn) error {
		var err error
		if cerr := rc.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, linkSegmentBytes); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindowBytes)
			}
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, r: bufio.NewReader(c)}, nil
}
