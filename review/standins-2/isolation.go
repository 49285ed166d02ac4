package main

import (
	"fmt"
	"time"
)

const (
	// applyBound is config_apply_ms.
	applyBound = 2 * time.Second
	// isolationRounds is how often a tenant becomes isolated.
	isolationRounds = 4
)

// isolation makes a tenant isolated by a change of the configuration, after it has sent a prompt whose first part another tenant's prompts
// have too. WALL is broken if a request of the other tenant, sent later than the bound of the configuration, uses the part that the isolated
// tenant's request has made: a worker finds a part that it has read before under the same Cache-Salt.
func isolation(d *deployment, trouble bool) (bool, error) {
	if err := d.addWorkers(1, modelName, 0, 20*time.Millisecond); err != nil {
		return false, err
	}
	key := func(name string) string { return "key-" + name }
	isolated := map[string]bool{}
	var names []string
	for i := range isolationRounds {
		names = append(names, fmt.Sprintf("letter-desk-%d", i))
		isolated[names[i]] = !trouble
	}
	names = append(names, "school-desk")
	publish := func() time.Time {
		d.tenants = nil
		for _, n := range names {
			d.tenants = append(d.tenants, map[string]any{"name": n, "api_keys": []string{key(n)}, "priority": 1, "isolated": isolated[n]})
		}
		return d.publish()
	}
	publish()
	if err := d.addInstances(2); err != nil {
		return false, err
	}
	send := func(in *instance, tenant, prefix string) (string, error) {
		c, err := dial(in.front)
		if err != nil {
			return "", err
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		id := newID()
		headers := fmt.Sprintf("Model: %s\r\nToken-Count: 1200,40\r\nPrompt-Prefix-Hash: %s\r\n", modelName, prefix)
		if _, err := c.Write(request("POST", enginePath+"2f", id, key(tenant), headers, 4000, []byte("{}"))); err != nil {
			return "", err
		}
		d.record.line("%s sends %s to %s: prompt %s", tenant, id, in.name, prefix)
		a, err := c.read("POST")
		if err != nil || a.status != 200 {
			return "", fmt.Errorf("answer to %s: status %d: %v", id, a.status, err)
		}
		return id, nil
	}
	for i := range isolationRounds {
		tenant, shared := names[i], fmt.Sprintf("5c1e%04x", i)
		if _, err := send(d.instances[0], tenant, shared+":1000,aa01:200"); err != nil {
			return false, err
		}
		if trouble {
			isolated[tenant] = true
		}
		ack := publish()
		d.record.lineAt(ack, "configuration %d: %s is isolated", d.version, tenant)
		time.Sleep(time.Until(ack.Add(applyBound + time.Second)))
		for _, in := range d.instances {
			if _, err := send(in, "school-desk", shared+":1000,bb02:200"); err != nil {
				return false, err
			}
		}
	}
	type part struct{ salt, id string }
	makers, broken := map[part]run{}, 0
	for _, r := range d.workers[0].allRuns() {
		p := part{r.salt, sharedPart(r.prefix)}
		maker, ok := makers[p]
		d.record.lineAt(r.at, "worker %s runs %s for %s under Cache-Salt %q", r.worker, r.id, r.tenant, r.salt)
		if !ok {
			makers[p] = r
			continue
		}
		if maker.tenant != r.tenant && (isolated[maker.tenant] || isolated[r.tenant]) {
			broken++
			d.record.lineAt(r.at, "%s uses the part %s that %s of %s has made, and %s is isolated", r.id, p.id, maker.id, maker.tenant, maker.tenant)
		}
	}
	return broken > 0, nil
}
