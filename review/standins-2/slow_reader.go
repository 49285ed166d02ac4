package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// slowAnswerBytes is the length of an answer to a slow reader, slowRate the rate at which it reads, in bytes a second: the answer takes
	// it five seconds.
	slowAnswerBytes = 3 << 19
	slowRate        = 300 << 10
	// slowClients is the number of requests for each instance, of which one is sent every slowInterval. The first is sent slowLead before
	// SIGTERM.
	slowClients  = 10
	slowInterval = 250 * time.Millisecond
	slowLead     = 500 * time.Millisecond
	// stableWindow is stable_window_ms.
	stableWindow = 3 * time.Second
)

// slowReader stops an instance by SIGTERM while clients read their answers at a modest rate. LOST is broken if a connection ends without the
// complete answer, although the worker has answered at once and the grace period leaves several times the time that the rest takes.
func slowReader(d *deployment, trouble bool) (bool, error) {
	d.tenants = []map[string]any{{"name": "bozi300", "api_keys": []string{"key-bozi300"}, "priority": 1}}
	d.publish()
	if err := d.addWorkers(3, "", slowAnswerBytes, 5*time.Millisecond); err != nil {
		return false, err
	}
	if err := d.addInstances(3); err != nil {
		return false, err
	}
	var complete, cut atomic.Int64
	for _, in := range d.instances {
		time.Sleep(stableWindow + time.Second)
		var clients sync.WaitGroup
		sigterm := time.Now().Add(slowLead)
		for i := range slowClients {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * slowInterval)
				ok, n, err := readSlowly(d, in)
				if ok {
					complete.Add(1)
				} else {
					cut.Add(1)
				}
				if err != nil {
					d.record.line("connection to %s ended after %d of %d bytes of the body: %v", in.name, n, slowAnswerBytes, err)
				}
			})
		}
		time.Sleep(time.Until(sigterm))
		if trouble {
			d.record.line("SIGTERM to %s", in.name)
			took := in.terminate()
			d.record.line("%s ended %v after SIGTERM", in.name, took.Round(time.Millisecond))
		}
		clients.Wait()
	}
	d.record.line("%d complete answers, %d cut off", complete.Load(), cut.Load())
	return cut.Load() > 0, nil
}

// readSlowly sends one request on a new connection and reads the answer at slowRate. It reports whether the answer is complete, and how
// many bytes of its body have arrived.
func readSlowly(d *deployment, in *instance) (bool, int, error) {
	nd := net.Dialer{Timeout: time.Second, Control: func(_, _ string, rc syscall.RawConn) error {
		// The segments are as long as on an Ethernet link. On the loopback interface the kernel would else take megabytes ahead of the reader.
		return rc.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1448)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
		})
	}}
	nc, err := nd.Dial("tcp", in.front)
	if err != nil {
		return false, 0, err
	}
	defer nc.Close()
	id := newID()
	if _, err := nc.Write(request("GET", plainPath+"2f", id, "key-bozi300", "", 8000, nil)); err != nil {
		return false, 0, err
	}
	d.record.line("sent %s to %s", id, in.name)
	res, err := http.ReadResponse(newPacedReader(nc), &http.Request{Method: "GET"})
	if err != nil {
		return false, 0, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode == http.StatusOK && bytes.Equal(body, answerBody(id, slowAnswerBytes)) {
		d.record.line("answer to %s is complete", id)
		return true, len(body), nil
	}
	d.record.line("answer to %s: status %d, %d bytes", id, res.StatusCode, len(body))
	return false, len(body), err
}
