package main

import (
	"fmt"
	"time"
)

// revokeBound is revoke_ms in the settings.
const revokeBound = 5 * time.Second

func init() { cases["last-tenant"] = lastTenant }

// lastTenant withdraws the only tenant of the installation and keeps using its key.
func lastTenant(e *environment) error {
	s, err := e.startStore()
	if err != nil {
		return err
	}
	const key = "key-members"
	s.put(topicOperator, "config", configuration(1, []tenant{{Name: "members", Keys: []string{key}}}))
	w := &worker{id: "i-counter1", service: counter, zone: "medina"}
	if err := e.startWorker(s, w); err != nil {
		return err
	}
	in, err := e.startInstance("edge-medina-1", "medina", s.address)
	if err != nil {
		return err
	}
	ask := func(what, key string) answer {
		r := order(key)
		a, err := send(in.front, r)
		e.note("client sends %s %s with %s: status %d, error %v", r.id, r.path, what, a.status, err)
		return a
	}
	if err := waitFor(func() bool { return ask("the tenant's key", key).status == 200 }); err != nil {
		return err
	}
	if a := ask("a key that no configuration held", "key-unknown"); a.status != 401 {
		return fmt.Errorf("an unknown key gets %d instead of 401", a.status)
	}
	if e.trouble {
		s.put(topicOperator, "config", configuration(2, []tenant{}))
		e.note("the store has acknowledged version 2, which holds no tenant")
	} else {
		s.put(topicOperator, "config", configuration(2, []tenant{{Name: "members", Keys: []string{key}}}))
		e.note("the store has acknowledged version 2, which holds the same tenant")
	}
	time.Sleep(revokeBound + time.Second)
	before := len(w.all())
	for range 5 {
		ask("the tenant's key", key)
		ask("a key that no configuration held", "key-unknown")
		time.Sleep(200 * time.Millisecond)
	}
	ran := len(w.all()) - before
	in.noteLog("configuration read")
	if e.trouble {
		if ran > 0 {
			return fmt.Errorf("%w: %d of 10 requests ran later than %v after the ack that took the last key away", errBroken, ran, revokeBound)
		}
		return nil
	}
	if ran != 5 {
		return fmt.Errorf("%w: %d of 5 requests with a valid key ran", errBroken, ran)
	}
	return nil
}

// waitFor waits until a condition holds.
func waitFor(ok func() bool) error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(200 * time.Millisecond) {
		if ok() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the system does not serve within %v", readyTimeout)
		}
	}
}
