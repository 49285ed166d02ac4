package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// client is one connection of a client to an instance.
type client struct {
	net.Conn
	r *bufio.Reader
}

// answer is what a client got for a request.
type answer struct {
	status    int
	signature string
	id        string
	body      []byte
	close     bool
}

// dial opens a connection with the time that clients allow for it.
func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, r: bufio.NewReader(c)}, nil
}

// newID returns the ID of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request returns the bytes of a request.
func request(method, path, id, key, headers string, deadlineMs int, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s", method, path, routeHost, id, deadlineMs, key, headers)
	if len(body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// isOpen reports whether the instance has neither closed the connection nor sent anything since the last answer.
func (c *client) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// read reads the answer to a request with the given method.
func (c *client) read(method string) (answer, error) {
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	a := answer{status: res.StatusCode, signature: res.Header.Get("Upstream-Signature"), id: res.Header.Get("Request-Id"), close: res.Close}
	a.body, err = io.ReadAll(res.Body)
	return a, err
}
