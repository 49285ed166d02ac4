package forwarder

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/papayaworks/papayaworks/internal/request"
)

const (
	// keyMargin is how much earlier than the operator's bound keys are no longer trusted: a call is on its way to its
	// target for a while after the check.
	keyMargin = 400 * time.Millisecond
	// staleRetryAfter is when a caller may have reached another instance.
	staleRetryAfter = 500 * time.Millisecond
)

// identifyStep finds the route and the account of a call.
type identifyStep struct{ s *Server }

// String names the step.
func (*identifyStep) String() string { return "identify" }

// Run identifies the call.
func (st *identifyStep) Run(_ context.Context, c *Call) error {
	cat := c.View.Catalog
	path, _, _ := strings.Cut(c.HTTP.RequestURI, "?")
	route, ok := cat.Match(hostOf(c.HTTP.Host), path)
	if !ok {
		return request.Refuse(http.StatusNotFound, request.CodeNotFound, "path", "no route for %q", path)
	}
	c.Route = route
	c.Deadline = deadline(c)
	if !cat.HasAccounts() || route.Public {
		return nil
	}
	life := st.s.settings().KeyLife
	if age := st.s.Watcher.ConfigAge(); life > 0 && age > life-keyMargin {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "",
			"keys cannot be checked: the configuration was last read %v ago", age.Round(time.Millisecond)).WithRetryAfter(staleRetryAfter)
	}
	if c.Account, ok = cat.Account(c.Ask.Key); !ok {
		return request.Refuse(http.StatusUnauthorized, request.CodeUnauthorized, "authorization", "unknown API key")
	}
	return nil
}

// deadline returns when the call must have its final answer.
func deadline(c *Call) time.Time {
	d := c.Route.Timeout
	if b := c.Ask.Budget; b > 0 && (d == 0 || b < d) {
		d = b
	}
	return c.Received.Add(d)
}

func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}
