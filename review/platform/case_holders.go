package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// leaseBound is lease_ms and stableWindow is stable_window_ms in the settings.
	leaseBound   = 3 * time.Second
	stableWindow = 3 * time.Second
	// bumpAfterStart is the time between the restart and the next version, bumpAfterWindow that between the end of the stable
	// window and the version after that.
	bumpAfterStart  = 800 * time.Millisecond
	bumpAfterWindow = 400 * time.Millisecond
	// bumpPause is the time between the end of a roll-out and the next version.
	bumpPause = 1400 * time.Millisecond
	// bumps is the number of versions that are named after the disruption.
	bumps = 8
	// rolloutTimeout bounds a roll-out, version_ms in the settings.
	rolloutTimeout = 8 * time.Second
)

func init() { cases["holders"] = holders }

// holders kills the process that gives the orders and names new versions once it has been back for long.
func holders(e *environment) error {
	s, err := e.startStore()
	if err != nil {
		return err
	}
	const key = "key-members"
	s.put(topicOperator, "config", configuration(1, []tenant{{Name: "members", Keys: []string{key}}}))
	s.put(topicOperator, "version/"+model, map[string]any{"model": model, "version": 1})
	var workers []*worker
	for i := range 2 {
		w := &worker{id: fmt.Sprintf("i-engine%d", i+1), service: engines, zone: "medina", model: model, loadTime: 440 * time.Millisecond}
		if err := e.startWorker(s, w); err != nil {
			return err
		}
		workers = append(workers, w)
	}
	var instances []*instance
	for i, zone := range []string{"medina", "medina", "port"} {
		in, err := e.startInstance(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, s.address)
		if err != nil {
			return err
		}
		instances = append(instances, in)
	}
	stopClients := e.runClients(instances, key)
	defer stopClients()
	time.Sleep(stableWindow + time.Second)
	version := 1
	bump := func() error {
		version++
		s.put(topicOperator, "version/"+model, map[string]any{"model": model, "version": version})
		e.note("the store has acknowledged version %d of %s", version, model)
		for end := time.Now().Add(rolloutTimeout); slices.ContainsFunc(workers, func(w *worker) bool { return w.currentVersion() != version }); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("version %d is not in place after %v", version, rolloutTimeout)
			}
		}
		return nil
	}
	if err := bump(); err != nil {
		return err
	}
	orders := workers[0].allOrders()
	first := instances[slices.IndexFunc(instances, func(in *instance) bool { return in.name == orders[len(orders)-1].holder })]
	time.Sleep(leaseBound + time.Second)
	if e.trouble {
		first.signal(syscall.SIGKILL)
		<-first.exited
	}
	// Another instance gives the orders of this version.
	if err := bump(); err != nil {
		return err
	}
	backAt := time.Now()
	if e.trouble {
		if err := first.start(); err != nil {
			return err
		}
		backAt = first.startedAt
	}
	time.Sleep(time.Until(backAt.Add(bumpAfterStart)))
	if err := bump(); err != nil {
		return err
	}
	time.Sleep(time.Until(backAt.Add(stableWindow + bumpAfterWindow)))
	e.note("%s has been back for longer than the stable window", first.name)
	for range bumps {
		if err := bump(); err != nil {
			return err
		}
		time.Sleep(bumpPause)
	}
	return checkHolders(e, workers, first.name, backAt)
}

// checkHolders returns whether holders have taken turns at a worker within the bound. Orders of the instance that was
// restarted count only once it has run for the stable window.
func checkHolders(e *environment, workers []*worker, restarted string, backAt time.Time) error {
	turns := 0
	for _, w := range workers {
		var last arrivedOrder
		inTouch := func(o arrivedOrder) bool { return o.holder != restarted || o.at.Sub(backAt) > stableWindow }
		for _, o := range w.allOrders() {
			if o.at.Before(backAt) {
				continue
			}
			pause := o.at.Sub(last.at)
			if last.holder != "" && o.holder != last.holder && pause < leaseBound && inTouch(o) && inTouch(last) {
				e.note("at worker %s an order of %s (fence %d) comes %v after one of %s (fence %d)", w.id, o.holder, o.fence, pause.Round(time.Millisecond), last.holder, last.fence)
				turns++
			}
			last = o
		}
	}
	if turns > 0 {
		return fmt.Errorf("%w: holders took turns %d times within %v, all of them in touch", errBroken, turns, leaseBound)
	}
	return nil
}

// runClients sends streams to the instances in turn until the returned function is called.
func (e *environment) runClients(instances []*instance, key string) func() {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, in := range instances {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(300 * time.Millisecond):
				}
				r := draft(key, "a1:512,b2:1000,"+newID()[:8]+":100")
				a, err := send(in.front, r)
				e.note("client sends %s to %s: status %d, error %v", r.id, in.name, a.status, err)
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}
