package main

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stableWindow is stable_window_ms, drainBound drain_ms.
	stableWindow, drainBound = 3 * time.Second, 2 * time.Second
	// lostTime is how long the store loses answers to writes, and lateBy how long it takes to carry one of them out: the site's 4.5 s, and
	// the 6 s of the variant "late".
	lostTime, lateBy = 4500 * time.Millisecond, 6 * time.Second
	// lateWriteAt is when the worker writes the record that is lost, since the store began to lose answers.
	lateWriteAt = 3600 * time.Millisecond
	// leaveAfter is when the worker leaves, since the store is sound again: it has been stable by then. servesFor is how long the worker goes
	// on serving, and expiry the time without a heartbeat after which the platform removes a record.
	leaveAfter, servesFor, expiry = stableWindow + 300*time.Millisecond, 8 * time.Second, 3 * heartbeatInterval
	lateRounds                    = 3
	// lateClients is the number of clients of each instance, and latePause the time between two of a client's requests.
	lateClients = 4
	latePause   = 100 * time.Millisecond
)

// lateRecord lets a worker leave without a word, and carries out a write of its record that was sent before, whose answer was lost. DRAIN is
// broken if requests reach the worker later than drainBound after the store has acknowledged that it is gone.
func lateRecord(d *deployment, trouble bool) (bool, error) {
	d.tenants = []map[string]any{{"name": "bozi300", "api_keys": []string{"key-bozi300"}, "priority": 1}}
	d.publish()
	if err := d.addWorkers(2+lateRounds, "", 800, 10*time.Millisecond); err != nil {
		return false, err
	}
	if err := d.addInstances(3); err != nil {
		return false, err
	}
	var stop atomic.Bool
	var clients sync.WaitGroup
	var sent, served atomic.Int64
	for _, in := range d.instances {
		for range lateClients {
			clients.Go(func() {
				var c *client
				for !stop.Load() {
					time.Sleep(latePause)
					if c == nil {
						var err error
						if c, err = dial(in.front); err != nil {
							c = nil
							continue
						}
					}
					_ = c.SetDeadline(time.Now().Add(3 * time.Second))
					sent.Add(1)
					_, err := c.Write(request("GET", plainPath+"2f", newID(), "key-bozi300", "", 2000, nil))
					var a answer
					if err == nil {
						a, err = c.read("GET")
					}
					if err == nil && a.status == 200 {
						served.Add(1)
					}
					if err != nil || a.close {
						_ = c.Close()
						c = nil
					}
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	broken := 0
	for i := range lateRounds {
		w := d.workers[i]
		start := time.Now()
		d.record.line("the store loses answers to writes: %v", trouble)
		time.Sleep(lateWriteAt)
		late := w.nextRecord()
		if trouble {
			d.record.line("worker %s writes its record, sequence %d, and gets no answer", w.id, late["sequence"])
			time.AfterFunc(lateBy, func() {
				d.store.put("keyed.servers", w.id, late)
				d.record.line("the store carries out that write, sequence %d", late["sequence"])
				time.AfterFunc(expiry, func() {
					d.store.remove("keyed.servers", w.id)
					d.record.line("the record of worker %s expires", w.id)
				})
			})
		}
		time.Sleep(time.Until(start.Add(lostTime)))
		d.record.line("the store is sound again")
		time.Sleep(leaveAfter)
		gone := w.leave(d.store)
		d.record.lineAt(gone, "worker %s leaves: its record is removed", w.id)
		time.Sleep(time.Until(gone.Add(servesFor)))
		_ = w.server.Close()
		d.record.line("worker %s has ended", w.id)
		n, last := 0, time.Duration(0)
		for _, r := range w.allRuns() {
			if after := r.at.Sub(gone); after > drainBound {
				n++
				last = after
				if n <= 10 {
					d.record.lineAt(r.at, "worker %s runs %s, %v after its leaving was acknowledged", w.id, r.id, after.Round(time.Millisecond))
				}
			}
		}
		d.record.line("%d requests reached worker %s later than %v after that, the last after %v", n, w.id, drainBound, last.Round(time.Millisecond))
		broken += n
	}
	stop.Store(true)
	clients.Wait()
	d.record.line("%d requests sent, %d served, %d reached a worker too late", sent.Load(), served.Load(), broken)
	return broken > 0, nil
}
