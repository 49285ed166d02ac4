package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
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

// ethernetSegment is the size of a TCP segment on an Ethernet link. Loopback segments are 45 times as large, and so is what the kernel of
// the sender holds of a response.
const ethernetSegment = 1448

// dial opens a connection to an instance. With a receive buffer of more than 0 bytes, what the client does not read stays with the sender.
func dial(address string, receiveBuffer int) (*client, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		var err error
		if cerr := c.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment),
			)
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &client{Conn: conn, r: bufio.NewReaderSize(conn, 4<<10)}, nil
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
	return c.receiveAt(method, until, 0)
}

// receiveAt does the same at a rate in bytes a second; 0 means as fast as possible.
func (c *client) receiveAt(method string, until time.Time, rate int) result {
	_ = c.SetReadDeadline(until)
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	out := result{status: res.StatusCode, header: res.Header}
	buf := make([]byte, 16<<10)
	for start := time.Now(); ; {
		n, err := res.Body.Read(buf)
		out.body = append(out.body, buf[:n]...)
		if err == io.EOF {
			return out
		}
		if err != nil {
			out.err = err
			return out
		}
		if rate > 0 {
			time.Sleep(time.Until(start.Add(time.Duration(float64(len(out.body)) / float64(rate) * float64(time.Second)))))
		}
	}
}
