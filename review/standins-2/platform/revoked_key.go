package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// revokeBound is revoke_ms.
	revokeBound = 5 * time.Second
	// refusedFor is how long the store turns some instances away, within the 9 s of the site's longest such disruption, and refusedCount how
	// many of the instances: no more than a share of 0.35.
	refusedFor     = 6800 * time.Millisecond
	refusedCount   = 2
	revokeInstants = 6
	// afterRefusal is how long the holder of the revoked key goes on after the store serves all instances again.
	afterRefusal = 1500 * time.Millisecond
	revokeTime   = 95 * time.Second
	// uploadBytes is the length of a request's body, below max_body_bytes. uploadConnections is the number of connections on which they are
	// sent to each instance.
	uploadBytes       = 4_000_000
	uploadConnections = 3
)

// revokedKey revokes a key while the store turns two of six instances away, and serves them again after the bound. CONFIG is broken if a
// request that was sent later than the bound after the revocation was acknowledged runs.
func revokedKey(d *deployment, trouble bool) (bool, error) {
	d.plainKind = "unsafe"
	if err := d.addWorkers(3, "", 800, 5*time.Millisecond); err != nil {
		return false, err
	}
	keys := func(cycle int, withBrief bool) []map[string]any {
		held := []string{"key-lasting"}
		if withBrief {
			held = append(held, briefKey(cycle))
		}
		return []map[string]any{{"name": "bozi300", "api_keys": held, "priority": 1}}
	}
	d.tenants = keys(0, true)
	d.publish()
	if err := d.addInstances(revokeInstants); err != nil {
		return false, err
	}
	var mu sync.Mutex
	late := map[string]time.Time{}
	sentLate, cycles := 0, 0
	for end := time.Now().Add(revokeTime); time.Now().Before(end); cycles++ {
		d.tenants = keys(cycles, true)
		d.publish()
		time.Sleep(time.Second)
		cut := []*instance{d.instances[2*cycles%revokeInstants], d.instances[(2*cycles+1)%revokeInstants]}[:refusedCount]
		if trouble {
			for _, in := range cut {
				in.link.setCut(true)
			}
		}
		cutAt := time.Now()
		time.Sleep(300 * time.Millisecond)
		d.tenants = keys(cycles, false)
		ack := d.publish()
		d.record.lineAt(cutAt, "cycle %d: the store turns %s and %s away: %v", cycles, cut[0].name, cut[1].name, trouble)
		d.record.lineAt(ack, "%s is revoked", briefKey(cycles))
		var stop atomic.Bool
		var senders sync.WaitGroup
		time.Sleep(time.Until(ack.Add(revokeBound + 50*time.Millisecond)))
		for _, in := range cut {
			for range uploadConnections {
				senders.Go(func() {
					for !stop.Load() {
						id, at, status := upload(in, briefKey(cycles))
						mu.Lock()
						sentLate++
						late[id] = at
						mu.Unlock()
						if status/100 == 2 {
							d.record.lineAt(at, "sent %s with %s to %s, %v after the revocation", id, briefKey(cycles), in.name, at.Sub(ack).Round(time.Millisecond))
							d.record.line("answer to %s: status %d", id, status)
						}
					}
				})
			}
		}
		time.Sleep(time.Until(cutAt.Add(refusedFor)))
		for _, in := range cut {
			in.link.setCut(false)
		}
		d.record.line("the store serves all instances again")
		time.Sleep(afterRefusal)
		stop.Store(true)
		senders.Wait()
	}
	broken := 0
	for _, w := range d.workers {
		for _, r := range w.allRuns() {
			if at, ok := late[r.id]; ok {
				broken++
				d.record.lineAt(r.at, "worker %s runs %s for tenant %s, which was sent at %.4f", r.worker, r.id, r.tenant, at.Sub(d.record.start).Seconds())
			}
		}
	}
	d.record.line("%d revocations, %d requests sent with a revoked key later than %v after its revocation, %d of them run", cycles, sentLate, revokeBound, broken)
	return broken > 0, nil
}

// briefKey returns the key that is revoked in a cycle.
func briefKey(cycle int) string { return fmt.Sprintf("key-brief-%d", cycle) }

// upload sends one request with a long body in chunks on a new connection. It returns the ID, the time before the first byte, and the
// status of the answer; 0 if there was none.
func upload(in *instance, key string) (string, time.Time, int) {
	id := newID()
	c, err := dial(in.front)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return id, time.Now(), 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	var b bytes.Buffer
	b.Write(request("POST", plainPath+"2f", id, key, "Transfer-Encoding: chunked\r\n", 4000, nil))
	const chunk = 50_000
	for range uploadBytes / chunk {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	}
	b.WriteString("0\r\n\r\n")
	at := time.Now()
	if _, err := c.Write(b.Bytes()); err != nil {
		return id, at, 0
	}
	a, err := c.read("POST")
	if err != nil {
		return id, at, 0
	}
	return id, at, a.status
}
