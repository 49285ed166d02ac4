package inspector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an [http.RoundTripper] that fails for each response whose head [Head] rejects.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that uses a copy of base. Only connections without TLS are inspected.
func NewTransport(base *http.Transport) *Transport {
	base = base.Clone()
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*conn); ok {
			c.expectHead()
		}
	}})
	return t.base.RoundTrip(r.WithContext(ctx))
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// conn is a connection whose reads fail where a response head becomes invalid.
type conn struct {
	net.Conn

	mu   sync.Mutex
	head Head
	// err is the error of a head. Reads return it again, as textproto ignores the one that follows a whole line.
	err error
}

// expectHead is called before a request is written: what is read next is the head of its response.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = Head{}
}

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	if err := c.headErr(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if valid, invalid := c.inspect(p[:n]); invalid != nil {
		return valid, invalid
	}
	return n, err
}

func (c *conn) headErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// inspect returns an error with the number of bytes before the first invalid one of a head.
func (c *conn) inspect(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := 0; ; {
		if c.head.Ended() && c.head.Interim() {
			c.head = Head{}
		}
		if c.head.Ended() || n == len(p) {
			return len(p), nil
		}
		var fed int
		fed, c.err = c.head.Feed(p[n:])
		if n += fed; c.err != nil {
			return n, c.err
		}
	}
}
