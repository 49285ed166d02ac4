// Package cataloger defines the published control state: routes, services, accounts and targets.
//
// A [Catalog] is one version of the operator's configuration. A [View] combines a
// catalog with the registered targets and the desired weight versions, and is all
// the control state that a request uses. Both are immutable: a change creates a
// new value with a With method, so a request that holds one view sees a consistent
// state from its first stage to its last.
//
// # Usage
//
//	cat := cataloger.New(version, routes, services, accounts, limits)
//	route, ok := cat.Match("letters.example", "/assess/17")
//	v := cataloger.NewView().WithCatalog(cat).WithTarget(target)
package cataloger

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/papayaworks/papayaworks/internal/hasher"
)

// Kind is the execution semantics of a route's requests: whether they may be executed more than once.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may be executed any number of times.
	Idempotent Kind = iota
	// AtMostOnce requests must not be executed a second time.
	AtMostOnce
	// Streaming requests have an event stream as response. They are executed at most once unless the route is
	// resumable.
	Streaming
)

// Split is one service of a route with its relative weight in the traffic split.
type Split struct {
	Service string
	Weight  int
}

// Route maps requests with a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for the response.
	Timeout time.Duration
	// Objective is the latency objective: the time to the first event of a stream, or to the complete response.
	Objective time.Duration
	// MaxEventGap is the latency objective for the time between two events of a stream.
	MaxEventGap time.Duration
	// Priority 0 is the most urgent. HasPriority reports whether the operator has set it.
	Priority    int
	HasPriority bool
	MaxAttempts int
	Splits      []Split
	// Public routes accept requests without an API key.
	Public bool
	// Resumable reports whether a broken stream may be resumed at another target.
	Resumable bool
	// Homes holds the regions whose targets may get requests of the route; nil is no restriction, an empty list allows no region.
	Homes []string
}

// Retryable reports whether a request of the route may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Splits, func(x Split) bool { return x.Service == service })
}

// Engine describes the inference engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CapacityTokens is the size of an engine's KV cache.
	CapacityTokens int
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int
	LinkMbps      float64
	Models        []string
}

// KVStore is a network store of KV cache blocks.
type KVStore struct {
	Address        string
	DataCentre     string
	CapacityTokens int
	LinkMbps       float64
	// FirstByteLatency is the time from the start of a transfer to its first byte.
	FirstByteLatency time.Duration
	// Managed stores evict nothing by themselves; blocks stay until an instance frees them.
	Managed bool
}

// Service is a group of targets, or a KV store.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdPerSecond is the number of requests per second that a target accepts from all instances together while it is cold; 0 means that
	// there is no bound. ColdStart is how long a target is cold after its start.
	ColdPerSecond float64
	ColdStart     time.Duration
	// Engine is nil for services that are not inference engines.
	Engine *Engine
	// Store is non-nil for a KV store, which has no targets.
	Store *KVStore
}

// Account is one client account with its API keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated accounts share no KV cache with other accounts.
	Isolated bool
	// Homes holds the regions whose targets may get requests of the account; nil is no restriction, an empty list allows no region.
	Homes []string
}

// Limits bound the size of a request and the time in which a caller must send it.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one version of the operator's configuration.
type Catalog struct {
	Version  int64
	Services map[string]*Service
	// Accounts is nil if the deployment has no accounts. If it is empty, all accounts have been withdrawn and no API key is valid.
	Accounts []Account
	Limits   Limits
	// UnknownKinds names the routes whose kind is unknown; their requests are not repeated.
	UnknownKinds []string
	// UnreadableNumbers names the numbers that could not be read and count as zero.
	UnreadableNumbers []string
	// UnreadableHomes names the routes and accounts whose homes could not all be read; those that could not are no homes.
	UnreadableHomes []string

	routes map[string][]Route
	keys   map[string]*Account
	// resumable holds the sorted names of the services to which routes with resumable streams lead.
	resumable []string
	// isolated holds the names of the isolated accounts, isolationKey the hash of them.
	isolated     map[string]bool
	isolationKey string
}

// New returns an immutable catalog; it takes ownership of the slices. Nil accounts stand for a deployment without accounts, an empty
// slice for one whose accounts were all withdrawn.
func New(version int64, routes []Route, services []Service, accounts []Account, limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Services: map[string]*Service{}, Accounts: accounts, Limits: limits,
		routes: map[string][]Route{}, keys: map[string]*Account{}, isolated: map[string]bool{},
	}
	for i := range services {
		c.Services[services[i].Name] = &services[i]
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for i := range routes {
		if routes[i].Resumable {
			for _, x := range routes[i].Splits {
				c.resumable = append(c.resumable, x.Service)
			}
		}
	}
	slices.Sort(c.resumable)
	c.resumable = slices.Compact(c.resumable)
	for _, rs := range c.routes {
		slices.SortFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range accounts {
		for _, k := range accounts[i].Keys {
			if k != "" { // an empty key would admit requests that carry none
				c.keys[k] = &accounts[i]
			}
		}
		if accounts[i].Isolated {
			c.isolated[accounts[i].Name] = true
		}
	}
	if len(c.isolated) > 0 {
		c.isolationKey = strconv.FormatUint(hasher.Hash(slices.Sorted(maps.Keys(c.isolated))...), 36)
	}
	return c
}

// IsIsolated reports whether an account is isolated.
func (c *Catalog) IsIsolated(account string) bool { return c.isolated[account] }

// IsolationKey identifies the set of isolated accounts; it is empty if no account is isolated.
func (c *Catalog) IsolationKey() string { return c.isolationKey }

// ResumableServices returns the sorted names of the services to which routes with resumable streams lead.
func (c *Catalog) ResumableServices() []string { return c.resumable }

// Match returns the route of a host whose prefix is the longest match for the path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	rs := c.routes[host]
	for i := range rs {
		if strings.HasPrefix(path, rs[i].Prefix) {
			return &rs[i], true
		}
	}
	return nil, false
}

// Account returns the account that an API key belongs to.
func (c *Catalog) Account(key string) (*Account, bool) {
	a, ok := c.keys[key]
	return a, ok
}

// HasAccounts reports whether the deployment has accounts; callers must then send an API key on routes that are not
// public. This remains true once all accounts have been withdrawn.
func (c *Catalog) HasAccounts() bool { return c.Accounts != nil }

// Stores returns the KV stores in the order of their names.
func (c *Catalog) Stores() []*Service {
	var out []*Service
	for _, s := range c.Services {
		if s.Store != nil {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
