package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["waiting"] = runWaitingCase }

const (
	sharedParts  = "5c1e07a2:800,91bd3f06:400"
	longEvents   = 60
	shortEvents  = 5
	applyTime    = 2 * time.Second
	waitingCalls = 5
)

// runWaitingCase isolates a tenant while requests of it wait at a busy engine.
func runWaitingCase(e *environment) (bool, error) {
	const timeout = 12 * time.Second
	w, err := e.startEngine("i-1")
	if err != nil {
		return false, err
	}
	if err := e.publishEngine(1, false, timeout); err != nil {
		return false, err
	}
	n, err := e.startNode(firstMachine, ctksMesures)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	if got := e.chat(n, "cutters", "first", sharedParts+",aa01:50", shortEvents, timeout); got.status != http.StatusOK {
		return false, fmt.Errorf("first request: status %d, %v", got.status, got.err)
	}
	e.record("a request of cutters has run, which makes the parts %s", sharedParts)
	for i := range engineSlots {
		wg.Go(func() {
			e.chat(n, "cutters", fmt.Sprintf("long-%d", i), fmt.Sprintf("bb%02d:700", i), longEvents, timeout)
		})
	}
	time.Sleep(300 * time.Millisecond)
	out := make([]result, waitingCalls)
	for i := range out {
		wg.Go(func() {
			out[i] = e.chat(n, "weavers", fmt.Sprintf("waiting-%d", i), fmt.Sprintf("%s,cc%02d:50", sharedParts, i), shortEvents, timeout)
		})
	}
	time.Sleep(700 * time.Millisecond)
	isIsolated := e.trouble
	if err := e.publishEngine(2, isIsolated, timeout); err != nil {
		return false, err
	}
	acked := time.Now()
	e.record("version 2 is acknowledged; weavers is isolated: %v", isIsolated)
	wg.Wait()
	shared := 0
	for i, got := range out {
		x, ok := w.find(fmt.Sprintf("waiting-%d", i))
		if !ok {
			e.record("waiting-%d: status %d, error %v, has not run", i, got.status, got.err)
			continue
		}
		after := x.at.Sub(acked)
		e.record("waiting-%d of %s: status %d, began %v after the ack, salt %q, used %v", i, x.tenant, got.status, after.Round(time.Millisecond), x.salt, x.foreign)
		if isIsolated && after > applyTime && len(x.foreign) > 0 {
			shared++
		}
	}
	e.record("requests of the isolated tenant that began later than %v after the ack and used parts of another: %d", applyTime, shared)
	return shared > 0, nil
}

// publishEngine writes a configuration with an engine and two tenants.
func (e *environment) publishEngine(version int, isolated bool, timeout time.Duration) error {
	chat := route("chat", "streaming", "/chat/", timeout)
	chat["sticky"], chat["target_latency_ms"] = true, 8000
	return e.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": []any{chat},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": healthPath, "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": engineSlots, "kv_capacity_tokens": 100_000, "kv_token_bytes": 163_840, "link_mbps": 550_000, "models": []any{map[string]any{"name": modelName}}},
		}},
		"tenants": []any{
			map[string]any{"name": "cutters", "api_keys": []string{"key-of-cutters"}, "isolated": false},
			map[string]any{"name": "weavers", "api_keys": []string{"key-of-weavers"}, "isolated": isolated},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
}

// chat sends a request of a tenant with a prompt and reads the answer.
func (e *environment) chat(n *node, tenant, id, parts string, events int, timeout time.Duration) result {
	c, err := dial(n.front)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = c.Close() }()
	head := fmt.Sprintf("POST /chat/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer key-of-%s\r\nModel: %s\r\nToken-Count: 1250,%d\r\nPrompt-Prefix-Hash: %s\r\nContent-Length: 2\r\n\r\n{}", hostName, id, timeout.Milliseconds(), tenant, modelName, events, parts)
	if _, err := c.Write([]byte(head)); err != nil {
		return result{err: err}
	}
	return c.receive(http.MethodPost, time.Now().Add(timeout))
}
