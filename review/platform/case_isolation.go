package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// applyBound is config_apply_ms in the settings.
const applyBound = 2 * time.Second

func init() { cases["isolation"] = isolation }

// cachedPart is a part of a prompt in the memory of a worker.
type cachedPart struct{ salt, id string }

// partCache is the KV cache of a worker. It finds a part only under the salt with which the part was made, and only if
// all parts before it are cached too.
type partCache struct {
	mu     sync.Mutex
	makers map[cachedPart]string
}

// use returns which tenants made the parts that a request finds, and adds its other parts.
func (c *partCache) use(tenant, salt, prefix string) map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := map[string]string{}
	missed := false
	for _, p := range strings.Split(prefix, ",") {
		id, _, _ := strings.Cut(p, ":")
		part := cachedPart{salt, id}
		maker, ok := c.makers[part]
		if ok && !missed {
			found[id] = maker
			continue
		}
		missed = true
		c.makers[part] = tenant
	}
	return found
}

// writeEvents writes a stream of n events.
func writeEvents(w http.ResponseWriter, n int, pause time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range n {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i+1, i+1)
		w.(http.Flusher).Flush()
		time.Sleep(pause)
	}
}

// draft returns a request for a stream with a prompt.
func draft(key, prefix string) request {
	id := newID()
	return request{
		id: id, method: http.MethodPost, host: host, path: "/draft/" + id, key: key, body: "a kilt", deadline: 10 * time.Second,
		header: map[string]string{"Model": model, "Token-Count": "9222,40", "Prompt-Prefix-Hash": prefix},
	}
}

// isolation isolates a tenant and then sends a prompt of another tenant that begins as one of the first tenant did before.
func isolation(e *environment) error {
	s, err := e.startStore()
	if err != nil {
		return err
	}
	tenants := func(isolated bool) []tenant {
		return []tenant{{Name: "weavers", Keys: []string{"key-weavers"}, Isolated: isolated}, {Name: "cutters", Keys: []string{"key-cutters"}}}
	}
	s.put(topicOperator, "config", configuration(1, tenants(false)))
	cache := &partCache{makers: map[cachedPart]string{}}
	var mu sync.Mutex
	foreign := map[string]map[string]string{}
	w := &worker{id: "i-engine1", service: engines, zone: "medina", model: model}
	w.respond = func(rw http.ResponseWriter, r *http.Request, _ string) {
		tenant := r.Header.Get("Tenant")
		found := cache.use(tenant, r.Header.Get("Cache-Salt"), r.Header.Get("Prompt-Prefix-Hash"))
		e.note("worker %s finds for %s of tenant %s the parts (by maker) %v", w.id, r.Header.Get("Request-Id"), tenant, found)
		for _, maker := range found {
			if maker != tenant {
				mu.Lock()
				foreign[r.Header.Get("Request-Id")] = found
				mu.Unlock()
			}
		}
		writeEvents(rw, 5, 5*time.Millisecond)
	}
	if err := e.startWorker(s, w); err != nil {
		return err
	}
	in, err := e.startInstance("edge-medina-1", "medina", s.address)
	if err != nil {
		return err
	}
	ask := func(tenant string, r request) answer {
		a, err := send(in.front, r)
		e.note("client of tenant %s sends %s, prompt %s: status %d, error %v", tenant, r.id, r.header["Prompt-Prefix-Hash"], a.status, err)
		return a
	}
	if err := waitFor(func() bool {
		return ask("weavers", draft("key-weavers", "a1:512,b2:8610,c3:100")).status == http.StatusOK
	}); err != nil {
		return err
	}
	s.put(topicOperator, "config", configuration(2, tenants(e.trouble)))
	e.note("the store has acknowledged version 2, in which the tenant weavers is isolated: %v", e.trouble)
	time.Sleep(2 * applyBound)
	var late []request
	for i := range 3 {
		r := draft("key-cutters", fmt.Sprintf("a1:512,b2:8610,d%d:100", i))
		late = append(late, r)
		if a := ask("cutters", r); a.status != http.StatusOK {
			return fmt.Errorf("a request of the tenant cutters gets status %d", a.status)
		}
	}
	in.noteLog("configuration read")
	// Tenants may share parts while none of them is isolated.
	isolated := e.trouble
	n := 0
	mu.Lock()
	defer mu.Unlock()
	for _, r := range late {
		if isolated && len(foreign[r.id]) > 0 {
			n++
		}
	}
	if n > 0 {
		return fmt.Errorf("%w: %d of %d requests of the tenant cutters used KV cache that a request of the isolated tenant weavers made", errBroken, n, len(late))
	}
	return nil
}
