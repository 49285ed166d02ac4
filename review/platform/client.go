package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"time"
)

// answer is what a client gets for one request.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// request is one client attempt.
type request struct {
	id, method, host, path, key, body string
	header                            map[string]string
	deadline                          time.Duration
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// encode returns the bytes of the request.
func (r request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	names := make([]string, 0, len(r.header))
	for k := range r.header {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", k, r.header[k])
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.Bytes()
}

// connection is a client's connection, which it keeps for several requests.
type connection struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, r: bufio.NewReader(c)}, nil
}

// do sends a request and reads the whole answer.
func (c *connection) do(r request) (answer, error) {
	_ = c.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	if _, err := c.Write(r.encode()); err != nil {
		return answer{}, err
	}
	return c.readAnswer(r.method)
}

// readAnswer reads one whole answer.
func (c *connection) readAnswer(method string) (answer, error) {
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: body}, err
}

// send sends a request on a connection of its own.
func send(address string, r request) (answer, error) {
	c, err := dial(address)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	return c.do(r)
}

// get asks for a path without any header of a client.
func get(address, path string) (answer, error) {
	c, err := dial(address)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path); err != nil {
		return answer{}, err
	}
	return c.readAnswer(http.MethodGet)
}
