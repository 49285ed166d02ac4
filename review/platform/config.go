package main

import (
	"net/http"
	"time"
)

// Names of the installation that the cases play.
const (
	host    = "counter.example"
	counter = "comptoir"
	engines = "atelier-llm"
	model   = "m0"
)

// tenant is a tenant of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Isolated bool     `json:"isolated,omitempty"`
}

// configuration returns a version of the operator's configuration with these tenants.
func configuration(version int, tenants []tenant) map[string]any {
	route := func(name, prefix, kind, service string, attempts, timeoutMs int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": 1000, "priority": 1,
			"service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false, "gap_target_ms": 300,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("order", "/order/", "unsafe", counter, 1, 10_000), route("lookup", "/lookup/", "safe", counter, 2, 10_000),
			route("draft", "/draft/", "streaming", engines, 1, 15_000),
		},
		"services": []any{
			map[string]any{"name": counter, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": engines, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 103_909, "kv_token_bytes": 163_840, "link_mbps": 550_000.0, "models": []any{map[string]any{"name": model}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
		"tenants": tenants,
	}
}

// order returns a request that may run at most once.
func order(key string) request {
	id := newID()
	return request{id: id, method: http.MethodPost, host: host, path: "/order/" + id, key: key, body: "two bolts of tartan", deadline: 10 * time.Second}
}

// lookup returns a request that may be repeated.
func lookup(key string) request {
	id := newID()
	return request{id: id, method: http.MethodGet, host: host, path: "/lookup/" + id, key: key, deadline: 10 * time.Second}
}
