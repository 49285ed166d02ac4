// Package cataloger holds what the operator and the targets have published: routes, services, accounts and targets.
//
// A [Catalog] is one version of the operator's configuration and a [View] is
// everything that a request may look at. Both are immutable: a change makes a
// new value with a With method, so that a request sees one consistent state from
// its first step to its last.
//
// # Usage
//
//	cat := cataloger.New(version, routes, services, accounts, limits)
//	route, ok := cat.Match("letters.example", "/assess/17")
//	v := cataloger.NewView().WithCatalog(cat).WithTarget(target)
package cataloger

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says how often a call may run.
type Kind int

// The kinds of calls.
const (
	// Idempotent calls may run any number of times.
	Idempotent Kind = iota
	// AtMostOnce calls run at most once.
	AtMostOnce
	// Streaming calls are answered event by event; they run at most once unless the route is resumable.
	Streaming
)

// Split is one service of a route with its weight among the others.
type Split struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the first event or the whole answer within which an answer is on time.
	Objective time.Duration
	// MaxEventGap is the longest time between two events of an answer that is on time.
	MaxEventGap time.Duration
	// Priority 0 is the most urgent.
	Priority    int
	MaxAttempts int
	Splits      []Split
	// Public routes need no API key.
	Public bool
	// Resumable streams may be continued at another target.
	Resumable bool
}

// Retryable reports whether a call of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int
	CapacityTokens int
	BytesPerToken  int
	LinkMbps       float64
	Models         []string
}

// KVStore is a store of kept context.
type KVStore struct {
	Address        string
	DataCentre     string
	CapacityTokens int
	LinkMbps       float64
	// FirstByteLatency is the time that each transfer waits before it begins.
	FirstByteLatency time.Duration
	// Managed stores drop nothing by themselves.
	Managed bool
}

// Service is a group of targets, or a store of kept context.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Store is set for a store, which has no targets.
	Store *KVStore
}

// Account is one client account.
type Account struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated accounts share no kept context with others.
	Isolated bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one version of the operator's configuration.
type Catalog struct {
	Version  int64
	Services map[string]*Service
	Accounts []Account
	Limits   Limits

	routes map[string][]Route
	keys   map[string]*Account
}

// New returns the catalog of one version.
func New(version int64, routes []Route, services []Service, accounts []Account, limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Services: map[string]*Service{}, Accounts: accounts, Limits: limits,
		routes: map[string][]Route{}, keys: map[string]*Account{},
	}
	for i := range services {
		c.Services[services[i].Name] = &services[i]
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, rs := range c.routes {
		slices.SortFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range accounts {
		for _, k := range accounts[i].Keys {
			c.keys[k] = &accounts[i]
		}
	}
	return c
}

// Match returns the route of the host whose prefix is the longest that begins the path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	rs := c.routes[host]
	for i := range rs {
		if strings.HasPrefix(path, rs[i].Prefix) {
			return &rs[i], true
		}
	}
	return nil, false
}

// Account returns the account that holds a key.
func (c *Catalog) Account(key string) (*Account, bool) {
	a, ok := c.keys[key]
	return a, ok
}

// HasAccounts reports whether callers must send a key.
func (c *Catalog) HasAccounts() bool { return len(c.Accounts) > 0 }

// Stores returns the stores of kept context in the order of their names.
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
