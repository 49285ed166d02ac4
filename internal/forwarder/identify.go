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
	// keyMargin is how long before the end of KeyTTL this instance stops accepting API keys, because a call reaches its target
	// only some time after the check.
	keyMargin = 400 * time.Millisecond
	// staleRetryAfter is the advised retry delay if this instance cannot check API keys and others cannot either, as far as it knows.
	staleRetryAfter = 500 * time.Millisecond
	// elsewhereRetryAfter is the advised retry delay if other instances can serve the call now: a retry reaches one of them.
	elsewhereRetryAfter = 20 * time.Millisecond
	// stopRetryAfter is the advised retry delay if this instance is stopping. The load balancer sends new connections to others.
	stopRetryAfter = 20 * time.Millisecond
	// defaultTimeout limits a call that neither its caller nor its route limits, so that it does not hold its target for ever.
	defaultTimeout = time.Minute
)

// identifyStep determines the route, the deadline and the account of a call.
type identifyStep struct{ s *Server }

// String implements request.Stage.
func (*identifyStep) String() string { return "identify" }

// Run implements request.Stage.
func (st *identifyStep) Run(_ context.Context, c *Call) error {
	cat := c.View.Catalog
	path, _, _ := strings.Cut(c.HTTP.RequestURI, "?")
	route, ok := cat.Match(hostOf(c.HTTP.Host), path)
	if !ok {
		return st.refuseUnknown(c, request.Refuse(http.StatusNotFound, request.CodeNotFound, "path", "no route for %q", path))
	}
	c.Route = route
	c.Deadline = deadline(c)
	if st.s.stop.Load().mayAbort(c) {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeDraining, "", "the instance stops before the deadline").WithRetryAfter(stopRetryAfter)
	}
	if !cat.HasAccounts() || route.Public {
		return nil
	}
	ttl := st.s.settings().KeyTTL
	if age := st.s.Watcher.ConfigAge(); ttl > 0 && age > ttl-keyMargin {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "",
			"keys cannot be checked: the configuration was last read %v ago", age.Round(time.Millisecond)).WithRetryAfter(st.s.staleRetryAfter(ttl))
	}
	if c.Account, ok = cat.Account(c.Headers.APIKey); !ok {
		return st.refuseUnknown(c, request.Refuse(http.StatusUnauthorized, request.CodeUnauthorized, "authorization", "unknown API key"))
	}
	return nil
}

// refuseUnknown returns the refusal of a call whose route or key is unknown. While the other instances have a newer configuration, in
// which it may be known, it asks the caller to try again.
func (st *identifyStep) refuseUnknown(c *Call, refusal *request.Error) error {
	if !st.s.Watcher.IsOutdated(c.View.Catalog) {
		return refusal
	}
	return request.Refuse(http.StatusServiceUnavailable, request.CodeNotRun, "", "%s, but other instances have a newer configuration", refusal.Message).
		WithRetryAfter(elsewhereRetryAfter)
}

// staleRetryAfter returns when a caller should return whose key cannot be checked here. If the metadata store has gone for this instance
// alone, the caller is served by another one at once; if it has gone for all, retries only add load.
func (s *Server) staleRetryAfter(ttl time.Duration) time.Duration {
	if s.Watcher.IsReadElsewhere(time.Duration(readyFraction * float64(ttl))) {
		return elsewhereRetryAfter
	}
	return staleRetryAfter
}

// deadline returns the time by which the call must have its final response: the route's timeout, or the caller's if it is
// shorter or the route has none, or a default if neither has.
func deadline(c *Call) time.Time {
	d := c.Route.Timeout
	if b := c.Headers.Timeout; b > 0 && (d == 0 || b < d) {
		d = b
	}
	if d == 0 {
		d = defaultTimeout
	}
	return c.ReceivedAt.Add(d)
}

func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}
