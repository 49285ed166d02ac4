package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-record"] = runLateRecordCase }

const (
	// From 26 instances on only some of them read the records of the workers as often as drain_ms wants.
	instances = 28
	// The store loses answers for lossTime. One of the four heartbeats that a worker writes meanwhile is carried out lateness later.
	lossTime = 4500 * time.Millisecond
	lateness = 6 * time.Second
	// The worker leaves once the store has been sound for longer than stable_window_ms, and serves for servesOn more.
	leaveDelay = 4200 * time.Millisecond
	servesOn   = 8 * time.Second
	// A further worker starts a while after the late record.
	startDelay = 500 * time.Millisecond
	drainTime  = 3 * time.Second
	// requestInterval is the time between two requests to an instance.
	requestInterval = 500 * time.Millisecond
)

// runLateRecordCase removes the record of a worker, of which an earlier heartbeat is carried out late.
func runLateRecordCase(e *environment) (bool, error) {
	const timeout = 3 * time.Second
	answers := []answer{{Prefix: "/lookup/", Parts: 1, PartBytes: 800}}
	workers := map[string]*worker{}
	for _, id := range []string{"w-leaving", "w-1", "w-2"} {
		w, err := e.startWorker(workerConfig{ID: id, Address: loopback(2) + ":0", Answers: answers})
		if err != nil {
			return false, err
		}
		workers[id] = w
	}
	if err := e.publish(1, route("lookup", "safe", "/lookup/", timeout)); err != nil {
		return false, err
	}
	nodes, err := e.startNodes(instances, padukamPostGrown)
	if err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // until all instances know each other, and stable_window_ms more
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, n := range nodes {
		wg.Go(func() { sendLookups(n, fmt.Sprintf("lookup-%d", i), timeout, stop) })
	}
	time.Sleep(time.Second)
	leaving := workers["w-leaving"]
	e.record("the store loses answers for %v", lossTime)
	time.Sleep(lossTime - heartbeatInterval)
	if e.trouble {
		at := leaving.registration.delayNext(lateness)
		e.record("a heartbeat with sequence %d gets no answer", at)
	}
	time.Sleep(heartbeatInterval)
	e.record("the store is sound again")
	time.Sleep(leaveDelay)
	last := leaving.registration.stop()
	if err := e.store.put("keyed.servers", leaving.ID, nil); err != nil {
		return false, err
	}
	removedAt := time.Now()
	e.record("the record of %s is removed, after sequence %d", leaving.ID, last)
	if e.trouble {
		leaving.registration.awaitLate()
		e.record("the late heartbeat is carried out, %v after the removal", time.Since(removedAt).Round(time.Millisecond))
		// The platform removes the record after three intervals of silence.
		time.AfterFunc(3*heartbeatInterval, func() {
			_ = e.store.put("keyed.servers", leaving.ID, nil)
			e.record("the record of %s is removed after three intervals of silence", leaving.ID)
		})
	} else {
		time.Sleep(3 * time.Second)
	}
	time.Sleep(startDelay)
	if _, err := e.startWorker(workerConfig{ID: "w-3", Address: loopback(2) + ":0", Answers: answers}); err != nil {
		return false, err
	}
	e.record("worker w-3 has started")
	time.Sleep(time.Until(removedAt.Add(servesOn)))
	leaving.close()
	e.record("%s ends, %v after the removal", leaving.ID, servesOn)
	close(stop)
	wg.Wait()
	late := leaving.runsAfter(removedAt.Add(drainTime))
	for _, r := range late {
		e.record("%s reached %s %v after the removal", r.id, leaving.ID, r.at.Sub(removedAt).Round(time.Millisecond))
	}
	total := 0
	for _, w := range workers {
		total += len(w.runsAfter(removedAt.Add(drainTime)))
	}
	e.record("requests that reached %s later than %v after the removal: %d; the two others that were there from the start got %d meanwhile", leaving.ID, drainTime, len(late), total-len(late))
	return len(late) > 0, nil
}

// sendLookups sends requests on a connection for each, as clients do that retry, until stop is closed.
func sendLookups(n *node, prefix string, timeout time.Duration, stop <-chan struct{}) {
	t := time.NewTicker(requestInterval)
	defer t.Stop()
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		c, err := dial(n.front)
		if err != nil {
			continue
		}
		if c.send(http.MethodGet, "/lookup/1", fmt.Sprintf("%s-%d", prefix, k), timeout, nil) == nil {
			c.receive(http.MethodGet, time.Now().Add(timeout))
		}
		_ = c.Close()
	}
}
