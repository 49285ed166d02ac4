package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Names of the configuration.
const (
	serviceName = "desk"
	hostName    = "desk.example"
	tenantName  = "tenant-a"
	apiKey      = "key-of-tenant-a"
)

// route is a route of the configuration.
func route(name, kind, prefix string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 300,
		"priority": 1, "service": serviceName, "max_attempts": 2, "public": false, "sticky": false, "resumable": false, "gap_target_ms": 300,
	}
}

// publish writes a configuration.
func (e *environment) publish(version int, routes ...map[string]any) error {
	return e.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": serviceName, "health_path": healthPath, "max_connections": 4000, "protocol": "h1", "tls": false}},
		"tenants":  []any{map[string]any{"name": tenantName, "api_keys": []string{apiKey}, "isolated": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
}

// client is a connection of a client.
type client struct {
	net.Conn
	r *bufio.Reader
}

// dial opens a connection to an instance.
func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: conn, r: bufio.NewReader(conn)}, nil
}

// send sends a request.
func (c *client) send(method, path, id string, deadline time.Duration, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, hostName, id, deadline.Milliseconds(), apiKey)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err
}

// result is what a client got for a request.
type result struct {
	// status is 0 if the connection ended before the head of an answer.
	status int
	header http.Header
	body   []byte
	// err is nil if the answer is complete in the protocol.
	err error
}

// receive reads the answer to a request until a time.
func (c *client) receive(method string, until time.Time) result {
	_ = c.SetReadDeadline(until)
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return result{status: res.StatusCode, header: res.Header, body: body, err: err}
}
