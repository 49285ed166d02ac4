package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	partialRounds   = 12
	partialInterval = 3 * time.Second
	// storeDown is how long the store is down.
	storeDown = 100 * time.Millisecond
	// sharedTokens is the length of a prompt's shared part, readTime how long a worker reads it, and fetchTime how long it takes it from a store.
	sharedTokens        = 9122
	readTime, fetchTime = 150 * time.Millisecond, 5 * time.Millisecond
	// queueTime is how long the second of two requests waits at its worker, which is busy with those of others.
	queueTime = 600 * time.Millisecond
	// Times since the start of a round: the store restarts, and further requests are sent.
	restartAt, laterAt = 300 * time.Millisecond, 650 * time.Millisecond
)

// partialFetch restarts a store of kept KV cache, whose open connections fall silent. MIXED is broken if a worker takes a part from the store
// that is still being written there.
func partialFetch(d *deployment, trouble bool) (bool, error) {
	var err error
	if d.kvStore, err = startKVStore(d.net + ".240"); err != nil {
		return false, err
	}
	d.tenants = []map[string]any{{"name": "bozi300", "api_keys": []string{"key-bozi300"}, "priority": 1}}
	d.publish()
	if err := d.addWorkers(4, modelName, 0, 0); err != nil {
		return false, err
	}
	if err := d.addInstances(3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	arrivals, broken := map[string]int{}, 0
	for _, w := range d.workers {
		w.beforeAnswer = func(h http.Header) {
			id := h.Get("Request-Id")
			parts := strings.Split(h.Get("Prompt-Prefix-Hash"), ",")
			sources, targets := strings.Split(h.Get("Kv-Source"), ","), strings.Split(h.Get("Kv-Target"), ",")
			part, tokens, _ := strings.Cut(parts[0], ":")
			n, _ := strconv.Atoi(tokens)
			p := kvPart{h.Get("Cache-Salt"), part}
			d.record.line("worker %s gets %s: part %s, Kv-Source %q, Kv-Target %q", w.id, id, part, sources[0], targets[0])
			mu.Lock()
			arrivals[part]++
			isSecond := arrivals[part] == 2
			mu.Unlock()
			if isSecond {
				time.Sleep(queueTime)
			}
			if sources[0] == d.kvStore.address {
				isHeld, isComplete := d.kvStore.state(p)
				time.Sleep(fetchTime)
				until, _ := strconv.ParseInt(h.Get("Kv-Until"), 10, 64)
				isDiscarded := until > 0 && time.Now().UnixMilli() > until
				d.record.line("worker %s fetches part %s for %s: held %v, complete %v, discarded %v", w.id, part, id, isHeld, isComplete, isDiscarded)
				if isHeld && !isComplete && !isDiscarded {
					mu.Lock()
					broken++
					mu.Unlock()
				}
				return
			}
			boot, isSaved := 0, false
			if targets[0] == d.kvStore.address {
				if boot, isSaved = d.kvStore.save(p, n); isSaved {
					d.record.line("worker %s begins to save part %s for %s", w.id, part, id)
				}
			}
			time.Sleep(readTime)
			if isSaved {
				d.kvStore.complete(p, boot)
				d.record.line("worker %s has saved part %s for %s", w.id, part, id)
			}
		}
	}
	// The instances discover each other in the first seconds.
	time.Sleep(4 * time.Second)
	var requests sync.WaitGroup
	send := func(in *instance, part string) {
		requests.Go(func() {
			c, err := dial(in.front)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			id := newID()
			headers := fmt.Sprintf("Model: %s\r\nToken-Count: %d,40\r\nPrompt-Prefix-Hash: %s:%d,%s:200\r\n", modelName, sharedTokens+200, part, sharedTokens, id[:8])
			d.record.line("sent %s to %s: part %s", id, in.name, part)
			if _, err := c.Write(request("POST", enginePath+"2f", id, "key-bozi300", headers, 4000, []byte("{}"))); err != nil {
				return
			}
			a, err := c.read("POST")
			d.record.line("answer to %s: status %d, error %v", id, a.status, err)
		})
	}
	for round := range partialRounds {
		start, part := time.Now(), fmt.Sprintf("5c1e%04x", round)
		send(d.instances[0], part)
		send(d.instances[1], part)
		time.Sleep(time.Until(start.Add(restartAt)))
		if trouble {
			d.record.line("the store ends, and its connections fall silent")
			d.kvStore.restart(storeDown)
			d.record.line("the store is back, empty")
		}
		time.Sleep(time.Until(start.Add(laterAt)))
		for i := range 6 {
			send(d.instances[i%3], part)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Until(start.Add(partialInterval)))
	}
	requests.Wait()
	d.record.line("%d restarts, %d fetches of a part that was being written", partialRounds, broken)
	return broken > 0, nil
}
