package main

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unsignedConnections is the number of kept connections of each instance, within the descriptors that its settings allow.
	unsignedConnections = 1000
	// A client sends a request on a kept connection after minPause to maxPause. Clients may reuse connections that were idle for up to
	// four fifths of idle_timeout_ms, which is 15 s.
	minPause, maxPause = 3 * time.Second, 11 * time.Second
	unsignedTime       = 75 * time.Second
)

// unsignedSuccess stops and starts the instances in turn by SIGTERM, while clients send requests on kept connections that are mostly idle.
// MIXED is broken if a client gets a success without the signature of a worker.
func unsignedSuccess(d *deployment, trouble bool) (bool, error) {
	d.plainKind = "unsafe"
	d.tenants = []map[string]any{{"name": "bozi300", "api_keys": []string{"key-bozi300"}, "priority": 1}}
	d.publish()
	if err := d.addWorkers(3, "", 800, 5*time.Millisecond); err != nil {
		return false, err
	}
	if err := d.addInstances(3); err != nil {
		return false, err
	}
	end := time.Now().Add(unsignedTime)
	var clients sync.WaitGroup
	var mu sync.Mutex
	notSigned := map[string]bool{}
	var sent, signed, unsigned, other, closed atomic.Int64
	for _, in := range d.instances {
		for range unsignedConnections {
			clients.Go(func() {
				var c *client
				for time.Now().Before(end) {
					if c == nil {
						// New connections are opened only while the instance is ready, and spread over some seconds.
						time.Sleep(time.Duration(rand.Int64N(int64(minPause))))
						if in.stopping.Load() {
							continue
						}
						var err error
						if c, err = dial(in.front); err != nil {
							c = nil
							continue
						}
					}
					if !c.isOpen() {
						_ = c.Close()
						c = nil
						continue
					}
					id := newID()
					_ = c.SetDeadline(time.Now().Add(5 * time.Second))
					if _, err := c.Write(request("POST", plainPath+"2f", id, "key-bozi300", "", 3000, []byte(`{"order":"boots"}`))); err != nil {
						_ = c.Close()
						c = nil
						closed.Add(1)
						continue
					}
					sentAt := time.Now()
					sent.Add(1)
					a, err := c.read("POST")
					switch {
					case err != nil:
						closed.Add(1)
					case a.status/100 == 2 && a.signature == "":
						unsigned.Add(1)
						mu.Lock()
						notSigned[id] = true
						mu.Unlock()
						d.record.lineAt(sentAt, "sent %s to %s", id, in.name)
						d.record.line("answer to %s from %s: status %d, no Upstream-Signature, Request-Id %q, %d bytes of body", id, in.name, a.status, a.id, len(a.body))
					case a.status/100 == 2:
						signed.Add(1)
					default:
						other.Add(1)
					}
					if err != nil || a.close {
						_ = c.Close()
						c = nil
						continue
					}
					time.Sleep(minPause + time.Duration(rand.Int64N(int64(maxPause-minPause))))
				}
				if c != nil {
					_ = c.Close()
				}
			})
		}
	}
	time.Sleep(8 * time.Second)
	for i := 0; trouble && time.Until(end) > 12*time.Second; i++ {
		in := d.instances[i%len(d.instances)]
		d.record.line("SIGTERM to %s", in.name)
		in.stopping.Store(true)
		took := in.terminate()
		d.record.line("%s ended after %v", in.name, took.Round(time.Millisecond))
		if err := d.startInstance(in); err != nil {
			return false, err
		}
		if !in.waitReady() {
			d.record.line("%s is not ready", in.name)
		}
		in.stopping.Store(false)
		d.record.line("%s started again", in.name)
	}
	clients.Wait()
	ran, ranUnsigned := 0, 0
	for _, w := range d.workers {
		for _, r := range w.allRuns() {
			ran++
			if notSigned[r.id] {
				ranUnsigned++
			}
		}
	}
	d.record.line("%d requests sent, %d run, %d successes with a signature, %d without, of which %d have run, %d other answers, %d connections closed",
		sent.Load(), ran, signed.Load(), unsigned.Load(), ranUnsigned, other.Load(), closed.Load())
	return unsigned.Load() > 0, nil
}
